//! Pacing of commands: which commands may be sent now, which machines have to wait, and which commands are
//! not acknowledged yet.
//!
//! Invariants:
//!
//! - A launch or forget that no heartbeat has acknowledged is repeated only after its retry time, which
//!   doubles with each repeat up to a limit. Kills have no retry time, since they are repeated according to
//!   their grace period.
//! - Waiting machines are served in FIFO order: an ordinary command to another machine does not overtake
//!   them.
//! - Each command counts once as unacknowledged, however often it is repeated.

use crate::rate_limits::{CommandRateLimiter, PacingClass};
use crate::segments::Segment;
use crate::settings::CommandRates;
use cypressgap_model::{AttemptId, MachineId, TaskId};
use fnv::FnvHasher;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

/// The minimum time from the first sending of a command to its first repeat, if no heartbeat acknowledges the
/// command. The time doubles with each repeat.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The number of repeats after which the delay before the next repeat no longer grows.
const MAX_DOUBLINGS: u32 = 3;
/// The delay before a repeat is lengthened or shortened by up to this share of itself, so that retries to
/// many machines spread out over time.
const RETRY_JITTER_SHARE_OF_DELAY: f64 = 0.25;

/// The kind of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommandKind {
    /// Start an attempt.
    Launch,
    /// Stop an attempt.
    Kill,
    /// Omit an ended attempt from later heartbeats.
    Forget,
}

/// A command to the agent of a machine, as far as pacing is concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PacedCommand {
    /// Determines how the command is repeated and which heartbeats acknowledge it.
    pub kind: CommandKind,
    /// The task of the attempt.
    pub task: TaskId,
    /// The attempt to start, stop or forget.
    pub attempt: AttemptId,
}

/// A command that was sent and is not acknowledged yet.
#[derive(Clone, Debug)]
struct SentCommand {
    command: PacedCommand,
    /// The earliest time at which the command may be repeated.
    retry_at: Instant,
    repeats: u32,
}

/// The unacknowledged commands of one machine.
#[derive(Clone, Debug)]
struct UnacknowledgedCommands {
    segment: Segment,
    sent: Vec<SentCommand>,
}

/// Decides when commands are sent, and tracks their acknowledgement by machine.
#[derive(Clone, Debug)]
pub struct CommandPacer {
    limiter: CommandRateLimiter,
    machines: HashMap<MachineId, UnacknowledgedCommands>,
    /// Machines with deferred commands, in FIFO order.
    waiting: VecDeque<MachineId>,
    /// The same machines as in `waiting`, for membership tests.
    is_waiting: BTreeSet<MachineId>,
    /// Machines that were taken from the front of `waiting`. Their ordinary commands may be sent now,
    /// although other machines wait.
    in_turn: BTreeSet<MachineId>,
    last_deferred_at: Option<Instant>,
    sent_count: u64,
    deferred_count: u64,
}

impl CommandPacer {
    /// Creates a pacer that has sent no commands, and whose token buckets are nearly empty.
    pub fn new(command_rates: CommandRates, now: Instant) -> CommandPacer {
        CommandPacer {
            limiter: CommandRateLimiter::new(command_rates, now),
            machines: HashMap::new(),
            waiting: VecDeque::new(),
            is_waiting: BTreeSet::new(),
            in_turn: BTreeSet::new(),
            last_deferred_at: None,
            sent_count: 0,
            deferred_count: 0,
        }
    }

