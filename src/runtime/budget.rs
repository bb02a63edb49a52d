//! Token buckets for the rates that the state service and the cloud allow.

use crate::core::model::Uid;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Who asks: what the leader needs to keep leading and launching, or a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    Leader,
    User,
}

pub struct Bucket {
    rate: f64,
    size: f64,
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    /// `rate` a second, with bursts worth `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> Bucket {
        let size = (rate * burst_s).max(1.0);
        Bucket {
            rate,
            size,
            state: Mutex::new((size, now)),
        }
    }

    pub fn take(&self, n: f64) -> bool {
        self.take_at(n, Instant::now())
    }

    pub fn take_at(&self, n: f64, now: Instant) -> bool {
        self.take_above(n, 0.0, now)
    }

    pub fn left_at(&self, now: Instant) -> f64 {
        let s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let passed = now.saturating_duration_since(s.1).as_secs_f64();
        (s.0 + passed * self.rate).min(self.size)
    }

    /// Takes `n` only when this part of the bucket is left.
    pub fn take_above(&self, n: f64, floor: f64, now: Instant) -> bool {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let passed = now.saturating_duration_since(s.1).as_secs_f64();
        s.0 = (s.0 + passed * self.rate).min(self.size);
        s.1 = now;
        // A request larger than the bucket goes through when the bucket is full.
        let left = self.size * floor;
        if s.0 - n >= left || (n > self.size - left && s.0 >= self.size - 1e-9) {
            s.0 -= n;
            true
        } else {
            false
        }
    }
}

/// Questions about jobs that were refused for want of the store's rate, and since when. By chance
/// alone one of many jobs would lose for minutes; so the longer a job's questions have been refused,
/// the less of the bucket they must leave to others.
#[derive(Default)]
pub struct Turns {
    refused: Mutex<HashMap<Uid, (Instant, Instant)>>,
}

/// What a first question leaves to those refused before.
const FIRST_FLOOR: f64 = 0.8;
/// After this long a question may take the last token.
const LONG_REFUSED: Duration = Duration::from_secs(40);
/// Users ask every few seconds; who stops asking no longer waits.
const GAVE_UP: Duration = Duration::from_secs(30);
const MOST_WAITING: usize = 50_000;

impl Turns {
    pub fn floor(&self, uid: &Uid, now: Instant) -> f64 {
        let refused = self.refused.lock().unwrap_or_else(|e| e.into_inner());
        if refused.is_empty() {
            return 0.0;
        }
        let waited = refused.get(uid).map_or(Duration::ZERO, |(since, _)| {
            now.saturating_duration_since(*since)
        });
        FIRST_FLOOR * (1.0 - waited.as_secs_f64() / LONG_REFUSED.as_secs_f64()).max(0.0)
    }

    pub fn answered(&self, uid: &Uid, ok: bool, now: Instant) {
        let mut refused = self.refused.lock().unwrap_or_else(|e| e.into_inner());
        if ok {
            refused.remove(uid);
            return;
        }
        refused.retain(|_, (_, last)| now.saturating_duration_since(*last) < GAVE_UP);
        if refused.len() < MOST_WAITING {
            refused.entry(uid.clone()).or_insert((now, now)).1 = now;
        }
    }
}
