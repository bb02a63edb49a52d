//! Reads the statuses of jobs for the leader, both while it loads the cluster state and while it leads.
//!
//! The reads are linearizable. A status that could not be read is read again or left out, and the core is
//! never given an assumed status in its place.

use crate::common::stop_signal::StopSignal;
use crate::core::model::{JobId, Term};
use crate::core::persistence::backoff::Backoff;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use crate::runtime::context::NodeContext;
use crate::runtime::events::TermEvent;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Interval between checks for jobs without a record.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one attempt to read the statuses of a chunk of jobs.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed attempt is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time limit of reading the statuses of all accepted jobs, including repeated attempts.
const TOTAL_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads the statuses of jobs that are known to have been accepted. Returns an error if some could not be
/// read before the time limit or the stop signal.
///
/// Each attempt has a short time limit. A failed attempt is repeated, and the statuses already read are kept.
/// When each response had one long timeout instead, a leader needed 100 s to load the cluster state while a
/// third of the responses were lost.
pub(super) fn read_accepted_jobs(
    context: &NodeContext,
    job_ids: &[JobId],
    stop: &StopSignal,
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut statuses = HashMap::new();
    let deadline = Instant::now() + TOTAL_READ_TIMEOUT;
    for chunk in job_ids.chunks(context.transaction_limits.status_reads()) {
        let mut remaining: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let mut accepted = remaining.clone();
        loop {
            let call_deadline = (Instant::now() + CALL_TIMEOUT).min(deadline);
            let reader =
                BudgetedReader::new(&context.store, stop, ReadPurpose::LeaderWork, call_deadline);
            let read = job_status_reads::read_statuses(&reader, &remaining, &mut accepted);
            remaining.retain(|job_id| !read.statuses.contains_key(job_id));
            statuses.extend(read.statuses);
            match read.error {
                None => break,
                Some(e) if Instant::now() + RETRY_DELAY >= deadline || stop.wait(RETRY_DELAY) => {
                    return Err(e)
                }
                Some(_) => {}
            }
        }
    }
    Ok(statuses)
}

/// Looks up the statuses of jobs that have tasks on machines but no record known to the leader, until the
/// service stops. These jobs may never have been accepted.
pub(super) fn run_lookups(context: &NodeContext) {
    let mut backoff = Backoff::default();
    while !context.stop.wait(CHECK_INTERVAL) {
        let (term, unrecorded_jobs) = {
            let state = context.view.read();
            let Some(term) = state.leading_term() else {
                continue;
            };
            (term, state.unrecorded_jobs.clone())
        };
        let due = backoff.due(&unrecorded_jobs, Instant::now());
        if !due.is_empty() {
            read_unrecorded_jobs(context, term, &due);
        }
    }
}

fn read_unrecorded_jobs(context: &NodeContext, term: Term, job_ids: &[JobId]) {
    for chunk in job_ids.chunks(context.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let call_deadline = Instant::now() + CALL_TIMEOUT;
        let reader = BudgetedReader::new(
            &context.store,
            &context.stop,
            ReadPurpose::LeaderWork,
            call_deadline,
        );
        let read = job_status_reads::read_statuses(&reader, &chunk, &mut BTreeSet::new());
        if let Some(e) = read.error {
            log::info!("statuses of unrecorded jobs not read error=\"{e}\"");
        }
        let statuses: Vec<(JobId, JobRecordStatus)> = read.statuses.into_iter().collect();
        if !statuses.is_empty() {
            let event = TermEvent::StatusesRead(statuses);
            let _ = context.events.send(event.in_term(term));
        }
    }
}
