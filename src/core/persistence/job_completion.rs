//! Completion of a job: the steps after its outcome is durable, and the removal of its keys.

use crate::core::model::JobId;
use crate::core::persistence::keys::{chunk_key, dependents_key, live_job_key};
use crate::core::state::ClusterState;
use crate::core::state::TaskChunk;
use std::time::{Duration, Instant};

impl ClusterState {
    /// Handles a job whose outcome `Done` is durable. The job is removed once all of its attempts are gone.
    pub(in crate::core) fn on_done_durable(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.done_durable = true;
        self.release_dependents(now, job_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        // The leader may learn of the outcome from a failed transaction that was to write intents. The
        // attempts of these intents are killed, so they are never launched.
        let planned = job.active.iter().filter(|(_, attempt)| !attempt.durable);
        let planned: Vec<u32> = planned.map(|(index, _)| *index).collect();
        for index in planned {
            self.kill(now, job_id, index, Duration::ZERO);
        }
        if self.jobs.get(job_id).is_some_and(|j| j.active.is_empty()) {
            self.drop_job(now, job_id);
        }
    }

    /// Removes a job from the cluster's state, and schedules the removal of its remaining keys.
    pub(in crate::core) fn drop_job(&mut self, now: Instant, job_id: &JobId) {
        if self.jobs.dependencies.take_listed(job_id) {
            self.writes.remove_later(dependents_key(job_id));
        }
        let Some(job) = self.jobs.remove(job_id) else {
            return;
        };
        self.writes.dirty_jobs.remove(job_id);
        if !job.is_cancelled() {
            self.writes.remove_later(live_job_key(job_id));
        }
        let stored = |chunk: &TaskChunk| chunk.revision > 0 || chunk.version > 0;
        for (index, _) in job.chunks.iter().filter(|(_, chunk)| stored(chunk)) {
            self.writes.remove_later(chunk_key(job_id, *index));
        }
        self.forget_failures_of(now, &job);
    }
}
