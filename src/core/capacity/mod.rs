//! Capacity: which machines are rented, drained and returned.
//!
//! After a placement round, `ClusterState::manage_capacity` compares what waits with what is free. Each
//! module plans one kind of change from the cluster state as it stands: `scale_out` rents machines for
//! waiting work and for `headroom`, `scale_in` returns machines, `spot_replacement` and
//! `consolidation` drain them. `apply` is the only place where these plans change the state.
//! `rentals` and `cloud_list` take in what the cloud answers.
//!
//! Invariants: a rental is repeated under its idempotency key until its outcome is known, so no machine
//! is rented twice; there are never more machines, rentals under way included, than the settings allow;
//! nothing is rented before it is known what machines there are.

mod apply;
mod boot_times;
mod capacity_manager;
mod capacity_state;
mod class_demand;
mod cloud_list;
mod consolidation;
mod drain;
mod free_resources;
mod headroom;
mod offer;
mod packing;
mod rental_results;
mod rentals;
mod replacement_progress;
mod scale_in;
mod scale_out;
mod silence;
mod spot_replacement;

pub use capacity_state::Capacity;
pub use rentals::RentalOutcome;

/// A machine that costs this much more by the CPU than the cheapest allowed one is expensive.
const EXPENSIVE_PRICE_FACTOR: f64 = 1.5;
