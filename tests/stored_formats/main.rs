//! What is stored and sent, byte for byte: records and keys of the store, frames between the
//! controllers, bodies of requests and answers, and the settings files.
//!
//! Names of types and fields may change, these bytes may not. They stand in the `.txt` files here, a row for
//! each value. `tests/version_compatibility.rs` has the bytes of the frames that it puts together field by field.

mod calls;
#[path = "../common/mod.rs"]
mod common;
mod golden;
mod messages;
mod records;
mod settings;
mod values;
