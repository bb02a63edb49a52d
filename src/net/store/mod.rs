//! Client of the consensus-backed key-value store. It keeps to this node's share of the store's rates.
//!
//! Invariants: a transaction that received no response but may have been executed is reported as
//! [`StoreError::Unknown`], never as failed. A call is sent only after it was admitted by the rate limit.
//!
//! This module contains reads of single keys and transactions. Leases, listings, watches and reads that wait
//! for the rate limit have modules of their own.

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

/// The result of a transaction to which the store responded.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// All conditions held, and the changes were made.
    Applied {
        /// The new revision of the written keys.
        revision: u64,
    },
    /// At least one condition did not hold, and nothing was changed.
    Failed {
        /// Keys whose revisions differ from their conditions. The list may be incomplete.
        keys: Vec<String>,
    },
}

/// A key's value and revision at the time of a read.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry<T> {
    /// The decoded value.
    pub value: T,
    /// The revision of the key's latest change.
    pub revision: u64,
}

/// Whether the caller knows that a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The job was certainly accepted.
    Known,
    /// The job may never have been accepted.
    Unknown,
}

/// A client of the key-value store. Its clones share the connection pool and the rate limits.
#[derive(Clone)]
pub struct KvStore {
    client: HttpClient,
    budget: Arc<StoreBudget>,
}

impl KvStore {
    /// Creates a client that sends its requests through `client` and keeps to the limits of `budget`.
    pub fn new(client: HttpClient, budget: StoreBudget) -> KvStore {
        KvStore {
            client,
            budget: Arc::new(budget),
        }
    }

    /// The number of changes that the leader can make now without exceeding its rate limit.
    #[must_use]
    pub fn leader_changes_left(&self) -> usize {
        self.budget.leader_changes_left(Instant::now())
    }

    /// This node's rate limits.
    pub fn budget(&self) -> &StoreBudget {
        &self.budget
    }

    /// Reads a key on behalf of `class`. None: the key is absent.
    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        class: RequestClass,
        timeout: Duration,
    ) -> Result<Option<Entry<T>>, StoreError> {
        self.take_budget(class, 0)?;
        self.get_unbudgeted(key, timeout)
    }

    /// Executes a compare-and-swap transaction: either all changes are made or none. They are made if every
    /// key in `preconditions` has the expected revision, where 0 stands for an absent key.
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

    /// Executes a user's transaction if it leaves `reserved_share`, a fraction from 0 to 1 of this node's
    /// bucket of changes for users, to other users.
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

    /// Executes a transaction of the leader.
    pub fn commit(
        &self,
        batch: &WriteBatch,
        timeout: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let changes = batch.ops.iter().map(Change::from).collect();
        self.transaction(&batch.conditions, changes, RequestClass::Leader, timeout)
    }

    /// Reads a job's outcome and the revision of the outcome's key, which is 0 while the job is live. None:
    /// the job was never accepted. Unless the acceptance is known, the job's key in the index of live jobs is
    /// read first: that key is removed only after the outcome was written, so a job that ends between the two
    /// reads is still found.
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

    /// Sends a request that the rate limit has admitted. Responses with status 429 or 503, after which the
    /// request was not executed, are errors.
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

    /// Reads a key. The caller has already taken the request from the budget.
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

    /// Executes a transaction. The caller has already taken the request and its changes from the budget.
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
