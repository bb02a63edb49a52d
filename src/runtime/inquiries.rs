//! Asks the state service about jobs of which machines show tasks and that the leader does not know.
//!
//! The reads are linearizable and carry no assumption that the jobs were ever accepted. What could not be
//! asked is asked again; it is never told to the core as an answer.

use super::events::Event;
use super::service::Shared;
use super::view::RoleView;
use crate::core::backoff::Backoff;
use crate::core::model::{Term, Uid};
use crate::core::status_reads::{self, Standing};
use crate::net::questions;
use crate::net::store::Asked;
use crate::runtime::budget::Rank;
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

fn ask(shared: &Shared, term: Term, jobs: &[Uid]) {
    for part in jobs.chunks(questions::most_at_once(shared)) {
        let asked: BTreeSet<Uid> = part.iter().cloned().collect();
        let until = Instant::now() + CALL;
        let records = Asked::new(&shared.store, &shared.stop, Rank::Leader, until);
        let (found, trouble) = status_reads::standings(&records, &asked, &mut BTreeSet::new());
        if let Some(why) = trouble {
            log::info!("unknown jobs could not be asked about why=\"{why}\"");
        }
        let standings: Vec<(Uid, Standing)> = found.into_iter().collect();
        if !standings.is_empty() {
            let _ = shared.events.send(Event::Standings(term, standings));
        }
    }
}
