//! The periodic exchange of status between the nodes: their health, terms and load, and the jobs' progress.
//!
//! Each node sends a hello to each peer once a second, and the peer answers with its own hello. The leader
//! reports the progress of jobs to the followers, because any node may answer status queries. Progress is for
//! display only.

use crate::common::rate_sharing::ChangeRateDemand;
use crate::core::model::{JobId, Term};
use crate::net::peer::{Hello, HelloExtension, JobProgress, Peer, PeerRequest, PeerResponse};
use crate::node::job_cache::TaskCounts;
use crate::node::peer_table::PeerStatus;
use crate::node::view::RoleView;
use crate::runtime::cancellation_exchange::CancellationReader;
use crate::runtime::context::NodeContext;
use crate::runtime::elector::ElectorEvent;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Interval between hellos to a peer.
const HELLO_INTERVAL: Duration = Duration::from_millis(1000);
/// Timeout of a hello, including the peer's answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of jobs whose changed counts one hello reports. The changed counts of further jobs follow
/// with later hellos.
const MAX_PROGRESS_PER_HELLO: usize = 2000;

/// Changes in the progress of jobs that have to be reported to one peer.
#[derive(Clone, Default)]
struct ProgressUpdate {
    changed: Vec<JobProgress>,
    ended: Vec<String>,
}

/// The progress of live jobs that a peer has acknowledged.
#[derive(Default)]
struct AcknowledgedProgress {
    counts: HashMap<JobId, TaskCounts>,
}

impl AcknowledgedProgress {
    /// Returns the changes that the peer has not acknowledged yet. The update is empty if this node does not
    /// lead.
    fn pending_update(&mut self, context: &NodeContext) -> ProgressUpdate {
        let mut update = ProgressUpdate::default();
        let state = context.view.read();
        if state.leading_term().is_none() {
            self.counts.clear();
            return update;
        }
        let progress = state.jobs.progress();
        for (job_id, counts) in progress {
            if self.counts.get(job_id) != Some(counts)
                && update.changed.len() < MAX_PROGRESS_PER_HELLO
            {
                update.changed.push(JobProgress {
                    job_id: job_id.0.clone(),
                    done: counts.done,
                    running: counts.running,
                });
            }
        }
        let ended = self.counts.keys().filter(|id| !progress.contains_key(*id));
        update.ended = ended.map(|job_id| job_id.0.clone()).collect();
        update
    }

    /// Records that the peer has received this update.
    fn record_acknowledged(&mut self, update: ProgressUpdate) {
        self.counts.extend(task_counts(update.changed));
        for name in update.ended {
            self.counts.remove(&JobId(name));
        }
    }

    /// Discards the acknowledged progress, so that the progress of all jobs is reported to the peer again.
    /// The peer may have missed updates, or it may have lost them in a restart.
    fn clear(&mut self) {
        self.counts.clear();
    }
}

fn task_counts(changed: Vec<JobProgress>) -> impl Iterator<Item = (JobId, TaskCounts)> {
    changed.into_iter().map(|job| {
        let counts = TaskCounts {
            done: job.done,
            running: job.running,
        };
        (JobId(job.job_id), counts)
    })
}

/// Exchanges status with one peer until the service stops, and reads the peer's cancellation log while this
/// node leads.
pub(super) fn run(context: &NodeContext, peer: &Peer) {
    let mut acknowledged = AcknowledgedProgress::default();
    let mut cancellations = CancellationReader::default();
    while !context.stop.wait(HELLO_INTERVAL) {
        let update = acknowledged.pending_update(context);
        let request = PeerRequest::Hello(build_hello(context, update.clone()));
        match peer.call(&request, HELLO_TIMEOUT) {
            Ok(PeerResponse::Hello(answer)) => {
                record_hello(context, &answer);
                let extension = HelloExtension::decode(&answer.finished_jobs);
                peer.set_protocol_version(extension.protocol_version);
                if extension.store_rates_reduced {
                    context.store.budget().reduce_rates(Instant::now());
                }
                acknowledged.record_acknowledged(update);
            }
            Ok(_) => {}
            Err(_) => acknowledged.clear(),
        }
        cancellations.read(context, peer);
    }
}

/// Records a peer's hello, applies the progress in the hello if the peer leads and this node does not, and
/// returns this node's own hello as the answer.
pub(super) fn answer_hello(context: &NodeContext, received: Hello) -> Hello {
    record_hello(context, &received);
    let from_leader = received.leader_term.is_some();
    let leads_here = matches!(context.view.read().role, RoleView::Leader(_));
    if from_leader && !leads_here {
        let ended = received.finished_jobs.into_iter().map(JobId);
        context
            .view
            .apply_progress(task_counts(received.progress), ended);
    }
    let extension = HelloExtension::current(context.store.budget().rates_reduced());
    Hello {
        finished_jobs: extension.encode(),
        ..build_hello(context, ProgressUpdate::default())
    }
}

fn build_hello(context: &NodeContext, update: ProgressUpdate) -> Hello {
    let now = Instant::now();
    let (leader_term, highest_term) = {
        let state = context.view.read();
        (state.leading_term(), state.highest_term)
    };
    let demand = context.store.budget().demand();
    Hello {
        member: context.settings.member.clone(),
        leader_term: leader_term.map(|term| term.0),
        highest_term: highest_term.0,
        store_available: context.view.store_ok(now),
        worker_count: context.workers.count(now),
        user_changes_per_s: demand.users,
        leader_changes_per_s: demand.leader,
        timer_lag_ms: context.timer_lag.average().as_millis() as u32,
        progress: update.changed,
        finished_jobs: update.ended,
    }
}

fn record_hello(context: &NodeContext, hello: &Hello) {
    let status = PeerStatus {
        received_at: Instant::now(),
        store_ok: hello.store_available,
        workers: hello.worker_count,
        demand: ChangeRateDemand {
            users: hello.user_changes_per_s,
            leader: hello.leader_changes_per_s,
        },
        timer_lag: Duration::from_millis(hello.timer_lag_ms.into()),
    };
    context.view.record_peer(&hello.member, status);
    if let Some(term) = hello.leader_term.map(Term) {
        if term > context.view.read().highest_term {
            let _ = context.elector_events.send(ElectorEvent::TermSeen(term));
        }
    }
}
