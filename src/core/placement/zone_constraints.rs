//! Constraints on zones: in which zones one more task of a job may start.
//!
//! `same_place` binds all tasks of a job to one zone, and `spread` allows at most half of them in each.
//! The tasks by zone are counted once for each job and round: counting them anew for each machine costs
//! a leader minutes where jobs have hundreds of tasks.
//!
//! Invariant: while the zone of one of its tasks is unknown, a constrained job starts nothing.

use crate::core::model::{JobSpec, MachineId, MachineTypeName, Zone};
use crate::core::state::Job;
use std::collections::BTreeMap;

/// How many tasks of a job are in each zone. Counted only for jobs with a constraint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneUse {
    tasks_by_zone: BTreeMap<Zone, u32>,
    /// Some task's zone is not known: it could be any.
    has_unknown: bool,
}

impl ZoneUse {
    /// Counts a job's tasks that are on machines. `zone_of`: a machine's zone, if it is known.
    pub fn of(job: &Job, zone_of: &impl Fn(&MachineId) -> Option<Zone>) -> ZoneUse {
        let mut zones = ZoneUse::default();
        if !is_constrained(&job.spec) {
            return zones;
        }
        for attempt in job.active.values() {
            match zone_of(&attempt.machine) {
                Some(zone) => *zones.tasks_by_zone.entry(zone).or_default() += 1,
                None => zones.has_unknown = true,
            }
        }
        zones
    }

    /// Counts one more task in this zone. Returns whether the zones in which the next one may start have
    /// changed.
    pub fn add_task(&mut self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_constrained(spec) {
            return false;
        }
        let is_first = self.tasks_by_zone.is_empty();
        *self.tasks_by_zone.entry(zone.clone()).or_default() += 1;
        (spec.same_place && is_first) || !self.permits(spec, zone)
    }

    /// Whether one more task may start in this zone.
    pub fn permits(&self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_constrained(spec) {
            return true;
        }
        if self.has_unknown {
            return false;
        }
        if spec.same_place && self.tasks_by_zone.keys().any(|other| other != zone) {
            return false;
        }
        let in_zone = self.tasks_by_zone.get(zone).copied().unwrap_or_default();
        !spec.spread || in_zone < spec.task_count.div_ceil(2)
    }
}

fn is_constrained(spec: &JobSpec) -> bool {
    spec.same_place || spec.spread
}

/// Whether a job may start one more task on such a machine, given the zones of its tasks: the one rule
/// that every launch passes.
pub fn permits(
    spec: &JobSpec,
    zones: &ZoneUse,
    type_name: &MachineTypeName,
    zone: &Zone,
    spot: bool,
) -> bool {
    spec.allows_type(type_name)
        && spec.allows_zone(zone)
        && (!spot || spec.allows_spot)
        && zones.permits(spec, zone)
}
