//! Network segments: groups of machines that share a network component, such as a rack's switch or a zone's
//! uplink.
//!
//! Operators define named segments in the settings. Machines outside of all named segments are grouped by the
//! prefix of their address. Invariant: an address belongs to exactly one segment, since named segments do not
//! overlap and take precedence over derived ones.

use ipnet::IpNet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// A segment that operators defined in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedSegment {
    /// The name of the segment in the settings and in log lines.
    pub name: String,
    /// The network that contains the addresses of the segment's machines.
    pub net: IpNet,
}

/// The network segment of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Segment {
    /// A segment from the settings, by its name.
    Named(Arc<str>),
    /// A segment derived from the machine's address and the prefix length of the settings.
    Derived(IpNet),
    /// The machine's address is unknown, so it belongs to no segment.
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

/// The lengths, in bits, of the IP address prefixes by which machines outside of all named segments are
/// grouped into derived segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DerivedPrefixes {
    /// The length of the prefix of IPv4 addresses, from 0 to 32.
    pub v4: u8,
    /// The length of the prefix of IPv6 addresses, from 0 to 128.
    pub v6: u8,
}

/// A named segment whose name is reference-counted, so that the segments of its machines share it.
#[derive(Clone, Debug)]
struct SharedSegment {
    name: Arc<str>,
    net: IpNet,
}

/// Maps addresses to segments.
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

    /// The segment of an endpoint, `ADDRESS:PORT`. [`Segment::Unknown`]: the endpoint cannot be parsed.
    pub fn of_endpoint(&self, endpoint: &str) -> Segment {
        match endpoint.parse::<SocketAddr>() {
            Ok(address) => self.of_address(address.ip()),
            Err(_) => Segment::Unknown,
        }
    }

    /// The segment of an address: the named one that contains it, otherwise a derived one.
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
