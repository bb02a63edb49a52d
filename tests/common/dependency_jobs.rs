//! Jobs that are identified by a number and may depend on each other.

use super::spec;
use cypressgap::core::model::{JobId, JobSpec};

/// The id of job number `n`.
pub fn job_id(n: u32) -> JobId {
    JobId::from(format!("wk-{n:06}").as_str())
}

/// The ids of the jobs with these numbers.
pub fn job_ids(numbers: &[u32]) -> Vec<JobId> {
    numbers.iter().map(|n| job_id(*n)).collect()
}

/// A job number `n` with one task of 4 processors that depends on the jobs with these numbers.
pub fn job_depending_on(n: u32, dependencies: &[u32]) -> JobSpec {
    let mut job = spec(&job_id(n).0, 1, 4.0);
    job.dependencies = job_ids(dependencies);
    job
}
