//! Frames between the controllers: a length, then `borsh`.

use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Far above any frame we send; a longer one is not ours.
const FRAME_LIMIT: u32 = 1024 * 1024;
const IDLE_KEPT: usize = 16;

/// What controllers tell each other all the time.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// The sender.
    pub member: String,
    /// The term that the sender leads in, if it leads.
    pub leads: Option<u64>,
    /// The highest term that the sender knows of.
    pub highest: u64,
    /// The state service answers the sender.
    pub store_ok: bool,
    /// Workers that report to the sender.
    pub workers: u32,
    /// Changes a second of the state service that its users, and its duties as leader, asked for.
    pub users_changes: f64,
    /// Changes a second that its duties as leader asked for.
    pub leader_changes: f64,
    /// How late its timers fire, in milliseconds.
    pub timer_lag_ms: u32,
    /// From the leader: jobs whose counts changed (done, running), for display.
    pub progress: Vec<(String, u32, u32)>,
    /// From the leader: jobs that are over.
    pub over: Vec<String>,
}

/// What one controller asks another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// How the sender is.
    Hello(Hello),
    /// Workers' reports, as they came.
    Heartbeats(Vec<Vec<u8>>),
    /// Commands for a worker, in the wire's form.
    Command {
        /// Where the worker takes commands.
        endpoint: String,
        /// The commands.
        body: Vec<u8>,
    },
    /// How jobs stand, for a node that the state service does not answer.
    Questions(Vec<String>),
    /// A submission or a cancellation, for the same reason.
    User {
        /// The request's method.
        method: String,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
    // From here on only for peers that said they know these frames: see `FRAMES`.
    /// The cancellations that the peer knows of, from a position in its life on.
    Cancellations {
        /// The life and the position to go on from. None: from the beginning.
        from: Option<(u64, u64)>,
    },
    /// To the leader: users are about to be told that these jobs are cancelled.
    Cancelled(Vec<String>),
}

/// The frames that this version knows. `borsh` has no names, so the layouts of frames that an earlier
/// version reads stay as they are, and newer frames go only to peers that understand them. They say so
/// in the answer to a hello, in the list of jobs that are over: only the leader's own hellos carry jobs
/// there, and earlier versions send and heed none in answers.
pub const FRAMES: u32 = 3;
const FRAMES_WORD: &str = "frames ";
const FALLEN_WORD: &str = "next rates";
/// From this version on peers know cancellations' frames.
pub const FRAMES_CANCELLATIONS: u32 = 2;
/// From this version on nodes find the dependents of a job in the index of live jobs, and need no lists
/// of them. No frame came with it.
pub const FRAMES_LIVE_INDEX: u32 = 3;

/// What the answer to a hello says of the frames that its sender knows, and whether it found the state
/// service's next rates to hold.
pub fn said(fallen: bool) -> Vec<String> {
    let mut out = vec![format!("{FRAMES_WORD}{FRAMES}")];
    if fallen {
        out.push(FALLEN_WORD.to_owned());
    }
    out
}

/// Whether an answer to a hello says that the state service's next rates hold.
pub fn says_fallen(over: &[String]) -> bool {
    over.iter().any(|o| o == FALLEN_WORD)
}

/// 1 is the version that says nothing.
pub fn frames_of(over: &[String]) -> u32 {
    let said = over.iter().find_map(|o| o.strip_prefix(FRAMES_WORD));
    said.and_then(|n| n.parse().ok()).unwrap_or(1)
}

/// What a peer found out about a job.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerJobStatus {
    /// It could not be asked.
    Silence,
    /// It was never accepted.
    NeverAccepted,
    /// It is not over.
    Live,
    /// It is done.
    Done,
    /// It is cancelled.
    Cancelled,
}

/// What a controller answers another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// How the answering one is.
    Hello(Hello),
    /// Status and body for each report, in their order.
    Heartbeats(Vec<(u16, Vec<u8>)>),
    /// The worker's report, as it came. None: it did not answer.
    Command(Option<Vec<u8>>),
    /// In the order of the questions.
    JobStandings(Vec<PeerJobStatus>),
    /// Status, body, and when to come back.
    User(u16, Vec<u8>, Option<u64>),
    /// Its incarnation; whether this goes on from where it was asked for; the jobs; where to go on; whether
    /// there are more already.
    Cancellations {
        /// The life of the answering node.
        incarnation: u64,
        /// It goes on from the position asked for, with nothing left out.
        continues: bool,
        /// The jobs.
        job_ids: Vec<String>,
        /// The position to go on from.
        next: u64,
        /// There are more already.
        more: bool,
    },
    /// Whether a leader took the cancellations on.
    Cancelled(bool),
}

