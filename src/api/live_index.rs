//! Reading the index of live jobs for the dependents of a job.
//!
//! A job's record in the index names its dependencies, and it is written by the transaction that
//! accepts the job. So a read of the index that begins after a job's outcome is durable shows every
//! dependent that was accepted before: none can be accepted after.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::model::JobId;
use crate::core::persistence::keys::LIVE_JOB_PREFIX;
use crate::core::state::dependencies::DependentsIndex;
use crate::net::store::{KvStore, ListOptions, StoreError};
use serde::Deserialize;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long one page of the index may take.
const PAGE_LIMIT: Duration = Duration::from_millis(800);
/// How long all pages together may take.
const READ_LIMIT: Duration = Duration::from_millis(1000);

/// What is needed of a live job's record.
#[derive(Deserialize)]
struct LiveJob {
    #[serde(default, rename = "needs")]
    dependencies: Vec<String>,
}

/// The last read of the index. Those who wait for one share it.
#[derive(Default)]
pub struct LiveIndex {
    last: Mutex<Option<IndexRead>>,
}

struct IndexRead {
    begun: Instant,
    dependents: Arc<DependentsIndex>,
}

impl LiveIndex {
    /// The dependents of all live jobs, from a read that began no earlier than `since`.
    pub(super) fn read_since(
        &self,
        store: &KvStore,
        stop: &StopSignal,
        since: Instant,
    ) -> Result<Arc<DependentsIndex>, StoreError> {
        let mut last = self.lock();
        if let Some(recent) = last.as_ref().filter(|read| read.begun >= since) {
            return Ok(recent.dependents.clone());
        }
        let begun = Instant::now();
        let dependents = Arc::new(read(store, stop)?);
        *last = Some(IndexRead {
            begun,
            dependents: dependents.clone(),
        });
        Ok(dependents)
    }

    fn lock(&self) -> MutexGuard<'_, Option<IndexRead>> {
        self.last
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn read(store: &KvStore, stop: &StopSignal) -> Result<DependentsIndex, StoreError> {
    let options = ListOptions {
        class: RequestClass::User,
        page_timeout: PAGE_LIMIT,
        retry_for: READ_LIMIT,
    };
    let listing = store.list_with_retries::<LiveJob>(LIVE_JOB_PREFIX, options, stop)?;
    let jobs = listing.entries.into_iter().filter_map(|entry| {
        let job_id = entry
            .key
            .strip_prefix(LIVE_JOB_PREFIX)
            .and_then(JobId::parse)?;
        let dependencies = entry.value.dependencies.iter();
        let dependencies = dependencies.filter_map(|name| JobId::parse(name));
        Some((job_id, dependencies.collect()))
    });
    Ok(DependentsIndex::new(jobs))
}
