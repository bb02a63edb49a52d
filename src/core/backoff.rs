//! Questions that may stay without an answer, asked ever more rarely.

use super::model::Uid;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The pause before a question is asked for the second time, and the longest between two.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// When a job was asked about last, and for how long it is left alone then.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Instant,
    pause: Duration,
}

/// Which jobs to ask about now.
#[derive(Debug, Default)]
pub struct Backoff {
    asked: HashMap<Uid, Asked>,
}

impl Backoff {
    /// Those of these jobs whose pause is over. Jobs that are not among them any more are forgotten.
    pub fn due(&mut self, open: &[Uid], now: Instant) -> Vec<Uid> {
        let wanted: BTreeSet<&Uid> = open.iter().collect();
        self.asked.retain(|uid, _| wanted.contains(uid));
        let mut due = Vec::new();
        for uid in wanted {
            let pause = match self.asked.get(uid) {
                None => FIRST_PAUSE,
                Some(a) if now.saturating_duration_since(a.at) < a.pause => continue,
                Some(a) => (a.pause * 2).min(LONGEST_PAUSE),
            };
            self.asked.insert(uid.clone(), Asked { at: now, pause });
            due.push(uid.clone());
        }
        due
    }
}
