//! The leader election, and what a leader must know before it renews leases.

pub mod cancellation_watermark;
pub mod election;
pub mod leadership_status;
