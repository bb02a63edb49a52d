//! A machine of the fleet, with what was placed on it.
//!
//! Invariants: a machine is given commands only while it is reachable, and its lease counts as expired
//! only if this term has fenced it, since before that another leader's answers may renew it.

use crate::core::model::{
    FencingToken, JobId, MachineId, MachineTypeName, Resources, TaskId, Term, Zone,
};
use crate::core::placement::history::Average;
use crate::core::state::image_cache::ImageCache;
use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

/// A machine whose measured run times are within this of its type's mean counts as average.
const AVERAGE_SLOWDOWN: std::ops::Range<f64> = 0.0..1.25;
/// The measured slowdown counts in full from this many measurements on.
const MIN_SLOWDOWN_MEASUREMENTS: u32 = 4;
/// Bounds of a machine's slowdown.
const MIN_SLOWDOWN: f64 = 0.7;
const MAX_SLOWDOWN: f64 = 20.0;

/// A fencing token that a machine has to show before it is given anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredToken {
    /// The token, which was first sent with an answer to the machine.
    pub token: FencingToken,
    /// Since when it is required.
    pub since: Instant,
}

/// What identifies a machine, and where it stands.
#[derive(Clone, Debug)]
pub struct MachineIdentity {
    /// Its id.
    pub id: MachineId,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A machine, with what was placed on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its id.
    pub id: MachineId,
    /// The address at which its agent takes commands.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The incarnation of the agent that sent the newest message.
    pub incarnation: u64,
    /// The number of the newest message in that incarnation.
    pub serial: u64,
    /// The fencing token that goes out with the next message.
    pub token: FencingToken,
    /// The agent has shown a token of this term, so that only this term's answers renew its lease.
    pub fenced: bool,
    /// A heartbeat of it was received in this term.
    pub has_reported: bool,
    /// Its heartbeat was requested in this term.
    pub probed: bool,
    /// It was rented in this term, so that no earlier life of it can have left heartbeats behind.
    pub rented_this_term: bool,
    /// The token in its newest message.
    pub observed_token: FencingToken,
    /// Nothing is given to it until it shows this token: a message from it does not prove that answers
    /// and commands reach it.
    pub required_token: Option<RequiredToken>,
    /// Shown by an agent whose serial numbers began anew. Heartbeats with a lower token are those of its
    /// predecessor, however high their serial numbers.
    pub min_token: Option<FencingToken>,
    /// The token by which an agent whose serial numbers began anew would show that it is alive.
    pub restart_probe_token: Option<FencingToken>,
    /// When it became known in this term.
    pub known_since: Instant,
    /// When its newest message was received.
    pub last_heartbeat_at: Instant,
    /// When a heartbeat of it was last answered, which renews its lease.
    pub lease_renewed_at: Option<Instant>,
    /// Set while it is not up yet: when it was requested from the cloud.
    pub booting_since: Option<Instant>,
    /// When the cloud will reclaim it, if it has announced so.
    pub eviction_at: Option<Instant>,
    /// Tasks with an attempt on it that is not proved gone, and the resources that they take.
    pub placed_tasks: BTreeMap<TaskId, Resources>,
    /// The sum of the resources in `placed_tasks`.
    pub used: Resources,
    /// The resources of tasks that run on it without a record.
    pub unexpected_usage: Resources,
    /// The images that it holds and fetches.
    pub images: ImageCache,
    /// A direct command to it is unanswered.
    pub command_in_flight: bool,
    /// It is being given back to the cloud.
    pub returning: bool,
    /// When its return was last requested.
    pub return_requested_at: Option<Instant>,
    /// Since when nothing is placed on it.
    pub idle_since: Option<Instant>,
    /// A cheaper machine replaces it: nothing more is placed on it.
    pub draining: bool,
    /// Nothing is placed on it before this time.
    pub avoid_until: Option<Instant>,
    /// Jobs whose tasks failed here since the last success.
    pub failed_jobs: HashSet<JobId>,
    /// Set while it is in quarantine: tasks of several jobs failed on it, and nothing is placed on it. The
    /// jobs may yet turn out to be at fault.
    pub quarantined_since: Option<Instant>,
    /// The logarithm of measured over expected run time on this machine.
    pub log_slowdown: Average,
    /// Its lease has certainly expired.
    pub lease_expired: bool,
    /// A cancelled task has been on it for too long: it is given back whatever else is uncertain.
    pub cancellation_overdue: bool,
}

impl Machine {
    /// A machine of which nothing is known but its identity.
    pub fn new(identity: MachineIdentity, term: Term, now: Instant) -> Self {
        Machine {
            id: identity.id,
            endpoint: String::new(),
            machine_type: identity.machine_type,
            zone: identity.zone,
            spot: identity.spot,
            incarnation: 0,
            serial: 0,
            token: FencingToken::first(term).next(),
            fenced: false,
            has_reported: false,
            probed: false,
            rented_this_term: false,
            observed_token: FencingToken(0),
            required_token: None,
            min_token: None,
            restart_probe_token: None,
            known_since: now,
            last_heartbeat_at: now,
            lease_renewed_at: None,
            booting_since: None,
            eviction_at: None,
            placed_tasks: BTreeMap::new(),
            used: Resources::default(),
            unexpected_usage: Resources::default(),
            images: ImageCache::default(),
            command_in_flight: false,
            returning: false,
            return_requested_at: None,
            idle_since: None,
            draining: false,
            avoid_until: None,
            failed_jobs: HashSet::new(),
            quarantined_since: None,
            log_slowdown: Average::default(),
            lease_expired: false,
            cancellation_overdue: false,
        }
    }

    /// Whether answers and commands of this term are known to reach it.
    pub fn is_reachable(&self) -> bool {
        (self.fenced || self.rented_this_term) && self.required_token.is_none()
    }

    /// Whether it is in quarantine.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_since.is_some()
    }

    /// Gives nothing to the machine until it shows a token that only an answer sent from now on carries.
    pub(in crate::core) fn require_token(&mut self, now: Instant) {
        if self.required_token.is_none() {
            self.token = self.token.next();
            self.required_token = Some(RequiredToken {
                token: self.token,
                since: now,
            });
        }
    }

    /// Adds a task with an attempt on this machine.
    pub(in crate::core) fn place(&mut self, task: TaskId, resources: Resources) {
        self.placed_tasks.insert(task, resources);
        self.used.add(&resources);
        self.idle_since = None;
    }

    /// Takes out a task whose attempt is proved gone.
    pub(in crate::core) fn unplace(&mut self, now: Instant, task: &TaskId, resources: &Resources) {
        if self.placed_tasks.remove(task).is_some() {
            self.used.sub(resources);
        }
        if self.placed_tasks.is_empty() {
            self.used = Resources::default();
            self.images.clear_fetches();
            self.idle_since = Some(now);
        }
    }

    /// How much longer tasks run here than the type's mean; drawn to 1 while measurements are few.
    pub fn slowdown(&self) -> f64 {
        let counted = self.log_slowdown.count.min(MIN_SLOWDOWN_MEASUREMENTS);
        let weight = f64::from(counted) / f64::from(MIN_SLOWDOWN_MEASUREMENTS);
        let slowdown = (self.log_slowdown.mean * weight)
            .exp()
            .clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        // Machines of a type differ by a tenth, and the measurements by more: of many machines, work
        // would wait for the one that was measured luckily while others are idle.
        if AVERAGE_SLOWDOWN.contains(&slowdown) {
            1.0
        } else {
            slowdown
        }
    }
}
