//! Names of jobs, tasks, machines, teams, zones and images.

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
            fn from(s: &str) -> Self {
                $name(s.to_owned())
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
    /// Ids always read `wk-` and digits. Anything else never names a job.
    pub fn parse(s: &str) -> Option<JobId> {
        let digits = s.strip_prefix("wk-")?;
        let fits = (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        fits.then(|| JobId(s.to_owned()))
    }
}

/// An image's name, hashed: what a machine holds is compared for every job and machine of a round.
/// Two names that meet would only mislead an estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(pub u64);

impl ImageKey {
    /// The key of an image's name.
    pub fn of(name: &str) -> ImageKey {
        let mut h = fnv::FnvHasher::default();
        h.write(name.as_bytes());
        ImageKey(h.finish())
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The task's job.
    pub job_id: JobId,
    /// Its place in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// From `UID/INDEX`, as workers name it.
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job_id, index) = s.rsplit_once('/')?;
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
