//! Comparing machines by price.

use crate::core::model::MachineType;

/// Prices within this factor count as equal: spot prices move by a third.
const PRICE_STEP_FACTOR: f64 = 1.5;

/// What a CPU of a machine costs an hour.
pub(in crate::core) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    machine_type.price(spot) / machine_type.capacity.cpus.max(1.0)
}

/// A price in steps within which prices count as equal.
pub(super) fn price_step(price: f64) -> f64 {
    if price > 0.0 {
        (price.ln() / PRICE_STEP_FACTOR.ln()).round()
    } else {
        f64::NEG_INFINITY
    }
}
