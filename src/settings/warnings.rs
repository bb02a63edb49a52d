//! Settings that the node runs with, although it cannot keep all its limits with them.

use super::Settings;
use crate::core::leadership::cancellation_watermark::{self, WatermarkBound};

impl Settings {
    /// A text for each setting that the node runs with, but not without loss.
    #[must_use]
    pub fn warnings(&self) -> Vec<String> {
        self.cancellation_warning().into_iter().collect()
    }

    fn cancellation_warning(&self) -> Option<String> {
        let (lease, cancel) = (self.config.lease, self.config.cancel);
        if WatermarkBound::new(lease, cancel).ends_tasks_in_time {
            return None;
        }
        let overshoot = cancellation_watermark::overshoot(lease, cancel);
        Some(format!(
            "deployment.workers.cancel_s: {:.1} is so close to lease_s, {:.1}, that the tasks of a \
             cancelled job may outlast it by {:.1} s where their leader has lost the state service \
             and its peers",
            cancel.as_secs_f64(),
            lease.as_secs_f64(),
            overshoot.as_secs_f64()
        ))
    }
}
