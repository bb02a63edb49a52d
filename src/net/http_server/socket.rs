//! The socket of a connection. The event loop reads from it, and the thread that answers a request writes the
//! response to it.

use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// What to do with the connection after the bytes have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterSend {
    KeepOpen,
    Close,
}

/// The state of the sending direction.
#[derive(Default)]
struct Output {
    /// Bytes that the socket has not accepted yet.
    pending: Vec<u8>,
    /// Whether the sending direction is to be shut down once the pending bytes have been sent.
    closing: bool,
    /// Whether a write to the socket has failed. After a failure, nothing more is sent.
    failed: bool,
}

/// The socket of a connection, with its unsent output.
pub(super) struct ConnectionSocket {
    stream: TcpStream,
    output: Mutex<Output>,
    request_in_progress: AtomicBool,
}

/// The buffer capacity that is kept when no output is pending.
const MAX_RETAINED_OUTPUT_BYTES: usize = 256;

impl ConnectionSocket {
    pub fn new(stream: TcpStream) -> ConnectionSocket {
        ConnectionSocket {
            stream,
            output: Mutex::default(),
            request_in_progress: AtomicBool::new(false),
        }
    }

    /// Whether a request of this connection is still unanswered.
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

    /// Sends bytes. Those that the socket does not accept now are buffered and sent later.
    pub fn send(&self, bytes: &[u8], after: AfterSend) {
        let mut output = self.lock();
        output.pending.extend_from_slice(bytes);
        output.closing |= after == AfterSend::Close;
        self.flush(&mut output);
    }

    /// Sends as many of the pending bytes as the socket accepts.
    pub fn send_pending(&self) {
        let mut output = self.lock();
        if !output.pending.is_empty() {
            self.flush(&mut output);
        }
    }

    /// Whether the connection's last response has been passed to [`ConnectionSocket::send`].
    pub fn is_closing(&self) -> bool {
        self.lock().closing
    }

    /// Shuts the connection down in both directions, without sending pending bytes.
    pub fn shutdown(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes as many pending bytes as the socket accepts now. The event loop sends the rest once the socket
    /// is writable again. The caller holds the lock on the output during the write, so the event loop sees
    /// the remaining bytes.
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
            output.pending.shrink_to(MAX_RETAINED_OUTPUT_BYTES);
            if output.closing {
                let _ = self.stream.shutdown(Shutdown::Write);
            }
        }
    }
}
