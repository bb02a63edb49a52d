//! Reads of the key-value store that wait for the rate limit until a deadline.

use super::listing::PAGE_SIZE;
use super::{Entry, KvStore, StoreError, TransactionOutcome};
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::persistence::job_status_reads::{JobRecordReader, OutcomeEntry, OutcomePage};
use crate::core::persistence::keys::OUTCOME_PREFIX;
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::wire::{ListEntry, ListResponse, StoredOutcome};
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The interval at which a waiting read checks again whether the rate limit admits it.
const RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// The purpose of a read, which determines the rate limit that applies to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPurpose {
    /// The leader's own work. It counts towards the leader's limit.
    LeaderWork,
    /// A user's status query. It leaves a share of the users' limit to submissions and cancellations.
    StatusQuery,
    /// A user's submission or cancellation. It may use up the users' limit.
    UserChange,
}

/// Reads the key-value store for one purpose, until a deadline.
pub struct BudgetedReader<'a> {
    store: &'a KvStore,
    stop: &'a StopSignal,
    purpose: ReadPurpose,
    deadline: Instant,
    /// Whether the next call's request has already been taken from the budget.
    budget_taken: Cell<bool>,
}

impl<'a> BudgetedReader<'a> {
    /// Creates a reader that gives up at `deadline` or when `stop` is signalled.
    pub fn new(
        store: &'a KvStore,
        stop: &'a StopSignal,
        purpose: ReadPurpose,
        deadline: Instant,
    ) -> BudgetedReader<'a> {
        BudgetedReader {
            store,
            stop,
            purpose,
            deadline,
            budget_taken: Cell::new(false),
        }
    }

    /// Reads a key. None: the key is absent.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Entry<T>>, StoreError> {
        self.take_budget()?;
        self.store.get_unbudgeted(key, self.timeout())
    }

    /// Waits until the rate limit admits the next call, so that the caller can add queries that arrive in the
    /// meantime to that call. False: the deadline has passed, or the service is stopping.
    pub fn wait_for_budget(&self) -> bool {
        while !self.budget_taken.get() {
            let now = Instant::now();
            let taken = self.try_take_budget(now);
            if !taken && (now >= self.deadline || self.stop.wait(RETRY_INTERVAL)) {
                return false;
            }
            self.budget_taken.set(taken);
        }
        true
    }

    fn try_take_budget(&self, now: Instant) -> bool {
        let budget = &self.store.budget;
        match self.purpose {
            ReadPurpose::LeaderWork => budget.try_take(RequestClass::Leader, 0, now),
            ReadPurpose::StatusQuery => budget.try_take_status_query(now),
            ReadPurpose::UserChange => budget.try_take(RequestClass::User, 0, now),
        }
    }

    fn take_budget(&self) -> Result<(), StoreError> {
        if self.wait_for_budget() {
            self.budget_taken.set(false);
            Ok(())
        } else {
            Err(StoreError::RateLimited)
        }
    }

    fn timeout(&self) -> Duration {
        self.deadline
            .saturating_duration_since(Instant::now())
            .max(RETRY_INTERVAL)
    }
}

impl JobRecordReader for BudgetedReader<'_> {
    type Error = StoreError;

    fn mismatched_keys(&self, expected: &[KeyCondition]) -> Result<Vec<String>, StoreError> {
        self.take_budget()?;
        let outcome = self
            .store
            .transaction_unbudgeted(expected, Vec::new(), self.timeout())?;
        match outcome {
            TransactionOutcome::Applied { .. } => Ok(Vec::new()),
            TransactionOutcome::Failed { keys } => Ok(keys),
        }
    }

    fn outcomes_after(&self, key: &str) -> Result<OutcomePage, StoreError> {
        self.take_budget()?;
        let path = format!("/store?Under={OUTCOME_PREFIX}&From={key}&Most={PAGE_SIZE}");
        let response = self.store.call_without_body("GET", &path, self.timeout())?;
        if response.status != 200 {
            return Err(StoreError::Unavailable);
        }
        let page: ListResponse<StoredOutcome> = response.decode().ok_or(StoreError::Unavailable)?;
        let outcome = |entry: ListEntry<StoredOutcome>| {
            let outcome = JobOutcome::try_from(&entry.value).ok()?;
            Some(OutcomeEntry {
                key: entry.key,
                outcome,
            })
        };
        let entries = page.entries.into_iter().filter_map(outcome).collect();
        Ok(OutcomePage {
            entries,
            has_next: page.has_next,
        })
    }

    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, StoreError> {
        let entry = self.get::<StoredOutcome>(key)?;
        Ok(entry.and_then(|e| JobOutcome::try_from(&e.value).ok()))
    }
}
