//! The cloud, the machines with their workers, and the rules as the platform sees them.

use crate::codec::{call, map, s, serve, Answer, Request, V};
use crate::site::Site;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
const MIN_REPORT_GAP: Duration = Duration::from_millis(500);
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended(&'static str, bool),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub job: String,
    pub shard: u64,
    pub attempt: u64,
    pub phase: Phase,
    since: Instant,
    run_s: f64,
}

impl Task {
    pub fn on_machine(&self) -> bool {
        matches!(
            self.phase,
            Phase::Gathering | Phase::Running | Phase::Flushing
        )
    }
    fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(..))
    }
}

pub struct Machine {
    pub name: String,
    pub kind: usize,
    pub zone: String,
    pub spot: bool,
    pub endpoint: String,
    rented: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    tenure: u64,
    serial: u64,
    epoch: u64,
    answered: Instant,
    pub tasks: Vec<Task>,
    images: Vec<(String, f64)>,
    fetched: BTreeMap<String, f64>,
    changed: bool,
    epoch_reported: Instant,
    /// The image fetch rate in parts of that of the machine's type.
    pub fetch_share: f64,
    pub largest_report: usize,
}

impl Machine {
    fn up(&self, now: Instant) -> bool {
        self.gone_at.is_none() && now >= self.up_at
    }
}

pub struct Job {
    pub spec: V,
    pub run_s: f64,
    pub done: BTreeSet<u64>,
    /// How often a task of the job began to run or to wait for its gang.
    pub starts: u64,
}

impl Job {
    fn gang(&self) -> bool {
        self.spec.text("JobKind") == "group"
    }
    fn shards(&self) -> u64 {
        self.spec.int("Shards").unwrap_or(0)
    }
}

#[derive(Default)]
struct Gang {
    started: bool,
    broken: Option<Instant>,
    progress: f64,
    first_kill: Option<Instant>,
}

pub struct State {
    pub site: Site,
    pub jobs: HashMap<String, Job>,
    pub machines: Vec<Machine>,
    gangs: HashMap<(String, u64), Gang>,
    saved: HashMap<(String, u64), f64>,
    claims: HashMap<String, Vec<String>>,
    /// Free machines by type, zone and kind.
    pub capacity: HashMap<(usize, String, bool), u32>,
    pub fronts: Vec<(String, SocketAddr)>,
    pub broken_rules: Vec<String>,
    pub record: Vec<String>,
    pub quiet: bool,
    /// The number of tasks that ended because the lease of their machine ran out or the machine was returned.
    pub tasks_lost: usize,
    next_name: u64,
    begun: Instant,
    random: u64,
}

#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    pub cloud: SocketAddr,
}

