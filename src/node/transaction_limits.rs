//! What the key-value store accepts in one transaction.

use crate::core::persistence::job_status_reads;
use crate::net::wire;
use crate::settings::Settings;

/// A transaction may have this many conditions for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;

/// The limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Changes in a transaction.
    pub changes: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

impl From<&Settings> for TransactionLimits {
    fn from(settings: &Settings) -> TransactionLimits {
        TransactionLimits {
            changes: settings.config.txn_ops,
            value_bytes: settings.config.value_bytes,
        }
    }
}

impl TransactionLimits {
    /// Conditions in a transaction.
    pub fn conditions(&self) -> usize {
        self.changes * CONDITIONS_PER_CHANGE
    }

    /// The number of jobs whose status can be looked up by one call.
    pub fn status_reads(&self) -> usize {
        job_status_reads::max_jobs_per_comparison(self.conditions(), wire::MAX_BODY_BYTES)
    }
}
