//! Admission control: rejects jobs that could never run or whose record could not be stored.
//!
//! The API answers a rejected submission with the HTTP status 422. Resources that are in use at the moment
//! count as free: a job that could run once other tasks release them is admitted.

use super::feasibility::{check_feasible, Infeasible};
use super::model::{JobKind, JobSpec, MachineType, Resources, Team};

/// The reason why a job is rejected. Its text is sent to the user in the response.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The settings contain no team of this name.
    #[error("unknown team")]
    UnknownTeam,
    /// No machines of the offered types could ever run the job.
    #[error(transparent)]
    NeverRuns(#[from] Infeasible),
    /// A single task of a batch job, or all tasks of a gang together, need more CPUs or GPUs than the team's
    /// limit.
    #[error("the job needs more than the team's limit")]
    ExceedsTeamLimit,
    /// The job's record might exceed the size limit of a value in the key-value store.
    #[error(
        "the job's description takes up to {max_record_bytes} bytes; one value of the state service holds \
         {max_value_bytes}"
    )]
    RecordTooLong {
        /// The upper bound of the record's size, in bytes.
        max_record_bytes: usize,
        /// The size limit of a value in the key-value store, in bytes.
        max_value_bytes: usize,
    },
}

/// Checks that a job's record, given an upper bound of its size, fits into one value of the key-value store.
/// The size does not depend on the number of tasks: only names and lists make a record long.
pub fn check_record_size(
    max_record_bytes: usize,
    max_value_bytes: usize,
) -> Result<(), AdmissionError> {
    if max_record_bytes <= max_value_bytes {
        Ok(())
    } else {
        Err(AdmissionError::RecordTooLong {
            max_record_bytes,
            max_value_bytes,
        })
    }
}

/// Checks that a job's team exists, that machines of the offered types could run the job, and that the job
/// alone fits within the team's limits. The limits are compared with the resources of one task if the job is a
/// job array, or of all its tasks if it is a gang. The team's current usage is ignored.
pub fn check_job(
    spec: &JobSpec,
    teams: &[Team],
    machine_types: &[MachineType],
) -> Result<(), AdmissionError> {
    let team = teams
        .iter()
        .find(|t| t.name == spec.team)
        .ok_or(AdmissionError::UnknownTeam)?;
    check_feasible(spec, machine_types)?;
    let min_usage = match spec.kind {
        JobKind::Batch => spec.resources,
        JobKind::Gang => spec.resources.times(f64::from(spec.task_count)),
    };
    if team.allows(&Resources::default(), &min_usage) {
        Ok(())
    } else {
        Err(AdmissionError::ExceedsTeamLimit)
    }
}
