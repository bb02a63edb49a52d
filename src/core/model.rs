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
    pub fn of(name: &str) -> ImageKey {
        let mut h = fnv::FnvHasher::default();
        h.write(name.as_bytes());
        ImageKey(h.finish())
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub uid: Uid,
    pub index: u32,
}

impl TaskId {
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
    pub fn first(term: Term) -> Epoch {
        Epoch(term.0 << SEQUENCE_BITS)
    }
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// An attempt's number, unique over all terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    Idle,
    Standard,
    High,
    Production,
}

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
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
}

/// Sums of decimal amounts drift by rounding; this much is not a shortage.
const ROUNDING: f64 = 1e-6;

impl Need {
    pub fn fits(&self, free: &Need) -> bool {
        self.cpus <= free.cpus + ROUNDING
            && self.gpus <= free.gpus + ROUNDING
            && self.memory <= free.memory + ROUNDING
    }
    pub fn add(&mut self, o: &Need) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory += o.memory;
    }
    pub fn sub(&mut self, o: &Need) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory -= o.memory;
    }
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

#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    pub uid: Uid,
    pub class: String,
    pub owner: TeamName,
    pub kind: JobKind,
    pub urgency: Urgency,
    pub shards: u32,
    pub need: Need,
    pub host_types: Option<Vec<TypeName>>,
    pub site: Option<Site>,
    pub same_place: bool,
    pub spread: bool,
    pub preemptible: bool,
    pub image: String,
    pub image_gb: f64,
    pub expected: Duration,
    pub snapshot_every: Duration,
    pub snapshot: Duration,
    pub due: Option<Duration>,
    /// Jobs that have to be done before any task of this one starts.
    pub needs: Vec<Uid>,
    /// It stands in the lists of its dependencies, which the version before this one keeps.
    pub listed: bool,
    /// Time of day of acceptance, as milliseconds since 1970.
    pub accepted_ms: u64,
}

impl JobSpec {
    pub fn allows_type(&self, t: &TypeName) -> bool {
        self.host_types.as_ref().is_none_or(|l| l.contains(t))
    }
    pub fn allows_site(&self, s: &Site) -> bool {
        self.site.as_ref().is_none_or(|only| only == s)
    }
    pub fn saves(&self) -> bool {
        !self.snapshot_every.is_zero()
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct HostType {
    pub name: TypeName,
    pub room: Need,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    pub low_price: f64,
    pub boot: Duration,
    pub sites: Vec<Site>,
}

impl HostType {
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
    pub name: TeamName,
    pub cpus: Option<f64>,
    pub cpus_max: Option<f64>,
    pub gpus: Option<f64>,
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
    pub kind: String,
    pub class: Option<String>,
    pub within: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done,
    Stopped { stored: bool },
    Peers,
    Incomplete,
    Error,
    NoRoom,
    InUse,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended(Exit),
}

#[derive(Clone, Debug, PartialEq)]
pub struct TaskReport {
    pub task: TaskId,
    pub attempt: Attempt,
    pub phase: TaskPhase,
}

/// A worker's report, or the body of a direct answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub host: HostId,
    pub endpoint: String,
    pub host_type: TypeName,
    pub site: Site,
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    pub epoch: Epoch,
    pub eviction: Option<Duration>,
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    Launch {
        task: TaskId,
        attempt: Attempt,
    },
    Kill {
        task: TaskId,
        attempt: Attempt,
        wind_down: Duration,
    },
    Forget {
        task: TaskId,
        attempt: Attempt,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedPhase {
    Booting,
    Running,
    Failed,
}

/// An entry of the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: HostId,
    pub endpoint: String,
    pub host_type: TypeName,
    pub site: Site,
    pub spot: bool,
    pub phase: ListedPhase,
    pub age: Duration,
}

/// What the deployment's settings say to the core.
#[derive(Clone, Debug)]
pub struct Params {
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
    pub cancel: Duration,
    pub txn_ops: usize,
    pub value_bytes: usize,
    pub list_lag: Duration,
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
