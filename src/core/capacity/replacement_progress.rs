//! Counts the spot machines that replace on-demand machines: pending until they are up, then ready until the
//! on-demand machines are drained.

use crate::core::model::MachineTypeName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long no replacement is planned after the cloud refused one.
const REFUSAL_PAUSE: Duration = Duration::from_secs(60);
/// How long no replacement is planned after one was wanted but no spot machine of the type was on offer.
const NO_OFFER_PAUSE: Duration = Duration::from_secs(10);

/// The numbers of spot machines that were rented to replace on-demand ones, by type.
#[derive(Debug, Default)]
pub(super) struct SpotReplacements {
    /// The number of replacements that were ordered and are not up yet, by type.
    pub(super) pending: HashMap<MachineTypeName, u32>,
    /// The number of replacements that are up and for which no on-demand machine has begun to drain yet, by
    /// type.
    pub(super) ready: HashMap<MachineTypeName, u32>,
    /// No replacement is planned before this time.
    pub(super) paused_until: Option<Instant>,
}

impl SpotReplacements {
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    pub(super) fn pending(&self, machine_type: &MachineTypeName) -> u32 {
        self.pending.get(machine_type).copied().unwrap_or(0)
    }

    /// Records that a spot machine of this type came up. The machine counts as a ready
    /// replacement if a replacement of this type is pending.
    pub(super) fn record_ready(&mut self, machine_type: &MachineTypeName) {
        let pending = self.pending.get_mut(machine_type);
        if let Some(count) = pending.filter(|count| **count > 0) {
            *count -= 1;
            *self.ready.entry(machine_type.clone()).or_default() += 1;
        }
    }

    /// Records that the cloud refused spot machines of this type. If replacements of this
    /// type were pending, they are no longer counted, and no replacement is planned for `REFUSAL_PAUSE`.
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

    /// Clears the counts of ready replacements, once the machines that they replace are being drained.
    pub(super) fn clear_ready(&mut self) {
        self.ready.clear();
    }
}