    /// Whether a command may be sent now. If so, the command is charged to the rate limits and recorded as
    /// sent. If the rate limits defer the command, its machine is queued, unless the command is of the class
    /// [`PacingClass::Background`].
    #[must_use]
    pub fn admit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        segment: &Segment,
        command: PacedCommand,
        class: PacingClass,
    ) -> bool {
        let repeats = match self.find_sent(machine, &command) {
            // Kills have no retry time: they are repeated according to their grace period.
            Some(sent) if command.kind != CommandKind::Kill && now < sent.retry_at => return false,
            Some(sent) => sent.repeats + 1,
            None => 0,
        };
        // Ordinary commands to waiting machines take precedence over those to a machine whose heartbeat was
        // just received.
        let is_behind_others = class == PacingClass::Ordinary
            && !self.waiting.is_empty()
            && !self.in_turn.contains(machine);
        if is_behind_others || !self.limiter.admit(now, segment, class) {
            self.defer(now, machine, class);
            return false;
        }
        self.sent_count += 1;
        self.record_sent(now, machine, segment, command, repeats);
        true
    }

    fn find_sent(&self, machine: &MachineId, command: &PacedCommand) -> Option<&SentCommand> {
        let commands = self.machines.get(machine)?;
        commands.sent.iter().find(|sent| sent.command == *command)
    }

    fn record_sent(
        &mut self,
        now: Instant,
        machine: &MachineId,
        segment: &Segment,
        command: PacedCommand,
        repeats: u32,
    ) {
        let retry_at = now + retry_delay(machine, &command, repeats);
        let commands = self.machines.entry(machine.clone());
        let commands = commands.or_insert_with(|| UnacknowledgedCommands {
            segment: segment.clone(),
            sent: Vec::new(),
        });
        let count_before = commands.sent.len();
        commands.sent.retain(|sent| sent.command != command);
        let repeated = count_before - commands.sent.len();
        commands.sent.push(SentCommand {
            command,
            retry_at,
            repeats,
        });
        // A repeated command counts only once as unacknowledged.
        self.limiter.acknowledge(segment, repeated);
    }

    fn defer(&mut self, now: Instant, machine: &MachineId, class: PacingClass) {
        self.deferred_count += 1;
        self.last_deferred_at = Some(now);
        if class == PacingClass::Background {
            // The command is issued again when the machine's next heartbeat is processed.
            return;
        }
        self.in_turn.remove(machine);
        if self.is_waiting.insert(machine.clone()) {
            self.waiting.push_back(machine.clone());
        }
    }

    /// Removes the commands of a machine that its newest heartbeat shows as carried out.
    pub fn acknowledge(
        &mut self,
        machine: &MachineId,
        is_carried_out: impl Fn(&PacedCommand) -> bool,
    ) {
        let Some(commands) = self.machines.get_mut(machine) else {
            return;
        };
        let count_before = commands.sent.len();
        commands.sent.retain(|sent| !is_carried_out(&sent.command));
        let acknowledged = count_before - commands.sent.len();
        self.limiter.acknowledge(&commands.segment, acknowledged);
        if commands.sent.is_empty() {
            self.machines.remove(machine);
        }
    }

    /// Removes a machine whose lease has expired, or that is gone, with all of its commands.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        self.in_turn.remove(machine);
        if self.is_waiting.remove(machine) {
            self.waiting.retain(|waiting| waiting != machine);
        }
        self.acknowledge(machine, |_| true);
    }

    /// Removes and returns the machines at the front of the queue, one for each token of the fleet's bucket.
    #[must_use]
    pub fn take_waiting_machines(&mut self, now: Instant) -> Vec<MachineId> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let count = self.limiter.available(now).min(self.waiting.len());
        let taken: Vec<MachineId> = self.waiting.drain(..count).collect();
        for machine in &taken {
            self.is_waiting.remove(machine);
        }
        self.in_turn.extend(taken.iter().cloned());
        taken
    }

    /// Whether machines wait, or a command was deferred within the last `quiet_period`.
    pub fn is_busy(&self, now: Instant, quiet_period: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < quiet_period;
        !self.waiting.is_empty() || self.last_deferred_at.is_some_and(is_recent)
    }

    /// The number of commands sent so far, repeats included.
    pub fn sent_count(&self) -> u64 {
        self.sent_count
    }

    /// The number of deferrals so far; a command may be deferred more than once.
    pub fn deferred_count(&self) -> u64 {
        self.deferred_count
    }
}

/// The minimum time from the sending of a command to its repetition. The jitter is derived from a hash
/// instead of a random number, so that runs are reproducible.
fn retry_delay(machine: &MachineId, command: &PacedCommand, repeats: u32) -> Duration {
    let mut hasher = FnvHasher::default();
    (machine, command, repeats).hash(&mut hasher);
    let fraction = hasher.finish() as f64 / u64::MAX as f64;
    let jitter = 1.0 + RETRY_JITTER_SHARE_OF_DELAY * (2.0 * fraction - 1.0);
    let delay = INITIAL_RETRY_DELAY * (1 << repeats.min(MAX_DOUBLINGS));
    delay.mul_f64(jitter)
}
