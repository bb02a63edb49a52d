//! Machines that go back: idle, silent, faulty, about to be taken, or never come up.

use super::capacity::MANY;
use super::cluster::{Action, Cluster, Host};
use super::failure_attribution::QUARANTINE_PATIENCE;
use super::model::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const MOST_RETURNED: usize = 100;
/// Idle machines wait this long for others to go with: the cloud's rate is for rentals too.
const RETURN_PAUSE: Duration = Duration::from_secs(2);

impl Cluster {
    /// How many machines are up, and how many of them are silent or not heard of in this term.
    pub(super) fn unheard(&self, now: Instant) -> (usize, usize) {
        let up = |h: &&Host| h.booting.is_none() && !h.returning;
        let limit = self.params.report.mul_f64(2.5);
        let quiet = |h: &&Host| !h.reported || now.saturating_duration_since(h.last_heard) > limit;
        let all = self.hosts.values().filter(up).count();
        (all, self.hosts.values().filter(up).filter(quiet).count())
    }

    pub(super) fn return_hosts(&mut self, now: Instant) {
        let p = &self.params;
        let silent_after = p
            .lease
            .mul_f64(p.tuning.silent_share)
            .max(p.report.mul_f64(3.5));
        let up = |h: &&Host| h.reported && !h.returning;
        let silent = |h: &Host| {
            let since = h.last_heard.max(self.awake_since);
            now.saturating_duration_since(since) > silent_after
        };
        // Its reports come, but for as long nothing that was answered has reached it.
        let deaf = |h: &Host| {
            let since = match h.must_show {
                Some((_, t)) => Some(t),
                None if h.fenced || h.own => None,
                None => Some(h.known_since),
            };
            let since = since.map(|t| t.max(self.awake_since));
            h.reported && since.is_some_and(|t| now.saturating_duration_since(t) > silent_after)
        };
        let all = self.hosts.values().filter(up).count();
        let lost = |h: &&Host| silent(h) || deaf(h);
        let quiet = self.hosts.values().filter(up).filter(lost).count();
        // When most fall silent at once, the fault is more likely on our side; but not for longer
        // than their leases last.
        let most = quiet >= MANY && quiet * 2 > all;
        let ours = |h: &Host| {
            let since = h.last_heard.max(self.awake_since);
            most && now.saturating_duration_since(since) <= p.lease + p.report
        };
        // Room for each class's headroom, on all machines that take tasks.
        let headroom = self.headroom(now);
        let mut slots: Vec<usize> = vec![0; headroom.len()];
        let mut own: HashMap<&HostId, Need> = HashMap::new();
        for (h, free) in self.free_room(now) {
            for (n, (_, need)) in slots.iter_mut().zip(&headroom) {
                *n += need.count_in(&free);
            }
            own.insert(&h.id, free);
        }
        let mut leaving: Vec<(HostId, &str)> = Vec::new();
        // The most expensive idle machines go first.
        let mut hosts: Vec<(f64, &Host, Option<&HostType>)> = self
            .hosts
            .values()
            .filter(|h| !h.returning)
            .map(|h| {
                let t = self.host_type(&h.host_type);
                let price = t.map_or(0.0, |t| t.price(h.spot) / t.room.cpus.max(1.0));
                (price, h, t)
            })
            .collect();
        hosts.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, h, t) in hosts {
            if let Some(since) = h.booting {
                let boot = t.map_or(Duration::from_secs(60), |t| t.boot);
                // Its first report may be waiting for us.
                let heard = now.saturating_duration_since(self.awake_since) > p.report * 2;
                let late = boot.mul_f64(4.0) + Duration::from_secs(30);
                if heard && now.saturating_duration_since(since) > late {
                    leaving.push((h.id.clone(), "never came up"));
                }
                continue;
            }
            let faulty = |t: Instant| now.saturating_duration_since(t) > QUARANTINE_PATIENCE;
            if h.quarantined_at.is_some_and(faulty) {
                leaving.push((h.id.clone(), "faulty"));
            } else if h.eviction.is_some() && h.placed.is_empty() {
                leaving.push((h.id.clone(), "to be taken"));
            } else if silent(h)
                && !ours(h)
                && (h.reported
                    || now.saturating_duration_since(h.known_since.max(self.awake_since)) > p.lease)
            {
                leaving.push((h.id.clone(), "silent"));
            } else if deaf(h) && !ours(h) {
                leaving.push((h.id.clone(), "nothing reaches it"));
            } else if let Some(since) = h.idle_since {
                let keep = if h.spot {
                    p.tuning.idle_spot
                } else {
                    p.tuning.idle_ordinary
                };
                let idle = now.saturating_duration_since(since) > keep;
                if !h.reported || !h.placed.is_empty() || !(idle || h.draining) {
                    continue;
                }
                let here = own.get(&h.id);
                let left = |n: usize, need: &Need| {
                    n.saturating_sub(here.map_or(0, |free| need.count_in(free)))
                };
                let enough = headroom
                    .iter()
                    .zip(&slots)
                    .all(|((tasks, need), n)| left(*n, need) >= *tasks as usize);
                if enough || h.draining {
                    for ((_, need), n) in headroom.iter().zip(slots.iter_mut()) {
                        *n = left(*n, need);
                    }
                    own.remove(&h.id);
                    leaving.push((h.id.clone(), "idle"));
                }
            }
        }
        for (id, why) in leaving {
            if let Some(h) = self.hosts.get_mut(&id) {
                log::info!("returning host={id} why={why} tasks={}", h.placed.len());
                h.returning = true;
            }
        }
        let again = |t: Instant| now.saturating_duration_since(t) > Duration::from_secs(20);
        let mut due: Vec<&Host> = self
            .hosts
            .values()
            .filter(|h| h.returning && h.return_sent.is_none_or(again))
            .filter(|h| self.confirmed || h.overdue)
            .collect();
        // Those first whose tasks wait for the proof.
        due.sort_by_key(|h| (!h.overdue, h.placed.is_empty()));
        let pressing = due.first().is_some_and(|h| !h.placed.is_empty());
        let waited = |t: Instant| now.saturating_duration_since(t) >= RETURN_PAUSE;
        let soon = pressing || due.len() >= MOST_RETURNED || self.last_return.is_none_or(waited);
        due.truncate(MOST_RETURNED);
        let due: Vec<HostId> = due.iter().map(|h| h.id.clone()).collect();
        if soon && !due.is_empty() {
            self.last_return = Some(now);
            for id in &due {
                if let Some(h) = self.hosts.get_mut(id) {
                    h.return_sent = Some(now);
                }
            }
            self.actions.push(Action::Return { hosts: due });
        }
    }

    /// Room free now on machines that take tasks.
    pub(super) fn free_room(&self, now: Instant) -> Vec<(&Host, Need)> {
        let mut out = Vec::new();
        for h in self.hosts.values() {
            let Some(t) = self.host_type(&h.host_type) else {
                continue;
            };
            let fresh = now.saturating_duration_since(h.last_heard) <= self.params.report * 3;
            let leaving = h.returning || h.quarantined || h.draining || h.eviction.is_some();
            if h.reported && fresh && !leaving {
                let mut free = t.room;
                free.sub(&h.used);
                out.push((h, free));
            }
        }
        out
    }
}
