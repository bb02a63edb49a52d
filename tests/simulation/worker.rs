//! A machine with its worker, as the protocol describes it: it holds the truth about its tasks.

use cypressgap::core::model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, JobId, JobKind, JobSpec, MachineId,
    MachineTypeName, Resources, TaskCommand, TaskId, TaskPhase, TaskStatus, Zone,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A worker gives a report up that is not answered within this.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const MIN_BETWEEN_HEARTBEATS: Duration = Duration::from_millis(500);
const RETRY: Duration = Duration::from_secs(1);

/// A machine's address: sixteen machines share a segment of 28 bits.
pub fn endpoint(id: &MachineId) -> String {
    let digits: String = id.0.chars().filter(char::is_ascii_digit).collect();
    let number: u32 = digits.parse().unwrap_or(0);
    let [_, a, b, c] = number.to_be_bytes();
    format!("10.{a}.{b}.{c}:9")
}

/// What the users have uploaded: descriptions of jobs, and results that are kept.
#[derive(Default)]
pub struct Uploads {
    pub jobs: BTreeMap<JobId, Arc<JobSpec>>,
    pub done: BTreeSet<TaskId>,
}

#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub spec: Arc<JobSpec>,
    pub phase: TaskPhase,
    /// When the phase ends by itself.
    pub until: Instant,
}

impl WorkerTask {
    pub fn ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Ended(_))
    }
    /// It has its image, so it counts as on the machine.
    pub fn on_machine(&self) -> bool {
        !self.ended() && self.phase != TaskPhase::Fetching
    }
}

pub struct Worker {
    pub id: MachineId,
    pub machine_type: MachineTypeName,
    pub room: Resources,
    pub zone: Zone,
    pub spot: bool,
    /// Which start of the machine this is.
    pub life: u64,
    pub incarnation: u64,
    pub serial: u64,
    pub token: FencingToken,
    pub tasks: BTreeMap<(TaskId, AttemptId), WorkerTask>,
    pub images: BTreeSet<String>,
    pub up_at: Instant,
    pub eviction: Option<Instant>,
    /// When it carried out an order of a controller.
    pub orders: Vec<Instant>,
    /// Its lease counts from here.
    pub lease_from: Instant,
    pub next_heartbeat: Instant,
    pub last_heartbeat: Option<Instant>,
    /// When the report was sent that is not answered yet.
    pub asked: Option<Instant>,
    /// Troubles, until when.
    pub hangs: Option<Instant>,
    pub cut: Option<Instant>,
    pub deaf: Option<Instant>,
    pub mute: Option<Instant>,
}

/// Whether a trouble lasts.
pub fn lasts(trouble: Option<Instant>, now: Instant) -> bool {
    trouble.is_some_and(|until| now < until)
}

