//! Boot times of machines, by type.

use crate::core::model::{MachineType, MachineTypeName};
use crate::core::placement::history::Average;
use std::collections::HashMap;
use std::time::Duration;

/// Once this many boots of a machine type were measured, their mean replaces the advertised boot time.
const MIN_MEASURED_BOOTS: u32 = 2;
/// The bounds of the expected boot time if it is taken from measurements, in seconds.
const MIN_BOOT_S: f64 = 0.5;
const MAX_BOOT_S: f64 = 600.0;

/// Measured boot times by machine type. The averages are in seconds.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    averages: HashMap<MachineTypeName, Average>,
}

impl BootTimes {
    /// Records that a machine of this type came up. `took`: the time from its rental to its first heartbeat.
    pub(super) fn record(&mut self, machine_type: &MachineTypeName, took: Duration) {
        let average = self.averages.entry(machine_type.clone()).or_default();
        average.add(took.as_secs_f64());
    }

    /// The expected time from the rental of a machine to its first heartbeat.
    pub(super) fn expected(&self, machine_type: &MachineType) -> Duration {
        match self.averages.get(&machine_type.name) {
            Some(average) if average.count >= MIN_MEASURED_BOOTS => {
                Duration::from_secs_f64(average.mean.clamp(MIN_BOOT_S, MAX_BOOT_S))
            }
            _ => machine_type.advertised_boot_time,
        }
    }
}
