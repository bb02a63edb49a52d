//! Publishes the state of the leader's core to the other threads and to the log.

use crate::core::model::JobId;
use crate::core::state::{ClusterState, Job};
use crate::node::job_cache::TaskCounts;
use crate::node::view::NodeView;
use crate::runtime::context::NodeContext;
use std::collections::HashMap;

/// Value of `start_limit=` in the summary while starts are not limited.
const NO_START_LIMIT: f64 = -1.0;

/// Publishes the task counts of the live jobs whose counts changed since the previous publication.
#[derive(Default)]
pub(super) struct ProgressPublisher {
    published: HashMap<JobId, TaskCounts>,
}

impl ProgressPublisher {
    /// Discards the published counts at the start of a new term, so that all counts are published again.
    pub(super) fn clear(&mut self) {
        self.published.clear();
    }

    /// Publishes the changed counts in the node's view, for the API and for the reports to peers.
    pub(super) fn publish(&mut self, view: &NodeView, cluster: &ClusterState) {
        let mut changed = Vec::new();
        for job in cluster.jobs.values() {
            let job_id = &job.spec.job_id;
            let counts = TaskCounts {
                done: job.done_count,
                running: job.running_count(),
            };
            if self.published.get(job_id) != Some(&counts) {
                changed.push((job_id.clone(), counts));
            }
        }
        self.published
            .retain(|job_id, _| cluster.jobs.contains(job_id));
        let live_jobs = cluster.jobs.len();
        if changed.is_empty() && view.read().live_jobs == live_jobs {
            return;
        }
        self.published.extend(changed.iter().cloned());
        view.set_progress(live_jobs, changed);
    }
}

/// Logs the periodic summary of the cluster and of the latencies of this node's calls.
pub(super) fn log_summary(context: &NodeContext, cluster: &mut ClusterState) {
    let meters = &context.meters;
    for wait in cluster.start_waits.drain(..) {
        meters.starts.record(wait);
    }
    let queued: u32 = cluster.jobs.values().map(Job::waiting_count).sum();
    let active: usize = cluster.jobs.values().map(|job| job.active.len()).sum();
    let start_limit = cluster.start_limiter.limit();
    log::info!(
        "summary term={} jobs={} queued={queued} active={active} timer_lag_ms={} start_limit={} machines={} preemptions_without_start={} {} {} {} {}",
        cluster.term.0,
        cluster.jobs.len(),
        context.timer_lag.average().as_millis(),
        start_limit.map_or(NO_START_LIMIT, f64::round),
        cluster.fleet.machines.len(),
        cluster.nominations.without_start(),
        meters.starts.take_log_fields("starts"),
        meters.rounds.take_log_fields("rounds"),
        meters.store.take_log_fields("store_calls"),
        meters.cloud.take_log_fields("cloud_calls")
    );
}
