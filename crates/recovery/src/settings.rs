//! The operators' settings for takeovers, and their validation.
//!
//! Invariants of valid settings: if pacing is enabled, the kills of cancelled jobs reach every machine at the
//! configured rates within [`PACED_SHARE_OF_CANCELLATION_DEADLINE`] of the cancellation deadline. The network
//! segments that operators define, which are groups of machines by IP address, do not overlap.

use crate::segments::{DerivedPrefixes, NamedSegment};
use ipnet::IpNet;
use std::time::Duration;

/// The share of a command rate that is reserved for prompt commands, and for those that must not wait at all.
pub const RESERVED_SHARE_OF_RATE: f64 = 0.2;
/// The share of the cancellation deadline during which the kills of cancelled jobs are paced; kills that are
/// still unsent after this share of the deadline are sent at once. Machines on which a cancelled job still
/// runs are returned at 0.4 of the deadline.
pub const PACED_SHARE_OF_CANCELLATION_DEADLINE: f64 = 0.3;

/// The commands per second to the fleet if operators set no rate and the size of the fleet requires no higher
/// rate.
const DEFAULT_FLEET_COMMANDS_PER_S: f64 = 1200.0;
/// The commands per second to a segment if operators set no rate and the size of the largest segment requires
/// no higher rate.
const DEFAULT_SEGMENT_COMMANDS_PER_S: f64 = 600.0;

/// The operators' settings for takeovers.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// Whether commands are paced, and machines that are silent in a shared outage of their segment or zone
    /// are kept for a while. Reconciliation is not optional.
    pub enabled: bool,
    /// The maximum number of commands to all machines in any second of a takeover. `None`: 1200, or more if
    /// the size of the fleet requires it.
    pub orders_per_second: Option<f64>,
    /// The maximum number of commands to the machines of one segment in any second of a takeover. `None`:
    /// 600, or more if the largest segment requires it, but at most the rate of the fleet.
    pub segment_orders_per_second: Option<f64>,
    /// The prefix lengths by which machines outside of the named segments are grouped.
    pub prefixes: DerivedPrefixes,
    /// The segments that operators defined.
    pub segments: Vec<NamedSegment>,
    /// The number of machines that may be rented per second while most machines of a segment, a zone or the
    /// fleet are silent.
    pub replacements_per_second: f64,
    /// The minimum time for which the tasks of an unknown job are held, from when a machine first listed one
    /// of them, if the key-value store denies that the job was accepted.
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

/// The properties of a deployment that the settings are checked against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// The time within which a confirmed cancellation takes effect.
    pub cancellation_deadline: Duration,
    /// The maximum number of machines, as configured.
    pub max_machines: usize,
}

/// The maximum number of commands in any second of a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommandRates {
    /// The maximum number of commands to all machines together.
    pub fleet: f64,
    /// The maximum number of commands to the machines of one segment.
    pub segment: f64,
}

/// The setting of the operators' file that a problem concerns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettingName {
    /// `orders-per-s`.
    OrdersPerSecond,
    /// `segment-orders-per-s`.
    SegmentOrdersPerSecond,
    /// The segment of this name.
    Segment(String),
}

/// Why settings are invalid together.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsProblem {
    /// At this rate the kills of cancelled jobs would not reach all machines in time.
    #[error(
        "{rate} orders a second cannot reach {machines} machines within {within_s:.1} s, {share_of_cancel_s} of cancel_s"
    )]
    TooSlow {
        /// The rate that applies, in commands per second.
        rate: f64,
        /// The number of machines that commands at this rate must reach.
        machines: usize,
        /// The time within which commands at this rate must reach the machines, in seconds.
        within_s: f64,
        /// `within_s` as a share of the setting `cancel_s`.
        share_of_cancel_s: f64,
    },
    /// The rate of a segment exceeds that of the fleet.
    #[error("{segment} is above orders-per-s, {fleet}")]
    AboveFleet {
        /// The rate of the segment, in commands per second.
        segment: f64,
        /// The rate of the fleet, in commands per second.
        fleet: f64,
    },
    /// Two segments share addresses.
    #[error("{net} overlaps with {other_net} of segment {other}")]
    Overlap {
        /// The network of the segment.
        net: IpNet,
        /// The name of the other segment.
        other: String,
        /// The network of the other segment.
        other_net: IpNet,
    },
    /// Two segments have the same name.
    #[error("two segments are named {0}")]
    SameName(String),
}

