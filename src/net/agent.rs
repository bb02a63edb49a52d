//! Commands sent straight to workers.

use super::http;
use super::wire::{Commands, WireDirective, WireReport};
use crate::core::model::{Directive, Epoch, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// A hanging machine must not hold a sender for long: the next report carries the commands anyway.
const LIMIT: Duration = Duration::from_millis(2000);

pub fn client() -> ureq::Agent {
    http::agent(Duration::from_millis(1000), 2)
}

/// The worker's report after the commands, executed or not; None: no answer.
pub fn send(
    agent: &ureq::Agent,
    endpoint: &str,
    epoch: Epoch,
    tenure: u64,
    directives: &[Directive],
) -> Option<Report> {
    let address: SocketAddr = endpoint.parse().ok()?;
    let body = Commands {
        epoch: epoch.0,
        tenure,
        directives: directives.iter().map(WireDirective::from).collect(),
    };
    let url = format!("http://{address}/commands");
    let a = http::call(agent, "POST", &url, Some(&body), LIMIT).ok()?;
    match a.status {
        200 | 409 => a.decode::<WireReport>()?.into_report(),
        _ => None,
    }
}

/// The worker's report, without commanding anything.
pub fn status(agent: &ureq::Agent, endpoint: &str) -> Option<Report> {
    let address: SocketAddr = endpoint.parse().ok()?;
    let url = format!("http://{address}/status");
    let a = http::call::<()>(agent, "GET", &url, None, LIMIT).ok()?;
    (a.status == 200)
        .then(|| a.decode::<WireReport>()?.into_report())
        .flatten()
}
