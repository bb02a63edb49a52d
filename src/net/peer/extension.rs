//! Extension of the response to a hello, for information that was added after the first version.
//!
//! The layout of a hello cannot change because earlier versions read it. Newer information is sent as texts
//! in the response's list of finished jobs: only requests from the leader carry jobs in that list, and
//! earlier versions neither send nor read it in responses.

/// The protocol version of this program.
pub const PROTOCOL_VERSION: u32 = 3;
/// The first protocol version with messages about cancellations.
pub const VERSION_WITH_CANCELLATIONS: u32 = 2;
/// The first protocol version in which controllers find the dependents of a job in the index of live jobs and
/// need no separate lists of dependents. It added no messages.
pub const VERSION_WITH_LIVE_INDEX: u32 = 3;
/// The protocol version that is assumed for peers that announce none.
pub(super) const FIRST_VERSION: u32 = 1;

/// Precedes the number of the protocol version.
const VERSION_PREFIX: &str = "frames ";
/// States that the store's reduced rates are in force.
const STORE_RATES_REDUCED: &str = "next rates";

/// What the responder to a hello reports about itself and the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelloExtension {
    /// The responder's protocol version.
    pub protocol_version: u32,
    /// Whether the responder has detected that the key-value store's reduced rates are in force.
    pub store_rates_reduced: bool,
}

impl HelloExtension {
    /// The extension that this program sends.
    #[must_use]
    pub fn current(store_rates_reduced: bool) -> HelloExtension {
        HelloExtension {
            protocol_version: PROTOCOL_VERSION,
            store_rates_reduced,
        }
    }

    /// Encodes the extension as texts for [`super::Hello::finished_jobs`].
    #[must_use]
    pub fn encode(&self) -> Vec<String> {
        let mut texts = vec![format!("{VERSION_PREFIX}{}", self.protocol_version)];
        if self.store_rates_reduced {
            texts.push(STORE_RATES_REDUCED.to_owned());
        }
        texts
    }

    /// Decodes the texts of a response. Unknown texts are ignored.
    #[must_use]
    pub fn decode(texts: &[String]) -> HelloExtension {
        let version = texts.iter().find_map(|t| t.strip_prefix(VERSION_PREFIX));
        HelloExtension {
            protocol_version: version
                .and_then(|v| v.parse().ok())
                .unwrap_or(FIRST_VERSION),
            store_rates_reduced: texts.iter().any(|t| t == STORE_RATES_REDUCED),
        }
    }
}
