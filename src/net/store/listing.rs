//! Listings of the keys under a prefix, page by page.

use super::{KvStore, StoreError};
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::net::wire::{ListEntry, ListResponse};
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// Keys of a page, the most that the store gives.
pub(super) const PAGE_SIZE: usize = 1000;
/// Before a page that could not be read is asked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// All keys under a prefix.
#[derive(Debug)]
pub struct Listing<T> {
    /// The keys in their order.
    pub entries: Vec<ListEntry<T>>,
    /// The revision from which a watch misses nothing: that of the first page.
    pub revision: u64,
}

/// How a listing is read.
#[derive(Clone, Copy, Debug)]
pub struct ListOptions {
    /// Whose part of the rate the pages take.
    pub class: RequestClass,
    /// Time limit of the call for one page.
    pub page_timeout: Duration,
    /// How long pages that fail are asked for again.
    pub retry_for: Duration,
}

impl KvStore {
    /// All keys under a prefix.
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

    /// All keys under a prefix. Pages that fail are asked for again, so that a node that is busy or short
    /// of the rate does not read the earlier pages again and again. A watch from the first page's
    /// revision makes up for what changes meanwhile.
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
