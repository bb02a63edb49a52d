//! Spot machines that take the place of ordinary ones: which are on their way, and which are up.

use crate::core::model::MachineTypeName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// No replacement is looked for for this long after the cloud refused one.
const REFUSAL_PAUSE: Duration = Duration::from_secs(60);
/// And for this long after none was on offer.
const NO_OFFER_PAUSE: Duration = Duration::from_secs(10);

/// Spot machines that were rented to take the place of ordinary ones, by type.
#[derive(Debug, Default)]
pub(super) struct SpotReplacements {
    /// On their way.
    pub(super) pending: HashMap<MachineTypeName, u32>,
    /// Up, while the ordinary machines are not drained yet.
    pub(super) ready: HashMap<MachineTypeName, u32>,
    /// No replacement is looked for before this time.
    pub(super) paused_until: Option<Instant>,
}

impl SpotReplacements {
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    pub(super) fn pending(&self, machine_type: &MachineTypeName) -> u32 {
        self.pending.get(machine_type).copied().unwrap_or(0)
    }

    /// A spot machine of this type came up. It counts as a replacement if one is under way.
    pub(super) fn record_ready(&mut self, machine_type: &MachineTypeName) {
        let pending = self.pending.get_mut(machine_type);
        if let Some(count) = pending.filter(|count| **count > 0) {
            *count -= 1;
            *self.ready.entry(machine_type.clone()).or_default() += 1;
        }
    }

    /// The cloud refused spot machines of this type.
    pub(super) fn record_refusal(&mut self, now: Instant, machine_type: &MachineTypeName) {
        if self.pending.remove(machine_type).is_some() {
            self.paused_until = Some(now + REFUSAL_PAUSE);
        }
    }

    pub(super) fn record_ordered(&mut self, machine_type: &MachineTypeName, number: u32) {
        *self.pending.entry(machine_type.clone()).or_default() += number;
    }

    pub(super) fn pause_for_missing_offer(&mut self, now: Instant) {
        self.paused_until = Some(now + NO_OFFER_PAUSE);
    }

    /// The machines of each type that are to be drained have been.
    pub(super) fn clear_ready(&mut self) {
        self.ready.clear();
    }
}
