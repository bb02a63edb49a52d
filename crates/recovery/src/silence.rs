//! Detection of shared outages: which machines are silent at the same time.
//!
//! A single silent machine is likely broken and is returned to the cloud. If most machines of a segment or
//! zone are silent, the cause is more likely in the network, and the machines are likely to report again with
//! their tasks still running.
//!
//! Invariants: the scope of an outage is the widest group whose machines are mostly silent, and a group with
//! fewer than [`MIN_SILENT_MACHINES`] silent machines never counts as mostly silent. Silence does not prove
//! that a task ended; it only decides whether machines are kept and replaced.

use crate::segments::Segment;
use cypressgap_model::Zone;
use std::collections::HashMap;

/// The minimum number of silent machines in a group that counts as mostly silent. Fewer silent machines count
/// as independent failures.
pub const MIN_SILENT_MACHINES: usize = 3;

/// The scope of an outage, from narrowest to widest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SilenceScope {
    /// No shared outage: the silent machines are treated as independent failures.
    Machine,
    /// Most machines of a network segment.
    Segment,
    /// Most machines of a zone.
    Zone,
    /// Most machines of the fleet.
    Fleet,
}

/// The number of machines in a group, and how many of them are silent.
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

/// Counts of silent machines by segment, by zone and in the fleet, all taken at the same time.
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

    /// The scope of the outage that a silent machine of this segment and zone is part of. Machines whose
    /// segment is unknown form no group.
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

    /// The scope of the widest outage; [`SilenceScope::Machine`] if there is no shared one.
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
