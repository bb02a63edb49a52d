//! Lookup of the statuses of many jobs with as few calls to the key-value store as possible.
//!
//! An accepted job is live while the key of its outcome is absent. A job was never accepted if its key in the
//! index of live jobs is absent as well. A transaction without changes compares many such keys in one call,
//! so the cost depends on the number of calls and not on the number of jobs. Then only the outcomes that
//! exist are read, and a terminal outcome never changes.
//!
//! Invariant: a job whose status could not be read is left out of the result; no status is guessed.

use crate::core::model::JobId;
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The status of a job according to its records in the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecordStatus {
    /// The job has neither an outcome nor a key in the index of live jobs.
    NeverAccepted,
    /// The job was accepted. The outcome tells whether it is live.
    Accepted(JobOutcome),
}

impl JobRecordStatus {
    /// The outcome of an accepted job, which is [`JobOutcome::Live`] until the job ends. `None` if the job
    /// was never accepted.
    pub fn outcome(self) -> Option<JobOutcome> {
        match self {
            JobRecordStatus::NeverAccepted => None,
            JobRecordStatus::Accepted(outcome) => Some(outcome),
        }
    }
}

/// A stored outcome with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeEntry {
    /// The full key, including its prefix.
    pub key: String,
    /// The outcome stored under the key.
    pub outcome: JobOutcome,
}

/// A page of consecutive outcomes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomePage {
    /// The outcomes, ordered by key.
    pub entries: Vec<OutcomeEntry>,
    /// Whether more outcomes follow this page.
    pub has_next: bool,
}

/// Reads the records of jobs. Each read sees at least all writes that completed before it started.
pub trait JobRecordReader {
    /// The error of a read that failed because the store could not be read.
    type Error;
    /// Returns keys that do not meet their conditions. The list may be incomplete, but it is empty only if
    /// all conditions are met.
    fn mismatched_keys(&self, expected: &[KeyCondition]) -> Result<Vec<String>, Self::Error>;
    /// Returns the first page of the outcomes whose keys come after `key`, which need not exist.
    fn outcomes_after(&self, key: &str) -> Result<OutcomePage, Self::Error>;
    /// Returns the outcome stored under a key. None: the key is absent.
    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, Self::Error>;
}

/// The result of a lookup of statuses, which may be incomplete.
#[derive(Clone, Debug)]
pub struct StatusRead<E> {
    /// The statuses of the jobs that could be read.
    pub statuses: HashMap<JobId, JobRecordStatus>,
    /// The error that ended the lookup early. None: the lookup was complete.
    pub error: Option<E>,
}

/// The maximum number of comparisons for one set of jobs. The first comparison finds the keys that exist, and
/// the second settles the other jobs. More are needed only if the store does not report all mismatched keys.
const MAX_COMPARISONS: usize = 5;
/// The minimum number of outcomes for which reading a page is cheaper than reading each outcome in a call of
/// its own.
const MIN_OUTCOMES_FOR_PAGE: usize = 4;
/// The maximum number of conditions for a job in a comparison: its outcome key and its key in the index.
const CONDITIONS_PER_JOB: usize = 2;
/// An upper bound on the size of a condition in a transaction, with the longest possible job id.
const MAX_CONDITION_BYTES: usize = 64;

/// The maximum number of jobs in one comparison, at least 1, if a transaction may have `max_conditions`
/// conditions and `max_bytes` bytes.
pub fn max_jobs_per_comparison(max_conditions: usize, max_bytes: usize) -> usize {
    let conditions = max_conditions.min(max_bytes / MAX_CONDITION_BYTES);
    (conditions / CONDITIONS_PER_JOB).max(1)
}

/// Reads the statuses of jobs. `accepted` holds jobs that are known to have been accepted, which may need one
/// comparison fewer; jobs that turn out to have been accepted are added to it.
pub fn read_statuses<R: JobRecordReader>(
    reader: &R,
    job_ids: &BTreeSet<JobId>,
    accepted: &mut BTreeSet<JobId>,
) -> StatusRead<R::Error> {
    let mut read = StatusReader {
        reader,
        accepted,
        unsettled: job_ids.clone(),
        ended: BTreeMap::new(),
        statuses: HashMap::new(),
    };
    let error = read.run().err();
    StatusRead {
        statuses: read.statuses,
        error,
    }
}

