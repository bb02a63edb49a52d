//! Where the tasks of a job are, and so in which zones one more may start.
//!
//! `SamePlace` binds all tasks of a job to one zone, and `Spread` allows half of them in each. The zones
//! are counted once for each job and round, since looking at all of its tasks for each machine anew costs
//! a leader minutes where jobs have hundreds of tasks.

use crate::core::model::{JobSpec, MachineId, MachineTypeName, Zone};
use crate::core::state::entities::Job;
use std::collections::BTreeMap;

/// The zones of a job's tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneUse {
    tasks: BTreeMap<Zone, u32>,
    /// Some task's zone is not known: it could be any.
    unknown: bool,
}

impl ZoneUse {
    /// Of the tasks that are on machines. Nothing is counted for a job that no rule ties to zones.
    pub fn of(job: &Job, zone_of: &impl Fn(&MachineId) -> Option<Zone>) -> ZoneUse {
        let mut zones = ZoneUse::default();
        if !is_tied(&job.spec) {
            return zones;
        }
        for attempt in job.active.values() {
            match zone_of(&attempt.machine) {
                Some(zone) => *zones.tasks.entry(zone).or_default() += 1,
                None => zones.unknown = true,
            }
        }
        zones
    }

    /// One more task starts in this zone. Whether the job may start its next one elsewhere than before.
    pub fn start_in(&mut self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_tied(spec) {
            return false;
        }
        let first = self.tasks.is_empty();
        *self.tasks.entry(zone.clone()).or_default() += 1;
        (spec.same_place && first) || !self.permits(spec, zone)
    }

    /// Whether one more task may start in this zone.
    pub fn permits(&self, spec: &JobSpec, zone: &Zone) -> bool {
        if !is_tied(spec) {
            return true;
        }
        if self.unknown {
            return false;
        }
        if spec.same_place && self.tasks.keys().any(|other| other != zone) {
            return false;
        }
        let here = self.tasks.get(zone).copied().unwrap_or_default();
        !spec.spread || here < spec.task_count.div_ceil(2)
    }
}

fn is_tied(spec: &JobSpec) -> bool {
    spec.same_place || spec.spread
}

/// Whether a job may start one more task there, given the zones of its tasks: the one rule that every
/// launch passes.
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
