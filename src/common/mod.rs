//! Building blocks without knowledge of the domain: rate limits, latency metrics, the stop signal.

pub mod metrics;
pub mod rate_limit;
pub mod stop_signal;
