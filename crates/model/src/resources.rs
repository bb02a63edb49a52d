//! Amounts of a machine.

/// An amount of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors, or parts of them.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// Sums of decimal amounts drift by rounding; this much is not a shortage.
pub const RESOURCE_EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether there is room for it.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + RESOURCE_EPSILON
            && self.gpus <= free.gpus + RESOURCE_EPSILON
            && self.memory <= free.memory + RESOURCE_EPSILON
    }
    /// Adds another amount.
    pub fn add(&mut self, o: &Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory += o.memory;
    }
    /// Takes another amount away.
    pub fn sub(&mut self, o: &Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory -= o.memory;
    }
    /// So many times this amount.
    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }
    /// How many of `self` go into `room`.
    pub fn count_in(&self, room: &Resources) -> usize {
        let one = |resources: f64, room: f64| {
            if resources <= 0.0 {
                f64::INFINITY
            } else {
                ((room + RESOURCE_EPSILON) / resources).floor().max(0.0)
            }
        };
        let n = one(self.cpus, room.cpus)
            .min(one(self.gpus, room.gpus))
            .min(one(self.memory, room.memory));
        if n.is_finite() {
            n as usize
        } else {
            1000
        }
    }
    /// The largest share of `whole` that any one resource takes.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let one = |resources: f64, whole: f64| if whole > 0.0 { resources / whole } else { 0.0 };
        one(self.cpus, whole.cpus)
            .max(one(self.gpus, whole.gpus))
            .max(one(self.memory, whole.memory))
    }
}
