//! The rates of the state service that a node keeps to, shared out among users and the leader.

use crate::common::rate_limit::{shares, Bucket, Demand, RequestClass, LEADER_CHANGES};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The rates that this node keeps to. Users' requests and the leader's work have their own, so that
/// neither takes what the other needs.
pub struct Budgets {
    users: (Bucket, Bucket),
    leader: (Bucket, Bucket),
    /// Of the deployment: requests and changes a second, and those that may hold later.
    rates: (f64, f64),
    next: Option<(f64, f64)>,
    nodes: f64,
    /// Refusals by the service itself of late, and whether its next rates hold.
    refusals: Mutex<Refusals>,
    wanted: Mutex<Wanted>,
}

#[derive(Default)]
struct Refusals {
    count: u32,
    since: Option<Instant>,
    /// The last one that was counted.
    last: Option<Instant>,
    fallen: bool,
}

/// Changes asked for since the last look, and what was asked for a second before that.
struct Wanted {
    users: usize,
    leader: usize,
    since: Instant,
    demand: Demand,
}

/// The leader's part of all requests. The rest is the users', node by node.
const LEADER_REQUESTS: f64 = 0.4;
/// Bursts of one second's worth are allowed; a little less allows for the clocks.
const BURST_S: f64 = 0.9;
/// So many refusals within this time show that the service's next rates hold.
const REFUSALS_TELL: u32 = 3;
const REFUSALS_WITHIN: Duration = Duration::from_secs(10);
/// Refusals that follow each other sooner have one cause, such as calls that an interruption held back
/// and let go together.
const REFUSALS_APART: Duration = Duration::from_millis(500);
/// Of the changes a second that the service takes, these are shared out.
const SHARED_OUT: f64 = 0.97;
/// The part of a node's requests that questions leave to submissions and cancellations.
const QUESTIONS_LEAVE: f64 = 0.4;
/// Nobody is told to come back later than this for want of the rate: users give up after a minute.
const MAX_RELIEF_S: f64 = 4.0;
impl Budgets {
    /// Of the deployment's rates for `nodes` nodes. Only one of them leads, so each holds the
    /// leader's part ready.
    pub fn new(rps: f64, write_rps: f64, nodes: usize, now: Instant) -> Budgets {
        let nodes = nodes.max(1) as f64;
        let bucket = |rate: f64| Bucket::new(rate, BURST_S, now);
        Budgets {
            users: (
                bucket(rps * (1.0 - LEADER_REQUESTS) / nodes),
                bucket(write_rps * (1.0 - LEADER_CHANGES) / nodes),
            ),
            leader: (
                bucket(rps * LEADER_REQUESTS),
                bucket(write_rps * LEADER_CHANGES),
            ),
            rates: (rps, write_rps),
            next: None,
            nodes,
            refusals: Mutex::default(),
            wanted: Mutex::new(Wanted {
                users: 0,
                leader: 0,
                since: now,
                demand: Demand::default(),
            }),
        }
    }

    /// The rates that the service may come to allow, without notice.
    pub fn with_next(mut self, next: Option<(f64, f64)>) -> Budgets {
        self.next = next;
        self
    }

    /// Requests and changes a second that hold now.
    fn rates(&self) -> (f64, f64) {
        match self.next {
            Some(next) if self.fallen() => next,
            _ => self.rates,
        }
    }

    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the service's next rates hold.
    pub fn fallen(&self) -> bool {
        self.refusals().fallen
    }

    /// The service refused a call for its rate. That happens now and then by chance; several times in
    /// a short while, with lower rates announced, they hold.
    pub fn refused(&self, now: Instant) {
        if self.next.is_none() {
            return;
        }
        let mut r = self.refusals();
        let together = |t: Instant| now.saturating_duration_since(t) < REFUSALS_APART;
        if r.last.is_some_and(together) {
            return;
        }
        r.last = Some(now);
        let fresh = |t: Instant| now.saturating_duration_since(t) < REFUSALS_WITHIN;
        if !r.since.is_some_and(fresh) {
            (r.count, r.since) = (0, Some(now));
        }
        r.count += 1;
        let fall = r.count >= REFUSALS_TELL && !r.fallen;
        drop(r);
        if fall {
            self.fall(now);
        }
    }

