//! The exchange of cancellations between the nodes, from which the leader learns what other nodes confirmed.
//!
//! A cancellation is durable in the key-value store before the nodes exchange it. The leader normally reads
//! the cancellation from the store. This exchange is for a leader that cannot reach the store and would
//! otherwise start tasks of the job or keep them running. The exchange has two paths: a node that is about to
//! confirm cancellations notifies the leader, and the leader reads each peer's cancellation log. A report
//! proves that the leader knows all cancellations that the peer confirmed up to the time at which the report
//! was requested, but only within one term and only if the log was read to its end.

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

/// How long a node waits for the leader's acknowledgement before the node confirms a cancellation without the
/// acknowledgement.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of reading one page of a peer's cancellation log.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whether a node accepted cancellations as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotificationOutcome {
    /// The node leads, and its core will cancel the jobs.
    Accepted,
    /// The node does not lead in a loaded term, or the queue of its core stayed full.
    NotAccepted,
}

impl NodeContext {
    /// Passes cancelled jobs to this node's core, if this node leads. Their cancellation is about to be
    /// confirmed to a user.
    pub(super) fn accept_cancellations(&self, job_ids: Vec<JobId>) -> NotificationOutcome {
        let Some(term) = self.view.read().serving_term() else {
            return NotificationOutcome::NotAccepted;
        };
        let event = TermEvent::PeerCancellations {
            job_ids,
            coverage: None,
        };
        let sent = self
            .events
            .send_timeout(event.in_term(term), NOTIFY_TIMEOUT / 2);
        if sent.is_ok() {
            NotificationOutcome::Accepted
        } else {
            NotificationOutcome::NotAccepted
        }
    }

    /// The peer with this member name, if the peer is live and supports the notification of cancellations.
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
                self.accept_cancellations(job_ids.to_vec());
                return;
            }
            RoleView::Follower(Some(leader)) => leader,
            RoleView::Follower(None) => return,
        };
        let Some(peer) = self.notifiable_peer(&leader) else {
            return;
        };
        let ids = job_ids.iter().map(|job_id| job_id.0.clone()).collect();
        if let Err(e) = peer.call(&PeerRequest::Cancelled(ids), NOTIFY_TIMEOUT) {
            let jobs = job_ids.len();
            log::debug!("leader not notified of cancellations jobs={jobs} error=\"{e}\"");
        }
    }
}

/// Reads one peer's cancellation log while this node leads.
#[derive(Default)]
pub(super) struct CancellationReader {
    /// The term for which the log is being read.
    term: Option<Term>,
    /// Where to continue in the peer's log; `None` before the first read of a term.
    position: Option<CancellationPosition>,
}

/// One page of a peer's cancellation log.
struct ReadPage {
    job_ids: Vec<JobId>,
    report: CancellationReport,
    has_more: bool,
}

impl CancellationReader {
    /// Reads the new entries of the peer's cancellation log, page by page, and passes them to this node's
    /// core.
    pub(super) fn read(&mut self, context: &NodeContext, peer: &Peer) {
        let term = context.view.read().serving_term();
        if term != self.term {
            // Reports are valid only within one term, so a new term starts without a position.
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
            // If a report spans several pages, only its last page proves that all cancellations in the peer's
            // log have been read. A report that does not continue the previous one is passed on as well, so
            // that the core knows of the gap.
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
        }) = peer.call(&request, PAGE_TIMEOUT)
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
            job_ids: job_ids.iter().filter_map(|id| JobId::parse(id)).collect(),
            report,
            has_more: more,
        })
    }
}
