//! Orders that went out and that no report has acknowledged, and machines whose orders wait for the pace.

use crate::rate_limits::{CommandRateLimiter, PacingClass};
use crate::segments::Segment;
use crate::settings::CommandRates;
use cypressgap_model::{AttemptId, MachineId, TaskId};
use fnv::FnvHasher;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

/// An order that was not acknowledged may be repeated after this long, and twice as long each time.
const RETRY_AFTER: Duration = Duration::from_secs(2);
const MAX_DOUBLINGS: u32 = 3;
/// Times of retries differ by up to this part, so that machines do not come in step.
const RETRY_JITTER: f64 = 0.25;

/// What is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommandKind {
    /// Start an attempt.
    Launch,
    /// Stop an attempt.
    Kill,
    /// Leave an ended attempt out of later reports.
    Forget,
}

/// An order to a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PacedCommand {
    /// What is ordered.
    pub kind: CommandKind,
    /// Of which task.
    pub task: TaskId,
    /// Of which attempt.
    pub attempt: AttemptId,
}

/// An order that went out.
#[derive(Clone, Debug)]
struct SentCommand {
    order: PacedCommand,
    /// It may be repeated from then on.
    retry_at: Instant,
    repeats: u32,
}

/// What went to one machine.
#[derive(Clone, Debug)]
struct UnacknowledgedCommands {
    segment: Segment,
    sent: Vec<SentCommand>,
}

/// Paces orders, by machine.
#[derive(Clone, Debug)]
pub struct CommandPacer {
    pace: CommandRateLimiter,
    machines: HashMap<MachineId, UnacknowledgedCommands>,
    /// Machines with orders that wait, first come first served.
    waiting: VecDeque<MachineId>,
    is_waiting: BTreeSet<MachineId>,
    /// Machines whose turn it is.
    in_turn: BTreeSet<MachineId>,
    last_deferral: Option<Instant>,
    /// Orders given out and orders put off so far.
    given: u64,
    deferred: u64,
}

impl CommandPacer {
    /// Nothing was sent yet, and all buckets are empty.
    pub fn new(command_rates: CommandRates, now: Instant) -> CommandPacer {
        CommandPacer {
            pace: CommandRateLimiter::new(command_rates, now),
            machines: HashMap::new(),
            waiting: VecDeque::new(),
            is_waiting: BTreeSet::new(),
            in_turn: BTreeSet::new(),
            last_deferral: None,
            given: 0,
            deferred: 0,
        }
    }

    /// Whether an order may go out now; it is charged then. Otherwise its machine waits for the pace.
    pub fn admit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        segment: &Segment,
        order: PacedCommand,
        class: PacingClass,
    ) -> bool {
        let repeats = match self.sent(machine, &order) {
            // Kills are pressed as often as their wind-down asks for it.
            Some(sent) if order.kind != CommandKind::Kill && now < sent.retry_at => return false,
            Some(sent) => sent.repeats + 1,
            None => 0,
        };
        // Machines that wait go before those whose report just came.
        let queued = class == PacingClass::Ordinary
            && !self.waiting.is_empty()
            && !self.in_turn.contains(machine);
        if queued || !self.pace.admit(now, segment, class) {
            self.defer(now, machine, class);
            return false;
        }
        self.given += 1;
        self.note_sent(now, machine, segment, order, repeats);
        true
    }

    fn sent(&self, machine: &MachineId, order: &PacedCommand) -> Option<&SentCommand> {
        let orders = self.machines.get(machine)?;
        orders.sent.iter().find(|sent| sent.order == *order)
    }

    fn note_sent(
        &mut self,
        now: Instant,
        machine: &MachineId,
        segment: &Segment,
        order: PacedCommand,
        repeats: u32,
    ) {
        let retry_at = now + retry_after(machine, &order, repeats);
        let orders =
            self.machines
                .entry(machine.clone())
                .or_insert_with(|| UnacknowledgedCommands {
                    segment: segment.clone(),
                    sent: Vec::new(),
                });
        let before = orders.sent.len();
        orders.sent.retain(|sent| sent.order != order);
        let repeated = before - orders.sent.len();
        orders.sent.push(SentCommand {
            order,
            retry_at,
            repeats,
        });
        // The repeated order counts once.
        self.pace.acknowledged(segment, repeated);
    }

    fn defer(&mut self, now: Instant, machine: &MachineId, class: PacingClass) {
        self.deferred += 1;
        self.last_deferral = Some(now);
        if class == PacingClass::Background {
            // The next report brings it up again.
            return;
        }
        self.in_turn.remove(machine);
        if self.is_waiting.insert(machine.clone()) {
            self.waiting.push_back(machine.clone());
        }
    }

    /// A message of a machine shows what became of its orders.
    pub fn acknowledge(
        &mut self,
        machine: &MachineId,
        carried_out: impl Fn(&PacedCommand) -> bool,
    ) {
        let Some(orders) = self.machines.get_mut(machine) else {
            return;
        };
        let before = orders.sent.len();
        orders.sent.retain(|sent| !carried_out(&sent.order));
        let acknowledged = before - orders.sent.len();
        self.pace.acknowledged(&orders.segment, acknowledged);
        if orders.sent.is_empty() {
            self.machines.remove(machine);
        }
    }

    /// Nothing more is expected from a machine.
    pub fn machine_gone(&mut self, machine: &MachineId) {
        self.in_turn.remove(machine);
        if self.is_waiting.remove(machine) {
            self.waiting.retain(|waiting| waiting != machine);
        }
        self.acknowledge(machine, |_| true);
    }

    /// Machines whose turn it is now: as many as the pace has room for.
    pub fn take_waiting_machines(&mut self, now: Instant) -> Vec<MachineId> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let most = self.pace.left(now).min(self.waiting.len());
        let taken: Vec<MachineId> = self.waiting.drain(..most).collect();
        for machine in &taken {
            self.is_waiting.remove(machine);
        }
        self.in_turn.extend(taken.iter().cloned());
        taken
    }

    /// Whether an order was put off within this time, or machines still wait.
    pub fn is_busy(&self, now: Instant, quiet: Duration) -> bool {
        let lately = |t: Instant| now.saturating_duration_since(t) < quiet;
        !self.waiting.is_empty() || self.last_deferral.is_some_and(lately)
    }

    /// Orders given out so far.
    pub fn given(&self) -> u64 {
        self.given
    }

    /// Orders put off so far.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }
}

/// When an order may be repeated. The same machine and order always give the same jitter.
fn retry_after(machine: &MachineId, order: &PacedCommand, repeats: u32) -> Duration {
    let mut hasher = FnvHasher::default();
    (machine, order, repeats).hash(&mut hasher);
    let part = hasher.finish() as f64 / u64::MAX as f64;
    let jitter = 1.0 + RETRY_JITTER * (2.0 * part - 1.0);
    let doubled = RETRY_AFTER * (1 << repeats.min(MAX_DOUBLINGS));
    doubled.mul_f64(jitter)
}