    /// From now on the next rates hold, as refusals or a peer showed. They stay.
    pub fn fall(&self, now: Instant) {
        let Some((rps, changes)) = self.next else {
            return;
        };
        if std::mem::replace(&mut self.refusals().fallen, true) {
            return;
        }
        log::info!("the state service's next rates hold rps={rps} changes={changes}");
        let users = 1.0 - LEADER_REQUESTS;
        self.users.0.set_rate(rps * users / self.nodes, now);
        self.leader.0.set_rate(rps * LEADER_REQUESTS, now);
        let users = 1.0 - LEADER_CHANGES;
        self.users.1.set_rate(changes * users / self.nodes, now);
        self.leader.1.set_rate(changes * LEADER_CHANGES, now);
        self.users.1.resize(changes * users / self.nodes, BURST_S);
        self.leader.1.resize(changes * LEADER_CHANGES, BURST_S);
    }

    fn wanted(&self) -> MutexGuard<'_, Wanted> {
        self.wanted.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// What this node asks for, as its peers are told.
    pub fn demand(&self) -> Demand {
        self.wanted().demand
    }

    /// Sets the rates of changes by what all nodes ask for; now and then.
    pub fn share_out(&self, peers: &[Option<Demand>], now: Instant) {
        let changes = self.rates().1 * SHARED_OUT;
        let mut w = self.wanted();
        let passed = now.saturating_duration_since(w.since).as_secs_f64();
        if passed < 0.2 {
            return;
        }
        // The mean of this look and what came before; after a pause only this one counts.
        let fresh = (passed / 2.0).clamp(0.5, 1.0);
        let mean = |old: f64, n: usize| old + (n as f64 / passed - old) * fresh;
        w.demand = Demand {
            users: mean(w.demand.users, w.users).min(changes),
            leader: mean(w.demand.leader, w.leader).min(changes),
        };
        (w.users, w.leader, w.since) = (0, 0, now);
        let (users, leader) = shares(changes, w.demand, peers);
        drop(w);
        self.users.1.set_rate(users, now);
        self.leader.1.set_rate(leader, now);
    }

    /// For a call that answers questions. It leaves this part of the bucket to submissions and
    /// cancellations, so that no storm of questions holds them up.
    pub fn question(&self, now: Instant) -> bool {
        self.users.0.take_above(1.0, QUESTIONS_LEAVE, now)
    }

    /// After how long a user whose change was refused for the rate should come back: by then what was
    /// asked for of late could be served.
    pub fn relief(&self) -> Duration {
        let (wanted, rate) = (self.wanted().demand.users, self.users.1.rate());
        let seconds = wanted / rate.max(0.1);
        Duration::from_secs_f64(seconds.clamp(1.0, MAX_RELIEF_S))
    }

    /// Changes that the leader could make now.
    pub fn changes_left(&self, now: Instant) -> usize {
        self.leader.1.left_at(now) as usize
    }

    /// Whether a call with this many changes may go out now; if so, it is counted.
    pub fn leave(&self, rank: RequestClass, writes: usize, now: Instant) -> bool {
        self.leave_above(rank, writes, 0.0, now)
    }

    /// The same, leaving this part of the changes to others.
    pub fn leave_above(&self, rank: RequestClass, writes: usize, floor: f64, now: Instant) -> bool {
        if writes > 0 {
            let mut w = self.wanted();
            match rank {
                RequestClass::User => w.users += writes,
                RequestClass::Leader => w.leader += writes,
            }
        }
        let (requests, changes) = match rank {
            RequestClass::User => &self.users,
            RequestClass::Leader => &self.leader,
        };
        // What is refused for its changes must not use up requests.
        (writes == 0 || changes.take_above(writes as f64, floor, now)) && requests.take_at(1.0, now)
    }
}
