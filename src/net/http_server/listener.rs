//! The listening socket.

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The maximum number of connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// The idle time of a connection before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Binds a non-blocking listening socket. Accepted sockets inherit its TCP keep-alive setting, which ends the
/// connections of machines that have disappeared.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    if let Err(e) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("TCP keep-alive not set error=\"{e}\"");
    }
    // Accepted sockets inherit `TCP_NODELAY`, too. A response is passed to the socket as a whole, so Nagle's
    // algorithm would only delay the response until the client has acknowledged earlier data.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("TCP no-delay not set error=\"{e}\"");
    }
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
