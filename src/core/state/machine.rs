//! A machine of the fleet and the tasks that are placed on it.
//!
//! Invariants: placement rounds place tasks on a machine only while it is reachable. The lease of a machine
//! counts as expired only if this term has fenced it, because until then answers of an earlier leader may
//! renew it.

use crate::core::model::{
    FencingToken, JobId, MachineId, MachineTypeName, Resources, TaskId, Term, Zone,
};
use crate::core::placement::history::Average;
use crate::core::state::image_cache::ImageCache;
use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

/// A machine whose slowdown (measured over estimated run time) is in this range is treated as having the
/// average slowdown, 1.
const AVERAGE_SLOWDOWN_RANGE: std::ops::Range<f64> = 0.0..1.25;
/// The measured slowdown has its full weight from this many measurements on.
const FULL_WEIGHT_MEASUREMENTS: u32 = 4;
/// Bounds of a machine's slowdown. The lower bound has no effect as long as [`AVERAGE_SLOWDOWN_RANGE`]
/// contains it.
const MIN_SLOWDOWN: f64 = 0.7;
const MAX_SLOWDOWN: f64 = 20.0;

/// A fencing token that a machine has to show before further tasks are placed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredToken {
    /// The token that the machine has to show. It is first sent after the requirement was set, so a machine
    /// that shows it proves that messages of this leader reach the machine.
    pub token: FencingToken,
    /// When the requirement was set.
    pub since: Instant,
}

/// What identifies a machine, and the properties that it keeps while it is rented.
#[derive(Clone, Debug)]
pub struct MachineIdentity {
    /// The id that the cloud gave to the machine.
    pub id: MachineId,
    /// The name of the machine type; empty until a heartbeat or the cloud's list shows it.
    pub machine_type: MachineTypeName,
    /// The zone of the machine; empty until a heartbeat or the cloud's list shows it.
    pub zone: Zone,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

/// A machine and the tasks that are placed on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The id that the cloud gave to the machine.
    pub id: MachineId,
    /// The address at which the agent accepts commands; empty before the first heartbeat in this term.
    pub endpoint: String,
    /// The name of the machine type; empty until a heartbeat or the cloud's list shows it.
    pub machine_type: MachineTypeName,
    /// The zone of the machine; empty until a heartbeat or the cloud's list shows it.
    pub zone: Zone,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The agent's incarnation in its most recent message.
    pub incarnation: u64,
    /// The serial number of the agent's most recent message within that incarnation.
    pub serial: u64,
    /// The fencing token that is sent with the next message to the agent.
    pub token: FencingToken,
    /// Whether the agent has shown a token of this term, so that only answers of this term renew the
    /// machine's lease.
    pub fenced: bool,
    /// Whether the agent has reported its status in this term.
    pub has_reported: bool,
    /// Whether this leader has requested a heartbeat from the machine in this term.
    pub probed: bool,
    /// Whether the machine was rented in this term, so that no heartbeat from an earlier term can still be in
    /// flight.
    pub rented_this_term: bool,
    /// The token in the agent's most recent message.
    pub observed_token: FencingToken,
    /// The token that the machine must show before a task may be placed on it; `None` if no token is
    /// required. Receiving messages from a machine does not prove that answers and commands reach it.
    pub required_token: Option<RequiredToken>,
    /// The token by which an agent has proved that its serial numbers restarted; `None` if no such restart
    /// was observed. Heartbeats with a lower token are from the agent's predecessor on the machine, however
    /// high their serial numbers are.
    pub min_token: Option<FencingToken>,
    /// Set while the agent may have restarted its serial numbers: a message that shows this token proves the
    /// restart.
    pub restart_probe_token: Option<FencingToken>,
    /// When this leader first learned of the machine in this term.
    pub known_since: Instant,
    /// When the agent's most recent message was received; before the first one, the same as `known_since`.
    pub last_heartbeat_at: Instant,
    /// The start of the machine's lease as the leader counts it: the time when a heartbeat of the machine was
    /// last answered, or when a new incarnation or a restart of the agent was first seen. `None` if none of
    /// these happened in this term.
    pub lease_renewed_at: Option<Instant>,
    /// When the machine was rented; `None` unless it is booting.
    pub booting_since: Option<Instant>,
    /// When the cloud will reclaim the machine; `None` unless it has announced an eviction.
    pub eviction_at: Option<Instant>,
    /// Tasks with an attempt on this machine that is not proved gone, and the resources that they use.
    pub placed_tasks: BTreeMap<TaskId, Resources>,
    /// The sum of the resources in `placed_tasks`.
    pub used: Resources,
    /// The resources of tasks that the machine reports although no record in the key-value store lists them
    /// on it.
    pub unexpected_usage: Resources,
    /// The images that the machine has cached or is fetching.
    pub images: ImageCache,
    /// Whether a direct command to the machine is unanswered. No other direct command is sent until this one
    /// is answered or fails.
    pub command_in_flight: bool,
    /// Whether the machine is being returned to the cloud.
    pub returning: bool,
    /// When the machine's return was last requested from the cloud; `None` if no return is requested, or it
    /// is still to be requested.
    pub return_requested_at: Option<Instant>,
    /// Since when the machine has had no placed task; `None` while a task is placed on it, or before the
    /// machine's first heartbeat.
    pub idle_since: Option<Instant>,
    /// Whether the machine is to be emptied, because it is being replaced or its tasks move to others. No
    /// further task is placed on it.
    pub draining: bool,
    /// No task is placed on the machine before this time.
    pub avoid_until: Option<Instant>,
    /// Jobs whose tasks failed on this machine since a task last completed on it.
    pub failed_jobs: HashSet<JobId>,
    /// Since when the machine has been in quarantine, because tasks of several jobs failed on it; `None` if
    /// it is not. No task is placed on it in quarantine, which ends if the jobs turn out to be at fault.
    pub quarantined_since: Option<Instant>,
    /// The mean natural logarithm of measured over estimated run time on this machine.
    pub log_slowdown: Average,
    /// Whether the lease has certainly expired and no message from the machine has been received since then.
    pub lease_expired: bool,
    /// Whether a task of a cancelled job has been on the machine for too long since the leader learned of the
    /// cancellation. Such a machine is returned even while the leadership is not confirmed.
    pub cancellation_overdue: bool,
}

