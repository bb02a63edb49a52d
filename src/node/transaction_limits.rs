//! The limits of the key-value store for one transaction.

use crate::core::persistence::job_status_reads;
use crate::net::wire;
use crate::settings::Settings;

/// The number of allowed conditions for each allowed change.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;

/// The limits of one transaction, derived from the platform's settings.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Maximum number of changes in a transaction.
    pub changes: usize,
    /// Maximum size of one value, in bytes.
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
    /// Maximum number of conditions in a transaction.
    pub fn conditions(&self) -> usize {
        self.changes * MAX_CONDITIONS_PER_CHANGE
    }

    /// Maximum number of jobs whose status can be read with one call. The size of the request limits this
    /// number, too.
    pub fn status_reads(&self) -> usize {
        job_status_reads::max_jobs_per_comparison(self.conditions(), wire::MAX_BODY_BYTES)
    }
}
