//! Building blocks without knowledge of the domain: rate limits, meters, the stop signal.

pub mod metrics;
pub mod rate_limit;
pub mod rate_sharing;
pub mod stop_signal;
