//! The event loop on the server's thread: accepts connections, reads from them, and closes them.

use super::connection::{Connection, SweepAction, READ_BUFFER_BYTES};
use super::connection_load::ConnectionLoad;
use super::request::Request;
use super::Limits;
use crate::common::stop_signal::StopSignal;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval of the checks of all connections for timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The wait before the next attempt if accepting a connection or polling fails, for instance because the
/// process has no free sockets, or if the connection limit is reached.
const ERROR_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum number of idle connections that are closed at once to make room for new ones.
const MAX_EVICTIONS_AT_ONCE: usize = 16;
/// The maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 512;

const LISTENER_TOKEN: Token = Token(usize::MAX - 1);

/// The listening socket and its connections. The index of a connection in `connections` is called its slot,
/// and also serves as its token in polls.
pub(super) struct EventLoop {
    listener: TcpListener,
    poll: Poll,
    limits: Limits,
    connections: Vec<Option<Connection>>,
    /// Slots without a connection.
    free_slots: Vec<usize>,
    load: Arc<ConnectionLoad>,
    /// When to accept connections again after a failure or at the connection limit.
    accept_again_at: Option<Instant>,
    next_sweep: Instant,
    buffer: Vec<u8>,
}

impl EventLoop {
    pub fn new(listener: std::net::TcpListener, limits: Limits) -> std::io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry()
            .register(&mut listener, LISTENER_TOKEN, Interest::READABLE)?;
        Ok(EventLoop {
            listener,
            poll,
            limits,
            connections: Vec::new(),
            free_slots: Vec::new(),
            load: Arc::new(ConnectionLoad::new(limits.max_connections)),
            accept_again_at: None,
            next_sweep: Instant::now() + SWEEP_INTERVAL,
            buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Runs until `stop` is given. `handle` receives the requests that were read in one iteration.
    pub fn run(mut self, stop: &StopSignal, mut handle: impl FnMut(Vec<Request>)) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        while !stop.is_stopped() {
            if let Err(e) = self.poll.poll(&mut events, Some(self.poll_timeout())) {
                if e.kind() != ErrorKind::Interrupted {
                    log::warn!("poll for connections failed error=\"{e}\"");
                    stop.wait(ERROR_BACKOFF);
                }
                continue;
            }
            let now = Instant::now();
            let mut requests = Vec::new();
            for event in &events {
                self.handle_event(event, now, &mut requests);
            }
            if self.accept_again_at.is_some_and(|t| now >= t) {
                self.accept(now);
            }
            // The sweep follows the reads: after a pause of the process, input that waited in the sockets
            // must be read before clients are checked for timeouts.
            if now >= self.next_sweep {
                self.next_sweep = now + SWEEP_INTERVAL;
                self.sweep(now, &mut requests);
            }
            if !requests.is_empty() {
                handle(requests);
            }
        }
    }

    fn poll_timeout(&self) -> Duration {
        let due = self
            .accept_again_at
            .map_or(self.next_sweep, |t| t.min(self.next_sweep));
        due.saturating_duration_since(Instant::now())
    }

    fn handle_event(&mut self, event: &Event, now: Instant, requests: &mut Vec<Request>) {
        if event.token() == LISTENER_TOKEN {
            self.accept(now);
            return;
        }
        let slot = event.token().0;
        if event.is_writable() {
            if let Some(Some(connection)) = self.connections.get(slot) {
                connection.socket().send_pending();
            }
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read(slot, now, requests);
        }
    }

    /// Accepts all waiting connections, up to the connection limit.
    fn accept(&mut self, now: Instant) {
        self.accept_again_at = None;
        loop {
            if !self.make_room() {
                self.accept_again_at = Some(now + ERROR_BACKOFF);
                return;
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.open(stream, from.ip(), now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if is_retryable_accept_error(&e) => {}
                Err(e) => {
                    log::warn!("accept failed error=\"{e}\"");
                    self.evict_idle();
                    self.accept_again_at = Some(now + ERROR_BACKOFF);
                    return;
                }
            }
        }
    }

    /// Closes idle connections if the connection limit is reached. Returns whether another one may be opened.
    fn make_room(&mut self) -> bool {
        if self.load.is_full() {
            self.evict_idle();
        }
        !self.load.is_full()
    }

    fn open(&mut self, mut stream: TcpStream, client_ip: IpAddr, now: Instant) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if let Err(e) = registry.register(&mut stream, Token(slot), interest) {
            log::warn!("connection not registered error=\"{e}\"");
            self.free_slots.push(slot);
            return;
        }
        self.load.connection_opened();
        self.connections[slot] = Some(Connection::new(stream, client_ip, now));
    }

    fn close(&mut self, slot: usize) {
        if let Some(connection) = self.connections[slot].take() {
            self.load.connection_closed();
            self.free_slots.push(slot);
            // A request that is still being handled keeps a reference to the socket until the request is
            // answered, so dropping the connection alone would not close the socket.
            connection.socket().shutdown();
        }
    }

    /// Closes the connections that have been idle for the longest time, at most [`MAX_EVICTIONS_AT_ONCE`].
    fn evict_idle(&mut self) {
        let mut idle: Vec<(Instant, usize)> = Vec::new();
        for (slot, connection) in self.connections.iter().enumerate() {
            if let Some(connection) = connection.as_ref().filter(|c| c.is_idle()) {
                idle.push((connection.last_read_at(), slot));
            }
        }
        if idle.len() > MAX_EVICTIONS_AT_ONCE {
            idle.select_nth_unstable(MAX_EVICTIONS_AT_ONCE);
            idle.truncate(MAX_EVICTIONS_AT_ONCE);
        }
        for (_, slot) in idle {
            self.close(slot);
        }
    }

    fn read(&mut self, slot: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        connection.read(&mut self.buffer, self.limits.max_body_bytes, now);
        self.take_request(slot, now, requests);
    }

    /// Takes a connection's next complete request, and closes the connection if it is finished.
    fn take_request(&mut self, slot: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        requests.extend(connection.next_request(self.limits.max_body_bytes, &self.load, now));
        if connection.is_finished() {
            self.close(slot);
        }
    }

    /// Checks all connections for timeouts and for complete requests that are already in their input buffers.
    fn sweep(&mut self, now: Instant, requests: &mut Vec<Request>) {
        for slot in 0..self.connections.len() {
            let Some(connection) = &mut self.connections[slot] else {
                continue;
            };
            match connection.sweep(self.limits.idle_timeout, now) {
                SweepAction::Nothing => {}
                SweepAction::Close => self.close(slot),
                SweepAction::ParseInput => self.take_request(slot, now, requests),
                SweepAction::TimeOut => connection.time_out(&self.load, now),
            }
        }
    }
}

/// Whether an error of `accept` concerns only this call or one connection, so that the next one can be
/// accepted at once.
fn is_retryable_accept_error(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}
