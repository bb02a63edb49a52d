//! Headroom: room that is kept free for classes whose tasks were promised an early start.

use super::cluster::Cluster;
use super::model::{HostType, Need, Objective, TypeName};
use super::placement::{contested, Round};
use super::rental_plan::{Candidate, RentalPlan};
use std::time::{Duration, Instant};

/// Some machines take much longer to boot than most: a start promised within so many boots counts as
/// one that no new machine can keep.
const BOOTS_FOR_A_START: u32 = 2;

impl Cluster {
    /// Tasks of each class with a start aim that must find room at once: a class's typical job. A class
    /// that is promised its start only after a machine can have come up needs none.
    pub(super) fn headroom(&self, now: Instant) -> Vec<(u32, Need)> {
        let mut out = Vec::new();
        for (class, within) in self.promised_starts() {
            let Some((size, need)) = self.capacity.typical(now, class) else {
                continue;
            };
            let suits = self.types.iter().filter(|t| need.count_in(&t.room) > 0);
            let boot = suits.map(|t| self.capacity.boot_time(t)).max();
            let deadline =
                |o: &Objective| o.kind == "deadline" && o.class.as_deref() == Some(class);
            let due = self.params.objectives.iter().any(deadline);
            if due || boot.is_none_or(|b| within < b * BOOTS_FOR_A_START) {
                let tasks = (f64::from(size) * self.params.tuning.headroom_jobs).ceil();
                out.push((tasks as u32, need));
            }
        }
        out
    }

    /// The earliest start that each class was promised.
    fn promised_starts(&self) -> Vec<(&str, Duration)> {
        let mut promises: Vec<(&str, Duration)> = Vec::new();
        for o in self.params.objectives.iter().filter(|o| o.kind == "wait") {
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
    pub(super) fn plan_headroom(&self, now: Instant, round: &Round, plan: &mut RentalPlan) {
        for (tasks, need) in self.headroom(now) {
            let tasks = tasks as usize;
            let types = self.headroom_types(&need);
            let mut have = self.headroom_at_hand(round, plan, &need, &types);
            let candidates = self.headroom_candidates(now, &need, &types);
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
    fn headroom_types(&self, need: &Need) -> Vec<&HostType> {
        let apart =
            |t: &&HostType| need.count_in(&t.room) > 0 && !contested(&self.crowded_out, need, t);
        let types: Vec<&HostType> = self.types.iter().filter(apart).collect();
        if types.is_empty() {
            return self.types.iter().collect();
        }
        types
    }

    /// Tasks that find room on machines that are up, coming up or planned.
    fn headroom_at_hand(
        &self,
        round: &Round,
        plan: &RentalPlan,
        need: &Need,
        types: &[&HostType],
    ) -> usize {
        let counts = |name: &TypeName| types.iter().any(|t| &t.name == name);
        let all = types.len() == self.types.len();
        let spare = round.spare.iter().filter(|(id, _)| {
            let host = self.hosts.get(id);
            all || host.is_some_and(|h| counts(&h.host_type))
        });
        let planned = plan
            .machines
            .iter()
            .filter(|m| all || counts(m.host_type()));
        let up: usize = spare.map(|(_, free)| need.count_in(free)).sum();
        let coming: usize = planned.map(|m| need.count_in(&m.free)).sum();
        up + coming
    }

    fn headroom_candidates(
        &self,
        now: Instant,
        need: &Need,
        types: &[&HostType],
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for t in types {
            let slots = need.count_in(&t.room);
            for site in t.sites.iter().filter(|_| slots > 0) {
                let offer = (t.name.clone(), site.clone(), true);
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
