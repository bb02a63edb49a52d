//! Admission control: the checks of a submission that are answered with 422.

use super::model::{JobKind, JobSpec, MachineType, Resources, Team};

/// Why a job is not admitted: it could never run, or not be stored.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// A task fits no machine type that the job allows.
    #[error("a task fits no allowed machine type")]
    NoSuitableMachineType,
    /// A task, or the whole gang, needs more than its team's limit.
    #[error("the job needs more than the team's limit")]
    ExceedsTeamLimit,
    /// Its record would be too long for one value of the key-value store.
    #[error("the job's description takes up to {size} bytes; one value of the state service holds {limit}")]
    RecordTooLong {
        /// The greatest size of the record in bytes.
        size: usize,
        /// The greatest size of a value in bytes.
        limit: usize,
    },
}

/// Checks that the job's record, of this size at most, fits into one value of the key-value store. The number
/// of tasks does not matter: only names and lists make a record long.
pub fn check_record_size(size: usize, limit: usize) -> Result<(), AdmissionError> {
    if size <= limit {
        Ok(())
    } else {
        Err(AdmissionError::RecordTooLong { size, limit })
    }
}

/// Checks a job against its team's limits and the machine types on offer.
pub fn check_job(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
) -> Result<(), AdmissionError> {
    let team = teams
        .iter()
        .find(|t| t.name == spec.team)
        .ok_or(AdmissionError::UnknownTeam)?;
    if !types
        .iter()
        .any(|machine_type| can_run_on(spec, machine_type))
    {
        return Err(AdmissionError::NoSuitableMachineType);
    }
    let least_usage = match spec.kind {
        JobKind::Batch => spec.resources,
        JobKind::Gang => spec.resources.times(f64::from(spec.task_count)),
    };
    if team.allows(&Resources::default(), &least_usage) {
        Ok(())
    } else {
        Err(AdmissionError::ExceedsTeamLimit)
    }
}

/// Whether a task of the job fits some machine of this type.
fn can_run_on(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.allows_type(&machine_type.name)
        && spec.resources.fits(&machine_type.room)
        && machine_type.zones.iter().any(|zone| spec.allows_zone(zone))
}
