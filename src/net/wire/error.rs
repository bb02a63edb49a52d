//! The error of messages and records that are well-formed but make no sense.

/// The field that is missing or has a value that makes no sense, by its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("missing or invalid: {0}")]
pub struct InvalidField(pub &'static str);
