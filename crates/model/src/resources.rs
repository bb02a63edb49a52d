//! Amounts of CPUs, GPUs and memory, and arithmetic on them.
//!
//! Invariant: comparisons tolerate [`RESOURCE_EPSILON`], since sums of decimal fractions are not exact in
//! binary floating point.

/// An amount of each resource: what a task requests, what a machine offers, or what is used or free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// The number of CPUs, which may be a fraction.
    pub cpus: f64,
    /// The number of GPUs, which may be a fraction.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// A shortage of a resource up to this amount counts as a rounding error. The amount is in the unit of the
/// compared resource: CPUs, GPUs or GB.
pub const RESOURCE_EPSILON: f64 = 1e-6;

/// The result of [`Resources::count_fitting_in`] for an amount that is zero in every resource, which would
/// fit any number of times.
const COUNT_FOR_ZERO_AMOUNT: usize = 1000;

impl Resources {
    /// Whether this amount is at most `available` in every resource.
    #[must_use]
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + RESOURCE_EPSILON
            && self.gpus <= available.gpus + RESOURCE_EPSILON
            && self.memory_gb <= available.memory_gb + RESOURCE_EPSILON
    }

    /// Adds `other` to this amount, resource by resource.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `other` from this amount. The result may be negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// This amount multiplied by `factor`.
    #[must_use]
    pub fn times(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// How many times this amount fits into `available`, rounded down; 1000 if this amount is zero in every
    /// resource.
    #[must_use]
    pub fn count_fitting_in(&self, available: &Resources) -> usize {
        let count_of = |amount: f64, available: f64| {
            if amount <= 0.0 {
                f64::INFINITY
            } else {
                ((available + RESOURCE_EPSILON) / amount).floor().max(0.0)
            }
        };
        let count = count_of(self.cpus, available.cpus)
            .min(count_of(self.gpus, available.gpus))
            .min(count_of(self.memory_gb, available.memory_gb));
        if count.is_finite() {
            count as usize
        } else {
            COUNT_FOR_ZERO_AMOUNT
        }
    }

    /// The dominant share: the largest fraction of `total` that this amount takes of any one resource. A
    /// resource of which `total` has none is ignored.
    #[must_use]
    pub fn dominant_share_of(&self, total: &Resources) -> f64 {
        let share = |amount: f64, total: f64| if total > 0.0 { amount / total } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}
