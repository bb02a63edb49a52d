//! Capacity management: which machines are rented, drained and returned to the cloud.
//!
//! After each placement round, `ClusterState::manage_capacity` compares the tasks that wait with the free
//! resources. Each module plans one kind of change from the current cluster state: `scale_out` rents
//! machines for waiting tasks and for `headroom`, `scale_in` returns machines, `spot_replacement` and
//! `consolidation` drain them. `apply` is the only module that changes the state according to these plans.
//! `rental_results` and `cloud_list` apply the responses of the cloud.
//!
//! Invariants:
//!
//! - A rental is retried under its idempotency key until its outcome is known, so that no machine is rented
//!   twice.
//! - No rental raises the number of machines, pending rentals included, above the configured maximum.
//! - A new leader rents nothing before it knows which machines exist.

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

/// A machine is expensive if it costs more per CPU than this many times the cheapest machine that may be used
/// instead.
const EXPENSIVE_PRICE_FACTOR: f64 = 1.5;
