//! Divides the sockets that the process may open among their uses.
//!
//! Invariant: the shares, the connections for commands in progress, and the node's listeners and client
//! connections together stay within the limit of the process.

use super::OperatorSettings;

/// The sockets divided by this number are used for idle connections to workers, so that commands need no new
/// connections. With a divisor of 8, which gave 492 of 3,939 sockets, a follower that sent commands to 555
/// workers in turn never found the connection to a worker still open, and tasks were placed 10% more slowly.
const WORKER_SHARE_DIVISOR: usize = 4;
/// Connections from peers. Each peer keeps a few of them for each of its threads that send requests.
const PEER_SOCKETS: usize = 64;
/// The listeners, and connections to the key-value store (including watches), to the cloud and to peers.
const LISTENER_AND_CLIENT_SOCKETS: usize = 80;
/// The minimum number of connections from workers, users and health checks.
const MIN_HTTP_SOCKETS: usize = 32;

/// The maximum number of this process's sockets for each use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SocketBudget {
    /// Connections from workers, users and health checks.
    pub http: usize,
    /// Idle connections to workers that are kept open for commands.
    pub workers: usize,
    /// Connections from other controllers.
    pub peers: usize,
}

impl SocketBudget {
    pub(super) fn new(max_sockets: usize, operator_settings: &OperatorSettings) -> SocketBudget {
        let workers = max_sockets / WORKER_SHARE_DIVISOR;
        let reserved = workers + fixed_sockets(operator_settings);
        SocketBudget {
            http: max_sockets.saturating_sub(reserved).max(MIN_HTTP_SOCKETS),
            workers,
            peers: PEER_SOCKETS,
        }
    }

    /// Whether `max_sockets` suffice for the minimum of each use, given the configured numbers of threads.
    pub(super) fn is_sufficient(max_sockets: usize, operator_settings: &OperatorSettings) -> bool {
        let workers = max_sockets / WORKER_SHARE_DIVISOR;
        workers + fixed_sockets(operator_settings) + MIN_HTTP_SOCKETS <= max_sockets
    }
}

/// The number of sockets that are needed regardless of the limit of the process.
fn fixed_sockets(operator_settings: &OperatorSettings) -> usize {
    // A follower relays as many commands at a time as the leader's command threads send.
    let concurrent_commands = operator_settings.command_threads + operator_settings.api_threads;
    PEER_SOCKETS + LISTENER_AND_CLIENT_SOCKETS + concurrent_commands
}
