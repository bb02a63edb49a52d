//! The picture of a new term, from what the state service holds.

use crate::core::model::{JobId, JobKind, JobSpec, MachineId, MachineTypeName, Zone};
use crate::core::persistence::keys;
use crate::core::persistence::records::{ChunkValue, JobOutcome};
use crate::core::placement::history::HistorySummary;
use crate::core::state::cluster_state::{ActiveAttempt, Machine};
use crate::core::state::cluster_state::{CancelSource, ClusterState};
use crate::core::state::machine::MachineIdentity;
use cypressgap_recovery::attempt_state::AttemptState;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// A record of the index of live jobs.
#[derive(Clone, Debug)]
pub struct StoredLiveJob {
    /// The job.
    pub spec: JobSpec,
    /// The stamp of its acceptance.
    pub revision: u64,
}

/// A record of intents.
#[derive(Clone, Debug)]
pub struct StoredIntents {
    /// The job.
    pub job_id: JobId,
    /// Which of its chunks.
    pub index: u32,
    /// What is done, and what was sent where.
    pub value: ChunkValue,
    /// The record's stamp.
    pub revision: u64,
}

/// What the state service holds of the cluster.
///
/// The index of live jobs is read before the verdicts of what it lists, and the intents last: nobody but
/// the leader writes intents, and no other leader's writes succeed any more.
#[derive(Clone, Debug, Default)]
pub struct StoredSnapshot {
    /// What earlier leaders measured.
    pub history: Option<HistorySummary>,
    /// The index of live jobs.
    pub jobs: Vec<StoredLiveJob>,
    /// Verdicts of jobs that are still in the index. Without one, a job is live.
    pub over: HashMap<JobId, JobOutcome>,
    /// How those ended that live jobs need and that are not in the index.
    pub ends: Vec<(JobId, JobOutcome)>,
    /// Jobs with a list of dependents.
    pub lists: Vec<JobId>,
    /// Jobs with a mark of their cancellation.
    pub cancel_marks: Vec<JobId>,
    /// The intents.
    pub chunks: Vec<StoredIntents>,
    /// Jobs whose record in the index cannot be read.
    pub unreadable_jobs: Vec<JobId>,
    /// Jobs of which a record of intents cannot be read.
    pub unreadable_intents: Vec<JobId>,
}

impl ClusterState {
    /// Takes over what was read.
    pub fn take_over(&mut self, now: Instant, picture: StoredSnapshot) {
        if let Some(history) = picture.history {
            self.history.load(&history);
        }
        for (job_id, outcome) in picture.ends {
            self.ended_before(now, &job_id, outcome);
        }
        self.unreadable_records.unknown = !picture.unreadable_intents.is_empty();
        self.unreadable_records.jobs.extend(picture.unreadable_jobs);
        self.unreadable_records
            .jobs
            .extend(picture.unreadable_intents);
        let (mut cancelled, mut done_gangs) = (Vec::new(), Vec::new());
        for StoredLiveJob { spec, revision } in picture.jobs {
            if self.unreadable_records.holds(&spec.job_id) {
                continue;
            }
            match picture.over.get(&spec.job_id) {
                // An array is done when each task's end was reported. A gang is done with the first
                // member's, and the others may still be on their machines.
                Some(JobOutcome::Done) if spec.kind == JobKind::Gang => {
                    done_gangs.push(spec.job_id.clone());
                    let dependencies = Vec::new();
                    self.on_job(
                        JobSpec {
                            dependencies,
                            ..spec
                        },
                        revision,
                    );
                }
                Some(JobOutcome::Done) => {
                    self.ended_before(now, &spec.job_id, JobOutcome::Done);
                    self.writes.remove_later(keys::live_job_key(&spec.job_id));
                }
                Some(JobOutcome::Cancelled) => {
                    cancelled.push(spec.job_id.clone());
                    self.on_job(spec, revision);
                }
                Some(JobOutcome::Live) | None => self.on_job(spec, revision),
            }
        }
        for job_id in &picture.lists {
            self.load_list(job_id);
        }
        for chunk in picture.chunks {
            self.load_chunk(now, &chunk.job_id, chunk.index, chunk.value, chunk.revision);
        }
        for job_id in &done_gangs {
            self.on_done_durable(now, job_id);
        }
        // After the intents, so that no task of a cancelled job is overlooked.
        for job_id in &picture.cancel_marks {
            self.on_cancelled(now, job_id, CancelSource::Load);
        }
        for job_id in &cancelled {
            self.on_cancelled(now, job_id, CancelSource::JobOutcome);
        }
        self.takeover.begin();
    }

