//! Loading of the cluster's state from the key-value store at the beginning of a term.
//!
//! Invariants: every attempt that an intent names may be on its machine, and the attempt's resources count as
//! used until the attempt is proved gone. Cancellations are applied after the intents, so that no task of a
//! cancelled job is missed.

use crate::core::model::{
    AttemptId, JobId, JobKind, JobSpec, MachineId, MachineTypeName, TaskId, Zone,
};
use crate::core::persistence::keys;
use crate::core::persistence::records::{ChunkValue, Intent, JobOutcome};
use crate::core::reconciliation::stored_snapshot::{StoredJobChunk, StoredLiveJob, StoredSnapshot};
use crate::core::state::MachineIdentity;
use crate::core::state::{ActiveAttempt, CancelSource, ClusterState, Job, Machine};
use std::collections::HashMap;
use std::time::Instant;

/// The jobs in the index that have an outcome, but whose tasks may still be on machines.
#[derive(Default)]
struct EndedJobs {
    cancelled: Vec<JobId>,
    done_gangs: Vec<JobId>,
}

impl ClusterState {
    /// Loads the state that was read from the key-value store, and begins the takeover of the fleet.
    pub fn take_over(&mut self, now: Instant, snapshot: StoredSnapshot) {
        if let Some(history) = snapshot.history {
            self.history.load(&history);
        }
        for (job_id, outcome) in snapshot.dependency_outcomes {
            self.on_past_outcome(now, &job_id, outcome);
        }
        self.unreadable_records.load(
            snapshot.unreadable_jobs,
            snapshot.jobs_with_unreadable_chunks,
        );
        let ended = self.load_jobs(now, snapshot.jobs, &snapshot.outcomes);
        for job_id in &snapshot.jobs_with_dependents_list {
            self.load_dependents_list(job_id);
        }
        for chunk in Self::without_superseded_intents(snapshot.chunks) {
            self.load_chunk(now, &chunk.job_id, chunk.index, chunk.value, chunk.revision);
        }
        for job_id in &ended.done_gangs {
            self.on_done_durable(now, job_id);
        }
        for job_id in &snapshot.cancel_marks {
            self.on_cancelled(now, job_id, CancelSource::Load);
        }
        for job_id in &ended.cancelled {
            self.on_cancelled(now, job_id, CancelSource::JobOutcome);
        }
        self.takeover.begin();
    }

    /// Loads the index of live jobs. Returns the loaded jobs that have ended already.
    fn load_jobs(
        &mut self,
        now: Instant,
        jobs: Vec<StoredLiveJob>,
        outcomes: &HashMap<JobId, JobOutcome>,
    ) -> EndedJobs {
        let mut ended = EndedJobs::default();
        for StoredLiveJob { spec, revision } in jobs {
            if self.unreadable_records.contains(&spec.job_id) {
                continue;
            }
            match outcomes.get(&spec.job_id) {
                // A job array is done once the end of every task was reported, so none of its tasks is on a
                // machine. A gang is done when its first member completes, and the other members may still be
                // on their machines.
                Some(JobOutcome::Done) if spec.kind == JobKind::Gang => {
                    ended.done_gangs.push(spec.job_id.clone());
                    self.on_job(without_dependencies(spec), revision);
                }
                Some(JobOutcome::Done) => {
                    self.on_past_outcome(now, &spec.job_id, JobOutcome::Done);
                    self.writes.remove_later(keys::live_job_key(&spec.job_id));
                }
                Some(JobOutcome::Cancelled) => {
                    ended.cancelled.push(spec.job_id.clone());
                    self.on_job(spec, revision);
                }
                Some(JobOutcome::Live) | None => self.on_job(spec, revision),
            }
        }
        ended
    }

    /// Records that the key-value store holds a list of a job's dependents. The list's key is removed
    /// together with the job. If this leader does not know the job, the removal of the key is scheduled at
    /// once.
    pub fn load_dependents_list(&mut self, job_id: &JobId) {
        if self.jobs.contains(job_id) {
            self.jobs.dependencies.mark_listed(job_id);
            return;
        }
        let key = keys::dependents_key(job_id);
        if !self.writes.is_obsolete(&key) {
            self.writes.remove_later(key);
        }
    }

    /// Sorts the chunks by number, so that a job's overflow chunks follow the chunks that name the tasks that
    /// are done, and removes all but the newest of several attempts at a task. Only one record names a task
    /// as long as this version leads; an earlier version does not rewrite overflow chunks.
    fn without_superseded_intents(mut chunks: Vec<StoredJobChunk>) -> Vec<StoredJobChunk> {
        chunks.sort_by(|a, b| (&a.job_id, a.index).cmp(&(&b.job_id, b.index)));
        for job_chunks in chunks.chunk_by_mut(|a, b| a.job_id == b.job_id) {
            keep_newest_intents(job_chunks);
        }
        chunks
    }

