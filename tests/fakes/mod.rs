//! Fakes of the key-value store, the cloud API and the workers, for the end-to-end tests.
//!
//! They listen on loopback and implement the parts of the published protocols that these tests use.

mod cloud;
mod http;
mod link;
pub mod process;
mod store;
pub mod test_cluster;
mod value;
mod worker;

pub use cloud::{start_cloud, CloudListing};
pub use http::{call, free_port};
pub use link::Link;
pub use store::{FakeStore, Fault};
pub use value::{map, text, Value};
pub use worker::FakeWorker;