    /// A list of dependents found in the state service. It goes with its job.
    pub fn load_list(&mut self, job_id: &JobId) {
        if self.jobs.contains(job_id) {
            self.jobs.dependencies.listed(job_id);
            return;
        }
        let key = keys::dependents_key(job_id);
        if !self.writes.is_obsolete(&key) {
            self.writes.remove_later(key);
        }
    }

    /// An intent chunk found at takeover. Whatever it names may be on its host.
    pub fn load_chunk(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        value: ChunkValue,
        revision: u64,
    ) {
        if self.unreadable_records.holds(job_id) {
            self.return_machines_of_unknown(now, value);
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
        let mut loaded = Vec::new();
        for intent in value.active {
            let (task, attempt, machine) = (intent.task_index, intent.attempt, intent.machine);
            // A member of a gang is marked done with the first one that ends; it may still be there.
            let ended = job.is_done(task) && job.spec.kind == JobKind::Batch;
            if task >= job.spec.task_count || ended {
                continue;
            }
            let mut active =
                ActiveAttempt::planned(now, machine.clone(), attempt, job.spec.expected);
            active.durable = true;
            job.active.insert(task, active);
            loaded.push((job.task(task), attempt, machine));
        }
        if job.done_count == job.spec.task_count {
            self.writes.mark_dirty(job_id);
        }
        if job.done_count > 0 || !job.active.is_empty() {
            job.last_placed = now;
        }
        let (resources, team) = (job.spec.resources, job.spec.team.clone());
        for (task, attempt, machine) in loaded {
            self.takeover.record(machine.clone(), task.clone(), attempt);
            self.quota_usage.enter(task.clone(), &team, resources);
            let h = self.loaded_machine(now, machine);
            h.placed_tasks.insert(task, resources);
            h.used.add(&resources);
        }
    }

    /// Silent machines, and how far the takeover is.
    pub(in crate::core) fn advance_takeover(&mut self, now: Instant) {
        if self.takeover.is_over() {
            return;
        }
        let after = self.silent_after();
        let recorded = self.takeover.recorded_machines();
        let silent = |id: &&MachineId| {
            let machine = self.fleet.machines.get(*id);
            machine.is_some_and(|h| self.is_silent(now, h, after))
        };
        let silent: Vec<MachineId> = recorded.filter(silent).cloned().collect();
        for machine in &silent {
            self.takeover.on_silence(machine);
        }
        if let Some(change) = self.takeover.advance(now) {
            let counts = &change.counts;
            let states = AttemptState::ALL.map(|s| format!("{s}={}", counts.of(s)));
            log::info!(
                "takeover {} term={} {} unrecorded_jobs={} deferred={} {}",
                change.phase,
                self.term.0,
                states.join(" "),
                change.unrecorded_jobs,
                change.deferred,
                change.summary
            );
        }
    }

    /// A host that a record names. Its type and zone come with its report or the cloud's list.
    fn loaded_machine(&mut self, now: Instant, id: MachineId) -> &mut Machine {
        let term = self.term;
        self.fleet.machines.entry(id.clone()).or_insert_with(|| {
            let (kind, zone) = (MachineTypeName(String::new()), Zone(String::new()));
            let identity = MachineIdentity {
                id,
                machine_type: kind,
                zone,
                spot: false,
            };
            Machine::new(identity, term, now)
        })
    }

    /// Machines that hold tasks of which nothing is known go back: that proves those tasks gone.
    fn return_machines_of_unknown(&mut self, now: Instant, value: ChunkValue) {
        for intent in value.active {
            let machine = intent.machine;
            self.unreadable_records.machines.insert(machine.clone());
            self.loaded_machine(now, machine).returning = true;
        }
    }
}

/// Jobs of which some record cannot be read. Their records stay, nothing of them is started, and what
/// they may hold counts as taken: until it is known to be gone, no team with a limit starts anything.
#[derive(Debug, Default)]
pub(in crate::core) struct UnreadableRecords {
    jobs: BTreeSet<JobId>,
    /// Machines that their readable records name.
    machines: BTreeSet<MachineId>,
    /// Where their tasks are is not known either.
    unknown: bool,
}

impl UnreadableRecords {
    fn holds(&self, job_id: &JobId) -> bool {
        self.jobs.contains(job_id)
    }

    /// Tasks of an unknown team may be on machines.
    pub(in crate::core) fn may_run(&self) -> bool {
        self.unknown || !self.machines.is_empty()
    }

    /// A machine is gone with all that was on it.
    pub(in crate::core) fn machine_gone(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}
