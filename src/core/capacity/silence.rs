//! Machines that are silent or cannot be reached, and whether the fault is likely theirs.

use crate::core::state::{ClusterState, Machine};
use cypressgap_recovery::silence::{SilenceScope, SilenceSurvey, MIN_SILENT_MACHINES};
use std::time::{Duration, Instant};

/// A machine that has missed so many heartbeats is silent, whatever its lease.
const MIN_SILENT_HEARTBEATS: f64 = 3.5;
/// Machines whose last heartbeat is older than so many intervals count as silent for scaling out.
const SCALE_OUT_SILENT_HEARTBEATS: f64 = 2.5;

/// The machines that should be up, and those of them without a recent heartbeat in this term.
struct SilenceCount {
    machines: usize,
    silent: usize,
}

impl ClusterState {
    /// Whether most machines are silent, so that work which seems to lack room may have it.
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

    /// After what time machines count as silent.
    pub(in crate::core) fn silence_timeout(&self) -> Duration {
        let config = &self.config;
        let lease_share = config.lease.mul_f64(config.tuning.silent_lease_fraction);
        lease_share.max(config.heartbeat.mul_f64(MIN_SILENT_HEARTBEATS))
    }

    /// Which machines are silent together. Machines are counted one by one only where enough are silent
    /// for it to matter.
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

    /// Whether no heartbeat of a machine came for longer than `timeout`.
    pub(in crate::core) fn is_silent(
        &self,
        now: Instant,
        machine: &Machine,
        timeout: Duration,
    ) -> bool {
        self.silence_duration(now, machine) > timeout
    }

    /// For how long no heartbeat of a machine came, as far as this process was awake to notice.
    fn silence_duration(&self, now: Instant, machine: &Machine) -> Duration {
        let since = machine.last_heartbeat_at.max(self.liveness.awake_since);
        now.saturating_duration_since(since)
    }

    /// Whether its heartbeats come, but for longer than `timeout` none of our answers has reached it.
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

    /// When most of a segment, a zone or all machines fall silent at once, the fault is more likely on
    /// our side or in the network; but not for longer than their leases last.
    pub(super) fn is_shared_outage(&self, now: Instant, machine: &Machine) -> bool {
        let scope = self
            .takeover
            .silence_scope(&machine.endpoint, &machine.zone);
        let max_outage = self.config.lease + self.config.heartbeat;
        self.silence_duration(now, machine) <= max_outage && scope != SilenceScope::Machine
    }
}
