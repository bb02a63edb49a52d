//! Which submissions can be taken: the checks behind 422.

use super::model::{HostType, JobKind, JobSpec, Need, Team};

/// Why a job can never run.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("unknown team")]
    UnknownTeam,
    #[error("a task fits no allowed machine type")]
    NoType,
    #[error("the job needs more than the team's limit")]
    OverLimit,
}

pub fn check(spec: &JobSpec, teams: &[Team], types: &[HostType]) -> Result<(), Refusal> {
    let team = teams
        .iter()
        .find(|t| t.name == spec.owner)
        .ok_or(Refusal::UnknownTeam)?;
    let fits = types.iter().any(|t| {
        spec.allows_type(&t.name)
            && spec.need.fits(&t.room)
            && t.sites.iter().any(|s| spec.allows_site(s))
    });
    if !fits {
        return Err(Refusal::NoType);
    }
    let whole = match spec.kind {
        JobKind::Batch => spec.need,
        JobKind::Gang => spec.need.times(f64::from(spec.shards)),
    };
    if team.allows(&Need::default(), &whole) {
        Ok(())
    } else {
        Err(Refusal::OverLimit)
    }
}
