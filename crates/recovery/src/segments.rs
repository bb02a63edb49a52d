//! Network segments: which machines share a rack's switch or a zone's uplink.
//!
//! Operators name segments in the settings; machines outside of all of them are grouped by the prefix of
//! their address. Invariant: an address belongs to exactly one segment, since named ones do not overlap.

use ipnet::IpNet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// A segment that the operators named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedSegment {
    /// Its name in the settings and in log lines.
    pub name: String,
    /// The network that its addresses belong to.
    pub net: IpNet,
}

/// The segment of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Segment {
    /// Named by the operators.
    Named(Arc<str>),
    /// Derived from the prefix of the machine's address.
    Derived(IpNet),
    /// The machine's address is unknown.
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

/// Prefix lengths of derived segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DerivedPrefixes {
    /// For IPv4 addresses.
    pub v4: u8,
    /// For IPv6 addresses.
    pub v6: u8,
}

/// A named segment whose name is shared by all machines of it.
#[derive(Clone, Debug)]
struct SharedSegment {
    name: Arc<str>,
    net: IpNet,
}

/// Finds the segment of an address.
#[derive(Clone, Debug)]
pub struct SegmentMap {
    named: Vec<SharedSegment>,
    prefixes: DerivedPrefixes,
}

impl SegmentMap {
    /// Creates a map. Named segments must not overlap; [`crate::settings`] checks that.
    pub fn new(named: &[NamedSegment], prefixes: DerivedPrefixes) -> SegmentMap {
        let named = named.iter().map(|segment| SharedSegment {
            name: Arc::from(segment.name.as_str()),
            net: segment.net,
        });
        SegmentMap {
            named: named.collect(),
            prefixes,
        }
    }

    /// The segment of an endpoint, `ADDRESS:PORT`.
    pub fn of_endpoint(&self, endpoint: &str) -> Segment {
        match endpoint.parse::<SocketAddr>() {
            Ok(address) => self.of_address(address.ip()),
            Err(_) => Segment::Unknown,
        }
    }

    /// The segment of an address.
    pub fn of_address(&self, address: IpAddr) -> Segment {
        let mut named = self.named.iter();
        if let Some(segment) = named.find(|segment| segment.net.contains(&address)) {
            return Segment::Named(segment.name.clone());
        }
        let prefix_length = match address {
            IpAddr::V4(_) => self.prefixes.v4,
            IpAddr::V6(_) => self.prefixes.v6,
        };
        match IpNet::new(address, prefix_length) {
            Ok(net) => Segment::Derived(net.trunc()),
            Err(_) => Segment::Unknown,
        }
    }
}
