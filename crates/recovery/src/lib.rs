//! Failover: how a new leader takes over a fleet.
//!
//! A new leader knows two things: the records in the key-value store, and the heartbeats of agents. This
//! package reconciles the two before any command is sent, and paces the commands that follow. It performs no
//! input or output and reads no clock: `now` is an argument throughout.
//!
//! - [`attempt_state`]: what is known about one attempt, as a state machine;
//! - [`reconciliation`]: the states of all attempts that were on record when the term began;
//! - [`unrecorded`]: tasks that no record names, of unknown jobs;
//! - [`segments`] and [`silence`]: network segments of machines, and outages of whole segments;
//! - [`rate_limits`] and [`command_pacing`]: token buckets of the fleet and its segments, and unacknowledged
//!   commands;
//! - [`progress`]: phases, counts and times of a takeover;
//! - [`settings`]: the operators' settings;
//! - [`takeover`]: all of these together, as the scheduler's core uses them.

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
