//! Listing of all keys with a prefix, page by page.

use super::{KvStore, StoreError};
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::net::wire::{ListEntry, ListResponse};
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// The number of keys requested per page, which is the store's maximum.
pub(super) const PAGE_SIZE: usize = 1000;
/// The pause before a page that could not be read is requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// All keys with a prefix, and their values.
#[derive(Debug)]
pub struct Listing<T> {
    /// The keys and values, in the order of the keys.
    pub entries: Vec<ListEntry<T>>,
    /// The store's revision when the first page was read. A watch that starts there misses no change.
    pub revision: u64,
}

/// Options for listing keys.
#[derive(Clone, Copy, Debug)]
pub struct ListOptions {
    /// The class whose rate limit applies to the requests for pages.
    pub class: RequestClass,
    /// The time limit of the request for one page.
    pub page_timeout: Duration,
    /// The time from the start of the listing within which failed pages are requested again.
    pub retry_for: Duration,
}

impl KvStore {
    /// Lists all keys with a prefix. `timeout` limits both each request and the time for retries.
    pub fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
        class: RequestClass,
        timeout: Duration,
    ) -> Result<Listing<T>, StoreError> {
        let options = ListOptions {
            class,
            page_timeout: timeout,
            retry_for: timeout,
        };
        self.list_with_retries(prefix, options, &StopSignal::new())
    }

    /// Lists all keys with a prefix. A failed page is requested again, so that a node that is busy or at its
    /// rate limit does not have to start over with the first page each time. Pages may be from different
    /// revisions; a watch from the first page's revision shows the changes made in the meantime.
    pub fn list_with_retries<T: DeserializeOwned>(
        &self,
        prefix: &str,
        options: ListOptions,
        stop: &StopSignal,
    ) -> Result<Listing<T>, StoreError> {
        let deadline = Instant::now() + options.retry_for;
        let mut entries: Vec<ListEntry<T>> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = entries.last().map(|e| e.key.as_str());
            match self.list_page::<T>(prefix, after, options) {
                Ok(page) => {
                    let revision = *first_revision.get_or_insert(page.revision);
                    let last_page = !page.has_next || page.entries.is_empty();
                    entries.extend(page.entries);
                    if last_page {
                        return Ok(Listing { entries, revision });
                    }
                }
                Err(StoreError::Unreadable) => return Err(StoreError::Unreadable),
                Err(e) => {
                    if Instant::now() + RETRY_INTERVAL >= deadline || stop.wait(RETRY_INTERVAL) {
                        return Err(e);
                    }
                }
            }
        }
    }

    fn list_page<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: Option<&str>,
        options: ListOptions,
    ) -> Result<ListResponse<T>, StoreError> {
        self.take_budget(options.class, 0)?;
        let mut path = format!("/store?Under={prefix}&Most={PAGE_SIZE}");
        if let Some(key) = after {
            path.push_str(&format!("&From={key}"));
        }
        let response = self.call_without_body("GET", &path, options.page_timeout)?;
        if response.status != 200 {
            return Err(StoreError::Unavailable);
        }
        response.decode().ok_or(StoreError::Unreadable)
    }
}
