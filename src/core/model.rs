//! What the scheduler talks about: jobs, tasks, hosts, teams and their identities.

use std::fmt;
use std::hash::Hasher;
use std::time::Duration;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(s.to_owned())
            }
        }
    };
}

text_id!(
    /// A job's id, chosen by its user.
    Uid
);
text_id!(
    /// A machine's name, chosen by the cloud.
    HostId
);
text_id!(
    /// A team, as the settings name it.
    TeamName
);
text_id!(
    /// A zone, as the cloud names it.
    Site
);
text_id!(
    /// The name of a machine type.
    TypeName
);

impl Uid {
    /// Ids always read `wk-` and digits. Anything else never names a job.
    pub fn parse(s: &str) -> Option<Uid> {
        let digits = s.strip_prefix("wk-")?;
        let fits = (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        fits.then(|| Uid(s.to_owned()))
    }
}

/// An image's name, hashed: what a machine holds is compared for every job and machine of a round.
/// Two names that meet would only mislead an estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(pub u64);

impl ImageKey {
    /// The key of an image's name.
    pub fn of(name: &str) -> ImageKey {
        let mut h = fnv::FnvHasher::default();
        h.write(name.as_bytes());
        ImageKey(h.finish())
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The task's job.
    pub uid: Uid,
    /// Its place in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// From `UID/INDEX`, as workers name it.
    pub fn parse(s: &str) -> Option<TaskId> {
        let (uid, index) = s.rsplit_once('/')?;
        Some(TaskId {
            uid: Uid::parse(uid)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.uid, self.index)
    }
}

/// The number of a leadership. Each takeover raises it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// The token that workers compare: the term above, a per-host sequence below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u64);

const SEQUENCE_BITS: u32 = 24;

impl Epoch {
    /// The first token of a term.
    pub fn first(term: Term) -> Epoch {
        Epoch(term.0 << SEQUENCE_BITS)
    }
    /// The term that gave it out.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }
    /// The next token of the same term.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// An attempt's number, unique over all terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// How urgent a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// For machines that would stand idle.
    Idle,
    /// The usual one.
    Standard,
    /// Before standard work.
    High,
    /// Before everything else.
    Production,
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks.
    Batch,
    /// All tasks run at the same time or none does.
    Gang,
}

/// An amount of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Processors, or parts of them.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// Sums of decimal amounts drift by rounding; this much is not a shortage.
const ROUNDING: f64 = 1e-6;

impl Need {
    /// Whether there is room for it.
    pub fn fits(&self, free: &Need) -> bool {
        self.cpus <= free.cpus + ROUNDING
            && self.gpus <= free.gpus + ROUNDING
            && self.memory <= free.memory + ROUNDING
    }
    /// Adds another amount.
    pub fn add(&mut self, o: &Need) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory += o.memory;
    }
    /// Takes another amount away.
    pub fn sub(&mut self, o: &Need) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory -= o.memory;
    }
    /// So many times this amount.
    pub fn times(&self, n: f64) -> Need {
        Need {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }
    /// How many of `self` go into `room`.
    pub fn count_in(&self, room: &Need) -> usize {
        let one = |need: f64, room: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((room + ROUNDING) / need).floor().max(0.0)
            }
        };
        let n = one(self.cpus, room.cpus)
            .min(one(self.gpus, room.gpus))
            .min(one(self.memory, room.memory));
        if n.is_finite() {
            n as usize
        } else {
            1000
        }
    }
    /// The largest share of `whole` that any one resource takes.
    pub fn share_of(&self, whole: &Need) -> f64 {
        let one = |need: f64, whole: f64| if whole > 0.0 { need / whole } else { 0.0 };
        one(self.cpus, whole.cpus)
            .max(one(self.gpus, whole.gpus))
            .max(one(self.memory, whole.memory))
    }
}

