//! The machines that the cloud offers for rent.

use crate::core::model::{MachineTypeName, Zone};

/// A combination of type, zone and price model in which machines can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineOffer {
    pub(super) machine_type: MachineTypeName,
    pub(super) zone: Zone,
    /// Whether the offered machines are spot machines, which the cloud may reclaim.
    pub(super) spot: bool,
}