/// Writes a message with its length before it.
pub fn write_frame<T: BorshSerialize>(w: &mut impl Write, message: &T) -> io::Result<()> {
    let body = borsh::to_vec(message)?;
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    w.write_all(&frame)
}

/// Reads a message with its length before it.
pub fn read_frame<T: BorshDeserialize>(r: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    r.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length);
    if length > FRAME_LIMIT {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut body = vec![0; length as usize];
    r.read_exact(&mut body)?;
    borsh::from_slice(&body)
}

/// Connections to one peer.
pub struct Peer {
    /// The name that the settings give it.
    pub member: String,
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    /// Commands in a row that it could not deliver, and until when it gets no more.
    failures: AtomicU32,
    rests_until: Mutex<Option<Instant>>,
    /// The frames that it knows, as it said last.
    frames: AtomicU32,
}

/// A peer that delivers nothing may itself be cut off from the workers.
const FAILURES: u32 = 6;
const REST: Duration = Duration::from_secs(10);

impl Peer {
    /// A peer that nothing was heard of yet.
    pub fn new(member: &str, address: SocketAddr) -> Peer {
        Peer {
            member: member.to_owned(),
            address,
            idle: Mutex::new(Vec::new()),
            failures: AtomicU32::new(0),
            rests_until: Mutex::new(None),
            frames: AtomicU32::new(1),
        }
    }

    /// Whether it said that it knows the frames of this version.
    pub fn knows(&self, frames: u32) -> bool {
        self.frames.load(Ordering::Relaxed) >= frames
    }

    /// Remembers the frames that it said it knows.
    pub fn set_frames(&self, frames: u32) {
        self.frames.store(frames, Ordering::Relaxed);
    }

    /// Whether commands to workers may go through this peer.
    pub fn delivers(&self, now: Instant) -> bool {
        self.rests_until
            .lock()
            .map_or(true, |r| r.is_none_or(|t| now >= t))
    }

    /// Remembers whether a command went through this peer.
    pub fn delivered(&self, ok: bool, now: Instant) {
        if ok {
            self.failures.store(0, Ordering::Relaxed);
        } else if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= FAILURES {
            self.failures.store(0, Ordering::Relaxed);
            if let Ok(mut r) = self.rests_until.lock() {
                *r = Some(now + REST);
            }
        }
    }

    /// Asks on an idle connection, or on a new one.
    pub fn ask(&self, ask: &PeerRequest, limit: Duration) -> io::Result<PeerResponse> {
        let kept = self.idle.lock().ok().and_then(|mut i| i.pop());
        if let Some(mut s) = kept {
            // A kept connection may have died with the peer's earlier incarnation. All that is asked is safe
            // to repeat: a report has its serial, a submission or cancellation its conditions, and a hello
            // changes nothing the second time.
            s.set_read_timeout(Some(limit))?;
            s.set_write_timeout(Some(limit))?;
            match exchange(&mut s, ask) {
                Ok(r) => {
                    self.keep(s);
                    return Ok(r);
                }
                Err(e) if timed_out(&e) => return Err(e),
                Err(_) => {}
            }
        }
        let mut s = TcpStream::connect_timeout(&self.address, limit.min(Duration::from_secs(1)))?;
        s.set_nodelay(true)?;
        s.set_read_timeout(Some(limit))?;
        s.set_write_timeout(Some(limit))?;
        let r = exchange(&mut s, ask)?;
        self.keep(s);
        Ok(r)
    }

    fn keep(&self, s: TcpStream) {
        if let Ok(mut idle) = self.idle.lock() {
            if idle.len() < IDLE_KEPT {
                idle.push(s);
            }
        }
    }
}

fn timed_out(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn exchange(s: &mut TcpStream, ask: &PeerRequest) -> io::Result<PeerResponse> {
    write_frame(s, ask)?;
    read_frame(s)
}
