//! Whether machines of the offered types could ever run a job, however busy the fleet is at the moment.
//!
//! Admission refuses a job that could never run, and scale-out rents nothing for one. The number of machines
//! that the cloud has of a type is not published and counts as unlimited.

use super::model::{JobKind, JobSpec, MachineType, Zone};
use std::collections::BTreeSet;

/// The reason why no machines of the offered types could run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// No machine type that the job allows is large enough for a task and offered in a zone that it allows.
    #[error("a task fits no allowed machine type")]
    NoSuitableMachineType,
    /// The members of a gang run at the same time, and the zones in which suitable machine types are offered
    /// are too few for the gang's zone constraints.
    #[error("the zones in which a task fits an allowed machine type are too few for the group")]
    TooFewZones,
}

/// Checks that machines of the offered types could run one task of a job array, or all members of a gang at
/// the same time.
pub fn check_feasible(spec: &JobSpec, machine_types: &[MachineType]) -> Result<(), Infeasible> {
    let zones = suitable_zones(spec, machine_types);
    if zones.is_empty() {
        return Err(Infeasible::NoSuitableMachineType);
    }
    let unlimited = zones.iter().map(|_| spec.task_count as usize);
    if can_hold(spec, unlimited) {
        Ok(())
    } else {
        Err(Infeasible::TooFewZones)
    }
}

/// Whether zones can hold one task of a job array, or all members of a gang. `tasks_by_zone`: the number of
/// the job's tasks that each zone has room for.
pub(in crate::core) fn can_hold(
    spec: &JobSpec,
    tasks_by_zone: impl Iterator<Item = usize> + Clone,
) -> bool {
    if spec.kind == JobKind::Batch {
        return tasks_by_zone.sum::<usize>() > 0;
    }
    let members = spec.task_count as usize;
    let max_per_zone = if spec.spread {
        members.div_ceil(2)
    } else {
        members
    };
    let mut usable = tasks_by_zone.map(|tasks| tasks.min(max_per_zone));
    if spec.same_place {
        usable.any(|tasks| tasks >= members)
    } else {
        usable.sum::<usize>() >= members
    }
}

/// The zones that a job allows and in which a machine type is offered that the job allows and that is large
/// enough for one of its tasks.
fn suitable_zones<'a>(spec: &JobSpec, machine_types: &'a [MachineType]) -> BTreeSet<&'a Zone> {
    let is_suitable = |machine_type: &&MachineType| {
        spec.allows_type(&machine_type.name) && spec.resources.fits(&machine_type.capacity)
    };
    let types = machine_types.iter().filter(is_suitable);
    types
        .flat_map(|machine_type| &machine_type.zones)
        .filter(|zone| spec.allows_zone(zone))
        .collect()
}