impl State {
    pub fn note(&mut self, line: String) {
        let at = self.begun.elapsed().as_secs_f64();
        self.record.push(format!("{at:8.2} {line}"));
    }
    pub fn break_rule(&mut self, line: String) {
        self.note(format!("RULE {line}"));
        self.broken_rules.push(line);
    }
    pub fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
    /// Jobs with a waiting task that fits on a machine with room, within the limit of its team.
    pub fn waiting_with_room(&self) -> Vec<String> {
        let now = Instant::now();
        let mut found = Vec::new();
        for (uid, j) in &self.jobs {
            let (spec, shards) = (&j.spec, j.shards());
            let ready = spec.list("Awaits").iter().all(|a| {
                let V::S(a) = a else { return true };
                self.jobs
                    .get(a)
                    .is_some_and(|j| j.done.len() as u64 >= j.shards())
            });
            if !ready || j.done.len() as u64 >= shards {
                continue;
            }
            let tasks = self.machines.iter().filter(|m| m.up(now));
            let active = tasks
                .flat_map(|m| &m.tasks)
                .filter(|t| &t.job == uid && !t.ended());
            let active = active.count() as u64;
            if active > 0 {
                continue;
            }
            let (cpus, memory) = (spec.num("Vcpus"), spec.num("MemoryGb"));
            let need = if j.gang() { shards } else { 1 };
            let team = spec.text("Owner");
            let limit = self
                .site
                .teams
                .iter()
                .find(|t| t.name == team)
                .map_or(0.0, |t| t.cpus_max);
            if limit > 0.0 && self.usage(&team) + cpus * need as f64 > limit {
                continue;
            }
            let mut by_zone: BTreeMap<String, u64> = BTreeMap::new();
            for m in self.machines.iter().filter(|m| m.up(now)) {
                let t = &self.site.types[m.kind];
                if (spec.get("Site") != &V::Nil && spec.text("Site") != m.zone)
                    || (m.spot && !spec.flag("Preemptible"))
                {
                    continue;
                }
                let used = self.used(m);
                let fit =
                    ((t.cpus - used.0 + 1e-6) / cpus).min((t.memory_gb - used.1 + 1e-6) / memory);
                *by_zone.entry(m.zone.clone()).or_default() += fit.max(0.0) as u64;
            }
            let fits: u64 = if spec.flag("SamePlace") {
                by_zone.values().copied().max().unwrap_or(0)
            } else if spec.flag("Spread") {
                by_zone.values().map(|n| (*n).min(shards.div_ceil(2))).sum()
            } else {
                by_zone.values().sum()
            };
            if fits >= need {
                found.push(uid.clone());
            }
        }
        found
    }
    fn usage(&self, team: &str) -> f64 {
        let live = self.machines.iter().filter(|m| m.gone_at.is_none());
        let tasks = live.flat_map(|m| &m.tasks).filter(|t| t.on_machine());
        let jobs = tasks.filter_map(|t| self.jobs.get(&t.job));
        let jobs = jobs.filter(|j| j.spec.text("Owner") == team);
        jobs.map(|j| j.spec.num("Vcpus")).sum()
    }
    fn used(&self, m: &Machine) -> (f64, f64) {
        let jobs = m
            .tasks
            .iter()
            .filter(|t| !t.ended())
            .filter_map(|t| self.jobs.get(&t.job));
        jobs.fold((0.0, 0.0), |(c, g), j| {
            (c + j.spec.num("Vcpus"), g + j.spec.num("MemoryGb"))
        })
    }