    /// Loads a chunk of a job's tasks. Each attempt in the chunk counts as placed on its machine until it is
    /// proved gone, even if no heartbeat of the machine lists it.
    pub fn load_chunk(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        value: ChunkValue,
        revision: u64,
    ) {
        if self.unreadable_records.contains(job_id) {
            self.return_machines_of_unreadable(now, value);
            return;
        }
        let Some(job) = self.jobs.get_mut(job_id) else {
            self.writes.remove_later(keys::chunk_key(job_id, index));
            return;
        };
        let chunk = job.chunks.entry(index).or_default();
        chunk.revision = revision;
        chunk.done_bits = value.done;
        job.done_count += value.done.count_ones();
        let loaded = load_attempts(job, now, index, value.active);
        if job.is_complete() {
            self.writes.mark_dirty(job_id);
        }
        if job.done_count > 0 || !job.active.is_empty() {
            job.last_placed = now;
        }
        self.place_loaded(now, job_id, loaded);
    }

    /// Counts the loaded attempts as placed on their machines, and enters them into the takeover.
    fn place_loaded(&mut self, now: Instant, job_id: &JobId, loaded: Vec<Intent>) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let (resources, team) = (job.spec.resources, job.spec.team.clone());
        for intent in loaded {
            let task = TaskId {
                job_id: job_id.clone(),
                index: intent.task_index,
            };
            self.takeover
                .record(intent.machine.clone(), task.clone(), intent.attempt);
            self.quota_usage.add_attempt(task.clone(), &team, resources);
            let machine = self.loaded_machine(now, intent.machine);
            machine.placed_tasks.insert(task, resources);
            machine.used.add(&resources);
        }
    }

    /// The machine that a record names, which is added if it is unknown. The type and zone of an added
    /// machine are empty until its heartbeat or the cloud's list provides them.
    fn loaded_machine(&mut self, now: Instant, id: MachineId) -> &mut Machine {
        let term = self.term;
        self.fleet.machines.entry(id.clone()).or_insert_with(|| {
            let (unknown_type, zone) = (MachineTypeName(String::new()), Zone(String::new()));
            let identity = MachineIdentity {
                id,
                machine_type: unknown_type,
                zone,
                spot: false,
            };
            Machine::new(identity, term, now)
        })
    }

    /// Returns the machines that a readable chunk of a job with unreadable records names. The cloud's
    /// confirmation of the return proves that the job's tasks on them are gone.
    fn return_machines_of_unreadable(&mut self, now: Instant, value: ChunkValue) {
        for intent in value.active {
            self.unreadable_records.add_machine(intent.machine.clone());
            self.loaded_machine(now, intent.machine).returning = true;
        }
    }
}

/// Keeps, of several intents for the same task, the one with the highest attempt id, and of equal ones the
/// first.
fn keep_newest_intents(job_chunks: &mut [StoredJobChunk]) {
    let mut newest: HashMap<u32, (AttemptId, u32)> = HashMap::new();
    for chunk in job_chunks.iter() {
        for intent in &chunk.value.active {
            let record = newest
                .entry(intent.task_index)
                .or_insert((intent.attempt, chunk.index));
            if record.0 < intent.attempt {
                *record = (intent.attempt, chunk.index);
            }
        }
    }
    for chunk in job_chunks {
        let index = chunk.index;
        let is_newest =
            |intent: &Intent| newest.get(&intent.task_index) == Some(&(intent.attempt, index));
        chunk.value.active.retain(is_newest);
    }
}

fn without_dependencies(spec: JobSpec) -> JobSpec {
    JobSpec {
        dependencies: Vec::new(),
        ..spec
    }
}

/// Adds the attempts of a chunk to the active attempts of a job, except those that are known to have ended.
/// Returns the added ones.
fn load_attempts(job: &mut Job, now: Instant, chunk: u32, intents: Vec<Intent>) -> Vec<Intent> {
    let mut loaded = Vec::new();
    for intent in intents {
        // All members of a gang are marked as done when the first one completes, so a member that is marked
        // may still be on its machine.
        let has_ended = job.is_done(intent.task_index) && job.spec.kind == JobKind::Batch;
        if intent.task_index >= job.spec.task_count || has_ended {
            continue;
        }
        let machine = intent.machine.clone();
        let mut attempt = ActiveAttempt::planned(now, machine, intent.attempt, job.spec.expected);
        attempt.durable = true;
        job.active.insert(intent.task_index, attempt);
        job.set_record(intent.task_index, chunk);
        loaded.push(intent);
    }
    loaded
}
