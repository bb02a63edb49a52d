//! The socket of a connection, shared by the event loop, which reads, and by whoever answers a request.

use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// What becomes of the connection once the bytes have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterSend {
    KeepOpen,
    Close,
}

/// Bytes that have not been sent yet.
#[derive(Default)]
struct Output {
    pending: Vec<u8>,
    /// Nothing follows the pending bytes.
    closing: bool,
    failed: bool,
}

/// The socket with its output.
pub(super) struct ConnectionSocket {
    stream: TcpStream,
    output: Mutex<Output>,
    request_in_progress: AtomicBool,
}

/// Capacity that an empty output keeps.
const KEPT_CAPACITY: usize = 256;

impl ConnectionSocket {
    pub fn new(stream: TcpStream) -> ConnectionSocket {
        ConnectionSocket {
            stream,
            output: Mutex::default(),
            request_in_progress: AtomicBool::new(false),
        }
    }

    /// Whether a request of this connection has not been answered yet.
    pub fn request_in_progress(&self) -> bool {
        self.request_in_progress.load(Ordering::Acquire)
    }

    pub fn begin_request(&self) {
        self.request_in_progress.store(true, Ordering::Release);
    }

    pub fn end_request(&self) {
        self.request_in_progress.store(false, Ordering::Release);
    }

    pub fn read(&self, buffer: &mut [u8]) -> std::io::Result<usize> {
        (&self.stream).read(buffer)
    }

    /// Sends bytes, or keeps them until the socket takes them.
    pub fn send(&self, bytes: &[u8], after: AfterSend) {
        let mut output = self.lock();
        output.pending.extend_from_slice(bytes);
        output.closing |= after == AfterSend::Close;
        self.flush(&mut output);
    }

    /// Sends what is pending, as far as the socket takes it.
    pub fn send_pending(&self) {
        let mut output = self.lock();
        if !output.pending.is_empty() {
            self.flush(&mut output);
        }
    }

    /// Whether the last response has been handed over.
    pub fn is_closing(&self) -> bool {
        self.lock().closing
    }

    /// Ends the connection at once.
    pub fn shutdown(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sends what the socket takes now. The event loop sends the rest when it takes more: the lock is
    /// held meanwhile, so its look at the rest comes after this.
    fn flush(&self, output: &mut Output) {
        let mut sent = 0;
        while sent < output.pending.len() && !output.failed {
            match (&self.stream).write(&output.pending[sent..]) {
                Ok(0) => output.failed = true,
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => output.failed = true,
            }
        }
        output.pending.drain(..sent);
        if output.failed {
            output.pending.clear();
            self.shutdown();
        } else if output.pending.is_empty() {
            output.pending.shrink_to(KEPT_CAPACITY);
            if output.closing {
                let _ = self.stream.shutdown(Shutdown::Write);
            }
        }
    }
}
