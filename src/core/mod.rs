//! The deciding part: deterministic, without sockets, files, threads or clocks of its own.

pub mod admission;
pub mod capacity;
pub mod cluster;
pub mod history;
pub mod leadership;
pub mod ledger;
pub mod model;
pub mod placement;
