//! Commands sent straight to the agents on worker nodes, between their heartbeats.

use crate::core::model::{FencingToken, Heartbeat, TaskCommand};
use crate::net::http_client::{self, PoolConfig};
use crate::net::wire::{self, CommandRequest, WireCommand, WireHeartbeat};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for sending commands. A hanging machine must not hold a sender for long: the response to
/// its next heartbeat carries the commands anyway.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(2000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Connections to agents, of which so many are kept open while they are idle.
pub fn connection_pool(idle_connections: usize) -> ureq::Agent {
    http_client::connection_pool(PoolConfig {
        connect_timeout: CONNECT_TIMEOUT,
        max_idle_connections: idle_connections,
        max_idle_connections_per_address: 1,
    })
}

/// Encodes commands as they are sent to an agent.
pub fn encode_commands(token: FencingToken, incarnation: u64, commands: &[TaskCommand]) -> Vec<u8> {
    wire::encode(&CommandRequest {
        token: token.0,
        incarnation,
        commands: commands.iter().map(WireCommand::from).collect(),
    })
}

/// Sends encoded commands. Returns the agent's encoded heartbeat, whether it has executed the commands
/// or refused them. None: it did not answer.
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

/// Decodes an agent's heartbeat. None: it is malformed.
pub fn decode_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let heartbeat: WireHeartbeat = wire::decode(body)?;
    heartbeat.try_into().ok()
}