/// A job, as its user submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Its id.
    pub uid: Uid,
    /// Its class, by which objectives and history know it.
    pub class: String,
    /// Its team.
    pub owner: TeamName,
    /// How its tasks belong together.
    pub kind: JobKind,
    /// What it goes before.
    pub urgency: Urgency,
    /// How many tasks it has.
    pub shards: u32,
    /// What one task takes of a machine.
    pub need: Need,
    /// The machine types that it may run on. None: all.
    pub host_types: Option<Vec<TypeName>>,
    /// The zone that it must run in, if any.
    pub site: Option<Site>,
    /// All of its tasks run in one zone.
    pub same_place: bool,
    /// Its tasks are spread over zones.
    pub spread: bool,
    /// It may run on spot machines.
    pub preemptible: bool,
    /// The name of its image.
    pub image: String,
    /// The size of its image.
    pub image_gb: f64,
    /// How long its user expects a task to run.
    pub expected: Duration,
    /// How often a running task saves its progress. Zero: never.
    pub snapshot_every: Duration,
    /// How long a task takes to save when it is stopped.
    pub snapshot: Duration,
    /// When it should be done, from its submission.
    pub due: Option<Duration>,
    /// Jobs that have to be done before any task of this one starts.
    pub needs: Vec<Uid>,
    /// It stands in the lists of its dependencies, which the version before this one keeps.
    pub listed: bool,
    /// Time of day of acceptance, as milliseconds since 1970.
    pub accepted_ms: u64,
}

impl JobSpec {
    /// Whether it may run on this machine type.
    pub fn allows_type(&self, t: &TypeName) -> bool {
        self.host_types.as_ref().is_none_or(|l| l.contains(t))
    }
    /// Whether it may run in this zone.
    pub fn allows_site(&self, s: &Site) -> bool {
        self.site.as_ref().is_none_or(|only| only == s)
    }
    /// Whether its tasks save their progress.
    pub fn saves(&self) -> bool {
        !self.snapshot_every.is_zero()
    }
}

/// A machine type, as the cloud offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostType {
    /// Its name.
    pub name: TypeName,
    /// What a machine has.
    pub room: Need,
    /// How much of images a machine keeps.
    pub cache_gb: f64,
    /// How fast it fetches an image.
    pub fetch_gb_per_s: f64,
    /// The price of an ordinary machine.
    pub hourly: f64,
    /// The price of a spot machine.
    pub low_price: f64,
    /// How long it takes to come up.
    pub boot: Duration,
    /// Where it is on offer.
    pub sites: Vec<Site>,
}

impl HostType {
    /// What an hour costs.
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.low_price
        } else {
            self.hourly
        }
    }
}

/// A team's guarantee and limit. None: there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed processors.
    pub cpus: Option<f64>,
    /// Most processors.
    pub cpus_max: Option<f64>,
    /// Guaranteed graphics processors.
    pub gpus: Option<f64>,
    /// Most graphics processors.
    pub gpus_max: Option<f64>,
}

impl Team {
    /// Whether `used` plus `more` stays within the limit.
    pub fn allows(&self, used: &Need, more: &Need) -> bool {
        let within = |max: Option<f64>, used: f64, more: f64| {
            max.is_none_or(|m| used + more <= m + ROUNDING)
        };
        within(self.cpus_max, used.cpus, more.cpus) && within(self.gpus_max, used.gpus, more.gpus)
    }
    /// Whether `used` stays within the guarantee.
    pub fn guarantees(&self, used: &Need) -> bool {
        let within = |g: Option<f64>, used: f64| used <= g.unwrap_or(0.0) + ROUNDING;
        within(self.cpus, used.cpus) && within(self.gpus, used.gpus)
    }
}

