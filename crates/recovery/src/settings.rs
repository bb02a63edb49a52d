//! The operators' settings of a takeover, and what makes them unusable.

use crate::segments::{DerivedPrefixes, NamedSegment};
use ipnet::IpNet;
use std::time::Duration;

/// Part of the pace that is left for cancellations, and for what must not wait at all.
pub const RESERVED_SHARE: f64 = 0.2;
/// Within this part of `cancel_s` the kills of cancelled jobs go out at the pace; what is late then goes
/// out at once. Their machines are given back at 0.4 of it.
pub const CANCELLATION_SHARE: f64 = 0.3;

/// Paces where operators set none and the deployment asks for no more.
const DEFAULT_FLEET_RATE: f64 = 1200.0;
const DEFAULT_SEGMENT_RATE: f64 = 600.0;

/// What operators may set.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// Orders are paced, and machines of a silent segment are kept for a while. Reconciliation is not
    /// optional.
    pub enabled: bool,
    /// Most orders to all machines in any second of a takeover. None: as the fleet's size asks for.
    pub orders_per_second: Option<f64>,
    /// Most orders to the machines of one segment in any second of a takeover. None: as its size asks for.
    pub segment_orders_per_second: Option<f64>,
    /// How segments are derived outside of the named ones.
    pub prefixes: DerivedPrefixes,
    /// Segments that operators name.
    pub segments: Vec<NamedSegment>,
    /// Most machines rented in a second while most of a segment or site is silent.
    pub replacements_per_second: f64,
    /// How long work is left alone whose job, by the state service, was never accepted.
    pub unrecorded_hold: Duration,
}

impl Default for RecoverySettings {
    fn default() -> Self {
        RecoverySettings {
            enabled: true,
            orders_per_second: None,
            segment_orders_per_second: None,
            prefixes: DerivedPrefixes { v4: 24, v6: 64 },
            segments: Vec::new(),
            replacements_per_second: 50.0,
            unrecorded_hold: Duration::from_secs(60),
        }
    }
}

/// The deployment that settings are used with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Within what time of its confirmation a cancellation has taken effect.
    pub cancel: Duration,
    /// Most machines at a time.
    pub machines: usize,
}

/// Most orders in any second of a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommandRates {
    /// To all machines.
    pub fleet: f64,
    /// To the machines of one segment.
    pub segment: f64,
}

/// The setting that a problem lies in, by its name in the operators' file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettingName {
    /// The pace of the fleet.
    OrdersPerSecond,
    /// The pace of a segment.
    SegmentOrdersPerSecond,
    /// A named segment.
    Segment(String),
}

/// Why settings cannot be used together.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsProblem {
    /// Kills of cancelled jobs would wait for too long.
    #[error(
        "{rate} orders a second cannot reach {machines} machines within {within:.1} s, {part} of cancel_s"
    )]
    TooSlow {
        /// The pace.
        rate: f64,
        /// How many machines there may be.
        machines: usize,
        /// Within what time they must be reached, in seconds.
        within: f64,
        /// Which part of `cancel_s` that is.
        part: f64,
    },
    /// A segment's pace is above the fleet's.
    #[error("{segment} is above orders-per-s, {fleet}")]
    AboveFleet {
        /// The segment's pace.
        segment: f64,
        /// The fleet's pace.
        fleet: f64,
    },
    /// Two segments share addresses.
    #[error("{net} overlaps with {other_net} of segment {other}")]
    Overlap {
        /// The segment's addresses.
        net: IpNet,
        /// The other segment.
        other: String,
        /// Its addresses.
        other_net: IpNet,
    },
    /// Two segments have one name.
    #[error("two segments are named {0}")]
    SameName(String),
}

/// A problem, and the setting that it lies in.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSettings {
    /// The setting.
    pub setting: SettingName,
    /// What is wrong with it.
    pub problem: SettingsProblem,
}

