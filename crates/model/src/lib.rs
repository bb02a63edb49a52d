//! The types that the packages of cypressgap share: identities, tokens, amounts and reports.

#![warn(missing_docs)]

mod amounts;
mod ids;
mod reports;
mod tokens;

pub use amounts::{Need, ROUNDING};
pub use ids::{HostId, ImageKey, Site, TaskId, TeamName, TypeName, Uid};
pub use reports::{Directive, Exit, Report, TaskPhase, TaskReport};
pub use tokens::{Attempt, Epoch, Term};