    /// Checks the rules for a task that now has its image on machine `m`.
    fn check_start(&mut self, m: usize, job: &str, shard: u64) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        j.starts += 1;
        let spec = j.spec.clone();
        let (team, awaits) = (spec.text("Owner"), spec.list("Awaits").to_vec());
        let (name, zone) = (self.machines[m].name.clone(), self.machines[m].zone.clone());
        if !self.quiet {
            self.note(format!("start {job}/{shard} on {name}"));
        }
        let mut others = Vec::new();
        for (i, other) in self.machines.iter().enumerate() {
            if other.gone_at.is_some() {
                continue;
            }
            for t in other
                .tasks
                .iter()
                .filter(|t| t.job == job && t.on_machine())
            {
                if t.shard == shard && i != m {
                    others.push(format!(
                        "ran_twice: {job}/{shard} starts on {name} while on {}",
                        other.name
                    ));
                }
            }
        }
        others.into_iter().for_each(|o| self.break_rule(o));
        let limit = self
            .site
            .teams
            .iter()
            .find(|t| t.name == team)
            .map_or(0.0, |t| t.cpus_max);
        let usage = self.usage(&team);
        if limit > 0.0 && usage > limit + 1e-3 {
            self.break_rule(format!("quota: {team} uses {usage} of {limit}"));
        }
        let kind = self.site.types[self.machines[m].kind].name;
        let types = spec.list("HostTypes");
        let wrong = (!types.is_empty() && !types.contains(&s(kind)))
            || (spec.get("Site") != &V::Nil && spec.text("Site") != zone)
            || (self.machines[m].spot && !spec.flag("Preemptible"));
        if wrong {
            self.break_rule(format!("wrong_place: {job}/{shard} on {name}"));
        }
        let live = self.machines.iter().filter(|m| m.gone_at.is_none());
        let zones = live.flat_map(|m| {
            let on = m.tasks.iter().filter(|t| t.job == job && t.on_machine());
            on.map(|_| m.zone.clone()).collect::<Vec<_>>()
        });
        let zones: Vec<String> = zones.collect();
        if spec.flag("SamePlace") && zones.iter().any(|z| z != &zone) {
            self.break_rule(format!(
                "wrong_place: {job}/{shard} in {zone}, others elsewhere"
            ));
        }
        let here = zones.iter().filter(|z| **z == zone).count() as u64;
        if spec.flag("Spread") && here > spec.int("Shards").unwrap_or(0).div_ceil(2) {
            self.break_rule(format!("wrong_place: {here} tasks of {job} in {zone}"));
        }
        for needed in awaits {
            if let V::S(needed) = needed {
                let j = self.jobs.get(&needed);
                if j.is_some_and(|j| (j.done.len() as u64) < j.shards()) {
                    self.break_rule(format!("too_early: {job}/{shard} before {needed}"));
                }
            }
        }
    }

    fn tick(&mut self, now: Instant, dt: f64) {
        for m in 0..self.machines.len() {
            if !self.machines[m].up(now) {
                continue;
            }
            self.check_lease(m, now);
            self.fetch(m, dt);
            self.run_tasks(m, now, dt);
        }
        self.run_gangs(now, dt);
    }

    fn check_lease(&mut self, m: usize, now: Instant) {
        let lease = Duration::from_secs_f64(self.site.lease_s);
        if now.duration_since(self.machines[m].answered) <= lease {
            return;
        }
        let machine = &mut self.machines[m];
        machine.tenure += 1;
        machine.answered = now;
        machine.changed = true;
        let lost = machine.tasks.iter().filter(|t| !t.ended()).count();
        machine.tasks.clear();
        let line = format!("lease of {} expired, {lost} tasks killed", machine.name);
        self.tasks_lost += lost;
        self.note(line);
    }

    fn fetch(&mut self, m: usize, dt: f64) {
        let t = &self.site.types[self.machines[m].kind];
        let rate = t.fetch_gb_per_s * self.machines[m].fetch_share;
        let cache = t.cache_gb;
        let mut wanted = BTreeMap::new();
        for t in self.machines[m]
            .tasks
            .iter()
            .filter(|t| t.phase == Phase::Fetching)
        {
            if let Some(j) = self.jobs.get(&t.job) {
                wanted.insert(j.spec.text("ImageRef"), j.spec.num("PullGb"));
            }
        }
        let machine = &mut self.machines[m];
        machine
            .fetched
            .retain(|image, _| wanted.contains_key(image));
        for (image, gb) in wanted {
            if machine.images.iter().any(|(i, _)| *i == image) {
                continue;
            }
            let got = machine.fetched.entry(image.clone()).or_insert(0.0);
            *got += rate * dt;
            if *got >= gb {
                machine.fetched.remove(&image);
                machine.images.push((image, gb));
                while machine.images.len() > 1
                    && machine.images.iter().map(|i| i.1).sum::<f64>() > cache
                {
                    machine.images.remove(0);
                }
            }
        }
    }

    fn run_tasks(&mut self, m: usize, now: Instant, dt: f64) {
        for i in 0..self.machines[m].tasks.len() {
            let t = self.machines[m].tasks[i].clone();
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let gang = j.gang();
            let done = j.done.contains(&t.shard);
            let (run_s, save_s) = (j.run_s, j.spec.num("SnapshotS"));
            let every = j.spec.num("SnapshotEveryS");
            let image = j.spec.text("ImageRef");
            let next = match t.phase {
                Phase::Fetching => {
                    if !self.machines[m].images.iter().any(|(i, _)| *i == image) {
                        continue;
                    }
                    let phase = if gang {
                        Phase::Gathering
                    } else {
                        Phase::Running
                    };
                    self.machines[m].tasks[i].phase = phase;
                    self.machines[m].tasks[i].since = now;
                    let key = (t.job.clone(), t.shard);
                    let saved = self.saved.get(&key).copied().unwrap_or(0.0);
                    self.machines[m].tasks[i].run_s = saved;
                    self.machines[m].changed = true;
                    self.check_start(m, &t.job, t.shard);
                    if done {
                        Phase::Ended("done", false)
                    } else {
                        phase
                    }
                }
                Phase::Running if !gang => {
                    let ran = t.run_s + dt;
                    self.machines[m].tasks[i].run_s = ran;
                    if every > 0.0 {
                        let saved = (ran / every).floor() * every;
                        self.saved.insert((t.job.clone(), t.shard), saved);
                    }
                    if ran >= run_s {
                        Phase::Ended("done", false)
                    } else {
                        Phase::Running
                    }
                }
                Phase::Flushing if !gang && t.since.elapsed().as_secs_f64() >= save_s => {
                    self.saved.insert((t.job.clone(), t.shard), t.run_s);
                    Phase::Ended("stopped", true)
                }
                phase => phase,
            };
            self.set_phase(m, i, next);
        }
    }

    fn set_phase(&mut self, m: usize, i: usize, phase: Phase) {
        let task = &mut self.machines[m].tasks[i];
        if task.phase == phase {
            return;
        }
        task.phase = phase;
        task.since = Instant::now();
        let (job, shard) = (task.job.clone(), task.shard);
        self.machines[m].changed = true;
        if let Phase::Ended(why, _) = phase {
            if why == "done" {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.done.insert(shard);
                }
            }
            if !self.quiet {
                let line = format!("end {job}/{shard} on {}: {why}", self.machines[m].name);
                self.note(line);
            }
        }
    }

    fn run_gangs(&mut self, now: Instant, dt: f64) {
        let mut members: BTreeMap<(String, u64), Vec<(usize, usize)>> = BTreeMap::new();
        for (m, machine) in self.machines.iter().enumerate() {
            if !machine.up(now) {
                continue;
            }
            for (i, t) in machine.tasks.iter().enumerate() {
                let gang = self.jobs.get(&t.job).is_some_and(Job::gang);
                if gang && t.on_machine() {
                    members
                        .entry((t.job.clone(), t.attempt))
                        .or_default()
                        .push((m, i));
                }
            }
        }
        let (wait_s, peer_s) = (self.site.gang_wait_s, self.site.gang_peer_s);
        for (key, at) in members {
            let Some(j) = self.jobs.get(&key.0) else {
                continue;
            };
            let (shards, run_s, every) = (j.shards(), j.run_s, j.spec.num("SnapshotEveryS"));
            let saved = self.saved.get(&(key.0.clone(), 0)).copied().unwrap_or(0.0);
            let complete = at.len() as u64 == shards;
            let gang = self.gangs.entry(key.clone()).or_default();
            if !gang.started {
                if complete {
                    gang.started = true;
                    gang.progress = saved;
                    for (m, i) in &at {
                        self.set_phase(*m, *i, Phase::Running);
                    }
                } else {
                    for (m, i) in &at {
                        let late = self.machines[*m].tasks[*i].since.elapsed().as_secs_f64();
                        if late > wait_s {
                            self.set_phase(*m, *i, Phase::Ended("incomplete", false));
                        }
                    }
                }
                continue;
            }
            if complete && gang.broken.is_none() && gang.first_kill.is_none() {
                gang.progress += dt;
                let progress = gang.progress;
                if every > 0.0 {
                    let saved = (progress / every).floor() * every;
                    self.saved.insert((key.0.clone(), 0), saved);
                }
                if progress >= run_s {
                    for (m, i) in &at {
                        self.set_phase(*m, *i, Phase::Ended("done", false));
                    }
                }
                continue;
            }
            let since = *gang.broken.get_or_insert(now);
            if now.duration_since(since).as_secs_f64() > peer_s * 0.8 {
                for (m, i) in &at {
                    self.set_phase(*m, *i, Phase::Ended("peers", false));
                }
            }
        }
    }

    fn report(&mut self, m: usize) -> V {
        let machine = &mut self.machines[m];
        machine.serial += 1;
        let tasks = machine.tasks.iter().map(|t| {
            let phase = match t.phase {
                Phase::Fetching => "fetching",
                Phase::Gathering => "gathering",
                Phase::Running => "running",
                Phase::Flushing => "flushing",
                Phase::Ended(..) => "ended",
            };
            let mut fields = vec![
                ("Shard".to_owned(), V::S(format!("{}/{}", t.job, t.shard))),
                ("Try".to_owned(), V::U(t.attempt)),
                ("Phase".to_owned(), s(phase)),
            ];
            if let Phase::Ended(why, stored) = t.phase {
                fields.push(("ExitReason".to_owned(), s(why)));
                if stored {
                    fields.push(("Stored".to_owned(), V::Bool(true)));
                }
            }
            V::M(fields)
        });
        let tasks = V::L(tasks.collect());
        let report = map([
            ("Host", s(&machine.name)),
            ("Endpoint", s(&machine.endpoint)),
            ("HostType", s(self.site.types[machine.kind].name)),
            ("Site", s(&machine.zone)),
            ("Preemptible", V::Bool(machine.spot)),
            ("Tenure", V::U(machine.tenure)),
            ("Serial", V::U(machine.serial)),
            ("Epoch", V::U(machine.epoch)),
            ("EvictionS", V::Nil),
            ("Shards", tasks),
        ]);
        machine.largest_report = machine.largest_report.max(report.json_bytes());
        report
    }

    /// Executes a message if its token is not lower than the highest one seen.
    fn execute(&mut self, m: usize, body: &V) -> bool {
        let Some(epoch) = body.int("Epoch") else {
            return false;
        };
        if epoch < self.machines[m].epoch {
            return false;
        }
        if epoch > self.machines[m].epoch {
            self.machines[m].epoch = epoch;
            let lease = Duration::from_secs_f64(self.site.lease_s / 2.0);
            if self.machines[m].epoch_reported.elapsed() > lease {
                self.machines[m].epoch_reported = Instant::now();
                self.machines[m].changed = true;
            }
        }
        for d in body.list("Directives") {
            let (shard, attempt) = (d.text("Shard"), d.int("Try").unwrap_or(0));
            let Some((job, index)) = shard.rsplit_once('/') else {
                continue;
            };
            let index: u64 = index.parse().unwrap_or(0);
            let is = |t: &Task| t.job == job && t.shard == index && t.attempt == attempt;
            let at = self.machines[m].tasks.iter().position(is);
            match (d.text("Verb").as_str(), at) {
                ("launch", None) => self.launch(m, job, index, attempt),
                ("kill", Some(i)) => self.kill(m, i, d.num("WindDownS")),
                ("forget", Some(i)) if self.machines[m].tasks[i].ended() => {
                    self.machines[m].tasks.remove(i);
                }
                _ => {}
            }
        }
        true
    }

    fn launch(&mut self, m: usize, job: &str, shard: u64, attempt: u64) {
        let t = &self.site.types[self.machines[m].kind];
        let (cpus, memory) = (t.cpus, t.memory_gb);
        let used = self.used(&self.machines[m]);
        let machine = &self.machines[m];
        let same = |t: &Task| t.job == job && t.shard == shard && !t.ended();
        let phase = match self.jobs.get(job) {
            None => Phase::Ended("unknown", false),
            Some(j) if shard >= j.shards() => Phase::Ended("unknown", false),
            Some(_) if machine.tasks.iter().any(same) => Phase::Ended("in_use", false),
            Some(j)
                if used.0 + j.spec.num("Vcpus") > cpus + 1e-3
                    || used.1 + j.spec.num("MemoryGb") > memory + 1e-3 =>
            {
                Phase::Ended("no_room", false)
            }
            Some(_) => Phase::Fetching,
        };
        self.machines[m].tasks.push(Task {
            job: job.to_owned(),
            shard,
            attempt,
            phase,
            since: Instant::now(),
            run_s: 0.0,
        });
        self.machines[m].changed = true;
    }

    fn kill(&mut self, m: usize, i: usize, grace: f64) {
        let t = self.machines[m].tasks[i].clone();
        if t.ended() {
            return;
        }
        let (saves, save_s, gang) = self.jobs.get(&t.job).map_or((false, 0.0, false), |j| {
            let spec = &j.spec;
            (
                spec.num("SnapshotEveryS") > 0.0,
                spec.num("SnapshotS"),
                j.gang(),
            )
        });
        if gang {
            if let Some(g) = self.gangs.get_mut(&(t.job.clone(), t.attempt)) {
                g.first_kill.get_or_insert(Instant::now());
            }
        }
        let phase = match t.phase {
            Phase::Running if saves && !gang && grace >= save_s => Phase::Flushing,
            Phase::Flushing if grace > 0.0 => Phase::Flushing,
            _ => Phase::Ended("stopped", false),
        };
        self.set_phase(m, i, phase);
    }
}

