//! A simulated machine and its worker, which follows the protocol of the agents. The invariants are checked
//! against the tasks here.

use cypressgap::core::model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, JobId, JobKind, JobSpec, MachineId,
    MachineTypeName, Resources, TaskCommand, TaskId, TaskPhase, TaskStatus, Zone,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time after which a worker stops waiting for the answer to a heartbeat, and a leader for the response
/// to direct commands.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// The minimum time between two heartbeats of a worker.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before the next heartbeat after one that was refused or not answered in time.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The endpoint of a machine, derived from the number in its id. Sixteen machines share a /28 network.
pub fn endpoint(id: &MachineId) -> String {
    let digits: String = id.0.chars().filter(char::is_ascii_digit).collect();
    let number: u32 = digits.parse().unwrap_or(0);
    let [_, a, b, c] = number.to_be_bytes();
    format!("10.{a}.{b}.{c}:9")
}

/// The data that all machines share and that outlives them.
#[derive(Default)]
pub struct SharedStorage {
    /// The specs of all accepted jobs.
    pub jobs: BTreeMap<JobId, Arc<JobSpec>>,
    /// The tasks that have completed and stored their results.
    pub done: BTreeSet<TaskId>,
}

#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub spec: Arc<JobSpec>,
    pub phase: TaskPhase,
    /// When the phase ends if no command ends it earlier. Meaningless once the attempt has ended.
    pub until: Instant,
}

impl WorkerTask {
    pub fn ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Ended(_))
    }
    /// Whether the attempt has its image and has not ended. Only such attempts count in the invariants.
    pub fn occupies_machine(&self) -> bool {
        !self.ended() && self.phase != TaskPhase::Fetching
    }
}

pub struct Worker {
    pub id: MachineId,
    pub machine_type: MachineTypeName,
    pub capacity: Resources,
    pub zone: Zone,
    pub spot: bool,
    /// How often the machine was booted, from 1.
    pub boot_count: u64,
    /// The incarnation of the worker since the boot, from 1. A new incarnation begins when the worker's lease
    /// expires.
    pub incarnation: u64,
    /// The number of the last heartbeat, including those sent as responses to direct commands.
    pub serial: u64,
    /// The highest fencing token received; 0 before the first token.
    pub token: FencingToken,
    pub tasks: BTreeMap<(TaskId, AttemptId), WorkerTask>,
    /// The images in the machine's cache.
    pub images: BTreeSet<String>,
    /// The time from which on the machine is booted and the worker runs.
    pub up_at: Instant,
    /// When the cloud evicts the machine; `None` while no eviction is announced.
    pub eviction_at: Option<Instant>,
    /// When each command was executed.
    pub command_times: Vec<Instant>,
    /// The time from which the current lease is counted: when the last answered heartbeat was sent, or when
    /// the incarnation began.
    pub lease_start: Instant,
    pub next_heartbeat_at: Instant,
    pub last_heartbeat_at: Option<Instant>,
    /// When the heartbeat that waits for an answer was sent; `None` if no heartbeat waits
    /// for an answer.
    pub pending_heartbeat_sent_at: Option<Instant>,
    /// This field and the next three each hold the end of a fault; `None` or a past time if that fault is not
    /// active.
    pub paused_until: Option<Instant>,
    pub partitioned_until: Option<Instant>,
    pub inbound_partition_until: Option<Instant>,
    pub outbound_partition_until: Option<Instant>,
}

/// Whether a fault with this end is still active.
pub fn is_active(fault_until: Option<Instant>, now: Instant) -> bool {
    fault_until.is_some_and(|until| now < until)
}

impl Worker {
    pub fn new(
        id: MachineId,
        type_and_capacity: (MachineTypeName, Resources),
        zone: Zone,
        spot: bool,
        up_at: Instant,
    ) -> Worker {
        Worker {
            id,
            machine_type: type_and_capacity.0,
            capacity: type_and_capacity.1,
            zone,
            spot,
            boot_count: 1,
            incarnation: 1,
            serial: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            up_at,
            eviction_at: None,
            command_times: Vec::new(),
            lease_start: up_at,
            next_heartbeat_at: up_at,
            last_heartbeat_at: None,
            pending_heartbeat_sent_at: None,
            paused_until: None,
            partitioned_until: None,
            inbound_partition_until: None,
            outbound_partition_until: None,
        }
    }

