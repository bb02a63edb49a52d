//! Utilities that depend on no other module of this crate: rate limits, meters and the stop signal.

pub mod metrics;
pub mod rate_limit;
pub mod rate_sharing;
pub mod stop_signal;
