//! Placement: which waiting task starts on which machine.
//!
//! A round goes over the queue (`queue`) and gives each task the machine with the lowest score: the
//! time until it has room, plus the expected run time, plus the fetch of the image (`scoring`). A task
//! starts only where room is free now. Where the best machine is busy, the task gets a reservation there
//! for this round, which delays the tasks after it, and is scored again in the next round.
//!
//! `round` plans from an unchanged cluster state; `apply` is the only place where a round's
//! decisions change it.
//!
//! Invariants: a plan keeps every team's limit, the zones that a job is tied to and what a machine has
//! room for; the members of a gang start together or not at all.

mod apply;
mod array;
mod deadlines;
mod fair_share;
mod gang;
pub mod history;
mod plan;
mod preemption;
mod prices;
pub mod priority_inheritance;
mod queue;
mod round;
mod scoring;
mod slots;
pub mod start_limiter;
pub mod zone_constraints;

pub(in crate::core) use plan::{RoundOutcome, WaitingTasks};
pub(in crate::core) use prices::price_per_cpu;
pub use scoring::is_wanted_by_larger_tasks;

#[cfg(test)]
mod tests;