/// A problem, and the setting that it concerns.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSettings {
    /// The setting to change.
    pub setting: SettingName,
    /// What is wrong with the setting.
    pub problem: SettingsProblem,
}

/// Why a text cannot be parsed as the network of a segment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseSegmentError {
    /// The text is not an address with a prefix length.
    #[error("'{0}' is not a network such as 10.1.0.0/16")]
    NotANetwork(String),
    /// The address has bits set beyond the prefix.
    #[error("'{text}' has bits set beyond its prefix; presumably {network} is meant")]
    HostBitsSet {
        /// The text that was parsed.
        text: String,
        /// The network in `text` with the bits beyond its prefix cleared.
        network: IpNet,
    },
}

/// Parses the network of a segment, such as `10.1.0.0/16`. Bits beyond the prefix must not be set.
pub fn parse_segment(text: &str) -> Result<IpNet, ParseSegmentError> {
    let net: IpNet = text
        .parse()
        .map_err(|_| ParseSegmentError::NotANetwork(text.to_owned()))?;
    if net.trunc() != net {
        return Err(ParseSegmentError::HostBitsSet {
            text: text.to_owned(),
            network: net.trunc(),
        });
    }
    Ok(net)
}

impl RecoverySettings {
    /// The command rates for a deployment. Rates that are not set are raised above the defaults if necessary
    /// to reach all machines in time for a cancellation.
    pub fn command_rates(&self, deployment: Deployment) -> CommandRates {
        let deadline = deployment.cancellation_deadline;
        let fleet = self.orders_per_second.unwrap_or(
            DEFAULT_FLEET_COMMANDS_PER_S.max(min_rate(deadline, deployment.max_machines)),
        );
        let largest = self.largest_segment().min(deployment.max_machines);
        let segment = self.segment_orders_per_second.unwrap_or(
            DEFAULT_SEGMENT_COMMANDS_PER_S
                .max(min_rate(deadline, largest))
                .min(fleet),
        );
        CommandRates { fleet, segment }
    }

    /// Validates the settings against each other and against a deployment. Returns the first problem. The
    /// rates are not checked while pacing is disabled.
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
        let Deployment {
            cancellation_deadline: deadline,
            max_machines,
        } = deployment;
        check_rate(
            SettingName::OrdersPerSecond,
            command_rates.fleet,
            deadline,
            max_machines,
        )?;
        let largest = self.largest_segment().min(max_machines);
        let segment = SettingName::SegmentOrdersPerSecond;
        check_rate(segment, command_rates.segment, deadline, largest)
    }

    /// The number of addresses in the largest segment, named or derived. Derived IPv6 segments are not
    /// counted.
    fn largest_segment(&self) -> usize {
        let named = self.segments.iter().map(|segment| match segment.net {
            IpNet::V4(net) => 32 - u32::from(net.prefix_len()),
            IpNet::V6(net) => 128 - u32::from(net.prefix_len()),
        });
        let derived = 32 - u32::from(self.prefixes.v4);
        let bits = named.chain([derived]).max().unwrap_or(derived);
        1usize.checked_shl(bits).unwrap_or(usize::MAX)
    }

    fn validate_segments(&self) -> Result<(), InvalidSettings> {
        for (index, segment) in self.segments.iter().enumerate() {
            for other in &self.segments[..index] {
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

/// The lowest rate, in commands per second, that reaches this number of machines in time for a cancellation
/// without using the reserved share of the rate.
fn min_rate(cancellation_deadline: Duration, machines: usize) -> f64 {
    let within_s = cancellation_deadline.as_secs_f64() * PACED_SHARE_OF_CANCELLATION_DEADLINE;
    (machines as f64 / (within_s * (1.0 - RESERVED_SHARE_OF_RATE))).ceil()
}

fn check_rate(
    setting: SettingName,
    rate: f64,
    cancellation_deadline: Duration,
    machines: usize,
) -> Result<(), InvalidSettings> {
    if rate >= min_rate(cancellation_deadline, machines) {
        return Ok(());
    }
    Err(InvalidSettings {
        setting,
        problem: SettingsProblem::TooSlow {
            rate,
            machines,
            within_s: cancellation_deadline.as_secs_f64() * PACED_SHARE_OF_CANCELLATION_DEADLINE,
            share_of_cancel_s: PACED_SHARE_OF_CANCELLATION_DEADLINE,
        },
    })
}
