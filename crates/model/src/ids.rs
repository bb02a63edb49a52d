//! Identifiers of jobs, tasks, machines, teams, zones and images.
//!
//! Only `parse` validates the id of a job or task. A [`JobId`] that is constructed directly is not checked.

use std::fmt;
use std::hash::Hasher;

macro_rules! define_string_id {
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

define_string_id!(
    /// The id of a job, chosen by the user who submits it. The valid form is that of [`JobId::parse`].
    JobId
);
define_string_id!(
    /// The id of a machine, assigned by the cloud.
    MachineId
);
define_string_id!(
    /// The name of a team in the settings.
    TeamName
);
define_string_id!(
    /// The cloud's name of a zone.
    Zone
);
define_string_id!(
    /// The cloud's name of a machine type.
    MachineTypeName
);

impl JobId {
    /// Parses a job id: `wk-` followed by 1 to 20 ASCII digits. None: the text is not a valid id.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("wk-")?;
        let is_valid =
            (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId(text.to_owned()))
    }
}

/// The hash of an image name. Each placement round compares the image of every job with the images on every
/// machine, and comparing hashes is cheaper than comparing strings. A collision would only distort an
/// estimate of the fetch time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(pub u64);

impl ImageKey {
    /// Hashes an image name with FNV. The result is the same in every process.
    pub fn from_name(name: &str) -> ImageKey {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(name.as_bytes());
        ImageKey(hasher.finish())
    }
}

/// The id of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job_id: JobId,
    /// The index of the task within its job, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB/INDEX`, the form that agents use. None: the job id or the index is invalid.
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
