//! The listening side of HTTP/1.1: one thread accepts, reads and parses for all connections, and
//! hands whole requests on. Whoever takes a request answers it from its own thread.
//!
//! Thousands of workers keep a connection each, and any one node may have to carry all of them for a
//! while. A thread for each would pass what a process may have, so a connection costs its socket and
//! a few hundred bytes here, and a silent or slow client holds nothing else.

use crate::common::stop_signal::Stop;
use crate::net::request_parser::{parse, Parsed, HEAD_LIMIT};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Read from a connection at a time.
const READ_SIZE: usize = 16 * 1024;
/// A client that has begun a request gets this long to send the rest.
const REQUEST_PATIENCE: Duration = Duration::from_secs(5);
/// How long a connection may linger after its last answer was sent.
const LINGER: Duration = Duration::from_secs(2);
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// After a refused accept (no free sockets, for instance) the next one waits for this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Idle connections given up at a time when there is no room for new ones.
const EVICTED: usize = 16;
/// From this part of the limit on, connections that may be short are asked to be.
const CROWDED: f64 = 0.85;

const LISTENER: Token = Token(usize::MAX - 1);

/// What the listener allows its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections open at a time.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// A connection without a request for longer than this is closed.
    pub idle: Duration,
}

/// What is written to a connection and has not gone out yet.
#[derive(Default)]
struct Out {
    pending: Vec<u8>,
    /// Nothing follows the pending bytes.
    last: bool,
    failed: bool,
}

struct Link {
    stream: TcpStream,
    out: Mutex<Out>,
    /// A request of this connection is being worked on.
    busy: AtomicBool,
}

impl Link {
    fn lock(&self) -> MutexGuard<'_, Out> {
        self.out.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sends what the socket takes now. The reading thread sends the rest when it takes more: the
    /// lock is held meanwhile, so its look at the rest comes after this.
    fn flush(&self, out: &mut Out) {
        let mut sent = 0;
        while sent < out.pending.len() && !out.failed {
            match (&self.stream).write(&out.pending[sent..]) {
                Ok(0) => out.failed = true,
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => out.failed = true,
            }
        }
        out.pending.drain(..sent);
        if out.failed {
            out.pending.clear();
            let _ = self.stream.shutdown(Shutdown::Both);
        } else if out.pending.is_empty() {
            out.pending.shrink_to(256);
            if out.last {
                let _ = self.stream.shutdown(Shutdown::Write);
            }
        }
    }

    fn send(&self, bytes: &[u8], last: bool) {
        let mut out = self.lock();
        out.pending.extend_from_slice(bytes);
        out.last |= last;
        self.flush(&mut out);
    }
}

/// How full the listener is, for those who answer.
#[derive(Default)]
struct Fill {
    open: AtomicUsize,
    crowded_at: usize,
}

/// A whole request. One that is dropped unanswered gets 503, so that no client waits in vain.
pub struct Request {
    /// The method's name.
    pub method: String,
    /// Without the query.
    pub path: String,
    /// The body, whole.
    pub body: Vec<u8>,
    /// The address that it came from.
    pub from: IpAddr,
    /// When it was read.
    pub came: Instant,
    keep: bool,
    link: Option<Arc<Link>>,
    fill: Arc<Fill>,
}

impl Request {
    /// Answers, with the seconds after which the client should come back.
    pub fn respond(mut self, status: u16, body: &[u8], retry_after: Option<u64>) {
        self.answer(status, body, retry_after, false);
    }

    /// The same, for a client that loses nothing by a new connection for its next request: when many
    /// are open, it is asked for one.
    pub fn respond_briefly(mut self, status: u16, body: &[u8], retry_after: Option<u64>) {
        let crowded = self.fill.open.load(Ordering::Relaxed) >= self.fill.crowded_at;
        self.answer(status, body, retry_after, crowded);
    }

    /// 503 at once, for one that has waited so long that its answer would come too late.
    pub fn give_up(&mut self) {
        self.answer(503, &[], Some(1), false);
    }