    /// A heartbeat with the current state and the next serial number.
    pub fn make_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.serial += 1;
        let status = |((task, attempt), t): (&(TaskId, AttemptId), &WorkerTask)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            phase: t.phase,
        };
        Heartbeat {
            machine: self.id.clone(),
            endpoint: endpoint(&self.id),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            serial: self.serial,
            token: self.token,
            eviction: self.eviction_at.map(|at| at.saturating_duration_since(now)),
            tasks: self.tasks.iter().map(status).collect(),
        }
    }

    /// Brings the next heartbeat forward to the earliest permitted time, because the state that heartbeats
    /// report has changed.
    pub fn schedule_heartbeat(&mut self, now: Instant) {
        let earliest = self
            .last_heartbeat_at
            .map_or(now, |t| t + MIN_HEARTBEAT_INTERVAL);
        self.next_heartbeat_at = self.next_heartbeat_at.min(earliest.max(now));
    }

    /// The heartbeat to send now; `None` if none is due or the previous heartbeat still waits for its answer.
    pub fn take_due_heartbeat(&mut self, now: Instant, interval: Duration) -> Option<Heartbeat> {
        if self
            .pending_heartbeat_sent_at
            .is_some_and(|t| now >= t + HEARTBEAT_TIMEOUT)
        {
            self.pending_heartbeat_sent_at = None;
            self.next_heartbeat_at = now + RETRY_DELAY;
        }
        if self.pending_heartbeat_sent_at.is_some() || now < self.next_heartbeat_at {
            return None;
        }
        self.pending_heartbeat_sent_at = Some(now);
        self.last_heartbeat_at = Some(now);
        self.next_heartbeat_at = now + interval;
        Some(self.make_heartbeat(now))
    }

    /// Handles the refusal of a heartbeat. A refusal does not renew the lease.
    pub fn on_refusal(&mut self, now: Instant, sent_at: Instant) {
        if self.pending_heartbeat_sent_at == Some(sent_at) {
            self.pending_heartbeat_sent_at = None;
            self.next_heartbeat_at = now + RETRY_DELAY;
        }
    }

    /// Handles the answer to the heartbeat that was sent at `sent_at` in `incarnation`. The answer renews the
    /// lease and its commands are executed, unless the answer is late, is fenced off by a higher token, or is
    /// for an earlier incarnation.
    pub fn on_answer(
        &mut self,
        now: Instant,
        sent_at: Instant,
        incarnation: u64,
        token: FencingToken,
        commands: &[TaskCommand],
        storage: &SharedStorage,
    ) {
        if self.pending_heartbeat_sent_at != Some(sent_at) {
            return;
        }
        self.pending_heartbeat_sent_at = None;
        if now >= sent_at + HEARTBEAT_TIMEOUT
            || incarnation != self.incarnation
            || token < self.token
        {
            return;
        }
        self.lease_start = self.lease_start.max(sent_at);
        self.execute(now, token, commands, storage);
    }

    /// Handles commands that a leader sent directly. Returns whether the commands were executed. Such
    /// commands do not renew the lease.
    pub fn on_command(
        &mut self,
        now: Instant,
        token: FencingToken,
        incarnation: u64,
        commands: &[TaskCommand],
        storage: &SharedStorage,
    ) -> bool {
        let accepted = token >= self.token && incarnation == self.incarnation;
        if accepted {
            self.execute(now, token, commands, storage);
        }
        accepted
    }

    fn execute(
        &mut self,
        now: Instant,
        token: FencingToken,
        commands: &[TaskCommand],
        storage: &SharedStorage,
    ) {
        if token > self.token {
            self.token = token;
            self.schedule_heartbeat(now);
        }
        for command in commands {
            self.command_times.push(now);
            match command {
                TaskCommand::Launch { task, attempt } => self.launch(now, task, *attempt, storage),
                TaskCommand::Kill {
                    task,
                    attempt,
                    grace_period,
                } => self.kill(now, task, *attempt, *grace_period),
                TaskCommand::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(WorkerTask::ended) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn launch(&mut self, now: Instant, task: &TaskId, attempt: AttemptId, storage: &SharedStorage) {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let spec = storage.jobs[&task.job_id].clone();
        let mut used = spec.resources;
        for t in self.tasks.values().filter(|t| !t.ended()) {
            used.add(&t.spec.resources);
        }
        let is_other_attempt =
            |(k, t): (&(TaskId, AttemptId), &WorkerTask)| &k.0 == task && !t.ended();
        let phase = if self.tasks.iter().any(is_other_attempt) {
            TaskPhase::Ended(ExitReason::EarlierAttemptRunning)
        } else if !used.fits(&self.capacity) {
            TaskPhase::Ended(ExitReason::InsufficientResources)
        } else {
            TaskPhase::Fetching
        };
        let fetch_time = if self.images.contains(&spec.image) {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(spec.image_gb)
        };
        let until = now + fetch_time;
        self.tasks.insert(key, WorkerTask { spec, phase, until });
        self.schedule_heartbeat(now);
    }

    fn kill(&mut self, now: Instant, task: &TaskId, attempt: AttemptId, grace_period: Duration) {
        let Some(t) = self.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        if t.ended() || (t.phase == TaskPhase::Checkpointing && !grace_period.is_zero()) {
            return;
        }
        let writes_checkpoints = t.phase == TaskPhase::Running && t.spec.writes_checkpoints();
        if writes_checkpoints && grace_period >= t.spec.checkpoint_duration {
            t.phase = TaskPhase::Checkpointing;
            t.until = now + t.spec.checkpoint_duration;
        } else {
            t.phase = TaskPhase::Ended(ExitReason::Stopped { stored: false });
        }
        self.schedule_heartbeat(now);
    }

    /// If the lease has expired, kills and forgets all tasks, empties the image cache and begins a new
    /// incarnation, even while the worker is paused.
    pub fn check_lease(&mut self, now: Instant, lease: Duration) {
        if now <= self.lease_start + lease || now < self.up_at {
            return;
        }
        self.tasks.clear();
        self.images.clear();
        self.incarnation += 1;
        self.lease_start = now;
        self.pending_heartbeat_sent_at = None;
        self.schedule_heartbeat(now);
    }

    /// Moves each task whose phase has ended to the next phase of that task. The caller makes sure that the
    /// machine is up and not paused. Gangs are started and completed by the `machines` module instead.
    pub fn advance(
        &mut self,
        now: Instant,
        gang_assembly_timeout: Duration,
        run_time: impl Fn(&TaskId) -> Duration,
        storage: &mut SharedStorage,
    ) {
        let mut changed = false;
        for ((task, _), t) in &mut self.tasks {
            if now < t.until || t.ended() {
                continue;
            }
            let gang = t.spec.kind == JobKind::Gang;
            let next = match t.phase {
                TaskPhase::Fetching => {
                    self.images.insert(t.spec.image.clone());
                    if storage.done.contains(task) {
                        TaskPhase::Ended(ExitReason::Completed)
                    } else if gang {
                        t.until = now + gang_assembly_timeout;
                        TaskPhase::WaitingForGang
                    } else {
                        t.until = now + run_time(task);
                        TaskPhase::Running
                    }
                }
                TaskPhase::WaitingForGang => TaskPhase::Ended(ExitReason::GangIncomplete),
                TaskPhase::Running if !gang => {
                    storage.done.insert(task.clone());
                    TaskPhase::Ended(ExitReason::Completed)
                }
                TaskPhase::Checkpointing => TaskPhase::Ended(ExitReason::Stopped { stored: true }),
                other => other,
            };
            changed |= next != t.phase;
            t.phase = next;
        }
        if changed {
            self.schedule_heartbeat(now);
        }
    }
}
