//! Commands sent straight to workers.

use crate::core::model::{FencingToken, Heartbeat, TaskCommand};
use crate::net::http_client;
use crate::net::wire::{self, CommandRequest, WireCommand, WireHeartbeat};
use std::net::SocketAddr;
use std::time::Duration;

/// A hanging machine must not hold a sender for long: the next report carries the commands anyway.
pub const LIMIT: Duration = Duration::from_millis(2000);

/// `idle` connections to workers are kept open.
pub fn client(idle: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(Duration::from_millis(1000))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(1)
        .redirects(0)
        .build()
}

/// Commands in the form in which they go to a worker.
pub fn encode(token: FencingToken, incarnation: u64, commands: &[TaskCommand]) -> Vec<u8> {
    wire::encode(&CommandRequest {
        token: token.0,
        incarnation,
        commands: commands.iter().map(WireCommand::from).collect(),
    })
}

/// Sends commands. The worker's report as it came, whether they were executed or not; None: no
/// answer.
pub fn deliver(agent: &ureq::Agent, endpoint: &str, body: &[u8]) -> Option<Vec<u8>> {
    let address: SocketAddr = endpoint.parse().ok()?;
    let url = format!("http://{address}/commands");
    let a = http_client::exchange(agent, "POST", &url, Some(body), LIMIT).ok()?;
    matches!(a.status, 200 | 409).then_some(a.body)
}

/// Reads a worker's report. None: it is malformed.
pub fn heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let heartbeat: WireHeartbeat = wire::decode(body)?;
    heartbeat.try_into().ok()
}
