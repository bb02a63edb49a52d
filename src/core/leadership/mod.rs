//! Leader election, and the conditions under which a leader may renew the leases of machines.

pub mod cancellation_watermark;
pub mod election;
pub mod leadership_status;
