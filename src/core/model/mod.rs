//! The domain types of the scheduler: jobs, machines, teams, and the settings that the core reads.
//!
//! They know nothing of the wire or of stored records, which are mapped to and from them at the edge.

mod config;
mod job;
mod machine;
mod team;

pub use config::{SchedulerConfig, Slo, Tuning};
pub use cypressgap_model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, ImageKey, JobId, MachineId, MachineTypeName,
    Resources, TaskCommand, TaskId, TaskPhase, TaskStatus, TeamName, Term, Zone, RESOURCE_EPSILON,
};
pub use job::{JobKind, JobSpec, Priority};
pub use machine::{CloudMachine, CloudMachinePhase, MachineType};
pub use team::Team;
