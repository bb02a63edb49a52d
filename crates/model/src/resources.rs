//! Amounts of a machine's resources, and their arithmetic.
//!
//! Invariant: comparisons allow for [`RESOURCE_EPSILON`], since sums of decimal fractions are not exact.

/// An amount of each resource of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors; fractions are allowed.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// The rounding error up to which a shortage is ignored.
pub const RESOURCE_EPSILON: f64 = 1e-6;

/// The count that stands for "any number", for an amount that needs nothing.
const UNBOUNDED_COUNT: usize = 1000;

impl Resources {
    /// Whether this amount fits into `free`.
    #[must_use]
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + RESOURCE_EPSILON
            && self.gpus <= free.gpus + RESOURCE_EPSILON
            && self.memory_gb <= free.memory_gb + RESOURCE_EPSILON
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another amount.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// This amount `count` times.
    #[must_use]
    pub fn times(&self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// How many times this amount fits into `capacity`; 1000 if it needs nothing.
    #[must_use]
    pub fn count_fitting_in(&self, capacity: &Resources) -> usize {
        let count_of = |amount: f64, capacity: f64| {
            if amount <= 0.0 {
                f64::INFINITY
            } else {
                ((capacity + RESOURCE_EPSILON) / amount).floor().max(0.0)
            }
        };
        let count = count_of(self.cpus, capacity.cpus)
            .min(count_of(self.gpus, capacity.gpus))
            .min(count_of(self.memory_gb, capacity.memory_gb));
        if count.is_finite() {
            count as usize
        } else {
            UNBOUNDED_COUNT
        }
    }

    /// The dominant share: the largest share of `whole` that any one resource takes.
    #[must_use]
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        let share = |amount: f64, whole: f64| if whole > 0.0 { amount / whole } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory_gb, whole.memory_gb))
    }
}
