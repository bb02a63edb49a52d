//! Which machines fall silent together.
//!
//! One silent machine, a silent rack and a silent zone are different failures. A single machine is likely
//! broken and is returned to the cloud. When most machines of a segment or zone are silent, the fault is more
//! likely in the network, and the machines with their tasks are likely to come back together.
//!
//! Invariants: the widest group that is mostly silent counts, and fewer than [`MIN_SILENT_MACHINES`] never
//! do. Silence is no proof that a task ended; it only decides whether machines are kept and replaced.

use crate::segments::Segment;
use cypressgap_model::Zone;
use std::collections::HashMap;

/// Fewer silent machines than this are taken for independent failures.
pub const MIN_SILENT_MACHINES: usize = 3;

/// The extent of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SilenceScope {
    /// Single machines.
    Machine,
    /// Most machines of a network segment.
    Segment,
    /// Most machines of a zone.
    Zone,
    /// Most machines of the fleet.
    Fleet,
}

/// The number of machines of a group, and of the silent ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct MachineTally {
    machines: usize,
    silent: usize,
}

impl MachineTally {
    fn add(&mut self, silent: bool) {
        self.machines += 1;
        self.silent += usize::from(silent);
    }

    fn is_mostly_silent(&self) -> bool {
        self.silent >= MIN_SILENT_MACHINES && self.silent * 2 > self.machines
    }
}

/// Counts of silent machines by segment and by zone, taken at one time.
#[derive(Clone, Debug, Default)]
pub struct SilenceSurvey {
    segments: HashMap<Segment, MachineTally>,
    zones: HashMap<Zone, MachineTally>,
    fleet: MachineTally,
}

impl SilenceSurvey {
    /// Counts a machine, silent or not.
    pub fn add(&mut self, segment: &Segment, zone: &Zone, silent: bool) {
        if !self.segments.contains_key(segment) {
            self.segments
                .insert(segment.clone(), MachineTally::default());
        }
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.clone(), MachineTally::default());
        }
        let segment = self.segments.get_mut(segment);
        let zone = self.zones.get_mut(zone);
        for tally in segment.into_iter().chain(zone) {
            tally.add(silent);
        }
        self.fleet.add(silent);
    }

    /// The extent of the outage that a silent machine of this segment and zone is part of.
    pub fn scope(&self, segment: &Segment, zone: &Zone) -> SilenceScope {
        let is_silent =
            |tally: Option<&MachineTally>| tally.is_some_and(MachineTally::is_mostly_silent);
        if self.fleet.is_mostly_silent() {
            SilenceScope::Fleet
        } else if is_silent(self.zones.get(zone)) {
            SilenceScope::Zone
        } else if *segment != Segment::Unknown && is_silent(self.segments.get(segment)) {
            SilenceScope::Segment
        } else {
            SilenceScope::Machine
        }
    }

    /// The extent of the widest outage.
    pub fn widest(&self) -> SilenceScope {
        let is_silent = |(segment, tally): (&Segment, &MachineTally)| {
            *segment != Segment::Unknown && tally.is_mostly_silent()
        };
        if self.fleet.is_mostly_silent() {
            SilenceScope::Fleet
        } else if self.zones.values().any(MachineTally::is_mostly_silent) {
            SilenceScope::Zone
        } else if self.segments.iter().any(is_silent) {
            SilenceScope::Segment
        } else {
            SilenceScope::Machine
        }
    }
}