impl World {
    pub fn start(site: Site) -> World {
        let state = Arc::new(Mutex::new(State {
            site,
            jobs: HashMap::new(),
            machines: Vec::new(),
            gangs: HashMap::new(),
            saved: HashMap::new(),
            claims: HashMap::new(),
            capacity: HashMap::new(),
            fronts: Vec::new(),
            broken_rules: Vec::new(),
            record: Vec::new(),
            quiet: false,
            tasks_lost: 0,
            next_name: 0,
            begun: Instant::now(),
            random: 0x9e37_79b9_7f4a_7c15,
        }));
        let mut world = World {
            state,
            cloud: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let serving = world.clone();
        world.cloud = serve(move |r| serving.cloud_call(r));
        let ticking = world.clone();
        std::thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                std::thread::sleep(TICK);
                let now = Instant::now();
                ticking
                    .lock()
                    .tick(now, now.duration_since(last).as_secs_f64());
                last = now;
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("world")
    }

    pub fn note(&self, line: &str) {
        self.lock().note(line.to_owned());
    }

    /// Adds a machine that comes up after `boot`. Returns its number.
    pub fn add_machine(&self, kind: usize, zone: &str, spot: bool, boot: Duration) -> usize {
        let mut state = self.lock();
        state.next_name += 1;
        let (m, now) = (state.machines.len(), Instant::now());
        let name = format!("i-{:06}", state.next_name);
        let serving = self.clone();
        let endpoint = serve(move |r| serving.worker_call(m, r)).to_string();
        state.machines.push(Machine {
            name,
            kind,
            zone: zone.to_owned(),
            spot,
            endpoint,
            rented: now,
            up_at: now + boot,
            gone_at: None,
            tenure: 1,
            serial: 0,
            epoch: 0,
            answered: now + boot,
            tasks: Vec::new(),
            images: Vec::new(),
            fetched: BTreeMap::new(),
            changed: false,
            epoch_reported: now,
            fetch_share: 1.0,
            largest_report: 0,
        });
        drop(state);
        let reporting = self.clone();
        std::thread::spawn(move || reporting.send_reports(m));
        m
    }

    /// Gives a machine an image that it fetched before the case began.
    pub fn cache_image(&self, m: usize, image: &str, gb: f64) {
        self.lock().machines[m].images.push((image.to_owned(), gb));
    }

    /// The cloud takes a machine back, with all that is on it.
    pub fn remove_machine(&self, m: usize) {
        let mut state = self.lock();
        if state.machines[m].gone_at.is_none() {
            state.machines[m].gone_at = Some(Instant::now());
            let lost = state.machines[m]
                .tasks
                .iter()
                .filter(|t| !t.ended())
                .count();
            state.tasks_lost += lost;
            state.machines[m].tasks.clear();
            let line = format!(
                "machine {} returned with {lost} tasks",
                state.machines[m].name
            );
            state.note(line);
        }
    }

    fn worker_call(&self, m: usize, r: &Request) -> Answer {
        let mut state = self.lock();
        if !state.machines[m].up(Instant::now()) {
            return None;
        }
        if r.path == "/status" {
            return Some((200, state.report(m)));
        }
        if r.body.int("Epoch").is_none() || r.body.int("Tenure").is_none() {
            return Some((400, map([])));
        }
        let fits = r.body.int("Tenure") == Some(state.machines[m].tenure);
        let executed = fits && state.execute(m, &r.body);
        let status = if executed { 200 } else { 409 };
        Some((status, state.report(m)))
    }

    fn send_reports(&self, m: usize) {
        let mut target = m;
        let mut last = Instant::now() - MIN_REPORT_GAP;
        let mut due = last;
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let (to, report, sent, nodes) = {
                let mut state = self.lock();
                let machine = &state.machines[m];
                if machine.gone_at.is_some() {
                    return;
                }
                let ready = now >= due || machine.changed;
                if !machine.up(now)
                    || state.fronts.is_empty()
                    || !ready
                    || now.duration_since(last) < MIN_REPORT_GAP
                {
                    continue;
                }
                state.machines[m].changed = false;
                last = now;
                let jitter = 0.75 + 0.5 * (state.random() % 1000) as f64 / 1000.0;
                due = now + Duration::from_secs_f64(state.site.report_s * jitter);
                let nodes = state.fronts.len();
                let to = state.fronts[target % nodes].1;
                (to, state.report(m), now, nodes)
            };
            let answer = call("POST", to, "/agent/beat", Some(&report), ANSWER_LIMIT);
            let mut state = self.lock();
            match answer {
                (200, body) => {
                    let current = report.int("Tenure") == Some(state.machines[m].tenure);
                    if current && state.execute(m, &body) {
                        state.machines[m].answered = sent;
                    }
                }
                (421, body) => {
                    let named = body.text("Controller");
                    let found = state.fronts.iter().position(|f| f.0 == named);
                    match found.filter(|n| *n != target % nodes) {
                        Some(n) => target = n,
                        None => {
                            target += 1;
                            due = Instant::now() + RETRY;
                        }
                    }
                    state.machines[m].changed = true;
                }
                (status, _) => {
                    if status == 400 {
                        let line = format!(
                            "report of {} with {} tasks, {} bytes as text: answer 400",
                            state.machines[m].name,
                            report.list("Shards").len(),
                            report.json_bytes()
                        );
                        state.note(line);
                    }
                    target += 1;
                    last = Instant::now() + RETRY - MIN_REPORT_GAP;
                    state.machines[m].changed = true;
                }
            }
        }
    }

