//! Watches: reads the changes of all keys with a prefix by long polling.

use super::{KvStore, StoreError};
use crate::common::rate_limit::RequestClass;
use crate::net::wire::WatchResponse;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// How much longer than the requested wait the store's response may take.
const MAX_RESPONSE_DELAY: Duration = Duration::from_secs(3);

impl KvStore {
    /// Waits until keys with `prefix` have changed after `after_revision`, for `max_wait` at most. If nothing
    /// has changed, the response contains no events.
    pub fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after_revision: u64,
        max_wait: Duration,
    ) -> Result<WatchResponse<T>, StoreError> {
        self.take_budget(RequestClass::Leader, 0)?;
        let path = format!(
            "/follow?Under={prefix}&From={after_revision}&BlockMs={}",
            max_wait.as_millis()
        );
        let response = self.call_without_body("GET", &path, max_wait + MAX_RESPONSE_DELAY)?;
        match response.status {
            200 => response.decode().ok_or(StoreError::Unavailable),
            410 => Err(StoreError::RevisionTooOld),
            _ => Err(StoreError::Unavailable),
        }
    }
}
