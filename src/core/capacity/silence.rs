//! Machines that are silent or unreachable, and whether the cause is likely the machine or a shared outage.

use crate::core::state::{ClusterState, Machine};
use cypressgap_recovery::silence::{SilenceScope, SilenceSurvey, MIN_SILENT_MACHINES};
use std::time::{Duration, Instant};

/// The lower bound of the silence timeout, in heartbeat intervals. It applies however short the lease is.
const MIN_SILENT_HEARTBEATS: f64 = 3.5;
/// For scaling out, machines count as silent if their last heartbeat is older than this many heartbeat
/// intervals.
const SCALE_OUT_SILENT_HEARTBEATS: f64 = 2.5;

/// Counts the machines that are neither booting nor being returned, and those of them that are silent: these
/// have not reported in this term, or their last heartbeat is too old (see `SCALE_OUT_SILENT_HEARTBEATS`).
struct SilenceCount {
    machines: usize,
    silent: usize,
}

impl ClusterState {
    /// Whether more than half of the machines, and at least [`MIN_SILENT_MACHINES`], are silent. If so,
    /// resources that seem to be missing may exist on machines that are about to report again.
    pub(super) fn are_most_machines_silent(&self, now: Instant) -> bool {
        let count = self.count_silent(now);
        count.silent >= MIN_SILENT_MACHINES && count.silent * 2 > count.machines
    }

    fn count_silent(&self, now: Instant) -> SilenceCount {
        let limit = self.config.heartbeat.mul_f64(SCALE_OUT_SILENT_HEARTBEATS);
        let is_silent = |machine: &Machine| {
            let silence = now.saturating_duration_since(machine.last_heartbeat_at);
            !machine.has_reported || silence > limit
        };
        let mut count = SilenceCount {
            machines: 0,
            silent: 0,
        };
        let machines = self.fleet.machines.values();
        for machine in machines.filter(|m| m.booting_since.is_none() && !m.returning) {
            count.machines += 1;
            count.silent += usize::from(is_silent(machine));
        }
        count
    }

    /// A machine counts as silent if its last heartbeat is longer ago than this: a fraction of the lease, but
    /// at least `MIN_SILENT_HEARTBEATS` heartbeat intervals.
    pub(in crate::core) fn silence_timeout(&self) -> Duration {
        let config = &self.config;
        let lease_share = config.lease.mul_f64(config.tuning.silent_lease_fraction);
        lease_share.max(config.heartbeat.mul_f64(MIN_SILENT_HEARTBEATS))
    }

    /// Counts silent and unreachable machines by segment and zone. If fewer than [`MIN_SILENT_MACHINES`]
    /// machines are silent or unreachable, the survey stays empty, since it could not show a shared outage.
    pub(super) fn survey_silence(&self, now: Instant) -> SilenceSurvey {
        let timeout = self.silence_timeout();
        let is_out_of_contact = |machine: &Machine| {
            self.is_silent(now, machine, timeout) || self.is_unreachable(now, machine, timeout)
        };
        let machines = self.fleet.machines.values();
        let reported = machines.filter(|m| m.has_reported && !m.returning);
        let mut survey = SilenceSurvey::default();
        if reported.clone().filter(|m| is_out_of_contact(m)).count() < MIN_SILENT_MACHINES {
            return survey;
        }
        for machine in reported {
            let segment = self.takeover.segment_of(&machine.endpoint);
            survey.add(&segment, &machine.zone, is_out_of_contact(machine));
        }
        survey
    }

    /// Whether the last heartbeat of a machine was received longer than `timeout` ago, not counting time
    /// before this process last resumed from a pause.
    pub(in crate::core) fn is_silent(
        &self,
        now: Instant,
        machine: &Machine,
        timeout: Duration,
    ) -> bool {
        self.silence_duration(now, machine) > timeout
    }

    /// The time since the last heartbeat of a machine. Time before this process last resumed from a pause
    /// does not count, because heartbeats may have been missed then.
    fn silence_duration(&self, now: Instant, machine: &Machine) -> Duration {
        let since = machine.last_heartbeat_at.max(self.liveness.awake_since);
        now.saturating_duration_since(since)
    }

    /// Whether a machine has reported, but for longer than `timeout` has not shown that this leader's
    /// responses reach it.
    pub(super) fn is_unreachable(
        &self,
        now: Instant,
        machine: &Machine,
        timeout: Duration,
    ) -> bool {
        let since = match machine.required_token {
            Some(required) => Some(required.since),
            None if machine.fenced || machine.rented_this_term => None,
            None => Some(machine.known_since),
        };
        let since = since.map(|t| t.max(self.liveness.awake_since));
        machine.has_reported && since.is_some_and(|t| now.saturating_duration_since(t) > timeout)
    }

    /// Whether a silent or unreachable machine is likely part of a shared outage. If most machines of a
    /// segment, a zone or the fleet are silent at once, the cause is more likely the network or this leader
    /// than the machines. Returns `false` once the machine has been silent for longer than its lease plus one
    /// heartbeat interval.
    pub(super) fn is_shared_outage(&self, now: Instant, machine: &Machine) -> bool {
        let scope = self
            .takeover
            .silence_scope(&machine.endpoint, &machine.zone);
        let max_outage = self.config.lease + self.config.heartbeat;
        self.silence_duration(now, machine) <= max_outage && scope != SilenceScope::Machine
    }
}
