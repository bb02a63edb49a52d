//! Token buckets: how many orders go out in a second, to the fleet and to each of its segments.
//!
//! A limit of `L` holds for any second, not only on average: a bucket refills by a part of `L` a second
//! and keeps a smaller part of it, and the two with the reserve come to `L`. A bucket starts nearly empty,
//! so that leaders that follow each other do not each start with a burst. It refills more slowly while orders that went
//! out are not acknowledged.

use crate::segments::Segment;
use crate::settings::{CommandRates, RESERVED_SHARE};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Parts of a limit: what is refilled in a second and what is kept. With the reserve they come to 1.
const REFILL_SHARE: f64 = 0.7;
const CAPACITY_SHARE: f64 = 1.0 - RESERVED_SHARE - REFILL_SHARE;
/// What a bucket holds at the start: a few orders, so that a small fleet need not wait.
const INITIAL_SHARE: f64 = 0.01;
/// However few orders are acknowledged, some go out: the next ones may reach machines that answer.
const MIN_REFILL_FACTOR: f64 = 0.1;
/// Refilling slows down once so many seconds' worth of orders are not acknowledged.
const MAX_UNACKNOWLEDGED_SECONDS: f64 = 4.0;

/// How long an order may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PacingClass {
    /// For the pace, and behind all others: forgets, which nobody waits for.
    Background,
    /// For the pace.
    Ordinary,
    /// For the pace, but it may use what is reserved: cancellations, stops with a time limit, urgent work.
    Prompt,
    /// Not at all: it ends what breaks a rule. It is charged all the same.
    Immediate,
}

/// A bucket of one limit.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// A nearly empty bucket. `limit`: most that it gives out in any second, immediate orders aside.
    pub fn new(limit: f64, now: Instant) -> TokenBucket {
        TokenBucket {
            limit,
            tokens: limit * INITIAL_SHARE,
            refilled: now,
        }
    }

    /// Refills it for the time that has passed, at this part of its rate.
    pub fn refill(&mut self, now: Instant, part: f64) {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let fresh = passed * self.limit * REFILL_SHARE * part;
        self.tokens = (self.tokens + fresh).min(self.kept());
    }

    /// What it holds at most. With less than one token nothing would ever go out.
    fn kept(&self) -> f64 {
        (self.limit * CAPACITY_SHARE).max(1.0)
    }

    /// Whether an order of this class may go out now.
    pub fn admits(&self, class: PacingClass) -> bool {
        match class {
            PacingClass::Background => self.tokens >= (self.kept() / 2.0).max(1.0),
            PacingClass::Ordinary => self.tokens >= 1.0,
            PacingClass::Prompt => self.tokens >= 1.0 - self.limit * RESERVED_SHARE,
            PacingClass::Immediate => true,
        }
    }

    /// Charges an order. What was given out beyond the limit is owed, for a second at most.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.limit);
    }

    /// Whole tokens for ordinary orders.
    pub fn left(&self) -> usize {
        self.tokens.max(0.0) as usize
    }
}

/// A bucket with the orders that went out and were not acknowledged.
#[derive(Clone, Debug)]
struct LimitedLane {
    bucket: TokenBucket,
    unacknowledged: usize,
}

impl LimitedLane {
    fn new(limit: f64, now: Instant) -> LimitedLane {
        LimitedLane {
            bucket: TokenBucket::new(limit, now),
            unacknowledged: 0,
        }
    }

    fn refill(&mut self, now: Instant) {
        let capacity = self.bucket.limit * MAX_UNACKNOWLEDGED_SECONDS;
        let free = 1.0 - self.unacknowledged as f64 / capacity;
        // In full as long as half of the capacity is free.
        self.bucket
            .refill(now, (free * 2.0).clamp(MIN_REFILL_FACTOR, 1.0));
    }

    fn take(&mut self) {
        self.bucket.take();
        self.unacknowledged += 1;
    }
}

/// The pace of orders to the fleet and to each segment.
#[derive(Clone, Debug)]
pub struct CommandRateLimiter {
    segment_limit: f64,
    fleet: LimitedLane,
    segments: HashMap<Segment, LimitedLane>,
    started: Instant,
}

impl CommandRateLimiter {
    /// All buckets nearly empty.
    pub fn new(command_rates: CommandRates, now: Instant) -> CommandRateLimiter {
        CommandRateLimiter {
            segment_limit: command_rates.segment,
            fleet: LimitedLane::new(command_rates.fleet, now),
            segments: HashMap::new(),
            started: now,
        }
    }

    /// Charges an order if it may go out now.
    pub fn admit(&mut self, now: Instant, segment: &Segment, class: PacingClass) -> bool {
        if !self.segments.contains_key(segment) {
            // A segment that is first heard of has been filling up with the fleet's bucket.
            let lane = LimitedLane::new(self.segment_limit, self.started);
            self.segments.insert(segment.clone(), lane);
        }
        let Some(lane) = self.segments.get_mut(segment) else {
            return false;
        };
        lane.refill(now);
        self.fleet.refill(now);
        let admitted = lane.bucket.admits(class) && self.fleet.bucket.admits(class);
        if admitted {
            lane.take();
            self.fleet.take();
        }
        admitted
    }

    /// Orders were acknowledged, or given up.
    pub fn acknowledged(&mut self, segment: &Segment, orders: usize) {
        let lane = self.segments.get_mut(segment);
        for lane in lane.into_iter().chain([&mut self.fleet]) {
            lane.unacknowledged = lane.unacknowledged.saturating_sub(orders);
        }
    }

    /// Ordinary orders that the fleet's bucket has room for.
    pub fn left(&mut self, now: Instant) -> usize {
        self.fleet.refill(now);
        self.fleet.bucket.left()
    }
}

/// How many machines are rented in a second while most of a segment or site is silent.
#[derive(Clone, Debug)]
pub struct RentalRateLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Option<Instant>,
}

impl RentalRateLimiter {
    /// A full second's worth to begin with.
    pub fn new(per_second: f64) -> RentalRateLimiter {
        RentalRateLimiter {
            per_second,
            tokens: per_second.max(1.0),
            refilled: None,
        }
    }

    /// How many of these machines may be rented now. They are charged.
    pub fn take(&mut self, now: Instant, wanted: u32) -> u32 {
        let since = self.refilled.replace(now);
        let passed = since.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        let most = self.per_second.max(1.0);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_second).min(most);
        let granted = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(granted);
        granted
    }
}
