//! Client for the agents on worker nodes: sends commands between the agents' heartbeats.

use crate::core::model::{FencingToken, Heartbeat, TaskCommand};
use crate::net::http_client::{self, PoolConfig};
use crate::net::wire::{self, CommandRequest, WireCommand, WireHeartbeat};
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a request with commands. It is short so that an unresponsive machine does not block a
/// sender thread for long: the response to the machine's next heartbeat carries the commands anyway.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(2000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Creates a connection pool for agents. It keeps up to `idle_connections` idle connections open, at most one
/// of them to each agent.
pub fn connection_pool(idle_connections: usize) -> ureq::Agent {
    http_client::connection_pool(PoolConfig {
        connect_timeout: CONNECT_TIMEOUT,
        max_idle_connections: idle_connections,
        max_idle_connections_per_address: 1,
    })
}

/// Encodes the body of a request that sends commands to an agent. `incarnation` is the agent's incarnation.
pub fn encode_commands(token: FencingToken, incarnation: u64, commands: &[TaskCommand]) -> Vec<u8> {
    wire::encode(&CommandRequest {
        token: token.0,
        incarnation,
        commands: commands.iter().map(WireCommand::from).collect(),
    })
}

/// Sends commands, as [`encode_commands`] encodes them, to the agent at `endpoint`. The response contains the
/// agent's encoded heartbeat, whether the agent executed the commands or rejected them. None: `endpoint` is
/// not an IP address with a port, or the agent sent no such response.
pub fn send_commands(
    connections: &ureq::Agent,
    endpoint: &str,
    commands: &[u8],
) -> Option<Vec<u8>> {
    let address: SocketAddr = endpoint.parse().ok()?;
    let url = format!("http://{address}/commands");
    let response =
        http_client::send_request(connections, "POST", &url, Some(commands), COMMAND_TIMEOUT)
            .ok()?;
    matches!(response.status, 200 | 409).then_some(response.body)
}

/// Decodes an agent's heartbeat. None: the heartbeat is malformed or has an invalid field.
pub fn decode_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let heartbeat: WireHeartbeat = wire::decode(body)?;
    heartbeat.try_into().ok()
}
