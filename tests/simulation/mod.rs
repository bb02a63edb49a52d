//! A whole deployment on a simulated clock: leaders with the real core, a store, a cloud, workers, users
//! and troubles, all drawn from one seed. After each step the rules are checked against the workers.
#![allow(dead_code)]

pub mod store;
pub mod truth;
pub mod worker;

use crate::common::{config, secs, team};
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::model::*;
use cypressgap::core::persistence::ledger::{Batch, BatchOutcome};
use cypressgap::core::state::cluster_state::{
    Action, CancelSource, ClusterState, HeartbeatDecision,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use store::{Queued, Store};
use truth::Truth;
use worker::{endpoint, lasts, Uploads, Worker, WorkerTask, ANSWER_LIMIT};

/// How far the clock goes in a step.
const STEP: Duration = Duration::from_millis(100);
/// A leader without the state service knows for so long that it leads.
const LEADER_LEASE: Duration = Duration::from_secs(3);
const LIST_EVERY: Duration = Duration::from_secs(4);
const SITES: [&str; 2] = ["a", "b"];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How often troubles come, each a second on average, and how late messages are.
#[derive(Clone, Debug)]
pub struct Troubles {
    pub leader_ends: f64,
    pub leader_cut: f64,
    pub hang: f64,
    pub cut: f64,
    pub deaf: f64,
    pub mute: f64,
    pub machine_dies: f64,
    pub notice: f64,
    pub restart: f64,
    /// Parts of all messages of their kind.
    pub lost_writes: f64,
    pub late_writes: f64,
    pub late_commands: f64,
    pub late_heartbeats: f64,
    pub lost_returns: f64,
    pub cancellations: f64,
}

impl Troubles {
    /// Nothing but what the test itself brings about.
    pub fn none() -> Troubles {
        Troubles {
            leader_ends: 0.0,
            leader_cut: 0.0,
            hang: 0.0,
            cut: 0.0,
            deaf: 0.0,
            mute: 0.0,
            machine_dies: 0.0,
            notice: 0.0,
            restart: 0.0,
            lost_writes: 0.0,
            late_writes: 0.0,
            late_commands: 0.0,
            late_heartbeats: 0.0,
            lost_returns: 0.0,
            cancellations: 0.0,
        }
    }

    /// Everything, often.
    pub fn many() -> Troubles {
        Troubles {
            leader_ends: 0.08,
            leader_cut: 0.02,
            hang: 0.15,
            cut: 0.15,
            deaf: 0.05,
            mute: 0.05,
            machine_dies: 0.02,
            notice: 0.05,
            restart: 0.01,
            lost_writes: 0.08,
            late_writes: 0.05,
            late_commands: 0.1,
            late_heartbeats: 0.05,
            lost_returns: 0.1,
            cancellations: 0.15,
        }
    }

    /// Leaders that end every few seconds while writes are lost, late or unanswered.
    pub fn leaders() -> Troubles {
        Troubles {
            leader_ends: 0.2,
            leader_cut: 0.05,
            lost_writes: 0.15,
            late_writes: 0.1,
            hang: 0.3,
            deaf: 0.02,
            mute: 0.02,
            restart: 0.0,
            late_heartbeats: 0.02,
            ..Troubles::many()
        }
    }
}

/// A message or something else that comes about at its time.
enum Event {
    Heartbeat {
        heartbeat: Heartbeat,
        asked: Instant,
        answer: bool,
    },
    HeartbeatDecision {
        machine: MachineId,
        asked: Instant,
        incarnation: u64,
        answer: HeartbeatDecision,
    },
    Refusal {
        machine: MachineId,
        asked: Instant,
    },
    Command {
        machine: MachineId,
        token: FencingToken,
        incarnation: u64,
        commands: Vec<TaskCommand>,
        leader: Option<u64>,
        life: u64,
    },
    Commanded {
        machine: MachineId,
        leader: u64,
        heartbeat: Option<Heartbeat>,
    },
    Write {
        batch: Batch,
        leader: Option<u64>,
        answer_after: Duration,
    },
    Written {
        leader: u64,
        outcome: BatchOutcome,
    },
    RentalEnded {
        leader: u64,
        idempotency_key: String,
        machines: Vec<MachineId>,
    },
    Return {
        machines: Vec<MachineId>,
        leader: Option<u64>,
    },
    Returned {
        machines: Vec<MachineId>,
        leader: u64,
        confirmed: bool,
    },
    CloudListed(Vec<CloudMachine>),
}

/// A node that leads, or believes so.
struct Leader {
    id: u64,
    cluster: ClusterState,
    revision: u64,
    /// It acts from here on; before, it loads.
    ready: Instant,
    seen: u64,
    read_at: Instant,
    next_tick: Instant,
    /// Since when the state service does not answer it.
    cut_since: Option<Instant>,
}

pub struct Simulation {
    rng: StdRng,
    pub now: Instant,
    start: Instant,
    config: SchedulerConfig,
    types: Vec<MachineType>,
    pub troubles: Troubles,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    uploads: Uploads,
    leaders: Vec<Leader>,
    next_leader: Option<Instant>,
    terms: u64,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    machines: u64,
    jobs: u64,
    next_list: Instant,
    pub truth: Truth,
    /// What happened, for whoever looks for a cause.
    pub log: Vec<String>,
    pub started: u64,
    /// Users submit jobs by themselves.
    pub submits: bool,
    /// How long a task runs in place of what is drawn for it.
    pub run: Option<Duration>,
    pub changes_of_leader: u64,
}

fn machine_type() -> MachineType {
    crate::common::machine_type("m8", 8.0)
}

/// A deployment with limits that are soon reached.
pub fn tight_config() -> SchedulerConfig {
    let mut p = config();
    p.teams = vec![
        team("red", 8.0, 24.0),
        team("blue", 8.0, 20.0),
        team("grey", 0.0, 16.0),
    ];
    p.lease = secs(20);
    p.gang_wait = secs(15);
    p.tuning.max_machines = 30;
    p.tuning.idle_ordinary = secs(60);
    p
}

impl Simulation {
    pub fn new(seed: u64, machines: usize, troubles: Troubles) -> Simulation {
        Simulation::with(seed, machines, troubles, tight_config())
    }

    pub fn with(
        seed: u64,
        machines: usize,
        troubles: Troubles,
        config: SchedulerConfig,
    ) -> Simulation {
        let now = Instant::now();
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now,
            start: now,
            config,
            types: vec![machine_type()],
            troubles,
            store: Store::default(),
            workers: BTreeMap::new(),
            uploads: Uploads::default(),
            leaders: Vec::new(),
            next_leader: Some(now),
            terms: 0,
            events: BTreeMap::new(),
            sequence: 0,
            machines: 0,
            jobs: 0,
            next_list: now,
            truth: Truth::default(),
            log: Vec::new(),
            started: 0,
            submits: true,
            run: None,
            changes_of_leader: 0,
        };
        for _ in 0..machines {
            simulation.machine(Duration::ZERO, false);
        }
        simulation
    }

    /// All controllers end; the first is back after this time.
    pub fn end_all_controllers(&mut self, outage: Duration) {
        self.leaders.clear();
        self.next_leader = Some(self.now + outage);
        self.note(format!(
            "all controllers end for {} s",
            outage.as_secs_f64()
        ));
    }

    /// The newest leader's picture, once it acts.
    pub fn leading(&self) -> Option<&ClusterState> {
        let newest = self.leaders.last().filter(|l| l.ready <= self.now)?;
        Some(&newest.cluster)
    }

    /// Jobs of a team, with so many tasks each.
    pub fn submit_jobs(&mut self, jobs: u64, team: &str, task_count: u32, cpus: f64) {
        for _ in 0..jobs {
            self.jobs += 1;
            let mut spec = crate::common::spec(&format!("wk-{:06}", self.jobs), task_count, cpus);
            spec.team = team.into();
            spec.checkpoint_interval = Duration::ZERO;
            spec.image_gb = 0.5;
            self.store.accept(spec.clone());
            self.uploads
                .jobs
                .insert(spec.job_id.clone(), Arc::new(spec));
        }
    }

    fn note(&mut self, text: String) {
        let at = (self.now - self.start).as_secs_f64();
        self.log.push(format!("{at:7.1} {text}"));
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn delay(&mut self, least: u64, most: u64) -> Duration {
        ms(self.rng.gen_range(least..=most))
    }

    /// Whether something comes in this step that comes so often a second.
    fn comes(&mut self, per_second: f64) -> bool {
        self.rng
            .gen_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    fn machine(&mut self, boot: Duration, spot: bool) -> MachineId {
        self.machines += 1;
        let id = MachineId(format!("i-{:04}", self.machines));
        let zone = SITES[self.machines as usize % SITES.len()];
        let t = &self.types[0];
        let kind = (t.name.clone(), t.room);
        let worker = Worker::new(id.clone(), kind, zone.into(), spot, self.now + boot);
        self.workers.insert(id.clone(), worker);
        id
    }

    /// One step. Returns the rules that are broken.
    pub fn step(&mut self) -> Vec<String> {
        self.now += STEP;
        self.deliver();
        self.advance_workers();
        self.send_heartbeats();
        self.submit();
        self.cancel();
        self.make_trouble();
        self.lead();
        self.list();
        let outcome = |job_id: &JobId| self.store.outcome(job_id);
        let (teams, cancel) = (&self.config.teams, self.config.cancel);
        self.truth
            .look(self.now, self.workers.values(), teams, cancel, outcome)
    }

    // --- messages ---

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Heartbeat {
                heartbeat,
                asked,
                answer,
            } => self.take_heartbeat(heartbeat, asked, answer),
            Event::HeartbeatDecision {
                machine,
                asked,
                incarnation,
                answer,
            } => self.take_answer(machine, asked, incarnation, answer),
            Event::Refusal { machine, asked } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.refused(self.now, asked);
                }
            }
            Event::Command {
                machine,
                token,
                incarnation,
                commands,
                leader,
                life,
            } => {
                if self.is_reached(&machine, life) {
                    self.take_command(machine, token, incarnation, commands, leader);
                }
            }
            Event::Commanded {
                machine,
                leader,
                heartbeat,
            } => {
                let now = self.now;
                if let Some(l) = self.leader(leader) {
                    if l.cluster.on_sent(now, &machine, heartbeat).is_some() {
                        self.depose(leader);
                    }
                }
            }
            Event::Write {
                batch,
                leader,
                answer_after,
            } => {
                let outcome = self.store.apply(&batch);
                if let Some(leader) = leader {
                    self.at(answer_after, Event::Written { leader, outcome });
                }
            }
            Event::Written { leader, outcome } => {
                let now = self.now;
                let lost = match self.leader(leader) {
                    Some(l) => l.cluster.on_batch(now, outcome),
                    None => false,
                };
                if lost {
                    self.depose(leader);
                }
            }
            Event::RentalEnded {
                leader,
                idempotency_key,
                machines,
            } => {
                let now = self.now;
                if let Some(l) = self.leader(leader) {
                    let outcome = if machines.is_empty() {
                        RentalOutcome::NoCapacity
                    } else {
                        RentalOutcome::Machines(machines)
                    };
                    l.cluster.on_rented(now, &idempotency_key, outcome);
                }
            }
            Event::Return { machines, leader } => {
                for id in &machines {
                    self.workers.remove(id);
                }
                if let Some(leader) = leader {
                    let after = self.delay(20, 200);
                    let confirmed = true;
                    let event = Event::Returned {
                        machines,
                        leader,
                        confirmed,
                    };
                    self.at(after, event);
                }
            }
            Event::Returned {
                machines,
                leader,
                confirmed,
            } => {
                let now = self.now;
                if let Some(l) = self.leader(leader) {
                    if confirmed {
                        l.cluster.on_returned(now, &machines);
                    } else {
                        l.cluster.on_return_failed(&machines);
                    }
                }
            }
            Event::CloudListed(listed) => {
                let now = self.now;
                for l in self.leaders.iter_mut().filter(|l| l.ready <= now) {
                    l.cluster.on_list(now, &listed);
                }
            }
        }
    }

    fn leader(&mut self, id: u64) -> Option<&mut Leader> {
        self.leaders.iter_mut().find(|l| l.id == id)
    }

    fn depose(&mut self, id: u64) {
        self.note(format!("leader {id} steps down"));
        self.leaders.retain(|l| l.id != id);
    }

    /// The leader that a worker's report reaches: mostly the newest.
    fn reached(&mut self) -> Option<u64> {
        let now = self.now;
        let ready: Vec<u64> = self
            .leaders
            .iter()
            .filter(|l| l.ready <= now)
            .map(|l| l.id)
            .collect();
        let old = ready.len() > 1 && self.rng.gen_bool(0.3);
        if old {
            ready.first().copied()
        } else {
            ready.last().copied()
        }
    }

    fn take_heartbeat(&mut self, heartbeat: Heartbeat, asked: Instant, answer: bool) {
        let machine = heartbeat.machine.clone();
        let incarnation = heartbeat.incarnation;
        let back = self.delay(5, 60);
        let now = self.now;
        let Some(id) = self.reached() else {
            if answer {
                self.at(back, Event::Refusal { machine, asked });
            }
            return;
        };
        let Some(leader) = self.leader(id) else {
            return;
        };
        let given = leader.cluster.on_heartbeat(now, heartbeat, true);
        if matches!(given, HeartbeatDecision::Superseded(_)) {
            self.depose(id);
        }
        if answer {
            self.at(
                back,
                Event::HeartbeatDecision {
                    machine,
                    asked,
                    incarnation,
                    answer: given,
                },
            );
        }
    }

    fn take_answer(
        &mut self,
        machine: MachineId,
        asked: Instant,
        incarnation: u64,
        answer: HeartbeatDecision,
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        if lasts(w.deaf, now) {
            return;
        }
        if let Some(until) = blocked_until(w, now) {
            let event = Event::HeartbeatDecision {
                machine,
                asked,
                incarnation,
                answer,
            };
            self.at(until - now, event);
            return;
        }
        match answer {
            HeartbeatDecision::Accept { token, commands } => {
                w.answered(now, asked, incarnation, token, &commands, &self.uploads);
            }
            _ => w.refused(now, asked),
        }
    }

    /// Whether a command finds the life of the machine that it was sent to, or a later one that was
    /// answered before. No token shuts out what comes in between.
    fn is_reached(&self, machine: &MachineId, life: u64) -> bool {
        let worker = self.workers.get(machine);
        worker.is_some_and(|w| w.life == life || w.token > FencingToken(0))
    }

    fn take_command(
        &mut self,
        machine: MachineId,
        token: FencingToken,
        incarnation: u64,
        commands: Vec<TaskCommand>,
        leader: Option<u64>,
    ) {
        let now = self.now;
        let back = self.delay(5, 60);
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        if lasts(w.deaf, now) || now < w.up_at {
            return;
        }
        if let Some(until) = blocked_until(w, now) {
            // Its sender has given up by then, or soon will.
            let event = Event::Command {
                machine,
                token,
                incarnation,
                commands,
                leader: None,
                life: w.life,
            };
            self.at(until - now, event);
            return;
        }
        w.commanded(now, token, incarnation, &commands, &self.uploads);
        let heartbeat = Some(w.heartbeat(now));
        if let Some(leader) = leader {
            let event = Event::Commanded {
                machine,
                leader,
                heartbeat,
            };
            self.at(back, event);
        }
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let every = self.delay(2250, 3750);
            let late = self.rng.gen_bool(self.troubles.late_heartbeats);
            let forward = self.delay(5, 60);
            let copy_after = self.delay(2000, 40_000);
            let Some(w) = self.workers.get_mut(&id) else {
                continue;
            };
            if now < w.up_at || lasts(w.hangs, now) {
                continue;
            }
            let mute = lasts(w.mute, now);
            let held = w.cut.filter(|until| now < *until);
            let Some(heartbeat) = w.due_heartbeat(now, every) else {
                continue;
            };
            if mute {
                continue;
            }
            let asked = now;
            if late {
                let event = Event::Heartbeat {
                    heartbeat: heartbeat.clone(),
                    asked,
                    answer: false,
                };
                self.at(copy_after, event);
            }
            let after = held.map_or(forward, |until| until - now + forward);
            let event = Event::Heartbeat {
                heartbeat,
                asked,
                answer: true,
            };
            self.at(after, event);
        }
    }

    // --- machines ---

    fn advance_workers(&mut self) {
        let (now, lease) = (self.now, self.config.lease);
        let wait = self.config.gang_wait;
        self.workers
            .retain(|_, w| w.eviction.is_none_or(|at| now < at));
        for w in self.workers.values_mut() {
            w.check_lease(now, lease);
            if now >= w.up_at && !lasts(w.hangs, now) {
                let run = |task: &TaskId| self.run.unwrap_or_else(|| run_time(task));
                w.advance(now, wait, run, &mut self.uploads);
            }
        }
        self.advance_gangs();
    }

    /// Gangs start, end and break as a whole.
    fn advance_gangs(&mut self) {
        let now = self.now;
        type Member = (MachineId, TaskId);
        let mut gangs: BTreeMap<(JobId, AttemptId), Vec<Member>> = BTreeMap::new();
        for w in self.workers.values() {
            for ((task, attempt), t) in &w.tasks {
                if t.spec.kind == JobKind::Gang && t.on_machine() && !lasts(w.hangs, now) {
                    let member = (w.id.clone(), task.clone());
                    let key = (task.job_id.clone(), *attempt);
                    gangs.entry(key).or_default().push(member);
                }
            }
        }
        for ((job_id, attempt), members) in gangs {
            let spec = self.uploads.jobs[&job_id].clone();
            let complete = members.len() == spec.task_count as usize;
            for (machine, task) in members {
                let run = run_time(&TaskId {
                    job_id: job_id.clone(),
                    index: 0,
                });
                let Some(w) = self.workers.get_mut(&machine) else {
                    continue;
                };
                let t = w.tasks.get_mut(&(task.clone(), attempt)).expect("a member");
                let next = match t.phase {
                    TaskPhase::WaitingForGang if complete => TaskPhase::Running,
                    TaskPhase::Running if !complete => {
                        TaskPhase::Ended(ExitReason::GangMemberEnded)
                    }
                    TaskPhase::Running if now >= t.until => TaskPhase::Ended(ExitReason::Completed),
                    _ => continue,
                };
                match next {
                    TaskPhase::Running => t.until = now + run,
                    TaskPhase::Ended(ExitReason::Completed) => {
                        self.uploads.done.insert(task);
                    }
                    _ => {}
                }
                t.phase = next;
                w.changed(now);
            }
        }
    }

    fn some_worker(&mut self) -> Option<&mut Worker> {
        let up: Vec<MachineId> = self.workers.keys().cloned().collect();
        if up.is_empty() {
            return None;
        }
        let id = &up[self.rng.gen_range(0..up.len())];
        self.workers.get_mut(id)
    }

    fn make_trouble(&mut self) {
        let t = self.troubles.clone();
        let until = self.now + self.delay(3_000, 40_000);
        if self.comes(t.hang) {
            self.some_worker()
                .into_iter()
                .for_each(|w| w.hangs = Some(until));
        }
        if self.comes(t.cut) {
            self.some_worker()
                .into_iter()
                .for_each(|w| w.cut = Some(until));
        }
        if self.comes(t.deaf) {
            self.some_worker()
                .into_iter()
                .for_each(|w| w.deaf = Some(until));
        }
        if self.comes(t.mute) {
            self.some_worker()
                .into_iter()
                .for_each(|w| w.mute = Some(until));
        }
        if self.comes(t.notice) {
            let at = self.now + self.delay(4_000, 12_000);
            let now = self.now;
            if let Some(w) = self.some_worker() {
                w.eviction = w.eviction.or(Some(at));
                w.changed(now);
            }
        }
        if self.comes(t.machine_dies) {
            let id = self.some_worker().map(|w| w.id.clone());
            id.map(|id| self.workers.remove(&id));
        }
        if self.comes(t.restart) {
            let now = self.now;
            if let Some(w) = self.some_worker() {
                let kind = (w.machine_type.clone(), w.room);
                let life = w.life + 1;
                *w = Worker::new(w.id.clone(), kind, w.zone.clone(), w.spot, now);
                w.life = life;
            }
        }
        if self.comes(t.leader_ends) {
            self.leaders.clear();
            let after = self.delay(500, 6_000);
            self.next_leader = Some(self.now + after);
            self.note("all leaders end".to_owned());
        } else if self.comes(t.leader_cut) {
            let now = self.now;
            if let Some(l) = self.leaders.last_mut().filter(|l| l.cut_since.is_none()) {
                l.cut_since = Some(now);
                let after = LEADER_LEASE + self.delay(100, 3_000);
                self.next_leader = Some(now + after);
                self.note("the leader loses the state service".to_owned());
            }
        }
    }

    // --- users ---

    fn submit(&mut self) {
        if !self.submits || !self.comes(0.6) {
            return;
        }
        self.jobs += 1;
        let job_id = format!("wk-{:06}", self.jobs);
        let gang = self.rng.gen_bool(0.2);
        let task_count = match self.rng.gen_range(0..10) {
            _ if gang => self.rng.gen_range(2..=4),
            0 => self.rng.gen_range(60..=90),
            1..=3 => self.rng.gen_range(8..=30),
            _ => self.rng.gen_range(1..=5),
        };
        let cpus = [1.0, 1.3, 2.0, 2.7, 4.0][self.rng.gen_range(0..5)];
        let mut spec = crate::common::spec(&job_id, task_count, cpus);
        if gang {
            spec.kind = JobKind::Gang;
        }
        let teams = &self.config.teams;
        spec.team = teams[self.rng.gen_range(0..teams.len())].name.clone();
        spec.priority =
            [Priority::Idle, Priority::Standard, Priority::High][self.rng.gen_range(0..3)];
        spec.class = ["plain", "quick"][self.rng.gen_range(0..2)].to_owned();
        spec.image = format!("img-{}", self.rng.gen_range(0..6));
        spec.image_gb = [0.0, 0.5, 2.0, 6.0][self.rng.gen_range(0..4)];
        spec.same_place = self.rng.gen_bool(0.2);
        spec.expected = secs(self.rng.gen_range(3..40));
        if self.rng.gen_bool(0.4) {
            spec.checkpoint_interval = Duration::ZERO;
        }
        let whole = if gang { f64::from(task_count) } else { 1.0 };
        if whole * cpus > 16.0 {
            spec.resources = crate::common::resources(16.0 / whole);
        }
        spec.accepted_ms = (self.now - self.start).as_millis() as u64;
        if self.jobs > 5 && self.rng.gen_bool(0.2) {
            let needed = self.rng.gen_range(self.jobs - 5..self.jobs);
            let needed = JobId(format!("wk-{needed:06}"));
            if self.uploads.jobs.contains_key(&needed) {
                spec.dependencies = vec![needed];
            }
        }
        if self.store.accept(spec.clone()) {
            let job_id = spec.job_id.clone();
            self.uploads.jobs.insert(job_id, Arc::new(spec));
        }
    }

    fn cancel(&mut self) {
        if !self.comes(self.troubles.cancellations) || self.jobs == 0 {
            return;
        }
        let back = self.rng.gen_range(0..self.jobs.min(20));
        let job_id = JobId(format!("wk-{:06}", self.jobs - back));
        if self.uploads.jobs.contains_key(&job_id) && self.store.cancel(&job_id) {
            self.truth.cancelled.insert(job_id, self.now);
        }
    }

    // --- leaders ---

    fn lead(&mut self) {
        if self.next_leader.is_some_and(|at| at <= self.now) {
            self.next_leader = None;
            self.take_leadership();
        }
        let now = self.now;
        let ids: Vec<u64> = self
            .leaders
            .iter()
            .filter(|l| l.ready <= now)
            .map(|l| l.id)
            .collect();
        for id in ids {
            self.read_queue(id);
            self.tick(id);
        }
    }

    fn take_leadership(&mut self) {
        let now = self.now;
        let revision = self.store.lead();
        self.terms += 1;
        self.changes_of_leader += 1;
        let elapsed = (now - self.start).as_millis() as u64;
        let mut cluster = ClusterState::new(
            self.config.clone(),
            Term(self.terms),
            revision,
            self.types.clone(),
            now,
            elapsed,
        );
        cluster.take_over(now, self.store.picture());
        let ready = now + self.delay(0, 1500);
        let id = self.terms;
        self.note(format!("leader {id} takes over"));
        self.leaders.push(Leader {
            id,
            cluster,
            revision,
            ready,
            seen: self.store.revision(),
            read_at: now,
            next_tick: ready,
            cut_since: None,
        });
    }

    /// What the watch of the queue shows, and how jobs stand that others need.
    fn read_queue(&mut self, id: u64) {
        let now = self.now;
        let late = self.delay(100, 600);
        let day = SystemTime::UNIX_EPOCH + (now - self.start);
        let Some(l) = self.leaders.iter_mut().find(|l| l.id == id) else {
            return;
        };
        l.cluster
            .leadership
            .set_clocks(ClockReading { steady: now, day });
        if l.cut_since.is_some() || now < l.read_at {
            return;
        }
        l.read_at = now + late;
        for queued in self.store.queued_after(l.seen) {
            match queued {
                Queued::Job(spec, revision) => l.cluster.on_job(*spec, revision),
                Queued::Cancelled(job_id) => {
                    l.cluster.on_cancelled(now, &job_id, CancelSource::Watch);
                }
            }
        }
        l.seen = self.store.revision();
        l.cluster
            .leadership
            .cancellations_read(ClockReading { steady: now, day });
        for job_id in l.cluster.unresolved() {
            if let Some(outcome) = self.store.outcome(&job_id) {
                l.cluster.ended_before(now, &job_id, outcome);
            }
        }
    }

    fn tick(&mut self, id: u64) {
        let now = self.now;
        let allowance = self.rng.gen_range(2..=12);
        let Some(l) = self.leader(id) else {
            return;
        };
        let certain = l.cut_since.is_none_or(|t| now < t + LEADER_LEASE);
        l.cluster.confirm(certain);
        l.cluster.allow(allowance);
        let actions = if now >= l.next_tick {
            l.next_tick = now + ms(200);
            l.cluster.tick(now)
        } else {
            l.cluster.flush(now)
        };
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: u64, action: Action) {
        match action {
            Action::Store(batch) => self.write(id, batch),
            Action::Send {
                machine,
                token,
                incarnation,
                commands,
                ..
            } => self.command(id, machine, token, incarnation, commands),
            Action::Probe {
                machine,
                token,
                incarnation,
                ..
            } => self.command(id, machine, token, incarnation, Vec::new()),
            Action::Rent {
                idempotency_key,
                spot,
                number,
                ..
            } => self.rent(id, idempotency_key, spot, number),
            Action::Return { machines } => self.give_back(id, machines),
        }
    }

    fn write(&mut self, id: u64, batch: Batch) {
        let cut = self.leader(id).is_some_and(|l| l.cut_since.is_some());
        let lost = self.rng.gen_bool(self.troubles.lost_writes);
        let late = self.rng.gen_bool(self.troubles.late_writes);
        let carried_out = self.rng.gen_bool(0.5);
        let there = self.delay(5, 300);
        let answer_after = self.delay(5, 100);
        if !(cut || lost || late) {
            let write = Event::Write {
                batch,
                leader: Some(id),
                answer_after,
            };
            self.at(there, write);
            return;
        }
        let unanswered = Event::Written {
            leader: id,
            outcome: BatchOutcome::Unknown,
        };
        self.at(ms(1500), unanswered);
        if cut || (lost && !carried_out) {
            return;
        }
        let after = if late {
            self.delay(2_000, 12_000)
        } else {
            there
        };
        let write = Event::Write {
            batch,
            leader: None,
            answer_after,
        };
        self.at(after, write);
    }

    fn command(
        &mut self,
        id: u64,
        machine: MachineId,
        token: FencingToken,
        incarnation: u64,
        commands: Vec<TaskCommand>,
    ) {
        let late = self.rng.gen_bool(self.troubles.late_commands);
        let (soon, later) = (self.delay(5, 60), self.delay(2_000, 16_000));
        let life = self.workers.get(&machine).map_or(0, |w| w.life);
        // Whatever comes first counts, as with a sender that gives up.
        let unanswered = Event::Commanded {
            machine: machine.clone(),
            leader: id,
            heartbeat: None,
        };
        self.at(ANSWER_LIMIT, unanswered);
        let command = Event::Command {
            machine,
            token,
            incarnation,
            commands,
            leader: (!late).then_some(id),
            life,
        };
        self.at(if late { later } else { soon }, command);
    }

    fn rent(&mut self, id: u64, idempotency_key: String, spot: bool, number: u32) {
        let room = self
            .config
            .tuning
            .max_machines
            .saturating_sub(self.workers.len());
        let number = (number as usize).min(room);
        let mut machines = Vec::new();
        for _ in 0..number {
            let boot = self.delay(500, 25_000);
            machines.push(self.machine(boot, spot));
        }
        let after = self.delay(100, 1_500);
        let event = Event::RentalEnded {
            leader: id,
            idempotency_key,
            machines,
        };
        self.at(after, event);
    }

    fn give_back(&mut self, id: u64, machines: Vec<MachineId>) {
        let lost = self.rng.gen_bool(self.troubles.lost_returns);
        let carried_out = self.rng.gen_bool(0.5);
        let after = self.delay(50, 800);
        if !lost {
            let leader = Some(id);
            self.at(after, Event::Return { machines, leader });
            return;
        }
        let failed = Event::Returned {
            machines: machines.clone(),
            leader: id,
            confirmed: false,
        };
        self.at(secs(5), failed);
        if carried_out {
            let leader = None;
            self.at(after, Event::Return { machines, leader });
        }
    }

    /// The cloud's list, as late as it is.
    fn list(&mut self) {
        if self.now < self.next_list {
            return;
        }
        self.next_list = self.now + LIST_EVERY;
        let now = self.now;
        let listed = self.workers.values().map(|w| CloudMachine {
            id: w.id.clone(),
            endpoint: endpoint(&w.id),
            machine_type: w.machine_type.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            phase: if now < w.up_at {
                CloudMachinePhase::Booting
            } else {
                CloudMachinePhase::Running
            },
            age: secs(10),
        });
        let listed = listed.collect();
        let after = self.delay(200, 9_000);
        self.at(after, Event::CloudListed(listed));
    }

    /// Tasks on machines that the newest leader, once it acts, does not hold to be there: whatever it
    /// decides next rests on an account that lacks them.
    pub fn unaccounted(&self) -> Vec<String> {
        let newest = self.leaders.last().filter(|l| l.ready <= self.now);
        let Some(leader) = newest else {
            return Vec::new();
        };
        let known = |machine: &MachineId, task: &TaskId, attempt: AttemptId| {
            let job = leader.cluster.jobs.get(&task.job_id);
            let active = job.and_then(|j| j.active.get(&task.index));
            active.is_some_and(|a| &a.machine == machine && a.id == attempt)
        };
        let mut missing = Vec::new();
        for w in self.workers.values() {
            for ((task, attempt), t) in w.tasks.iter().filter(|(_, t)| !t.ended()) {
                if !known(&w.id, task, *attempt) {
                    missing.push(format!("{task} {attempt:?} {:?} on {}", t.phase, w.id));
                }
            }
        }
        missing
    }

    /// How much work is done, so that a search shows what it covered.
    pub fn tasks_done(&self) -> usize {
        self.uploads.done.len()
    }

    /// What is on machines now.
    pub fn running(&self) -> impl Iterator<Item = (&MachineId, &TaskId, &WorkerTask)> {
        self.workers.values().flat_map(|w| {
            let tasks = w.tasks.iter().filter(|(_, t)| !t.ended());
            tasks.map(|((task, _), t)| (&w.id, task, t))
        })
    }
}

/// Until when messages to a machine wait.
fn blocked_until(w: &Worker, now: Instant) -> Option<Instant> {
    [w.hangs, w.cut]
        .into_iter()
        .flatten()
        .filter(|t| now < *t)
        .max()
}

/// How long a task truly runs. The same in every attempt.
fn run_time(task: &TaskId) -> Duration {
    let number = task.job_id.0.bytes().map(u64::from).sum::<u64>() + u64::from(task.index) * 7;
    ms(1_000 + (number * 977) % 25_000)
}
