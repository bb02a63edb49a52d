//! What is known of many jobs at once, in as few questions to the state service as will do.
//!
//! A job that was accepted is live as long as its verdict's key is absent, and one whose two keys are
//! both absent was never accepted. A transaction without changes compares many such keys in one call,
//! so that the cost of questions follows the calls and not the questions. Only what has changed is
//! read, and what is final never changes again.

use crate::core::model::JobId;
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How a job stands. None: it was never accepted.
pub type JobRecordStatus = Option<JobOutcome>;

/// Verdicts in the order of their keys, and whether there are more.
pub type Page = (Vec<(String, JobOutcome)>, bool);

/// What is read of the state service. Every call sees at least all that was written before it.
pub trait Records {
    /// Why the state service could not be asked.
    type Error;
    /// The keys that do not have these stamps (0: absent). It may name only some of them.
    fn differing(&self, expected: &[KeyCondition]) -> Result<Vec<String>, Self::Error>;
    /// Those after this key.
    fn outcomes(&self, from: &str) -> Result<Page, Self::Error>;
    /// A job's verdict. None: it has none.
    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, Self::Error>;
}

/// Comparisons for one lot of questions. The first finds what has changed, the second settles the
/// rest; more are needed only where not all changed keys are named.
const COMPARISONS: usize = 5;
/// From so many verdicts on, a page of them is cheaper than one after the other.
const WORTH_A_PAGE: usize = 4;

/// How many jobs one comparison can carry: two keys for each.
pub fn most_at_once(conditions: usize, bytes: usize) -> usize {
    /// A key with its stamp in a transaction's text, for the longest ids.
    const BYTES: usize = 64;
    (conditions.min(bytes / BYTES) / 2).max(1)
}

/// How these jobs stand, those that could not be asked about left out. `accepted` tells of which it is
/// known that they were accepted; what is found out about that is added to it.
pub fn statuses<R: Records>(
    records: &R,
    asked: &BTreeSet<JobId>,
    accepted: &mut BTreeSet<JobId>,
) -> (HashMap<JobId, JobRecordStatus>, Option<R::Error>) {
    let mut found = HashMap::new();
    let mut open: BTreeSet<JobId> = asked.clone();
    // Their verdict's key exists.
    let mut over: BTreeMap<String, JobId> = BTreeMap::new();
    for _ in 0..COMPARISONS {
        if open.is_empty() {
            break;
        }
        let mut expected = Vec::with_capacity(open.len() * 2);
        let mut keys: HashMap<String, (&JobId, bool)> = HashMap::new();
        for job_id in &open {
            keys.insert(outcome_key(job_id), (job_id, true));
            expected.push(KeyCondition::absent(outcome_key(job_id)));
            if !accepted.contains(job_id) {
                keys.insert(live_job_key(job_id), (job_id, false));
                expected.push(KeyCondition::absent(live_job_key(job_id)));
            }
        }
        let differing = match records.differing(&expected) {
            Ok(d) => d,
            Err(e) => return (found, Some(e)),
        };
        if differing.is_empty() {
            for job_id in std::mem::take(&mut open) {
                let live = accepted.contains(&job_id).then_some(JobOutcome::Live);
                found.insert(job_id, live);
            }
            break;
        }
        let mut ended = Vec::new();
        for key in differing {
            match keys.get(&key) {
                Some((job_id, true)) => ended.push((key, (*job_id).clone())),
                Some((job_id, false)) => {
                    accepted.insert((*job_id).clone());
                }
                None => {}
            }
        }
        for (key, job_id) in ended {
            open.remove(&job_id);
            over.insert(key, job_id);
        }
    }
    let mut rest: Vec<(String, JobId)> = over.into_iter().collect();
    while let Some((first, _)) = rest.first() {
        if rest.len() >= WORTH_A_PAGE {
            // Just before the first of them: a shorter key goes before those that it begins.
            let mut from = first.clone();
            from.pop();
            let (page, more) = match records.outcomes(&from) {
                Ok(p) => p,
                Err(e) => return (found, Some(e)),
            };
            let last = page.last().map(|p| p.0.clone());
            let said: HashMap<String, JobOutcome> = page.into_iter().collect();
            let before = rest.len();
            rest.retain(|(key, job_id)| {
                let covered = !more || last.as_ref().is_some_and(|l| key <= l);
                if let Some(v) = said.get(key) {
                    found.insert(job_id.clone(), Some(*v));
                }
                !covered
            });
            if before - rest.len() >= WORTH_A_PAGE {
                continue;
            }
        }
        // Few are left, or they lie far apart.
        let Some((key, job_id)) = rest.first().cloned() else {
            break;
        };
        match records.outcome(&key) {
            Ok(v) => {
                if let Some(v) = v {
                    found.insert(job_id, Some(v));
                }
            }
            Err(e) => return (found, Some(e)),
        }
        rest.remove(0);
    }
    (found, None)
}
