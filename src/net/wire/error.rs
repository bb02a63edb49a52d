//! The error for messages and records that can be decoded but have a missing or invalid field.

/// A field that is missing or has an invalid value. Contains the field's name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("missing or invalid: {0}")]
pub struct InvalidField(pub &'static str);
