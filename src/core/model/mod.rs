//! Domain types of the scheduler: jobs, machines, teams and the settings of the core.
//!
//! These types do not depend on wire formats or stored records; the `wire` module converts between them and
//! those formats.

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
