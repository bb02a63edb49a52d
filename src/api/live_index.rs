//! Finds the dependents of a job by reading the index of live jobs.
//!
//! The transaction that accepts a job writes its record to the index, and the record names the job's
//! dependencies. Once a job's outcome is durable, no further dependent of the job can be accepted as live. A
//! read of the index that begins after the outcome became durable therefore shows all live dependents of the
//! job.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::model::JobId;
use crate::core::persistence::keys::LIVE_JOB_PREFIX;
use crate::core::state::dependencies::DependentsIndex;
use crate::net::store::{KvStore, ListOptions, StoreError};
use serde::Deserialize;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The time limit of reading one page of the index.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// A page whose read failed is read again until this much time has passed since the read of the whole index
/// began.
const INDEX_READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// The part of a live job's record that names the job's dependencies.
#[derive(Deserialize)]
struct LiveJob {
    #[serde(default, rename = "needs")]
    dependencies: Vec<String>,
}

/// The latest read of the index. Concurrent callers wait for one read and share its result.
#[derive(Default)]
pub struct LiveIndex {
    last: Mutex<Option<IndexRead>>,
}

/// The dependents found by one read of the index.
struct IndexRead {
    started_at: Instant,
    dependents: Arc<DependentsIndex>,
}

impl LiveIndex {
    /// Returns the dependents of all live jobs, from a read that began at `min_read_start` or later. The
    /// cached read is reused if it meets this condition.
    pub(super) fn read_since(
        &self,
        store: &KvStore,
        stop: &StopSignal,
        min_read_start: Instant,
    ) -> Result<Arc<DependentsIndex>, StoreError> {
        let mut last = self.lock();
        if let Some(recent) = last
            .as_ref()
            .filter(|read| read.started_at >= min_read_start)
        {
            return Ok(recent.dependents.clone());
        }
        let started_at = Instant::now();
        let dependents = Arc::new(read_index(store, stop)?);
        *last = Some(IndexRead {
            started_at,
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

fn read_index(store: &KvStore, stop: &StopSignal) -> Result<DependentsIndex, StoreError> {
    let options = ListOptions {
        class: RequestClass::User,
        page_timeout: PAGE_TIMEOUT,
        retry_for: INDEX_READ_TIMEOUT,
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
