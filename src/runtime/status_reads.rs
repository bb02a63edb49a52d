//! Reads of jobs' statuses for the leader: while it loads, and while it leads.
//!
//! The reads are linearizable. A status that could not be read is read again or left out; it is never
//! reported to the core as an answer.

use crate::common::stop_signal::StopSignal;
use crate::core::model::{JobId, Term};
use crate::core::persistence::backoff::Backoff;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use crate::runtime::context::NodeContext;
use crate::runtime::events::TermEvent;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How often it is checked for jobs without a record.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long reading the statuses of accepted jobs may take in all.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// Reads the statuses of jobs that are known to have been accepted, until all are read or the time is up.
///
/// A call whose answer is lost is made again, and what has been read is kept: with one long wait for each
/// answer a leader loaded for 100 s while a third of the answers were lost.
pub(super) fn read_accepted(
    context: &NodeContext,
    job_ids: &[JobId],
    stop: &StopSignal,
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut statuses = HashMap::new();
    let deadline = Instant::now() + READ_LIMIT;
    for chunk in job_ids.chunks(context.transaction_limits.status_reads()) {
        let mut left: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let mut accepted = left.clone();
        loop {
            let until = (Instant::now() + CALL_LIMIT).min(deadline);
            let reads = BudgetedReader::new(&context.store, stop, ReadPurpose::LeaderWork, until);
            let read = job_status_reads::read_statuses(&reads, &left, &mut accepted);
            left.retain(|job_id| !read.statuses.contains_key(job_id));
            statuses.extend(read.statuses);
            match read.error {
                None => break,
                Some(e) if Instant::now() + RETRY_PAUSE >= deadline || stop.wait(RETRY_PAUSE) => {
                    return Err(e)
                }
                Some(_) => {}
            }
        }
    }
    Ok(statuses)
}

/// Reads the statuses of jobs of which machines show tasks without a record, until the service ends.
/// Nothing is assumed of whether they were ever accepted.
pub(super) fn run_unrecorded(context: &NodeContext) {
    let mut backoff = Backoff::default();
    while !context.stop.wait(CHECK_INTERVAL) {
        let (term, unrecorded) = {
            let state = context.view.read();
            let Some(term) = state.leading_term() else {
                continue;
            };
            (term, state.unrecorded.clone())
        };
        let due = backoff.due(&unrecorded, Instant::now());
        if !due.is_empty() {
            read_unrecorded(context, term, &due);
        }
    }
}

fn read_unrecorded(context: &NodeContext, term: Term, job_ids: &[JobId]) {
    for chunk in job_ids.chunks(context.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let until = Instant::now() + CALL_LIMIT;
        let reads = BudgetedReader::new(
            &context.store,
            &context.stop,
            ReadPurpose::LeaderWork,
            until,
        );
        let read = job_status_reads::read_statuses(&reads, &chunk, &mut BTreeSet::new());
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
