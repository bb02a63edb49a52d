//! Requests to one peer, over a pool of connections.

use super::circuit_breaker::CircuitBreaker;
use super::extension::FIRST_VERSION;
use super::{read_frame, write_frame, PeerRequest, PeerResponse};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 16;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Another controller, as a client sees it.
pub struct Peer {
    /// The member name that the settings give the peer.
    pub member: String,
    address: SocketAddr,
    idle_connections: Mutex<Vec<TcpStream>>,
    command_breaker: CircuitBreaker,
    /// As the peer announced it last.
    protocol_version: AtomicU32,
}

impl Peer {
    /// A peer that has not announced anything yet.
    pub fn new(member: &str, address: SocketAddr) -> Peer {
        Peer {
            member: member.to_owned(),
            address,
            idle_connections: Mutex::new(Vec::new()),
            command_breaker: CircuitBreaker::default(),
            protocol_version: AtomicU32::new(FIRST_VERSION),
        }
    }

    /// Whether the peer has announced this version of the protocol, or a later one.
    #[must_use]
    pub fn supports(&self, protocol_version: u32) -> bool {
        self.protocol_version.load(Ordering::Relaxed) >= protocol_version
    }

    /// Remembers the version that the peer has announced.
    pub fn set_protocol_version(&self, protocol_version: u32) {
        self.protocol_version
            .store(protocol_version, Ordering::Relaxed);
    }

    /// Whether commands to workers may go through this peer.
    #[must_use]
    pub fn accepts_commands(&self, now: Instant) -> bool {
        self.command_breaker.is_closed(now)
    }

    /// Records that the peer delivered a command to its worker.
    pub fn record_command_delivered(&self) {
        self.command_breaker.record_success();
    }

    /// Records that a command did not reach its worker through this peer.
    pub fn record_command_failed(&self, now: Instant) {
        self.command_breaker.record_failure(now);
    }

    /// Sends a request and waits for its response, on an idle connection or on a new one.
    ///
    /// An idle connection may have died with the peer's earlier incarnation, so a request that fails on
    /// one without a time-out is sent again. All requests are safe to repeat: a heartbeat has its serial
    /// number, a submission or cancellation its conditions, and a hello changes nothing the second time.
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

    /// Keeps the connection if the request got its response.
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