impl Worker {
    pub fn new(
        id: MachineId,
        t: (MachineTypeName, Resources),
        zone: Zone,
        spot: bool,
        up_at: Instant,
    ) -> Worker {
        Worker {
            id,
            machine_type: t.0,
            room: t.1,
            zone,
            spot,
            life: 1,
            incarnation: 1,
            serial: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            up_at,
            eviction: None,
            orders: Vec::new(),
            lease_from: up_at,
            next_heartbeat: up_at,
            last_heartbeat: None,
            asked: None,
            hangs: None,
            cut: None,
            deaf: None,
            mute: None,
        }
    }

    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.serial += 1;
        let shown = |((task, attempt), t): (&(TaskId, AttemptId), &WorkerTask)| TaskStatus {
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
            eviction: self.eviction.map(|at| at.saturating_duration_since(now)),
            tasks: self.tasks.iter().map(shown).collect(),
        }
    }

    /// Something changed: the next report comes as soon as it may.
    pub fn changed(&mut self, now: Instant) {
        let earliest = self
            .last_heartbeat
            .map_or(now, |t| t + MIN_BETWEEN_HEARTBEATS);
        self.next_heartbeat = self.next_heartbeat.min(earliest.max(now));
    }

    /// A report that is due and may be sent.
    pub fn due_heartbeat(&mut self, now: Instant, every: Duration) -> Option<Heartbeat> {
        if self.asked.is_some_and(|t| now >= t + ANSWER_LIMIT) {
            self.asked = None;
            self.next_heartbeat = now + RETRY;
        }
        if self.asked.is_some() || now < self.next_heartbeat {
            return None;
        }
        self.asked = Some(now);
        self.last_heartbeat = Some(now);
        self.next_heartbeat = now + every;
        Some(self.heartbeat(now))
    }

    /// A node answered that it does not act for the controllers.
    pub fn refused(&mut self, now: Instant, asked: Instant) {
        if self.asked == Some(asked) {
            self.asked = None;
            self.next_heartbeat = now + RETRY;
        }
    }

    /// The answer to the report that was sent at `asked` in session `incarnation`.
    pub fn answered(
        &mut self,
        now: Instant,
        asked: Instant,
        incarnation: u64,
        token: FencingToken,
        commands: &[TaskCommand],
        uploads: &Uploads,
    ) {
        if self.asked != Some(asked) {
            return;
        }
        self.asked = None;
        if now >= asked + ANSWER_LIMIT || incarnation != self.incarnation || token < self.token {
            return;
        }
        self.lease_from = self.lease_from.max(asked);
        self.obey(now, token, commands, uploads);
    }

    /// A direct command. Returns whether it was carried out.
    pub fn commanded(
        &mut self,
        now: Instant,
        token: FencingToken,
        incarnation: u64,
        commands: &[TaskCommand],
        uploads: &Uploads,
    ) -> bool {
        let accepted = token >= self.token && incarnation == self.incarnation;
        if accepted {
            self.obey(now, token, commands, uploads);
        }
        accepted
    }

    fn obey(
        &mut self,
        now: Instant,
        token: FencingToken,
        commands: &[TaskCommand],
        uploads: &Uploads,
    ) {
        if token > self.token {
            self.token = token;
            self.changed(now);
        }
        for command in commands {
            self.orders.push(now);
            match command {
                TaskCommand::Launch { task, attempt } => self.launch(now, task, *attempt, uploads),
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

    fn launch(&mut self, now: Instant, task: &TaskId, attempt: AttemptId, uploads: &Uploads) {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let spec = uploads.jobs[&task.job_id].clone();
        let mut used = spec.resources;
        for t in self.tasks.values().filter(|t| !t.ended()) {
            used.add(&t.spec.resources);
        }
        let other = |(k, t): (&(TaskId, AttemptId), &WorkerTask)| &k.0 == task && !t.ended();
        let phase = if self.tasks.iter().any(other) {
            TaskPhase::Ended(ExitReason::EarlierAttemptRunning)
        } else if !used.fits(&self.room) {
            TaskPhase::Ended(ExitReason::InsufficientResources)
        } else {
            TaskPhase::Fetching
        };
        let fetch = if self.images.contains(&spec.image) {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(spec.image_gb)
        };
        let until = now + fetch;
        self.tasks.insert(key, WorkerTask { spec, phase, until });
        self.changed(now);
    }

    fn kill(&mut self, now: Instant, task: &TaskId, attempt: AttemptId, grace_period: Duration) {
        let Some(t) = self.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        if t.ended() || (t.phase == TaskPhase::Checkpointing && !grace_period.is_zero()) {
            return;
        }
        let saves = t.phase == TaskPhase::Running && t.spec.saves();
        if saves && grace_period >= t.spec.checkpoint_duration {
            t.phase = TaskPhase::Checkpointing;
            t.until = now + t.spec.checkpoint_duration;
        } else {
            t.phase = TaskPhase::Ended(ExitReason::Stopped { stored: false });
        }
        self.changed(now);
    }

    /// Its lease has run out: everything is killed and forgotten. Holds for a hanging machine too.
    pub fn check_lease(&mut self, now: Instant, lease: Duration) {
        if now <= self.lease_from + lease || now < self.up_at {
            return;
        }
        self.tasks.clear();
        self.images.clear();
        self.incarnation += 1;
        self.lease_from = now;
        self.asked = None;
        self.changed(now);
    }

    /// What time brings about on a machine that runs. Gangs gather and end as a whole elsewhere.
    pub fn advance(
        &mut self,
        now: Instant,
        gang_wait: Duration,
        run: impl Fn(&TaskId) -> Duration,
        uploads: &mut Uploads,
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
                    if uploads.done.contains(task) {
                        TaskPhase::Ended(ExitReason::Completed)
                    } else if gang {
                        t.until = now + gang_wait;
                        TaskPhase::WaitingForGang
                    } else {
                        t.until = now + run(task);
                        TaskPhase::Running
                    }
                }
                TaskPhase::WaitingForGang => TaskPhase::Ended(ExitReason::GangIncomplete),
                TaskPhase::Running if !gang => {
                    uploads.done.insert(task.clone());
                    TaskPhase::Ended(ExitReason::Completed)
                }
                TaskPhase::Checkpointing => TaskPhase::Ended(ExitReason::Stopped { stored: true }),
                other => other,
            };
            changed |= next != t.phase;
            t.phase = next;
        }
        if changed {
            self.changed(now);
        }
    }
}