/// What the settings promise the users of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// What is promised: `wait`, `finished`, `deadline` and others.
    pub kind: String,
    /// The class; None: all of them.
    pub class: Option<String>,
    /// The time within which, where the promise names one.
    pub within: Option<Duration>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It completed.
    Done,
    /// It was told to stop.
    Stopped {
        /// It saved first.
        stored: bool,
    },
    /// Another member of its gang ended.
    Peers,
    /// Its gang did not assemble in time.
    Incomplete,
    /// It failed by itself.
    Error,
    /// The worker had no room for it.
    NoRoom,
    /// The worker still had an earlier attempt.
    InUse,
    /// The worker refused it: it knows of no such job or task.
    Unknown,
}

/// How far a task is on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching,
    /// It waits for its gang.
    Gathering,
    /// It runs.
    Running,
    /// It was told to stop and saves.
    Flushing,
    /// It is over.
    Ended(Exit),
}

/// One task of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that the worker was given.
    pub attempt: Attempt,
    /// How far it is.
    pub phase: TaskPhase,
}

/// A worker's report, or the body of a direct answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The machine's name.
    pub host: HostId,
    /// Where it takes commands.
    pub endpoint: String,
    /// Its type.
    pub host_type: TypeName,
    /// Its zone.
    pub site: Site,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// The number of its session. A new one begins when its lease has run out.
    pub tenure: u64,
    /// Increases with every message of a session.
    pub serial: u64,
    /// The highest token that it has seen.
    pub epoch: Epoch,
    /// When the cloud will take it, if that is known.
    pub eviction: Option<Duration>,
    /// The tasks on it, ended ones too until they may be forgotten.
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Start a task.
    Launch {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
    },
    /// Stop a task, with so much time to save.
    Kill {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
        /// How long it may save.
        wind_down: Duration,
    },
    /// Leave an ended task out of later reports.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
    },
}

/// How far a listed machine is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedPhase {
    /// It is not up yet.
    Booting,
    /// It is up.
    Running,
    /// It will not come up.
    Failed,
}

/// An entry of the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The machine's name.
    pub id: HostId,
    /// Where it takes commands; empty while it boots.
    pub endpoint: String,
    /// Its type.
    pub host_type: TypeName,
    /// Its zone.
    pub site: Site,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// How far it is.
    pub phase: ListedPhase,
    /// How long ago it was rented.
    pub age: Duration,
}

/// What the deployment's settings say to the core.
#[derive(Clone, Debug)]
pub struct Params {
    /// Guarantees and limits.
    pub teams: Vec<Team>,
    /// What users were promised.
    pub objectives: Vec<Objective>,
    /// How often workers report.
    pub report: Duration,
    /// How long a worker runs its tasks without an answer.
    pub lease: Duration,
    /// How long a gang may take to assemble.
    pub gang_wait: Duration,
    /// Within what time the members of a gang notice that one of them is gone.
    pub gang_peer: Duration,
    /// Within what time of its confirmation a cancellation has taken effect.
    pub cancel: Duration,
    /// Most changes in a transaction of the state service.
    pub txn_ops: usize,
    /// Most bytes of a value of the state service.
    pub value_bytes: usize,
    /// How late the cloud's list is.
    pub list_lag: Duration,
    /// The operators' own settings.
    pub tuning: Tuning,
}

/// Operators' own settings that the core reads.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// How often the history's summary goes to the state service.
    pub summary_every: Duration,
    /// A host silent for this share of its lease is given back.
    pub silent_share: f64,
    /// How long an idle spot machine is kept.
    pub idle_spot: Duration,
    /// How long an idle ordinary machine is kept.
    pub idle_ordinary: Duration,
    /// Live jobs above which submissions are refused with 429.
    pub max_live_jobs: usize,
    /// Room kept free for classes whose tasks must start soon, in jobs.
    pub headroom_jobs: f64,
    /// Most machines at a time.
    pub max_hosts: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            summary_every: Duration::from_secs(30),
            silent_share: 0.6,
            idle_spot: Duration::from_secs(45),
            idle_ordinary: Duration::from_secs(20),
            max_live_jobs: 20_000,
            headroom_jobs: 1.0,
            max_hosts: 5000,
        }
    }
}
