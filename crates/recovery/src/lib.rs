//! How a new leader takes over a fleet.
//!
//! A leader that begins knows two things: what the state service holds, and what workers report. This
//! package matches the two before any order is issued, and spreads the orders that follow over time. It
//! performs no input or output and reads no clock: `now` is an argument throughout.
//!
//! - [`attempt_state`]: what is known of one attempt, as a state machine;
//! - [`reconciliation`]: the states of all attempts that were on record when the term began;
//! - [`unrecorded`]: what becomes of work that no record names;
//! - [`segments`] and [`silence`]: machines by network segment, and which of them fall silent together;
//! - [`pacing`] and [`orders`]: token buckets for the fleet and its segments, and what was not acknowledged;
//! - [`progress`]: phases, counts and times of a takeover;
//! - [`settings`]: the operators' settings of all this;
//! - [`takeover`]: the parts joined, as the scheduler's core uses them.

#![warn(missing_docs)]

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
