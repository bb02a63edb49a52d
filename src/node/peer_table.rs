//! The last status reports of the other controllers.
//!
//! A report is valid for `REPORT_LIFETIME`. A peer whose last report was received longer ago than this is
//! treated as unreachable.

use crate::common::rate_sharing::ChangeRateDemand;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a peer's report is valid after it was received.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);

/// The last status that a peer reported.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus {
    /// When this node received the report.
    pub received_at: Instant,
    /// Whether the peer can reach the key-value store.
    pub store_ok: bool,
    /// Number of workers that send their heartbeats to the peer.
    pub workers: u32,
    /// The rate of changes to the key-value store that the peer requested recently.
    pub demand: ChangeRateDemand,
    /// The average delay with which the peer's timers fire.
    pub timer_lag: Duration,
}

impl PeerStatus {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_LIFETIME
    }
}

/// A peer whose last report is still valid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LivePeer {
    /// The peer's member name.
    pub member: String,
    /// Number of workers that send their heartbeats to this peer.
    pub workers: u32,
}

/// The last report of each peer, by member name.
#[derive(Default)]
pub struct PeerTable {
    reports: HashMap<String, PeerStatus>,
}

impl PeerTable {
    pub(super) fn update(&mut self, member: &str, status: PeerStatus) {
        self.reports.insert(member.to_owned(), status);
    }

    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerStatus)> {
        self.reports
            .iter()
            .filter(move |(_, status)| status.is_fresh(now))
    }

    pub(super) fn max_timer_lag(&self, now: Instant) -> Duration {
        let lags = self.fresh_reports(now).map(|(_, status)| status.timer_lag);
        lags.max().unwrap_or_default()
    }

    pub(super) fn peer_demand(&self, member: &str, now: Instant) -> Option<ChangeRateDemand> {
        let status = self.reports.get(member)?;
        status.is_fresh(now).then_some(status.demand)
    }

    pub(super) fn any_live(&self, now: Instant) -> bool {
        self.fresh_reports(now).next().is_some()
    }

    /// Member names of the live peers that can reach the key-value store.
    pub(super) fn members_with_store(&self, now: Instant) -> Vec<String> {
        let with_store = self
            .fresh_reports(now)
            .filter(|(_, status)| status.store_ok);
        with_store.map(|(member, _)| member.clone()).collect()
    }

    /// The live peers, sorted by member name.
    pub(super) fn live(&self, now: Instant) -> Vec<LivePeer> {
        let live = self.fresh_reports(now).map(|(member, status)| LivePeer {
            member: member.clone(),
            workers: status.workers,
        });
        let mut peers: Vec<LivePeer> = live.collect();
        peers.sort();
        peers
    }
}
