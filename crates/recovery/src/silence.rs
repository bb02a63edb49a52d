//! Which machines fall silent together.
//!
//! One silent machine, a silent rack and a silent site are different failures. A single machine is likely
//! broken and is given back. When most of a segment or site is silent, the fault is more likely in the
//! network, and its machines with their work are likely to come back together.

use crate::segments::Segment;
use cypressgap_model::Zone;
use std::collections::HashMap;

/// This many silent machines are no accident of each one's own.
pub const MIN_SILENT_MACHINES: usize = 3;

/// How far a silence reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SilenceScope {
    /// Single machines.
    Machine,
    /// Most machines of a network segment.
    Segment,
    /// Most machines of a site.
    Zone,
    /// Most machines of all.
    Fleet,
}

/// Machines of a group, and how many of them are silent.
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

    fn mostly_silent(&self) -> bool {
        self.silent >= MIN_SILENT_MACHINES && self.silent * 2 > self.machines
    }
}

/// Silent machines by segment and site, counted at one time.
#[derive(Clone, Debug, Default)]
pub struct SilenceSurvey {
    segments: HashMap<Segment, MachineTally>,
    zones: HashMap<Zone, MachineTally>,
    fleet: MachineTally,
}

impl SilenceSurvey {
    /// Counts a machine.
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

    /// How far the silence reaches that a silent machine of this segment and site is part of.
    pub fn scope(&self, segment: &Segment, zone: &Zone) -> SilenceScope {
        let most = |tally: Option<&MachineTally>| tally.is_some_and(MachineTally::mostly_silent);
        if self.fleet.mostly_silent() {
            SilenceScope::Fleet
        } else if most(self.zones.get(zone)) {
            SilenceScope::Zone
        } else if *segment != Segment::Unknown && most(self.segments.get(segment)) {
            SilenceScope::Segment
        } else {
            SilenceScope::Machine
        }
    }

    /// The widest silence that there is.
    pub fn widest(&self) -> SilenceScope {
        let known = |(segment, tally): (&Segment, &MachineTally)| {
            *segment != Segment::Unknown && tally.mostly_silent()
        };
        if self.fleet.mostly_silent() {
            SilenceScope::Fleet
        } else if self.zones.values().any(MachineTally::mostly_silent) {
            SilenceScope::Zone
        } else if self.segments.iter().any(known) {
            SilenceScope::Segment
        } else {
            SilenceScope::Machine
        }
    }
}
