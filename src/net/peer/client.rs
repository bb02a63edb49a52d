//! Client for requests to one peer, with a connection pool.

use super::circuit_breaker::CircuitBreaker;
use super::extension::FIRST_VERSION;
use super::{read_frame, write_frame, PeerRequest, PeerResponse};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The maximum number of idle connections to a peer that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 16;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client for another controller.
pub struct Peer {
    /// The peer's member name according to the settings.
    pub member: String,
    address: SocketAddr,
    idle_connections: Mutex<Vec<TcpStream>>,
    command_breaker: CircuitBreaker,
    /// The protocol version that the peer announced last.
    protocol_version: AtomicU32,
}

impl Peer {
    /// Creates a client without connections. The peer is assumed to support only the first protocol version
    /// until it announces a later one.
    pub fn new(member: &str, address: SocketAddr) -> Peer {
        Peer {
            member: member.to_owned(),
            address,
            idle_connections: Mutex::new(Vec::new()),
            command_breaker: CircuitBreaker::default(),
            protocol_version: AtomicU32::new(FIRST_VERSION),
        }
    }

    /// Whether the peer has announced this protocol version or a later one.
    #[must_use]
    pub fn supports(&self, protocol_version: u32) -> bool {
        self.protocol_version.load(Ordering::Relaxed) >= protocol_version
    }

    /// Records the protocol version that the peer has announced.
    pub fn set_protocol_version(&self, protocol_version: u32) {
        self.protocol_version
            .store(protocol_version, Ordering::Relaxed);
    }

    /// Whether this peer may relay commands to workers. False while its circuit breaker is open.
    #[must_use]
    pub fn accepts_commands(&self, now: Instant) -> bool {
        self.command_breaker.is_closed(now)
    }

    /// Records that the peer relayed a command and the worker responded.
    pub fn record_command_delivered(&self) {
        self.command_breaker.record_success();
    }

    /// Records that the peer failed to relay a command, or that the worker did not respond.
    pub fn record_command_failed(&self, now: Instant) {
        self.command_breaker.record_failure(now);
    }

    /// Sends a request over an idle connection or a new one, and waits for the response. `timeout` limits
    /// each read and write, not the whole call.
    ///
    /// An idle connection may have been closed when the peer restarted. If a request fails on an idle
    /// connection for another reason than a timeout, it is therefore sent again on a new connection. All
    /// requests are safe to repeat: heartbeats have serial numbers, submissions and cancellations are
    /// conditional transactions, and a repeated hello has no further effect.
    pub fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerResponse> {
        if let Some(connection) = self.take_idle_connection() {
            set_timeouts(&connection, timeout)?;
            match self.call_on(connection, request) {
                Err(e) if !is_timeout(&e) => {}
                result => return result,
            }
        }
        let connection = self.connect(timeout)?;
        self.call_on(connection, request)
    }

    fn connect(&self, timeout: Duration) -> io::Result<TcpStream> {
        let connection = TcpStream::connect_timeout(&self.address, timeout.min(CONNECT_TIMEOUT))?;
        connection.set_nodelay(true)?;
        set_timeouts(&connection, timeout)?;
        Ok(connection)
    }

    /// Sends a request over `connection`, which is returned to the pool if the response arrives.
    fn call_on(
        &self,
        mut connection: TcpStream,
        request: &PeerRequest,
    ) -> io::Result<PeerResponse> {
        write_frame(&mut connection, request)?;
        let response = read_frame(&mut connection)?;
        self.keep_idle(connection);
        Ok(response)
    }

    fn take_idle_connection(&self) -> Option<TcpStream> {
        self.idle_connections.lock().ok()?.pop()
    }

    fn keep_idle(&self, connection: TcpStream) {
        if let Ok(mut idle) = self.idle_connections.lock() {
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
    }
}

fn set_timeouts(connection: &TcpStream, timeout: Duration) -> io::Result<()> {
    connection.set_read_timeout(Some(timeout))?;
    connection.set_write_timeout(Some(timeout))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
