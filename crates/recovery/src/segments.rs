//! Network segments: which machines share a rack's switch or a site's uplink.
//!
//! Operators name segments in the settings; machines outside of all of them are grouped by the prefix of
//! their address.

use ipnet::IpNet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// A segment that the operators named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedSegment {
    /// Its name.
    pub name: String,
    /// Its addresses.
    pub net: IpNet,
}

/// The segment of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Segment {
    /// Named in the settings.
    Named(Arc<str>),
    /// Derived from the machine's address.
    Derived(IpNet),
    /// The machine's address is not known.
    Unknown,
}

impl fmt::Display for Segment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Segment::Named(name) => f.write_str(name),
            Segment::Derived(net) => net.fmt(f),
            Segment::Unknown => f.write_str("unknown"),
        }
    }
}

/// Prefix lengths by which segments are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DerivedPrefixes {
    /// Of IPv4 addresses.
    pub v4: u8,
    /// Of IPv6 addresses.
    pub v6: u8,
}

/// Finds the segment of an address.
#[derive(Clone, Debug)]
pub struct SegmentMap {
    named: Vec<(IpNet, Arc<str>)>,
    prefixes: DerivedPrefixes,
}

impl SegmentMap {
    /// Named segments must not overlap; `settings` checks that.
    pub fn new(named: &[NamedSegment], prefixes: DerivedPrefixes) -> SegmentMap {
        let named = named.iter().map(|s| (s.net, Arc::from(s.name.as_str())));
        SegmentMap {
            named: named.collect(),
            prefixes,
        }
    }

    /// The segment of an endpoint, `ADDRESS:PORT`.
    pub fn of_endpoint(&self, endpoint: &str) -> Segment {
        match endpoint.parse::<SocketAddr>() {
            Ok(address) => self.of(address.ip()),
            Err(_) => Segment::Unknown,
        }
    }

    /// The segment of an address.
    pub fn of(&self, address: IpAddr) -> Segment {
        let named = self.named.iter().find(|(net, _)| net.contains(&address));
        if let Some((_, name)) = named {
            return Segment::Named(name.clone());
        }
        let length = match address {
            IpAddr::V4(_) => self.prefixes.v4,
            IpAddr::V6(_) => self.prefixes.v6,
        };
        match IpNet::new(address, length) {
            Ok(net) => Segment::Derived(net.trunc()),
            Err(_) => Segment::Unknown,
        }
    }
}
