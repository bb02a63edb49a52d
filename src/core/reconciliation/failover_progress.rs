//! Progress of the takeover by this leader: detection of silent machines, and log messages about its phases.

use crate::core::model::MachineId;
use crate::core::state::ClusterState;
use cypressgap_recovery::attempt_state::AttemptState;
use cypressgap_recovery::takeover::PhaseChange;
use std::time::Instant;

impl ClusterState {
    /// Records which machines with attempts on record are silent, and starts the next phase of the takeover
    /// if the current one has ended.
    pub(in crate::core) fn advance_takeover(&mut self, now: Instant) {
        if self.takeover.is_over() {
            return;
        }
        let silence_timeout = self.silence_timeout();
        let recorded = self.takeover.recorded_machines();
        let is_silent = |id: &&MachineId| {
            let machine = self.fleet.machines.get(*id);
            machine.is_some_and(|machine| self.is_silent(now, machine, silence_timeout))
        };
        let silent: Vec<MachineId> = recorded.filter(is_silent).cloned().collect();
        for machine in &silent {
            self.takeover.on_silence(machine);
        }
        if let Some(change) = self.takeover.advance(now) {
            self.log_phase(&change);
        }
    }

    fn log_phase(&self, change: &PhaseChange) {
        let states =
            AttemptState::ALL.map(|state| format!("{state}={}", change.counts.count(state)));
        log::info!(
            "takeover {} term={} {} unrecorded_jobs={} deferred={} {}",
            change.phase,
            self.term.0,
            states.join(" "),
            change.unrecorded_jobs,
            change.deferred,
            change.summary
        );
    }
}
