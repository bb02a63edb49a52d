//! How the sockets that a process may have are divided among its users.
//!
//! Invariant: the shares, the connections for commands under way and the node's own connections together
//! stay within the sockets that the process may have.

use super::OperatorSettings;

/// One part in so many of the sockets is kept open to workers, to which commands then cost no new
/// connection. With an eighth, 492 of 3,939, a follower that sent to 555 workers in turn never found its
/// connection open again, and tasks were placed a tenth slower.
const WORKER_SHARE_DIVISOR: usize = 4;
/// Connections from peers: each keeps a few for each of its threads that send requests.
const PEER_SOCKETS: usize = 64;
/// The key-value store, its watches, the cloud, the listeners, and connections kept open to peers.
const LISTENER_AND_CLIENT_SOCKETS: usize = 80;
/// Connections from workers, users and health checks, at least.
const MIN_HTTP_SOCKETS: usize = 32;

/// Sockets of this process, by what they are used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SocketBudget {
    /// Connections from workers, users and health checks.
    pub http: usize,
    /// Connections kept open to workers, for commands.
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

    /// Whether each user of sockets gets its minimum with so many threads.
    pub(super) fn is_sufficient(max_sockets: usize, operator_settings: &OperatorSettings) -> bool {
        let workers = max_sockets / WORKER_SHARE_DIVISOR;
        workers + fixed_sockets(operator_settings) + MIN_HTTP_SOCKETS <= max_sockets
    }
}

/// Sockets whose number does not depend on how many the process may have.
fn fixed_sockets(operator_settings: &OperatorSettings) -> usize {
    // Followers deliver as many commands at a time as the leader's command threads send.
    let concurrent_commands = operator_settings.command_threads + operator_settings.api_threads;
    PEER_SOCKETS + LISTENER_AND_CLIENT_SOCKETS + concurrent_commands
}
