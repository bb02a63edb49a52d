//! How the leader learns of cancellations that other nodes confirmed.
//!
//! A cancellation is durable before it is exchanged here. The leader reads it from the key-value store;
//! this exchange covers a leader that has lost the store, and so would start or keep the job's tasks. It
//! goes two ways: a node that is about to confirm cancellations notifies the leader, and the leader reads
//! each peer's log of cancellations. A report counts as coverage only within one term, and only when the
//! log was read to its end.

use crate::api::context::CancellationNotifier;
use crate::core::leadership::cancellation_watermark::{CancellationReport, ClockReading};
use crate::core::model::{JobId, Term};
use crate::net::peer::{
    CancellationPosition, Peer, PeerRequest, PeerResponse, VERSION_WITH_CANCELLATIONS,
};
use crate::node::view::RoleView;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{CancellationCoverage, TermEvent};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a cancellation's confirmation waits for the leader's acknowledgement.
const NOTIFY_LIMIT: Duration = Duration::from_millis(500);
/// How long the leader waits for one page of a peer's log.
const PAGE_LIMIT: Duration = Duration::from_millis(1500);

/// Whether a node took cancellations on as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotificationOutcome {
    /// It leads, and its core will cancel the jobs.
    TakenOn,
    /// It does not lead, or its core is too busy.
    NotTaken,
}

impl NodeContext {
    /// Takes on jobs that a user is about to be told are cancelled, if this node leads.
    pub(super) fn take_on_cancellations(&self, job_ids: Vec<JobId>) -> NotificationOutcome {
        let Some(term) = self.view.read().serving_term() else {
            return NotificationOutcome::NotTaken;
        };
        let event = TermEvent::PeerCancellations {
            job_ids,
            coverage: None,
        };
        let sent = self
            .events
            .send_timeout(event.in_term(term), NOTIFY_LIMIT / 2);
        if sent.is_ok() {
            NotificationOutcome::TakenOn
        } else {
            NotificationOutcome::NotTaken
        }
    }

    /// The peer of this name, if it is live and supports the notification.
    fn notifiable_peer(&self, member: &str) -> Option<&Arc<Peer>> {
        let live = self.view.live_peers(Instant::now());
        self.peers.iter().find(|peer| {
            peer.member == member
                && peer.supports(VERSION_WITH_CANCELLATIONS)
                && live.iter().any(|live| live.member == member)
        })
    }
}

impl CancellationNotifier for NodeContext {
    fn notify_leader(&self, job_ids: &[JobId]) {
        let role = self.view.read().role.clone();
        let leader = match role {
            RoleView::Leader(_) => {
                self.take_on_cancellations(job_ids.to_vec());
                return;
            }
            RoleView::Follower(Some(leader)) => leader,
            RoleView::Follower(None) => return,
        };
        let Some(peer) = self.notifiable_peer(&leader) else {
            return;
        };
        let names = job_ids.iter().map(|job_id| job_id.0.clone()).collect();
        if let Err(e) = peer.call(&PeerRequest::Cancelled(names), NOTIFY_LIMIT) {
            let jobs = job_ids.len();
            log::debug!("leader not notified of cancellations jobs={jobs} error=\"{e}\"");
        }
    }
}

/// Reads one peer's log of cancellations while this node leads.
#[derive(Default)]
pub(super) struct CancellationReader {
    term: Option<Term>,
    /// Where to continue in the peer's log.
    position: Option<CancellationPosition>,
}

/// One page of a peer's log, as it was read.
struct ReadPage {
    job_ids: Vec<JobId>,
    report: CancellationReport,
    has_more: bool,
}

impl CancellationReader {
    /// Reads what the peer has added to its log, and passes it to the core.
    pub(super) fn read(&mut self, context: &NodeContext, peer: &Peer) {
        let term = context.view.read().serving_term();
        if term != self.term {
            // No report counts across a term.
            (self.term, self.position) = (term, None);
        }
        let Some(term) = term.filter(|_| peer.supports(VERSION_WITH_CANCELLATIONS)) else {
            return;
        };
        let mut has_more = true;
        while has_more && !context.stop.is_stopped() {
            let Some(page) = self.read_page(peer) else {
                return;
            };
            has_more = page.has_more;
            // What is reported in pages covers nothing before the last of them.
            let covers = !page.has_more || !page.report.is_continuous;
            let coverage = covers.then(|| CancellationCoverage {
                peer: peer.member.clone(),
                report: page.report,
            });
            let event = TermEvent::PeerCancellations {
                job_ids: page.job_ids,
                coverage,
            };
            if context.events.send(event.in_term(term)).is_err() {
                return;
            }
        }
    }

    fn read_page(&mut self, peer: &Peer) -> Option<ReadPage> {
        let requested_at = ClockReading::now();
        let request = PeerRequest::Cancellations {
            from: self.position,
        };
        let Ok(PeerResponse::Cancellations {
            incarnation,
            continues,
            job_ids,
            next,
            more,
        }) = peer.call(&request, PAGE_LIMIT)
        else {
            return None;
        };
        let report = CancellationReport {
            requested_at,
            received_at: ClockReading::now(),
            is_continuous: continues,
        };
        self.position = Some(CancellationPosition {
            incarnation,
            offset: next,
        });
        Some(ReadPage {
            job_ids: job_ids
                .iter()
                .filter_map(|name| JobId::parse(name))
                .collect(),
            report,
            has_more: more,
        })
    }
}
