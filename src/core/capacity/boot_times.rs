//! How long machines take to come up.

use crate::core::model::{MachineType, MachineTypeName};
use crate::core::placement::history::Average;
use std::collections::HashMap;
use std::time::Duration;

/// Boots of a type that are measured before the mean counts.
const MIN_MEASURED_BOOTS: u32 = 2;
/// Bounds of the mean, in seconds.
const MIN_BOOT_S: f64 = 0.5;
const MAX_BOOT_S: f64 = 600.0;

/// Measured boot times by machine type.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    averages: HashMap<MachineTypeName, Average>,
}

impl BootTimes {
    /// A machine of this type came up.
    pub(super) fn record(&mut self, machine_type: &MachineTypeName, took: Duration) {
        let average = self.averages.entry(machine_type.clone()).or_default();
        average.add(took.as_secs_f64());
    }

    /// How long a machine takes from the rental to its first heartbeat.
    pub(super) fn expected(&self, machine_type: &MachineType) -> Duration {
        match self.averages.get(&machine_type.name) {
            Some(average) if average.count >= MIN_MEASURED_BOOTS => {
                Duration::from_secs_f64(average.mean.clamp(MIN_BOOT_S, MAX_BOOT_S))
            }
            _ => machine_type.advertised_boot_time,
        }
    }
}
