//! Placement decides which waiting task starts on which machine.
//!
//! A placement round walks the job queue (`queue`) and assigns each task to the machine with the lowest
//! score: the expected wait for free resources, plus the expected run time, plus the time to fetch the
//! image, plus some corrections (`scoring`). A task starts only where the resources are free now. If the
//! best machine is busy, the task gets a reservation there for this round, which delays the tasks
//! that the round places later; the next round scores the task again. Gangs are placed as a whole (`gang`).
//!
//! `round` computes a plan from an unchanged cluster state; `apply` is the only place where the decisions
//! of a round change that state.
//!
//! Invariants: a plan respects every team's limit, the zone constraints of each job and the capacity of
//! each machine; the members of a gang start together or not at all.

mod apply;
mod array;
mod deadlines;
mod fair_share;
mod fleet_fit;
mod gang;
pub mod history;
mod nominated;
pub mod nominations;
mod plan;
mod preemption;
mod prices;
pub mod priority_inheritance;
mod queue;
mod round;
mod scoring;
mod slots;
pub mod start_limiter;
mod team_load;
pub mod zone_constraints;

pub(in crate::core) use plan::{RoundOutcome, WaitingTasks};
pub(in crate::core) use prices::price_per_cpu;
pub use scoring::is_wanted_by_larger_tasks;

#[cfg(test)]
mod tests;
