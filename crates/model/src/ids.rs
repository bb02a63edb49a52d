//! Identifiers of jobs, tasks, machines, teams, zones and images.
//!
//! Only `parse` validates a job's or task's id; a [`JobId`] that is made from a string directly is taken as it is.

use std::fmt;
use std::hash::Hasher;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }
    };
}

text_id!(
    /// A job's id, chosen by its user.
    JobId
);
text_id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);
text_id!(
    /// A team, as the settings name it.
    TeamName
);
text_id!(
    /// A zone, as the cloud names it.
    Zone
);
text_id!(
    /// The name of a machine type.
    MachineTypeName
);

impl JobId {
    /// Parses an id: `wk-` and 1 to 20 digits. No other text identifies a job.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("wk-")?;
        let is_valid =
            (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId(text.to_owned()))
    }
}

/// The hash of an image's name, since each round compares images for every job and machine. A collision would
/// only distort an estimate of fetch time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(pub u64);

impl ImageKey {
    /// The key of an image's name.
    pub fn of(name: &str) -> ImageKey {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(name.as_bytes());
        ImageKey(hasher.finish())
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The task's job.
    pub job_id: JobId,
    /// The index of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB/INDEX`, the form that agents use.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job_id, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job_id: JobId::parse(job_id)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job_id, self.index)
    }
}
