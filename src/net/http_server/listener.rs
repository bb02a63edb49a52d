//! The listening socket.

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const BACKLOG: i32 = 1024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Binds the listening socket. Accepted sockets inherit its keep-alive, which ends the connections of
/// machines that vanished.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    if let Err(e) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("TCP keep-alive not set why=\"{e}\"");
    }
    // Inherited too: responses are written in one go and must not wait for acknowledgements.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("TCP no-delay not set why=\"{e}\"");
    }
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
