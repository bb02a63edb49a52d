//! What the response to a hello says beyond its fields.
//!
//! The layout of a hello stays as earlier versions read it. Newer statements are texts in the response's
//! list of finished jobs: only the leader's own requests carry jobs there, and earlier versions neither
//! send nor read any in responses.

/// The version of the protocol that this program speaks.
pub const PROTOCOL_VERSION: u32 = 3;
/// From this version on peers know the messages about cancellations.
pub const VERSION_WITH_CANCELLATIONS: u32 = 2;
/// From this version on controllers find the dependents of a job in the index of live jobs, and need no
/// lists of them. No message came with it.
pub const VERSION_WITH_LIVE_INDEX: u32 = 3;
/// The version of peers that state none.
pub(super) const FIRST_VERSION: u32 = 1;

const VERSION_PREFIX: &str = "frames ";
const STORE_RATES_REDUCED: &str = "next rates";

/// Statements of a responder about itself and the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelloExtension {
    /// The version of the protocol that the responder speaks.
    pub protocol_version: u32,
    /// Whether the responder found the store's reduced rates to be in force.
    pub store_rates_reduced: bool,
}

impl HelloExtension {
    /// The statements of this program.
    #[must_use]
    pub fn current(store_rates_reduced: bool) -> HelloExtension {
        HelloExtension {
            protocol_version: PROTOCOL_VERSION,
            store_rates_reduced,
        }
    }

    /// The texts to be sent in [`super::Hello::finished_jobs`].
    #[must_use]
    pub fn encode(&self) -> Vec<String> {
        let mut texts = vec![format!("{VERSION_PREFIX}{}", self.protocol_version)];
        if self.store_rates_reduced {
            texts.push(STORE_RATES_REDUCED.to_owned());
        }
        texts
    }

    /// Reads the texts of a response. Other texts than the known ones are ignored.
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
