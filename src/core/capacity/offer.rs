//! What the cloud offers for rent.

use crate::core::model::{MachineTypeName, Zone};

/// One kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineOffer {
    pub(super) machine_type: MachineTypeName,
    pub(super) zone: Zone,
    /// The cloud may take it back.
    pub(super) spot: bool,
}
