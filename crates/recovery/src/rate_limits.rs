//! Token buckets that limit the commands per second to the fleet and to each of its segments, and the rentals
//! per second.
//!
//! Invariants:
//!
//! - Apart from immediate commands, a limit of `L` commands per second holds in every interval of one second,
//!   not only on average: the refill per second, the capacity of the bucket and the reserve add up to `L`.
//! - A bucket starts nearly empty, so that several leaders in quick succession do not each start with a
//!   burst.
//! - A bucket refills more slowly while commands are not acknowledged, but never stops.
//! - Immediate commands are never refused, but are charged like others.

use crate::segments::Segment;
use crate::settings::{CommandRates, RESERVED_SHARE_OF_RATE};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The share of a limit by which its bucket is refilled per second.
const REFILL_SHARE_OF_LIMIT: f64 = 0.7;
/// The share of a limit that its bucket holds at most. With the refill and the reserve it adds up to 1.
const CAPACITY_SHARE_OF_LIMIT: f64 = 1.0 - RESERVED_SHARE_OF_RATE - REFILL_SHARE_OF_LIMIT;
/// The share of a limit that its bucket holds at the start, so that a small fleet does not have to wait.
const INITIAL_SHARE_OF_LIMIT: f64 = 0.01;
/// The lower bound of the refill factor, however few commands are acknowledged: the next commands may be for
/// other machines, which respond.
const MIN_REFILL_FACTOR: f64 = 0.1;
/// The number of unacknowledged commands at which the refill factor would reach 0, divided by the limit in
/// commands per second. Refilling slows down once half of this number is unacknowledged.
const MAX_UNACKNOWLEDGED_LOAD_S: f64 = 4.0;

/// The pacing class of a command: until when the rate limits may defer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[must_use]
pub enum PacingClass {
    /// Deferred until the buckets of the fleet and of the segment are half full. For forget commands, which
    /// nothing depends on.
    Background,
    /// Until there is a token.
    Ordinary,
    /// Deferred until both buckets have a token, counting the reserve as well. For cancellations, kills with
    /// a deadline and urgent tasks.
    Prompt,
    /// Never deferred. For commands that end a violation of an invariant, and for kills of cancelled jobs
    /// after the share of the cancellation deadline during which these kills are paced.
    Immediate,
}

/// A token bucket. One token stands for one command.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// The maximum number of commands in any second, apart from immediate commands.
    limit: f64,
    /// The number of tokens in the bucket. It is negative after commands were sent without a token, until
    /// refilling has made up for them.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a nearly empty bucket. `limit`: the maximum number of commands in any second, apart from
    /// immediate ones.
    pub fn new(limit: f64, now: Instant) -> TokenBucket {
        TokenBucket {
            limit,
            tokens: limit * INITIAL_SHARE_OF_LIMIT,
            refilled_at: now,
        }
    }

    /// Refills the bucket for the time since its previous refill. Its refill rate is multiplied by `factor`,
    /// which is from 0 to 1.
    pub fn refill(&mut self, now: Instant, factor: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let added = elapsed.as_secs_f64() * self.limit * REFILL_SHARE_OF_LIMIT * factor;
        self.tokens = (self.tokens + added).min(self.capacity());
    }

    /// The maximum number of tokens; at least 1, since otherwise no ordinary command would ever be sent.
    fn capacity(&self) -> f64 {
        (self.limit * CAPACITY_SHARE_OF_LIMIT).max(1.0)
    }

    /// Whether a command of this class may be sent now.
    #[must_use]
    pub fn admits(&self, class: PacingClass) -> bool {
        match class {
            PacingClass::Background => self.tokens >= (self.capacity() / 2.0).max(1.0),
            PacingClass::Ordinary => self.tokens >= 1.0,
            PacingClass::Prompt => self.tokens >= 1.0 - self.limit * RESERVED_SHARE_OF_RATE,
            PacingClass::Immediate => true,
        }
    }

    /// Charges a command. The number of tokens never falls below minus the limit for one second.
    pub fn charge(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.limit);
    }

    /// The number of ordinary commands that may be sent now.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }
}

