//! Golden tests of all formats that leave the process: records and keys of the store, frames between the
//! controllers, bodies of requests and responses, and the settings files.
//!
//! They guard against renaming a type or field that is written out under its own name: earlier versions,
//! workers, the cloud and users would no longer understand it. The expected bytes are in the `.txt` files of
//! this directory, one row for each value. `tests/version_compatibility.rs` checks further frames against
//! bytes that it assembles field by field.

mod calls;
#[path = "../common/mod.rs"]
mod common;
mod golden;
mod messages;
mod records;
mod settings;
mod values;
