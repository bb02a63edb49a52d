//! The thread of the server: accepts connections, reads from all of them and closes those that are over.

use super::connection::{Connection, SweepAction, READ_SIZE};
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

const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// After a refused accept (no free sockets, for instance) the next one waits for this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Idle connections closed at a time when there is no room for new ones.
const EVICTION_BATCH: usize = 16;
/// Events taken from the system at a time.
const EVENT_CAPACITY: usize = 512;

const LISTENER: Token = Token(usize::MAX - 1);

/// The listener with its connections. A connection's slot is its token.
pub(super) struct EventLoop {
    listener: TcpListener,
    poll: Poll,
    limits: Limits,
    connections: Vec<Option<Connection>>,
    free_slots: Vec<usize>,
    load: Arc<ConnectionLoad>,
    /// Connections wait to be accepted until then.
    accept_again_at: Option<Instant>,
    next_sweep: Instant,
    buffer: Vec<u8>,
}

impl EventLoop {
    pub fn new(listener: std::net::TcpListener, limits: Limits) -> std::io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(EventLoop {
            listener,
            poll,
            limits,
            connections: Vec::new(),
            free_slots: Vec::new(),
            load: Arc::new(ConnectionLoad::new(limits.connections)),
            accept_again_at: None,
            next_sweep: Instant::now() + SWEEP_INTERVAL,
            buffer: vec![0; READ_SIZE],
        })
    }

    /// Serves until stopped. `handle` gets the requests that came together.
    pub fn run(mut self, stop: &StopSignal, mut handle: impl FnMut(Vec<Request>)) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while !stop.is_stopped() {
            if let Err(e) = self.poll.poll(&mut events, Some(self.time_to_wait())) {
                if e.kind() != ErrorKind::Interrupted {
                    log::warn!("poll for connections failed why=\"{e}\"");
                    stop.wait(ACCEPT_PAUSE);
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
            // After what had come: a process that was paused must not take its clients for slow.
            if now >= self.next_sweep {
                self.next_sweep = now + SWEEP_INTERVAL;
                self.sweep(now, &mut requests);
            }
            if !requests.is_empty() {
                handle(requests);
            }
        }
    }

    fn time_to_wait(&self) -> Duration {
        let due = self
            .accept_again_at
            .map_or(self.next_sweep, |t| t.min(self.next_sweep));
        due.saturating_duration_since(Instant::now())
    }

    fn handle_event(&mut self, event: &Event, now: Instant, requests: &mut Vec<Request>) {
        if event.token() == LISTENER {
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

    /// Accepts all connections that wait, as far as there is room.
    fn accept(&mut self, now: Instant) {
        self.accept_again_at = None;
        loop {
            if !self.make_room() {
                self.accept_again_at = Some(now + ACCEPT_PAUSE);
                return;
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.open(stream, from.ip(), now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if gone_before_accepted(&e) => {}
                Err(e) => {
                    log::warn!("accept failed why=\"{e}\"");
                    self.evict_idle();
                    self.accept_again_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    /// Whether another connection may be opened, once idle ones are closed if need be.
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
            log::warn!("connection not registered why=\"{e}\"");
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
            // Whoever still works on a request holds the socket until it has answered.
            connection.socket().shutdown();
        }
    }

    /// Closes the connections that have been idle for longest.
    fn evict_idle(&mut self) {
        let mut idle: Vec<(Instant, usize)> = Vec::new();
        for (slot, connection) in self.connections.iter().enumerate() {
            if let Some(connection) = connection.as_ref().filter(|c| c.is_idle()) {
                idle.push((connection.last_read_at(), slot));
            }
        }
        if idle.len() > EVICTION_BATCH {
            idle.select_nth_unstable(EVICTION_BATCH);
            idle.truncate(EVICTION_BATCH);
        }
        for (_, slot) in idle {
            self.close(slot);
        }
    }

    fn read(&mut self, slot: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        connection.read(&mut self.buffer, self.limits.body, now);
        self.take_request(slot, now, requests);
    }

    /// Takes a connection's next request, and closes the connection if it is over.
    fn take_request(&mut self, slot: usize, now: Instant, requests: &mut Vec<Request>) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        requests.extend(connection.next_request(self.limits.body, &self.load, now));
        if connection.is_finished() {
            self.close(slot);
        }
    }

    /// Does what is due at the connections without an event.
    fn sweep(&mut self, now: Instant, requests: &mut Vec<Request>) {
        for slot in 0..self.connections.len() {
            let Some(connection) = &mut self.connections[slot] else {
                continue;
            };
            match connection.sweep(self.limits.idle, now) {
                SweepAction::Nothing => {}
                SweepAction::Close => self.close(slot),
                SweepAction::ReadRequest => self.take_request(slot, now, requests),
                SweepAction::TimeOut => connection.time_out(&self.load, now),
            }
        }
    }
}

fn gone_before_accepted(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}
