//! The deciding part: deterministic, without sockets, files, threads or clocks of its own.

pub mod admission;
pub mod backoff;
pub mod capacity;
pub mod cluster;
mod departures;
pub mod dependencies;
mod doubt;
mod emptying;
pub mod entities;
pub mod history;
pub mod inquiry;
pub mod leadership;
pub mod ledger;
pub mod model;
pub mod pace;
pub mod placement;
mod preemption;
mod queue;
pub mod ranking;
mod reports;
mod returning;
pub mod watermark;
pub mod zones;
