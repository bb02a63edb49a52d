//! Warnings about settings with which the node runs, but cannot guarantee all time limits.

use super::Settings;
use crate::core::leadership::cancellation_watermark::{self, WatermarkBound};

impl Settings {
    /// A text for each setting that prevents a guarantee. Empty: all time limits can be guaranteed.
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
            "deployment.workers.cancel_s: {:.1} is too close to lease_s, {:.1}: the tasks of a \
             cancelled job may run {:.1} s longer than cancel_s if their leader has lost the state \
             service and its peers",
            cancel.as_secs_f64(),
            lease.as_secs_f64(),
            overshoot.as_secs_f64()
        ))
    }
}
