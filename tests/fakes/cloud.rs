//! A fake of the cloud API, with one machine type. It has no capacity: every request to rent is refused.

use super::http::serve;
use super::value::{map, text, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tiny_http::Method;

/// The machines that the cloud lists as running, each with its name and its endpoint. Tests add machines.
pub type CloudListing = Arc<Mutex<Vec<(String, String)>>>;

/// Starts the fake and returns its address. It lists the machines in `listed`, whose workers the test starts.
pub fn start_cloud(listed: CloudListing) -> SocketAddr {
    serve(move |method, url, _| match (method, url) {
        (Method::Get, "/machine_types") => {
            let machine_type = map([
                ("Name", text("m8")),
                ("Vcpus", Value::Float(8.0)),
                ("Gpus", Value::Float(0.0)),
                ("MemoryGb", Value::Float(32.0)),
                ("CacheGb", Value::Float(50.0)),
                ("FetchGbPerS", Value::Float(1.0)),
                ("Hourly", Value::Float(4.0)),
                ("LowPrice", Value::Float(1.0)),
                ("BootS", Value::Float(30.0)),
                ("Sites", Value::List(vec![text("hall-a")])),
            ]);
            (200, map([("HostTypes", Value::List(vec![machine_type]))]))
        }
        (Method::Get, _) => {
            let machines = listed.lock().expect("the lock of the cloud listing");
            let machines = machines.iter().map(|(name, endpoint)| {
                map([
                    ("Uid", text(name)),
                    ("Endpoint", text(endpoint)),
                    ("HostType", text("m8")),
                    ("Site", text("hall-a")),
                    ("Preemptible", Value::Bool(false)),
                    ("Phase", text("running")),
                    ("AgeS", Value::Float(60.0)),
                ])
            });
            let machines = Value::List(machines.collect());
            (
                200,
                map([("Hosts", machines), ("HasNext", Value::Bool(false))]),
            )
        }
        (_, "/hosts/return") => (200, Value::Nil(())),
        _ => (503, map([("error", text("no capacity"))])),
    })
}
