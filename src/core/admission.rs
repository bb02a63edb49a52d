//! Which submissions can be taken: the checks behind 422.

use super::model::{JobKind, JobSpec, MachineType, Resources, Team};

/// Why a job can never run.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type has room for a task.
    #[error("a task fits no allowed machine type")]
    NoType,
    /// A task needs more than its team's limit.
    #[error("the job needs more than the team's limit")]
    OverLimit,
    /// Its record would be too long for a value of the state service.
    #[error("the job's description takes up to {size} bytes; one value of the state service holds {limit}")]
    TooLong {
        /// What it would take, in bytes.
        size: usize,
        /// What a value may take.
        limit: usize,
    },
}

/// Whether the job's description, of this size at most, fits into one value of the state service. A
/// job of any number of tasks does: only names and lists make it long.
pub fn fits_a_value(size: usize, limit: usize) -> Result<(), Refusal> {
    if size <= limit {
        Ok(())
    } else {
        Err(Refusal::TooLong { size, limit })
    }
}

/// Checks what the settings and the machine types allow.
pub fn check(spec: &JobSpec, teams: &[Team], types: &[MachineType]) -> Result<(), Refusal> {
    let team = teams
        .iter()
        .find(|t| t.name == spec.team)
        .ok_or(Refusal::UnknownTeam)?;
    let fits = types.iter().any(|t| {
        spec.allows_type(&t.name)
            && spec.resources.fits(&t.room)
            && t.zones.iter().any(|s| spec.allows_zone(s))
    });
    if !fits {
        return Err(Refusal::NoType);
    }
    let whole = match spec.kind {
        JobKind::Batch => spec.resources,
        JobKind::Gang => spec.resources.times(f64::from(spec.task_count)),
    };
    if team.allows(&Resources::default(), &whole) {
        Ok(())
    } else {
        Err(Refusal::OverLimit)
    }
}
