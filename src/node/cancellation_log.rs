//! The log of the cancellations that this incarnation of the node may confirm, in the order in which the node
//! learned of them.
//!
//! The leader reads the log of each of its peers by position. In this way the leader learns of cancellations
//! while it cannot read them from the key-value store. A position is valid only for one incarnation of the
//! node, because the log of each incarnation starts empty. A reader with a position of another incarnation
//! receives a page that does not continue from this position, and must not assume that it knows all earlier
//! cancellations.

use crate::core::model::JobId;
use crate::net::peer::CancellationPosition;
use std::collections::VecDeque;

/// Maximum number of cancellations in the log. A reader that falls further behind than this continues at the
/// end of the log.
const MAX_ENTRIES: usize = 20_000;
/// Maximum number of cancellations in one page.
const MAX_PAGE_ENTRIES: usize = 5_000;

/// A bounded log of cancelled jobs.
pub struct CancellationLog {
    /// A random number that identifies this process.
    incarnation: u64,
    /// The offset of the oldest entry in the log, which equals the number of entries that were dropped so
    /// far.
    first: u64,
    entries: VecDeque<JobId>,
}

/// One page of a node's cancellation log.
#[derive(Clone, Debug, PartialEq)]
pub struct CancellationsPage {
    /// The incarnation of the node that owns the log.
    pub incarnation: u64,
    /// Whether the page continues from the requested position without a gap.
    pub continues: bool,
    /// The cancelled jobs, in the order in which the node learned of them.
    pub job_ids: Vec<JobId>,
    /// The offset of the first entry after this page, from which a reader continues.
    pub next: u64,
    /// Whether the log contains more entries after this page.
    pub more: bool,
}

impl CancellationLog {
    /// Creates an empty log with a new random incarnation.
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

    /// Returns the page that starts at a position. Without a position, or if the position is not in this log,
    /// the page is empty and its `next` is the end of the log, from which a reader may start.
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
