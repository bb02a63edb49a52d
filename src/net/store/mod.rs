//! Client of the consensus-backed key-value store, within the rates that are this node's part.
//!
//! Invariants: a transaction that may have been executed without an answer is reported as
//! [`StoreError::Unknown`], never as failed; each call takes its part of the rate before it is sent, and
//! is not sent without it.
//!
//! Here are single keys and transactions; leases, listings, watches and reads that wait for the rate are
//! in modules of their own.

use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::{KeyCondition, WriteBatch};
use crate::net::http_client::{HttpClient, HttpResponse};
use crate::net::wire::{
    GetResponse, Precondition, StoredOutcome, TransactionRequest, TransactionResponse,
};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

mod budget;
mod budgeted_reader;
mod error;
mod leases;
mod listing;
mod watch;

pub use crate::net::wire::{Change, ListEntry, StoredValue, WatchEvent, WatchResponse};
pub use budget::StoreBudget;
pub use budgeted_reader::{BudgetedReader, ReadPurpose};
pub use error::StoreError;
pub use listing::{ListOptions, Listing};

/// The result of a transaction that was answered.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// The changes were made.
    Applied {
        /// The revision that the written keys have got.
        revision: u64,
    },
    /// Conditions did not hold, and nothing was changed.
    Failed {
        /// Keys with other revisions; perhaps not all of them.
        keys: Vec<String>,
    },
}

/// The value of a key, as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry<T> {
    /// The value.
    pub value: T,
    /// The revision of the key's latest change.
    pub revision: u64,
}

/// Whether it is known that a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The job was accepted for certain.
    Known,
    /// The job may never have been accepted.
    Unknown,
}

/// A client of the key-value store.
#[derive(Clone)]
pub struct KvStore {
    client: HttpClient,
    budget: Arc<StoreBudget>,
}

impl KvStore {
    /// A store that is called through `client` within `budget`.
    pub fn new(client: HttpClient, budget: StoreBudget) -> KvStore {
        KvStore {
            client,
            budget: Arc::new(budget),
        }
    }

    /// Changes that the leader could make now.
    #[must_use]
    pub fn leader_changes_left(&self) -> usize {
        self.budget.leader_changes_left(Instant::now())
    }

    /// The rates that are this node's part.
    pub fn budget(&self) -> &StoreBudget {
        &self.budget
    }

    /// Reads a key. None: it is absent.
    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        class: RequestClass,
        timeout: Duration,
    ) -> Result<Option<Entry<T>>, StoreError> {
        self.take_budget(class, 0)?;
        self.get_unbudgeted(key, timeout)
    }

    /// A compare-and-swap transaction: the changes are made if each key has its revision (0: absent).
    pub fn transaction(
        &self,
        preconditions: &[KeyCondition],
        changes: Vec<Change<'_>>,
        class: RequestClass,
        timeout: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        self.take_budget(class, changes.len())?;
        self.transaction_unbudgeted(preconditions, changes, timeout)
    }

    /// A user's transaction that leaves `reserved_share`, a part of the rate, to others.
    pub fn transaction_with_reserve(
        &self,
        reserved_share: f64,
        preconditions: &[KeyCondition],
        changes: Vec<Change<'_>>,
        timeout: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let (class, count) = (RequestClass::User, changes.len());
        if !self
            .budget
            .try_take_above_reserve(class, count, reserved_share, Instant::now())
        {
            return Err(StoreError::RateLimited);
        }
        self.transaction_unbudgeted(preconditions, changes, timeout)
    }

    /// Carries out a transaction of the leader.
    pub fn commit(
        &self,
        batch: &WriteBatch,
        timeout: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let changes = batch.ops.iter().map(Change::from).collect();
        self.transaction(&batch.conditions, changes, RequestClass::Leader, timeout)
    }

    /// A job's outcome with the revision of its key, 0 while it has none. None: the job was never
    /// accepted. The outcome's key outlives the job's: unless the acceptance is known, it is read first.
    pub fn job_outcome(
        &self,
        job_id: &JobId,
        acceptance: Acceptance,
        timeout: Duration,
    ) -> Result<Option<Entry<JobOutcome>>, StoreError> {
        let class = RequestClass::User;
        let accepted = acceptance == Acceptance::Known
            || self
                .get::<IgnoredAny>(&live_job_key(job_id), class, timeout)?
                .is_some();
        let Some(entry) = self.get::<StoredOutcome>(&outcome_key(job_id), class, timeout)? else {
            let live = Entry {
                value: JobOutcome::Live,
                revision: 0,
            };
            return Ok(accepted.then_some(live));
        };
        let value = JobOutcome::try_from(&entry.value).map_err(|_| StoreError::Unavailable)?;
        Ok(Some(Entry {
            value,
            revision: entry.revision,
        }))
    }

    fn take_budget(&self, class: RequestClass, changes: usize) -> Result<(), StoreError> {
        if self.budget.try_take(class, changes, Instant::now()) {
            Ok(())
        } else {
            Err(StoreError::RateLimited)
        }
    }

    /// One call. Answers that say that the request was not executed are errors.
    fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let response = self.client.call(method, path, body, timeout)?;
        match response.status {
            429 => {
                self.budget.record_refusal(Instant::now());
                Err(StoreError::RateLimited)
            }
            503 => Err(StoreError::Unavailable),
            _ => Ok(response),
        }
    }

    fn call_without_body(
        &self,
        method: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        self.call::<()>(method, path, None, timeout)
    }

    /// Reads a key for a caller that has taken its part of the rate.
    fn get_unbudgeted<T: DeserializeOwned>(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Entry<T>>, StoreError> {
        let response = self.call_without_body("GET", &format!("/store/{key}"), timeout)?;
        match response.status {
            200 => {
                let found: GetResponse<T> = response.decode().ok_or(StoreError::Unavailable)?;
                Ok(Some(Entry {
                    value: found.value,
                    revision: found.revision,
                }))
            }
            404 => Ok(None),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// A transaction for a caller that has taken its part of the rate.
    fn transaction_unbudgeted(
        &self,
        preconditions: &[KeyCondition],
        changes: Vec<Change<'_>>,
        timeout: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let preconditions = preconditions.iter();
        let request = TransactionRequest {
            preconditions: preconditions.map(Precondition::from).collect(),
            changes,
        };
        let response = self.call("POST", "/txn", Some(&request), timeout)?;
        transaction_outcome(&response)
    }
}

fn transaction_outcome(response: &HttpResponse) -> Result<TransactionOutcome, StoreError> {
    match response.status {
        200 => {
            let answer: TransactionResponse = response.decode().ok_or(StoreError::Unknown)?;
            let revision = answer.revision.ok_or(StoreError::Unknown)?;
            Ok(TransactionOutcome::Applied { revision })
        }
        409 => {
            let answer: TransactionResponse = response.decode().ok_or(StoreError::Unavailable)?;
            Ok(TransactionOutcome::Failed {
                keys: answer.failed_keys,
            })
        }
        400 => Err(StoreError::rejected_transaction(response)),
        _ => Err(StoreError::Unknown),
    }
}
