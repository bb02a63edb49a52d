//! Types that the packages of cypressgap share: identifiers, fencing tokens, resources and heartbeats.
//!
//! These types contain no scheduling logic and no serialization. The modules for the wire formats and for
//! stored records convert between them and the serialized forms.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::wildcard_imports))]

mod heartbeats;
mod ids;
mod resources;
mod tokens;

pub use heartbeats::{ExitReason, Heartbeat, TaskCommand, TaskPhase, TaskStatus};
pub use ids::{ImageKey, JobId, MachineId, MachineTypeName, TaskId, TeamName, Zone};
pub use resources::{Resources, RESOURCE_EPSILON};
pub use tokens::{AttemptId, FencingToken, Term};
