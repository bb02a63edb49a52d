//! Errors of calls to the key-value store, told apart by what is known of their execution.

use crate::net::http_client::{CallError, HttpResponse};
use crate::net::wire::ErrorResponse;

/// The store's error for a transaction that names a lease which has ended.
const LEASE_NOT_FOUND_ERROR: &str = "no such lease";

/// Why a call to the key-value store has no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Not executed: refused, or never sent.
    #[error("key-value store unavailable")]
    Unavailable,
    /// Not executed: the rate is used up for the moment. It says nothing of the store's health.
    #[error("key-value store rate used up")]
    RateLimited,
    /// May have been executed, or may yet be.
    #[error("no answer from the key-value store")]
    Unknown,
    /// Not executed, and never will be as it is: malformed or over a limit.
    #[error("request rejected by the key-value store")]
    Rejected,
    /// The answer has another form than was asked for.
    #[error("unreadable record in the key-value store")]
    Unreadable,
    /// The lease has ended, or never was granted.
    #[error("no such lease")]
    LeaseNotFound,
    /// Changes before the watch's revision are no longer kept: list again.
    #[error("watch revision too old")]
    RevisionTooOld,
}

impl StoreError {
    /// The error of a transaction that the store answered with 400.
    pub(super) fn rejected_transaction(response: &HttpResponse) -> StoreError {
        let error = response.decode::<ErrorResponse>().map(|p| p.error);
        if error.as_deref() == Some(LEASE_NOT_FOUND_ERROR) {
            return StoreError::LeaseNotFound;
        }
        log::warn!("key-value store rejected a transaction error={error:?}");
        StoreError::Rejected
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => StoreError::Unavailable,
            CallError::NoResponse => StoreError::Unknown,
        }
    }
}