    fn answer(&mut self, status: u16, body: &[u8], retry_after: Option<u64>, close: bool) {
        let Some(link) = self.link.take() else {
            return;
        };
        let last = close || !self.keep;
        let mut bytes = Vec::with_capacity(160 + body.len());
        // Writing to a vector does not fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {status} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
            reason(status),
            body.len()
        );
        if let Some(s) = retry_after {
            let _ = write!(bytes, "Retry-After: {s}\r\n");
        }
        if last {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if self.method != "HEAD" {
            bytes.extend_from_slice(body);
        }
        // Before the answer goes out: the client's next request may come at once.
        link.busy.store(false, Ordering::Release);
        link.send(&bytes, last);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.answer(503, &[], Some(1), false);
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

struct Conn {
    link: Arc<Link>,
    from: IpAddr,
    input: Vec<u8>,
    /// Nothing is parsed before this much has come.
    want: usize,
    /// Told to go on sending after an `Expect: 100-continue`.
    continued: bool,
    /// The last answer is on its way: what still comes is not read as requests.
    ending: bool,
    gone: bool,
    /// When something came last.
    last: Instant,
    /// When the request that is not whole yet began.
    began: Option<Instant>,
}

/// The listening socket. Accepted sockets inherit its keep-alive, which ends the connections of
/// machines that vanished.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    let alive = TcpKeepalive::new()
        .with_time(Duration::from_secs(30))
        .with_interval(Duration::from_secs(10));
    if let Err(e) = socket.set_tcp_keepalive(&alive) {
        log::debug!("no keep-alive why=\"{e}\"");
    }
    // Inherited too: answers are written in one go and must not wait for acknowledgements.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("no no-delay why=\"{e}\"");
    }
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

struct Listen {
    listener: TcpListener,
    poll: Poll,
    limits: Limits,
    conns: Vec<Option<Conn>>,
    free: Vec<usize>,
    fill: Arc<Fill>,
    /// Connections wait to be accepted from then on.
    accept_at: Option<Instant>,
    buffer: Vec<u8>,
}

/// Serves until stopped. `take` gets the requests that came together.
pub fn serve(
    listener: std::net::TcpListener,
    limits: Limits,
    stop: &Stop,
    mut take: impl FnMut(Vec<Request>),
) -> std::io::Result<()> {
    let poll = Poll::new()?;
    let mut listener = TcpListener::from_std(listener);
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    let mut l = Listen {
        listener,
        poll,
        limits,
        conns: Vec::new(),
        free: Vec::new(),
        fill: Arc::new(Fill {
            open: AtomicUsize::new(0),
            crowded_at: (limits.connections as f64 * CROWDED) as usize,
        }),
        accept_at: None,
        buffer: vec![0; READ_SIZE],
    };
    let mut events = Events::with_capacity(512);
    let mut next_sweep = Instant::now() + SWEEP_EVERY;
    while !stop.stopped() {
        let now = Instant::now();
        let due = l.accept_at.map_or(next_sweep, |t| t.min(next_sweep));
        let left = due.saturating_duration_since(now);
        if let Err(e) = l.poll.poll(&mut events, Some(left)) {
            if e.kind() != ErrorKind::Interrupted {
                log::warn!("waiting for connections failed why=\"{e}\"");
                stop.wait(ACCEPT_PAUSE);
            }
            continue;
        }
        let now = Instant::now();
        let mut requests = Vec::new();
        for e in events.iter() {
            if e.token() == LISTENER {
                l.accept(now);
                continue;
            }
            if e.is_writable() {
                l.writable(e.token().0);
            }
            if e.is_readable() || e.is_read_closed() || e.is_error() {
                l.readable(e.token().0, now, &mut requests);
            }
        }
        if l.accept_at.is_some_and(|t| now >= t) {
            l.accept(now);
        }
        // After what had come: a process that stood still must not take its clients for slow.
        if now >= next_sweep {
            next_sweep = now + SWEEP_EVERY;
            l.sweep(now, &mut requests);
        }
        if !requests.is_empty() {
            take(requests);
        }
    }
    Ok(())
}

impl Listen {
    fn accept(&mut self, now: Instant) {
        self.accept_at = None;
        loop {
            if self.fill.open.load(Ordering::Relaxed) >= self.limits.connections {
                self.evict();
                if self.fill.open.load(Ordering::Relaxed) >= self.limits.connections {
                    self.accept_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.open(stream, from.ip(), now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // That one was gone before it was accepted.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    log::warn!("no connection accepted why=\"{e}\"");
                    self.evict();
                    self.accept_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn open(&mut self, mut stream: TcpStream, from: IpAddr, now: Instant) {
        let n = self.free.pop().unwrap_or_else(|| {
            self.conns.push(None);
            self.conns.len() - 1
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if let Err(e) = registry.register(&mut stream, Token(n), interest) {
            log::warn!("a connection cannot be watched why=\"{e}\"");
            self.free.push(n);
            return;
        }
        self.fill.open.fetch_add(1, Ordering::Relaxed);
        let link = Link {
            stream,
            out: Mutex::default(),
            busy: AtomicBool::new(false),
        };
        self.conns[n] = Some(Conn {
            link: Arc::new(link),
            from,
            input: Vec::new(),
            want: 1,
            continued: false,
            ending: false,
            gone: false,
            last: now,
            began: None,
        });
    }

    fn close(&mut self, n: usize) {
        if let Some(c) = self.conns[n].take() {
            self.fill.open.fetch_sub(1, Ordering::Relaxed);
            self.free.push(n);
            // Whoever still works on a request holds the socket until it has answered.
            let _ = c.link.stream.shutdown(Shutdown::Both);
        }
    }

    /// Gives up the connections that have been idle for longest.
    fn evict(&mut self) {
        let mut idle: Vec<(Instant, usize)> = Vec::new();
        for (n, c) in self.conns.iter().enumerate() {
            if let Some(c) = c {
                if c.input.is_empty() && !c.link.busy.load(Ordering::Acquire) {
                    idle.push((c.last, n));
                }
            }
        }
        if idle.len() > EVICTED {
            idle.select_nth_unstable(EVICTED);
            idle.truncate(EVICTED);
        }
        for (_, n) in idle {
            self.close(n);
        }
    }

    fn writable(&mut self, n: usize) {
        if let Some(Some(c)) = self.conns.get(n) {
            let mut out = c.link.lock();
            if !out.pending.is_empty() {
                c.link.flush(&mut out);
            }
        }
    }

    fn readable(&mut self, n: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(c)) = self.conns.get_mut(n) else {
            return;
        };
        let most = HEAD_LIMIT + self.limits.body * 8 + READ_SIZE;
        loop {
            match (&c.link.stream).read(&mut self.buffer) {
                Ok(0) => {
                    c.gone = true;
                    break;
                }
                Ok(len) => {
                    c.last = now;
                    if !c.ending {
                        c.input.extend_from_slice(&self.buffer[..len]);
                    }
                    if c.input.len() > most {
                        // Sent without waiting for answers, far more than we take.
                        c.gone = true;
                        break;
                    }
                    if len < self.buffer.len() {
                        // The socket is drained: what comes later is another event.
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    c.gone = true;
                    break;
                }
            }
        }
        self.requests_of(n, now, requests);
    }

    /// Takes the next request out of what has come, and ends connections that are over.
    fn requests_of(&mut self, n: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(c)) = self.conns.get_mut(n) else {
            return;
        };
        let busy = c.link.busy.load(Ordering::Acquire);
        if !busy && !c.ending && c.input.len() >= c.want {
            match parse(&c.input, self.limits.body) {
                Parsed::More { want, expects } => {
                    c.want = want;
                    c.began.get_or_insert(now);
                    if expects && !c.continued {
                        c.continued = true;
                        c.link.send(b"HTTP/1.1 100 Continue\r\n\r\n", false);
                    }
                }
                Parsed::Whole {
                    method,
                    path,
                    body,
                    keep,
                    length,
                } => {
                    c.input.drain(..length);
                    if c.input.is_empty() && c.input.capacity() > 2048 {
                        c.input = Vec::new();
                    }
                    c.want = 1;
                    c.began = None;
                    c.continued = false;
                    c.ending = !keep;
                    c.link.busy.store(true, Ordering::Release);
                    requests.push(Request {
                        method,
                        path,
                        body,
                        from: c.from,
                        came: now,
                        keep,
                        link: Some(c.link.clone()),
                        fill: self.fill.clone(),
                    });
                }
                Parsed::Bad(why) => {
                    // What still comes is read past, so that the answer is not lost to a reset.
                    c.ending = true;
                    c.input = Vec::new();
                    refuse(c, now, why, &self.fill);
                }
            }
        }
        let busy = c.link.busy.load(Ordering::Acquire);
        if c.gone && !busy {
            self.close(n);
        }
    }

    fn sweep(&mut self, now: Instant, requests: &mut Vec<Request>) {
        let idle_limit = self.limits.idle;
        for n in 0..self.conns.len() {
            let Some(c) = &mut self.conns[n] else {
                continue;
            };
            if c.link.busy.load(Ordering::Acquire) {
                continue;
            }
            let quiet = now.saturating_duration_since(c.last);
            let last = c.ending || c.link.lock().last;
            if c.gone || (last && quiet > LINGER) || quiet > idle_limit {
                self.close(n);
            } else if !last && c.input.len() >= c.want {
                // Sent while the request before it was under way.
                self.requests_of(n, now, requests);
            } else if !last
                && c.began
                    .is_some_and(|t| now.saturating_duration_since(t) > REQUEST_PATIENCE)
            {
                c.ending = true;
                c.input = Vec::new();
                refuse(c, now, "the request is incomplete", &self.fill);
            }
        }
    }
}

fn refuse(c: &Conn, now: Instant, why: &str, fill: &Arc<Fill>) {
    let request = Request {
        method: String::new(),
        path: String::new(),
        body: Vec::new(),
        from: c.from,
        came: now,
        keep: false,
        link: Some(c.link.clone()),
        fill: fill.clone(),
    };
    let (status, body) = crate::api::server::problem(400, why);
    request.respond(status, &body, None);
}