/// A lookup of statuses in progress.
struct StatusReader<'a, R> {
    reader: &'a R,
    accepted: &'a mut BTreeSet<JobId>,
    /// The jobs for which it is not known yet whether an outcome exists.
    unsettled: BTreeSet<JobId>,
    /// The jobs with an outcome that is not read yet, by outcome key.
    ended: BTreeMap<String, JobId>,
    statuses: HashMap<JobId, JobRecordStatus>,
}

/// The kind of a compared key, with the job that it belongs to.
enum ExistingKey {
    Outcome(JobId),
    LiveJob(JobId),
}

impl<R: JobRecordReader> StatusReader<'_, R> {
    fn run(&mut self) -> Result<(), R::Error> {
        for _ in 0..MAX_COMPARISONS {
            if self.unsettled.is_empty() {
                break;
            }
            self.compare()?;
        }
        self.read_outcomes()
    }

    /// Compares the keys of all unsettled jobs in one call.
    fn compare(&mut self) -> Result<(), R::Error> {
        let mut expected = Vec::with_capacity(self.unsettled.len() * CONDITIONS_PER_JOB);
        let mut keys: HashMap<String, ExistingKey> = HashMap::new();
        for job_id in &self.unsettled {
            let outcome = outcome_key(job_id);
            expected.push(KeyCondition::absent(&outcome));
            keys.insert(outcome, ExistingKey::Outcome(job_id.clone()));
            if !self.accepted.contains(job_id) {
                let live = live_job_key(job_id);
                expected.push(KeyCondition::absent(&live));
                keys.insert(live, ExistingKey::LiveJob(job_id.clone()));
            }
        }
        let existing = self.reader.mismatched_keys(&expected)?;
        if existing.is_empty() {
            self.settle_without_outcome();
            return Ok(());
        }
        for key in existing {
            match keys.remove(&key) {
                Some(ExistingKey::Outcome(job_id)) => {
                    self.unsettled.remove(&job_id);
                    self.ended.insert(key, job_id);
                }
                Some(ExistingKey::LiveJob(job_id)) => {
                    self.accepted.insert(job_id);
                }
                None => {}
            }
        }
        Ok(())
    }

    /// Settles all unsettled jobs, because none of the compared keys exists: jobs that are known to have been
    /// accepted are live, and the others were never accepted.
    fn settle_without_outcome(&mut self) {
        for job_id in std::mem::take(&mut self.unsettled) {
            let status = if self.accepted.contains(&job_id) {
                JobRecordStatus::Accepted(JobOutcome::Live)
            } else {
                JobRecordStatus::NeverAccepted
            };
            self.statuses.insert(job_id, status);
        }
    }

    fn read_outcomes(&mut self) -> Result<(), R::Error> {
        while !self.ended.is_empty() {
            if self.ended.len() >= MIN_OUTCOMES_FOR_PAGE
                && self.read_page()? >= MIN_OUTCOMES_FOR_PAGE
            {
                continue;
            }
            // Few outcomes are left, or their keys are so far apart that a page covers few of them.
            self.read_first_outcome()?;
        }
        Ok(())
    }

    /// Reads the page of outcomes that starts at the first unread one. Returns the number of jobs whose
    /// outcome keys lie in the range that the page covers.
    fn read_page(&mut self) -> Result<usize, R::Error> {
        let Some(first) = self.ended.keys().next() else {
            return Ok(0);
        };
        // A proper prefix of a key is ordered before that key, so the page includes the first outcome.
        let mut before_first = first.clone();
        before_first.pop();
        let page = self.reader.outcomes_after(&before_first)?;
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        let outcomes: HashMap<String, JobOutcome> = page
            .entries
            .into_iter()
            .map(|entry| (entry.key, entry.outcome))
            .collect();
        let ended_before = self.ended.len();
        let statuses = &mut self.statuses;
        self.ended.retain(|key, job_id| {
            if let Some(outcome) = outcomes.get(key) {
                statuses.insert(job_id.clone(), JobRecordStatus::Accepted(*outcome));
            }
            let is_covered = !page.has_next || last_key.as_ref().is_some_and(|last| key <= last);
            !is_covered
        });
        Ok(ended_before - self.ended.len())
    }

    fn read_first_outcome(&mut self) -> Result<(), R::Error> {
        let Some((key, job_id)) = self.ended.first_key_value() else {
            return Ok(());
        };
        let (key, job_id) = (key.clone(), job_id.clone());
        if let Some(outcome) = self.reader.outcome(&key)? {
            let status = JobRecordStatus::Accepted(outcome);
            self.statuses.insert(job_id, status);
        }
        self.ended.remove(&key);
        Ok(())
    }
}
