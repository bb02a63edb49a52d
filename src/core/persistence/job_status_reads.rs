//! The status of many jobs at once, in as few reads of the key-value store as possible.
//!
//! An accepted job is live as long as the key of its outcome is absent, and a job both of whose keys are
//! absent was never accepted. A transaction without changes compares many such keys in one call, so that
//! the cost follows the number of calls and not of jobs. Only what has changed is read, and what is final
//! never changes again.
//!
//! Invariant: a job whose status could not be read is left out of the result; no status is guessed.

use crate::core::model::JobId;
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The status of a job by its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecordStatus {
    /// Neither of its records exists.
    NeverAccepted,
    /// It was accepted, and is live or has ended.
    Accepted(JobOutcome),
}

impl JobRecordStatus {
    /// The state of the job. None: it was never accepted.
    pub fn outcome(self) -> Option<JobOutcome> {
        match self {
            JobRecordStatus::NeverAccepted => None,
            JobRecordStatus::Accepted(outcome) => Some(outcome),
        }
    }
}

/// An outcome and the key that it is stored under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeEntry {
    /// The key.
    pub key: String,
    /// The outcome.
    pub outcome: JobOutcome,
}

/// Consecutive outcomes, in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomePage {
    /// The outcomes.
    pub entries: Vec<OutcomeEntry>,
    /// Whether more follow.
    pub has_next: bool,
}

/// Reads of the records of jobs. Each sees at least all that was written before it began.
pub trait JobRecordReader {
    /// Why the store could not be read.
    type Error;
    /// The keys that do not meet their conditions. It may name only some of them, but names at least one
    /// if there are any.
    fn mismatched_keys(&self, expected: &[KeyCondition]) -> Result<Vec<String>, Self::Error>;
    /// The outcomes whose keys come after this one.
    fn outcomes_after(&self, key: &str) -> Result<OutcomePage, Self::Error>;
    /// The outcome under a key. None: there is none.
    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, Self::Error>;
}

/// Statuses that were read, and why others could not be.
#[derive(Clone, Debug)]
pub struct StatusRead<E> {
    /// The statuses of the jobs that could be read.
    pub statuses: HashMap<JobId, JobRecordStatus>,
    /// What kept the others from being read.
    pub error: Option<E>,
}

/// Comparisons for one set of jobs. The first finds what has changed, the second settles the rest; more are
/// needed only where not all changed keys are named.
const MAX_COMPARISONS: usize = 5;
/// From this many outcomes on, reading a page of them is cheaper than one after the other.
const MIN_OUTCOMES_FOR_PAGE: usize = 4;
/// Conditions in a comparison for each job.
const KEYS_PER_JOB: usize = 2;
/// An upper bound for the size of a condition in a transaction, for the longest ids.
const CONDITION_BYTES: usize = 64;

/// How many jobs one comparison can carry, for these limits of a transaction.
pub fn max_jobs_per_comparison(max_conditions: usize, max_bytes: usize) -> usize {
    let conditions = max_conditions.min(max_bytes / CONDITION_BYTES);
    (conditions / KEYS_PER_JOB).max(1)
}

/// Reads the status of jobs. `accepted`: those of which it is known that they were accepted; what is found
/// out about that is added to it.
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

/// A read of statuses that is under way.
struct StatusReader<'a, R> {
    reader: &'a R,
    accepted: &'a mut BTreeSet<JobId>,
    /// Jobs of which it is not known yet whether an outcome exists.
    unsettled: BTreeSet<JobId>,
    /// Jobs with an outcome that is still to be read, by its key.
    ended: BTreeMap<String, JobId>,
    statuses: HashMap<JobId, JobRecordStatus>,
}

/// What a key in a comparison says of its job when it exists.
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
        let mut expected = Vec::with_capacity(self.unsettled.len() * KEYS_PER_JOB);
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

    /// None of the compared keys exists: jobs that were accepted are live, the others never were accepted.
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
            // Few are left, or their keys lie far apart.
            self.read_first_outcome()?;
        }
        Ok(())
    }

    /// Reads the page that begins with the first outcome. Returns how many jobs it covered.
    fn read_page(&mut self) -> Result<usize, R::Error> {
        let Some(first) = self.ended.keys().next() else {
            return Ok(0);
        };
        // Just before the first of them: a shorter key goes before those that it begins.
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
