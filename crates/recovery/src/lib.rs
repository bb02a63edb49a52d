//! Failover: how a new leader takes over a fleet.
//!
//! A new leader has two sources of information: the records in the key-value store, and the heartbeats of
//! agents. This crate reconciles the two before any command is sent, and limits the rate of the commands that
//! follow. It performs no input or output and reads no clock: methods that need the current time take it as
//! the argument `now`.
//!
//! - [`attempt_state`]: what is known about one attempt, as a state machine that is driven by evidence;
//! - [`reconciliation`]: the states of all attempts that were on record when the term began;
//! - [`unrecorded`]: tasks of unknown jobs that machines list and no record names;
//! - [`segments`] and [`silence`]: network segments of machines, and outages of segments, zones or the fleet;
//! - [`rate_limits`] and [`command_pacing`]: token buckets for the fleet and its segments, and tracking of
//!   unacknowledged commands;
//! - [`progress`]: the phase of a takeover, and its statistics for the log;
//! - [`settings`]: the operators' settings and their validation;
//! - [`takeover`]: the interface to the scheduler's core, which combines the other modules.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::wildcard_imports))]

pub mod attempt_state;
pub mod command_pacing;
pub mod progress;
pub mod rate_limits;
pub mod reconciliation;
pub mod segments;
pub mod settings;
pub mod silence;
pub mod takeover;
pub mod unrecorded;

pub use takeover::Takeover;
