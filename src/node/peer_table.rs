//! What the other controllers last reported of themselves.
//!
//! A report counts only for `REPORT_LIFETIME`: a peer that has been silent for longer is treated as
//! out of reach.

use crate::common::rate_sharing::ChangeRateDemand;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a peer's report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);

/// A peer's last report of itself.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus {
    /// When the report was received.
    pub received_at: Instant,
    /// Whether the key-value store answers the peer.
    pub store_ok: bool,
    /// Worker nodes whose heartbeats the peer receives.
    pub workers: u32,
    /// Changes a second that the peer asks of the key-value store.
    pub demand: ChangeRateDemand,
    /// How late the peer's timers fire.
    pub timer_lag: Duration,
}

impl PeerStatus {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_LIFETIME
    }
}

/// A peer that was in touch recently.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LivePeer {
    /// The peer's name.
    pub member: String,
    /// Worker nodes whose heartbeats it receives.
    pub workers: u32,
}

/// The last report of each peer, by the peer's name.
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

    /// The live peers that reach the key-value store.
    pub(super) fn members_with_store(&self, now: Instant) -> Vec<String> {
        let with_store = self
            .fresh_reports(now)
            .filter(|(_, status)| status.store_ok);
        with_store.map(|(member, _)| member.clone()).collect()
    }

    /// The live peers, in the order of their names.
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
