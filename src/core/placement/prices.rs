//! Price comparison of machines.

use crate::core::model::MachineType;

/// The ratio between the prices of two successive price steps. Prices in the same step count as equal,
/// because spot prices vary by a third.
const PRICE_STEP_FACTOR: f64 = 1.5;

/// The hourly price of a machine divided by its number of CPUs. A machine type with less than one CPU counts
/// as having one.
pub(in crate::core) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    machine_type.price(spot) / machine_type.capacity.cpus.max(1.0)
}

/// The index of a price on a logarithmic scale with the ratio [`PRICE_STEP_FACTOR`]. Prices with the same
/// index count as equal; a price of zero is below all others.
pub(super) fn price_step(price: f64) -> f64 {
    if price > 0.0 {
        (price.ln() / PRICE_STEP_FACTOR.ln()).round()
    } else {
        f64::NEG_INFINITY
    }
}
