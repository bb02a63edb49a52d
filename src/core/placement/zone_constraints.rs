//! Zone constraints: the zones in which the next task of a job may start.
//!
//! `same_place` requires all tasks of a job to run in one zone, and `spread` allows at most half of them
//! (rounded up) in each zone. Tasks are counted by zone once per job and round: counting them again for
//! each machine would cost a leader minutes for jobs with hundreds of tasks.
//!
//! Invariant: a job with a zone constraint starts nothing while the zone of one of its active tasks is
//! unknown.

use crate::core::model::{JobSpec, MachineId, MachineTypeName, Zone};
use crate::core::state::Job;
use std::collections::BTreeMap;

/// The number of tasks of one job in each zone. Empty if the job has no zone constraint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneUse {
    tasks_by_zone: BTreeMap<Zone, u32>,
    /// The zone of at least one active task of the job is unknown. That task could be in any zone.
    has_unknown_zone: bool,
}

impl ZoneUse {
    /// Counts the active tasks of a job by zone. `zone_of` returns the zone of a machine, or `None` if the
    /// zone is unknown.
    pub fn for_job(job: &Job, zone_of: &impl Fn(&MachineId) -> Option<Zone>) -> ZoneUse {
        let mut zones = ZoneUse::default();
        if !is_constrained(&job.spec) {
            return zones;
        }
        for attempt in job.active.values() {
            match zone_of(&attempt.machine) {
                Some(zone) => *zones.tasks_by_zone.entry(zone).or_default() += 1,
                None => zones.has_unknown_zone = true,
            }
        }
        zones
    }

    /// Counts one more task in this zone. Returns whether this changed the set of zones in which the next
    /// task of the job may start.
    pub fn add_task(&mut self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_constrained(spec) {
            return false;
        }
        let is_first = self.tasks_by_zone.is_empty();
        *self.tasks_by_zone.entry(zone.clone()).or_default() += 1;
        (spec.same_place && is_first) || !self.permits(spec, zone)
    }

    /// Whether the zone constraints allow one more task of the job in this zone.
    pub fn permits(&self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_constrained(spec) {
            return true;
        }
        if self.has_unknown_zone {
            return false;
        }
        if spec.same_place && self.tasks_by_zone.keys().any(|other| other != zone) {
            return false;
        }
        let in_zone = self.tasks_by_zone.get(zone).copied().unwrap_or_default();
        !spec.spread || in_zone < spec.task_count.div_ceil(2)
    }
}

/// Whether a job has a zone constraint.
fn is_constrained(spec: &JobSpec) -> bool {
    spec.same_place || spec.spread
}

/// Whether a job may start one more task on a machine of this type, zone and purchase option. `zones`:
/// the zones of the job's active tasks. Placement, preemption and capacity planning all apply this rule.
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
