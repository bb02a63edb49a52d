//! The cancellations that this incarnation of the node may confirm, in the order it learned of them.
//!
//! The leader reads the log of each of its peers by position, and so learns of cancellations that it
//! cannot read from the key-value store. A position means nothing to another incarnation, whose log
//! starts empty: a reader that asks for one learns so and counts nothing as covered.

use crate::core::model::JobId;
use crate::net::peer::CancellationPosition;
use std::collections::VecDeque;

/// Cancellations kept for readers. A reader that falls further behind starts at the end.
const MAX_ENTRIES: usize = 20_000;
/// Cancellations in one page.
const MAX_PAGE_ENTRIES: usize = 5_000;

/// A bounded log of cancelled jobs.
pub struct CancellationLog {
    incarnation: u64,
    /// The position of the oldest entry.
    first: u64,
    entries: VecDeque<JobId>,
}

/// One page of a node's log.
#[derive(Clone, Debug, PartialEq)]
pub struct CancellationsPage {
    /// The incarnation of the node whose log this is.
    pub incarnation: u64,
    /// The page continues from the position asked for, with nothing left out.
    pub continues: bool,
    /// The cancelled jobs.
    pub job_ids: Vec<JobId>,
    /// The position after this page.
    pub next: u64,
    /// The log holds more after this page.
    pub more: bool,
}

impl CancellationLog {
    /// An empty log of a new incarnation.
    pub(super) fn new() -> CancellationLog {
        CancellationLog {
            incarnation: rand::random(),
            first: 0,
            entries: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, job_id: JobId) {
        self.entries.push_back(job_id);
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// The page from a position. Without one, or with one that is not kept any
    /// more, it is empty and tells where a reader may begin.
    pub(super) fn page(&self, from: Option<CancellationPosition>) -> CancellationsPage {
        let end = self.first + self.entries.len() as u64;
        let from = from.filter(|position| {
            position.incarnation == self.incarnation
                && (self.first..=end).contains(&position.offset)
        });
        let start = from.map_or(end, |position| position.offset);
        let skipped = (start - self.first) as usize;
        let page = self.entries.iter().skip(skipped).take(MAX_PAGE_ENTRIES);
        let job_ids: Vec<JobId> = page.cloned().collect();
        let next = start + job_ids.len() as u64;
        CancellationsPage {
            incarnation: self.incarnation,
            continues: from.is_some(),
            job_ids,
            next,
            more: next < end,
        }
    }
}