/// Reads the addresses of a segment: `10.1.0.0/16`.
pub fn parse_segment(text: &str) -> Result<IpNet, String> {
    let net: IpNet = text
        .parse()
        .map_err(|_| format!("'{text}' is not a network such as 10.1.0.0/16"))?;
    if net.trunc() != net {
        return Err(format!(
            "'{text}' has bits set beyond its prefix; {} is meant?",
            net.trunc()
        ));
    }
    Ok(net)
}

impl RecoverySettings {
    /// The paces that hold for a deployment. Those that are not set are raised where the default would not
    /// reach all machines in time for a cancellation.
    pub fn command_rates(&self, deployment: Deployment) -> CommandRates {
        let cancel = deployment.cancel;
        let fleet = self
            .orders_per_second
            .unwrap_or(DEFAULT_FLEET_RATE.max(min_rate(cancel, deployment.machines)));
        let largest = self.largest_segment().min(deployment.machines);
        let segment = self.segment_orders_per_second.unwrap_or(
            DEFAULT_SEGMENT_RATE
                .max(min_rate(cancel, largest))
                .min(fleet),
        );
        CommandRates { fleet, segment }
    }

    /// Whether these settings can be used with a deployment: a pace must reach all machines in time for a
    /// cancellation, and segments must not overlap.
    pub fn validate(&self, deployment: Deployment) -> Result<(), InvalidSettings> {
        self.validate_segments()?;
        if !self.enabled {
            return Ok(());
        }
        let command_rates = self.command_rates(deployment);
        if command_rates.segment > command_rates.fleet {
            return Err(InvalidSettings {
                setting: SettingName::SegmentOrdersPerSecond,
                problem: SettingsProblem::AboveFleet {
                    segment: command_rates.segment,
                    fleet: command_rates.fleet,
                },
            });
        }
        let Deployment { cancel, machines } = deployment;
        check_rate(
            SettingName::OrdersPerSecond,
            command_rates.fleet,
            cancel,
            machines,
        )?;
        let largest = self.largest_segment().min(machines);
        let segment = SettingName::SegmentOrdersPerSecond;
        check_rate(segment, command_rates.segment, cancel, largest)
    }

    /// How many machines a segment may have, by its addresses.
    fn largest_segment(&self) -> usize {
        let named = self.segments.iter().map(|s| match s.net {
            IpNet::V4(net) => 32 - u32::from(net.prefix_len()),
            IpNet::V6(net) => 128 - u32::from(net.prefix_len()),
        });
        let derived = 32 - u32::from(self.prefixes.v4);
        let bits = named.chain([derived]).max().unwrap_or(derived);
        1usize.checked_shl(bits).unwrap_or(usize::MAX)
    }

    fn validate_segments(&self) -> Result<(), InvalidSettings> {
        for (i, segment) in self.segments.iter().enumerate() {
            for other in &self.segments[..i] {
                let problem = if segment.name == other.name {
                    SettingsProblem::SameName(segment.name.clone())
                } else if segment.net.contains(&other.net) || other.net.contains(&segment.net) {
                    SettingsProblem::Overlap {
                        net: segment.net,
                        other: other.name.clone(),
                        other_net: other.net,
                    }
                } else {
                    continue;
                };
                let setting = SettingName::Segment(segment.name.clone());
                return Err(InvalidSettings { setting, problem });
            }
        }
        Ok(())
    }
}

/// The least pace that reaches so many machines in time for a cancellation.
fn min_rate(cancel: Duration, machines: usize) -> f64 {
    let within = cancel.as_secs_f64() * CANCELLATION_SHARE;
    (machines as f64 / (within * (1.0 - RESERVED_SHARE))).ceil()
}

fn check_rate(
    setting: SettingName,
    rate: f64,
    cancel: Duration,
    machines: usize,
) -> Result<(), InvalidSettings> {
    if rate >= min_rate(cancel, machines) {
        return Ok(());
    }
    Err(InvalidSettings {
        setting,
        problem: SettingsProblem::TooSlow {
            rate,
            machines,
            within: cancel.as_secs_f64() * CANCELLATION_SHARE,
            part: CANCELLATION_SHARE,
        },
    })
}
