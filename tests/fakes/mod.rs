//! Fakes of the key-value store, the cloud and workers, by their published protocol, on loopback. They
//! serve the end-to-end tests and implement just what those need.

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
