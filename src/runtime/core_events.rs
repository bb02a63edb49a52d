//! Applies events to the leader's cluster state.

use crate::core::model::Heartbeat;
use crate::core::persistence::write_batch::LeaderKeyStatus;
use crate::core::state::{CancelSource, ClusterState, HeartbeatDecision};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::{AcceptedJob, HeartbeatReply, ReturnOutcome, TermEvent};
use crossbeam::channel::Sender;
use std::time::Instant;

/// The replies of a node that has no cluster state, one for each heartbeat.
pub(super) fn refuse_heartbeats(heartbeats: &[Heartbeat]) -> Vec<HeartbeatReply> {
    let refusal = |_| HeartbeatReply::NotLeader;
    heartbeats.iter().map(refusal).collect()
}

/// Applies heartbeats to the cluster state, and returns the replies in the order of the heartbeats.
pub(super) fn answer_heartbeats(
    cluster: &mut ClusterState,
    heartbeats: Vec<Heartbeat>,
    now: Instant,
    elector_events: &Sender<ElectorEvent>,
) -> Vec<HeartbeatReply> {
    let answer = |heartbeat| match cluster.on_heartbeat(now, heartbeat) {
        HeartbeatDecision::Accept { token, commands } => HeartbeatReply::Accept { token, commands },
        HeartbeatDecision::Ignore | HeartbeatDecision::Withheld => HeartbeatReply::NotLeader,
        HeartbeatDecision::Superseded(term) => {
            // This must not block, because the elector may be waiting for the core loop. If the channel is
            // full, a later heartbeat reports the term again.
            let _ = elector_events.try_send(ElectorEvent::TermSeen(term));
            HeartbeatReply::NotLeader
        }
    };
    heartbeats.into_iter().map(answer).collect()
}

/// Applies an event of the term in which this node leads.
pub(super) fn apply(
    cluster: &mut ClusterState,
    event: TermEvent,
    now: Instant,
    elector_events: &Sender<ElectorEvent>,
) {
    match event {
        TermEvent::JobAccepted(AcceptedJob { spec, revision }) => cluster.on_job(*spec, revision),
        TermEvent::CancelledJobAccepted(AcceptedJob { spec, revision }) => {
            let job_id = spec.job_id.clone();
            cluster.on_job(*spec, revision);
            cluster.on_cancelled(now, &job_id, CancelSource::JobOutcome);
        }
        TermEvent::CancelMarkRead(job_id) => cluster.on_cancel_marked(now, &job_id),
        TermEvent::TransactionEnded(outcome) => {
            if cluster.on_write_outcome(now, outcome) == LeaderKeyStatus::Lost {
                log::warn!("superseded by a newer leader term={}", cluster.term.0);
                let _ = elector_events.try_send(ElectorEvent::LeaderKey(None));
            }
        }
        TermEvent::CommandSent { machine, heartbeat } => {
            if let Some(higher) = cluster.on_command_response(now, &machine, heartbeat) {
                let _ = elector_events.try_send(ElectorEvent::TermSeen(higher));
            }
        }
        TermEvent::RentalEnded {
            idempotency_key,
            outcome,
        } => cluster.on_rental_result(now, &idempotency_key, outcome),
        TermEvent::ReturnEnded { machines, outcome } => match outcome {
            ReturnOutcome::Returned => cluster.on_returned(now, &machines),
            ReturnOutcome::Failed => cluster.on_return_failed(&machines),
        },
        TermEvent::CloudListed(machines) => cluster.on_machine_list(now, &machines),
        TermEvent::DependenciesEnded(outcomes) => {
            for (job_id, outcome) in outcomes {
                cluster.on_past_outcome(now, &job_id, outcome);
            }
        }
        TermEvent::StatusesRead(statuses) => cluster.on_job_statuses(now, &statuses),
        TermEvent::DependentsListsFound(job_ids) => {
            for job_id in &job_ids {
                cluster.load_dependents_list(job_id);
            }
        }
        TermEvent::CancellationsRead { requested_at } => {
            cluster.leadership.on_cancellations_read(requested_at);
        }
        TermEvent::PeerCancellations { job_ids, coverage } => {
            for job_id in &job_ids {
                cluster.on_cancelled(now, job_id, CancelSource::Peer);
            }
            if let Some(coverage) = coverage {
                let report = coverage.report;
                cluster
                    .leadership
                    .on_cancellations_reported(&coverage.peer, report);
            }
        }
    }
}