/// A token bucket that refills more slowly while its commands are not acknowledged.
#[derive(Clone, Debug)]
struct FeedbackBucket {
    bucket: TokenBucket,
    unacknowledged: usize,
}

impl FeedbackBucket {
    fn new(limit: f64, now: Instant) -> FeedbackBucket {
        FeedbackBucket {
            bucket: TokenBucket::new(limit, now),
            unacknowledged: 0,
        }
    }

    fn refill(&mut self, now: Instant) {
        let max_unacknowledged = self.bucket.limit * MAX_UNACKNOWLEDGED_LOAD_S;
        let free_share = 1.0 - self.unacknowledged as f64 / max_unacknowledged;
        // The bucket refills at its full rate while at most half of `max_unacknowledged` commands are
        // unacknowledged.
        let factor = (free_share * 2.0).clamp(MIN_REFILL_FACTOR, 1.0);
        self.bucket.refill(now, factor);
    }

    fn charge(&mut self) {
        self.bucket.charge();
        self.unacknowledged += 1;
    }
}

/// Limits the rate of commands to the fleet and to each segment.
#[derive(Clone, Debug)]
pub struct CommandRateLimiter {
    /// The limit of each segment, in commands per second.
    segment_limit: f64,
    fleet: FeedbackBucket,
    segments: HashMap<Segment, FeedbackBucket>,
    created_at: Instant,
}

impl CommandRateLimiter {
    /// Creates a limiter whose buckets are nearly empty.
    pub fn new(command_rates: CommandRates, now: Instant) -> CommandRateLimiter {
        CommandRateLimiter {
            segment_limit: command_rates.segment,
            fleet: FeedbackBucket::new(command_rates.fleet, now),
            segments: HashMap::new(),
            created_at: now,
        }
    }

    /// Whether a command to a machine of this segment may be sent now. If so, the buckets of the fleet and of
    /// the segment are charged.
    #[must_use]
    pub fn admit(&mut self, now: Instant, segment: &Segment, class: PacingClass) -> bool {
        if !self.segments.contains_key(segment) {
            // The bucket of a new segment receives the tokens that it would have gained since the limiter was
            // created.
            let bucket = FeedbackBucket::new(self.segment_limit, self.created_at);
            self.segments.insert(segment.clone(), bucket);
        }
        let Some(segment) = self.segments.get_mut(segment) else {
            return false;
        };
        segment.refill(now);
        self.fleet.refill(now);
        let is_admitted = segment.bucket.admits(class) && self.fleet.bucket.admits(class);
        if is_admitted {
            segment.charge();
            self.fleet.charge();
        }
        is_admitted
    }

    /// Records that commands were acknowledged, or that their acknowledgement is no longer expected.
    pub fn acknowledge(&mut self, segment: &Segment, commands: usize) {
        let segment = self.segments.get_mut(segment);
        for bucket in segment.into_iter().chain([&mut self.fleet]) {
            bucket.unacknowledged = bucket.unacknowledged.saturating_sub(commands);
        }
    }

    /// The number of ordinary commands for which the fleet's bucket has tokens.
    pub fn available(&mut self, now: Instant) -> usize {
        self.fleet.refill(now);
        self.fleet.bucket.available()
    }
}

/// Limits the rate of rentals while most machines of a segment, a zone or the fleet are silent.
#[derive(Clone, Debug)]
pub struct RentalRateLimiter {
    rentals_per_second: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl RentalRateLimiter {
    /// Creates a limiter with a full bucket. It holds one token for each machine that may be rented in one
    /// second, and at least one token.
    pub fn new(rentals_per_second: f64) -> RentalRateLimiter {
        RentalRateLimiter {
            rentals_per_second,
            tokens: rentals_per_second.max(1.0),
            refilled_at: None,
        }
    }

    /// Returns how many of the `wanted` machines may be rented now, and removes a token for each of them.
    #[must_use]
    pub fn take(&mut self, now: Instant, wanted: u32) -> u32 {
        let refilled_at = self.refilled_at.replace(now);
        let elapsed = refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let capacity = self.rentals_per_second.max(1.0);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rentals_per_second;
        self.tokens = refilled.min(capacity);
        let granted = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(granted);
        granted
    }
}
