//! Errors of calls to the key-value store. They differ in whether the call may have been executed.

use crate::net::http_client::{CallError, HttpResponse};
use crate::net::wire::ErrorResponse;

/// The store's error text for a transaction with a lease that does not exist or has ended.
const LEASE_NOT_FOUND_ERROR: &str = "no such lease";

/// Why a call to the key-value store returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store is unreachable, rejected the request, or sent a response that is not valid for it. A request
    /// that changes keys was not executed.
    #[error("key-value store unavailable")]
    Unavailable,
    /// The request was not executed, because of this node's rate limit or the store's own. This does not
    /// indicate that the store is unhealthy.
    #[error("key-value store rate limit exceeded")]
    RateLimited,
    /// No usable response arrived. The request may have been executed, or may be executed later.
    #[error("no response from the key-value store")]
    Unknown,
    /// The request was not executed because it is malformed or exceeds a limit. Repeating it unchanged fails
    /// again.
    #[error("request rejected by the key-value store")]
    Rejected,
    /// The response cannot be decoded, for example because a record has a form that this version does not
    /// know.
    #[error("unreadable record in the key-value store")]
    Unreadable,
    /// The lease has ended or was never granted.
    #[error("no such lease")]
    LeaseNotFound,
    /// The store no longer keeps the changes after the watch's revision. The keys must be listed again.
    #[error("watch revision too old")]
    RevisionTooOld,
}

impl StoreError {
    /// The error for a transaction that the store rejected with status 400.
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
