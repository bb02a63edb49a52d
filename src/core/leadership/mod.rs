//! Who leads, and up to when all confirmed cancellations are known.

pub mod cancellation_watermark;
pub mod election;
pub mod leadership_status;
