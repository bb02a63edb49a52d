//! The deciding part: deterministic, without sockets, files, threads or clocks of its own.

pub mod admission;
pub mod backoff;
pub mod capacity;
pub mod cluster;
mod consolidation;
pub mod dependencies;
pub mod entities;
mod failure_attribution;
mod gang_placement;
mod headroom;
pub mod history;
pub mod leadership;
pub mod ledger;
pub mod model;
pub mod placement;
mod preemption;
mod queue;
pub mod ranking;
mod release;
mod rental_plan;
mod reports;
mod slots;
pub mod start_limiter;
pub mod status_reads;
mod termination;
pub mod watermark;
pub mod zones;
