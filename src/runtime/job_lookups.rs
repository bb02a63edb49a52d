//! Asks the state service about jobs of which machines show tasks and that the leader does not know.
//!
//! The reads are linearizable and carry no assumption that the jobs were ever accepted. What could not be
//! asked is asked again; it is never told to the core as an answer.

use crate::api::status_queries;
use crate::core::model::{JobId, Term};
use crate::core::persistence::backoff::Backoff;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::net::store::{BudgetedReader, ReadPurpose};
use crate::runtime::events::Event;
use crate::runtime::node_view::RoleView;
use crate::runtime::service::Shared;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How often it is looked for jobs to ask about.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How long one lot of questions may take.
const CALL: Duration = Duration::from_millis(1500);

/// Asks until the service ends.
pub fn ask_about_unrecorded(shared: &Shared) {
    let mut backoff = Backoff::default();
    while !shared.stop.wait(LOOK_EVERY) {
        let (term, jobs) = {
            let view = shared.view.read();
            let RoleView::Leader(term) = view.role else {
                continue;
            };
            (term, view.unrecorded.clone())
        };
        let due = backoff.due(&jobs, Instant::now());
        if !due.is_empty() {
            ask(shared, term, &due);
        }
    }
}

fn ask(shared: &Shared, term: Term, jobs: &[JobId]) {
    for part in jobs.chunks(status_queries::most_at_once(shared)) {
        let asked: BTreeSet<JobId> = part.iter().cloned().collect();
        let until = Instant::now() + CALL;
        let records =
            BudgetedReader::new(&shared.store, &shared.stop, ReadPurpose::LeaderDuty, until);
        let (found, trouble) = job_status_reads::statuses(&records, &asked, &mut BTreeSet::new());
        if let Some(why) = trouble {
            log::info!("unknown jobs could not be asked about why=\"{why}\"");
        }
        let statuses: Vec<(JobId, JobRecordStatus)> = found.into_iter().collect();
        if !statuses.is_empty() {
            let _ = shared.events.send(Event::Standings(term, statuses));
        }
    }
}