    fn cloud_call(&self, r: &Request) -> Answer {
        std::thread::sleep(Duration::from_millis(100));
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/machine_types") => Some((200, self.types())),
            ("GET", _) => Some((200, self.list(r))),
            ("POST", "/hosts") => Some(self.rent(&r.body)),
            ("POST", "/hosts/return") => {
                let names: Vec<String> = r.body.list("Hosts").iter().filter_map(name_of).collect();
                let found: Vec<usize> = {
                    let state = self.lock();
                    let all = state.machines.iter().enumerate();
                    let found = all.filter(|(_, m)| names.contains(&m.name));
                    found.map(|(n, _)| n).collect()
                };
                for m in found {
                    let mut state = self.lock();
                    let machine = &state.machines[m];
                    let key = (machine.kind, machine.zone.clone(), machine.spot);
                    if machine.gone_at.is_none() {
                        *state.capacity.entry(key).or_default() += 1;
                    }
                    drop(state);
                    self.remove_machine(m);
                }
                Some((200, map([])))
            }
            _ => Some((400, map([]))),
        }
    }

    fn types(&self) -> V {
        let state = self.lock();
        let types = state.site.types.iter().map(|t| {
            map([
                ("Name", s(t.name)),
                ("Vcpus", V::F(t.cpus)),
                ("Gpus", V::F(0.0)),
                ("MemoryGb", V::F(t.memory_gb)),
                ("CacheGb", V::F(t.cache_gb)),
                ("FetchGbPerS", V::F(t.fetch_gb_per_s)),
                ("Hourly", V::F(t.price)),
                ("LowPrice", V::F(t.spot_price)),
                ("BootS", V::F(t.boot_s)),
                ("Sites", V::L(t.sites.iter().map(|z| s(z)).collect())),
            ])
        });
        map([("HostTypes", V::L(types.collect()))])
    }

    fn list(&self, r: &Request) -> V {
        let state = self.lock();
        let (now, lag) = (Instant::now(), Duration::from_secs(8));
        let from = r.param("From").unwrap_or("").to_owned();
        let listed = state.machines.iter().filter(|m| {
            let begun = now.duration_since(m.rented) >= lag || m.rented == m.up_at;
            let there = m.gone_at.is_none_or(|t| now.duration_since(t) < lag);
            begun && there && m.name > from
        });
        let hosts = listed.map(|m| {
            let phase = if now < m.up_at { "booting" } else { "running" };
            map([
                ("Uid", s(&m.name)),
                ("Endpoint", s(&m.endpoint)),
                ("HostType", s(state.site.types[m.kind].name)),
                ("Site", s(&m.zone)),
                ("Preemptible", V::Bool(m.spot)),
                ("Phase", s(phase)),
                ("AgeS", V::F(now.duration_since(m.rented).as_secs_f64())),
            ])
        });
        map([
            ("Hosts", V::L(hosts.collect())),
            ("HasNext", V::Bool(false)),
        ])
    }

    fn rent(&self, body: &V) -> (u16, V) {
        let claim = body.text("Claim");
        let names = |l: &[String]| map([("Hosts", V::L(l.iter().map(|n| s(n)).collect()))]);
        let (kind, zone, spot, count, boot) = {
            let mut state = self.lock();
            if let Some(rented) = state.claims.get(&claim) {
                return (200, names(rented));
            }
            let wanted = body.text("HostType");
            let Some(kind) = state.site.types.iter().position(|t| t.name == wanted) else {
                return (400, map([]));
            };
            let (zone, spot) = (body.text("Site"), body.flag("Preemptible"));
            let free = state
                .capacity
                .entry((kind, zone.clone(), spot))
                .or_default();
            let count = (*free).min(body.int("Number").unwrap_or(0) as u32);
            *free -= count;
            (kind, zone, spot, count, state.site.types[kind].boot_s)
        };
        if count == 0 {
            return (503, map([("error", s("no capacity"))]));
        }
        let boot = Duration::from_secs_f64(boot);
        let new: Vec<usize> = (0..count)
            .map(|_| self.add_machine(kind, &zone, spot, boot))
            .collect();
        let mut state = self.lock();
        let rented: Vec<String> = new
            .iter()
            .map(|m| state.machines[*m].name.clone())
            .collect();
        state.note(format!("rented {rented:?} in {zone}, spot {spot}"));
        state.claims.insert(claim, rented.clone());
        (200, names(&rented))
    }
}

fn name_of(v: &V) -> Option<String> {
    match v {
        V::S(name) => Some(name.clone()),
        _ => None,
    }
}