impl Machine {
    /// Creates a machine that the leader learned of at `now` and of which it knows only the identity.
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

    /// Whether answers and commands of this term count as reaching the machine. This is known if the machine
    /// has shown a token of this term, and assumed if it was rented in this term. It is false while a
    /// required token has not been shown.
    pub fn is_reachable(&self) -> bool {
        (self.fenced || self.rented_this_term) && self.required_token.is_none()
    }

    /// Whether the machine is in quarantine, so that no task is placed on it.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_since.is_some()
    }

    /// Whether the machine will get no further tasks before it leaves the fleet.
    pub(in crate::core) fn is_leaving(&self) -> bool {
        self.returning || self.draining || self.is_quarantined() || self.eviction_at.is_some()
    }

    /// Blocks placement on the machine until the machine shows a new token, which is first sent from now on.
    /// Has no effect if a token is already required.
    pub(in crate::core) fn require_token(&mut self, now: Instant) {
        if self.required_token.is_none() {
            self.token = self.token.next();
            self.required_token = Some(RequiredToken {
                token: self.token,
                since: now,
            });
        }
    }

    /// Makes the agent reject late copies of a launch that was sent with this token, once it has received the
    /// next message of this leader.
    pub(in crate::core) fn fence_launch(&mut self, launch_token: FencingToken) {
        if self.token <= launch_token {
            self.token = launch_token.next();
        }
    }

    /// Adds a task for which an attempt was assigned to this machine.
    pub(in crate::core) fn place(&mut self, task: TaskId, resources: Resources) {
        self.placed_tasks.insert(task, resources);
        self.used.add(&resources);
        self.idle_since = None;
    }

    /// Removes a task whose attempt is proved gone.
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

    /// The factor by which tasks run longer on this machine than estimated for its type. With fewer than
    /// `FULL_WEIGHT_MEASUREMENTS` measurements the factor is moved towards 1.
    pub fn slowdown(&self) -> f64 {
        let counted = self.log_slowdown.count.min(FULL_WEIGHT_MEASUREMENTS);
        let weight = f64::from(counted) / f64::from(FULL_WEIGHT_MEASUREMENTS);
        let slowdown = (self.log_slowdown.mean * weight)
            .exp()
            .clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        // Machines of one type differ by 10%, and measurements vary by more. If small differences counted,
        // tasks would wait for the machine that happened to be measured as the fastest while others are idle.
        if AVERAGE_SLOWDOWN_RANGE.contains(&slowdown) {
            1.0
        } else {
            slowdown
        }
    }
}
