//! Headroom: room that is kept free for classes whose tasks were promised an early start.

use crate::core::capacity::scale_out::{Candidate, RentalPlan};
use crate::core::model::{MachineType, MachineTypeName, Resources, Slo};
use crate::core::placement::{is_wanted_by_larger_tasks, RoundOutcome};
use crate::core::state::cluster_state::ClusterState;
use std::time::{Duration, Instant};

/// Some machines take much longer to boot than most: a start promised within so many boots counts as
/// one that no new machine can keep.
const BOOTS_FOR_A_START: u32 = 2;

impl ClusterState {
    /// Tasks of each class with a start aim that must find room at once: a class's typical job. A class
    /// that is promised its start only after a machine can have come up needs none.
    pub(in crate::core) fn headroom(&self, now: Instant) -> Vec<(u32, Resources)> {
        let mut out = Vec::new();
        for (class, within) in self.promised_starts() {
            let Some((size, resources)) = self.capacity.typical(now, class) else {
                continue;
            };
            let suits = self
                .fleet
                .types
                .iter()
                .filter(|t| resources.count_in(&t.room) > 0);
            let boot = suits.map(|t| self.capacity.boot_time(t)).max();
            let deadline = |o: &Slo| o.kind == "deadline" && o.class.as_deref() == Some(class);
            let due = self.config.slos.iter().any(deadline);
            if due || boot.is_none_or(|b| within < b * BOOTS_FOR_A_START) {
                let tasks = (f64::from(size) * self.config.tuning.headroom_jobs).ceil();
                out.push((tasks as u32, resources));
            }
        }
        out
    }

    /// The earliest start that each class was promised.
    fn promised_starts(&self) -> Vec<(&str, Duration)> {
        let mut promises: Vec<(&str, Duration)> = Vec::new();
        for o in self.config.slos.iter().filter(|o| o.kind == "wait") {
            let Some(class) = o.class.as_deref() else {
                continue;
            };
            let within = o.within.unwrap_or_default();
            match promises.iter_mut().find(|p| p.0 == class) {
                Some(p) => p.1 = p.1.min(within),
                None => promises.push((class, within)),
            }
        }
        promises
    }

    /// Plans the cheapest machines for headroom that is missing.
    pub(in crate::core) fn plan_headroom(
        &self,
        now: Instant,
        round: &RoundOutcome,
        plan: &mut RentalPlan,
    ) {
        for (tasks, resources) in self.headroom(now) {
            let tasks = tasks as usize;
            let types = self.headroom_types(&resources);
            let mut have = self.headroom_at_hand(round, plan, &resources, &types);
            let candidates = self.headroom_candidates(now, &resources, &types);
            while have < tasks {
                let Some(candidate) = plan.cheapest(&candidates, tasks - have) else {
                    break;
                };
                if !plan.add_headroom(candidate) {
                    break;
                }
                have += candidate.slots;
            }
        }
    }

    /// The types whose room counts for a class. Room that larger waiting tasks will take is no
    /// headroom, where other machines serve.
    fn headroom_types(&self, resources: &Resources) -> Vec<&MachineType> {
        let apart = |t: &&MachineType| {
            resources.count_in(&t.room) > 0
                && !is_wanted_by_larger_tasks(&self.unplaced_resources, resources, t)
        };
        let types: Vec<&MachineType> = self.fleet.types.iter().filter(apart).collect();
        if types.is_empty() {
            return self.fleet.types.iter().collect();
        }
        types
    }

    /// Tasks that find room on machines that are up, coming up or planned.
    fn headroom_at_hand(
        &self,
        round: &RoundOutcome,
        plan: &RentalPlan,
        resources: &Resources,
        types: &[&MachineType],
    ) -> usize {
        let counts = |name: &MachineTypeName| types.iter().any(|t| &t.name == name);
        let all = types.len() == self.fleet.types.len();
        let spare = round.spare.iter().filter(|spare| {
            let machine = self.fleet.machines.get(&spare.machine);
            all || machine.is_some_and(|h| counts(&h.machine_type))
        });
        let planned = plan
            .machines
            .iter()
            .filter(|m| all || counts(m.machine_type()));
        let up: usize = spare.map(|spare| resources.count_in(&spare.free)).sum();
        let coming: usize = planned.map(|m| resources.count_in(&m.free)).sum();
        up + coming
    }

    fn headroom_candidates(
        &self,
        now: Instant,
        resources: &Resources,
        types: &[&MachineType],
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for t in types {
            let slots = resources.count_in(&t.room);
            for zone in t.zones.iter().filter(|_| slots > 0) {
                let offer = (t.name.clone(), zone.clone(), true);
                if !self.is_refused(now, &offer) {
                    candidates.push(Candidate {
                        price: t.price(true),
                        offer,
                        room: t.room,
                        slots,
                    });
                }
            }
        }
        candidates
    }
}
