//! Messages between the controllers. The order and types of fields and variants are the wire.

use borsh::{BorshDeserialize, BorshSerialize};

/// The state that controllers send each other once a second, as a request and as its response.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// Member name of the sender.
    pub member: String,
    /// The term that the sender leads in, if it leads.
    pub leader_term: Option<u64>,
    /// The highest term that the sender knows of.
    pub highest_term: u64,
    /// Whether the key-value store answers the sender.
    pub store_available: bool,
    /// Number of workers that send their heartbeats to the sender.
    pub worker_count: u32,
    /// Changes a second of the key-value store that the sender's users asked for.
    pub user_changes_per_s: f64,
    /// Changes a second of the key-value store that the sender asked for as leader.
    pub leader_changes_per_s: f64,
    /// How late the sender's timers fire, in milliseconds.
    pub timer_lag_ms: u32,
    /// From the leader: jobs whose counts have changed, for display.
    pub progress: Vec<JobProgress>,
    /// In the leader's requests: jobs that are over. In responses: [`super::HelloExtension`].
    pub finished_jobs: Vec<String>,
}

/// How many tasks of a job are done and running.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct JobProgress {
    /// The job's id.
    pub job_id: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// A position in the list of cancellations that a controller knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CancellationPosition {
    /// Incarnation of the controller: the list begins anew with each.
    pub incarnation: u64,
    /// Number of cancellations before this position.
    pub offset: u64,
}

/// A request of one controller to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// The state of the sender.
    Hello(Hello),
    /// Workers' heartbeats, as they were received, to be answered by the leader.
    Heartbeats(Vec<Vec<u8>>),
    /// Commands for a worker, encoded.
    Command {
        /// Where the worker takes commands.
        endpoint: String,
        /// The encoded commands.
        body: Vec<u8>,
    },
    /// The states of these jobs, for a controller that the key-value store does not answer.
    JobStatuses(Vec<String>),
    /// A submission or a cancellation, for the same reason.
    UserRequest {
        /// The HTTP method.
        method: String,
        /// The path of the URL.
        path: String,
        /// The encoded body.
        body: Vec<u8>,
    },
    /// The cancellations that the peer knows of. Only for peers of
    /// [`super::VERSION_WITH_CANCELLATIONS`], as all that follows.
    Cancellations {
        /// Where to continue. None: the peer tells where a reader may begin.
        from: Option<CancellationPosition>,
    },
    /// To the leader: users are about to be told that these jobs are cancelled.
    Cancelled(Vec<String>),
}

/// What a peer has found out about a job.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerJobStatus {
    /// The peer could not find it out.
    Unknown,
    /// The job was never accepted.
    NeverAccepted,
    /// The job is accepted and not over.
    Live,
    /// The job is done.
    Done,
    /// The job is cancelled.
    Cancelled,
}

/// The response of a controller to a [`PeerRequest`] of the same name.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// The state of the responder.
    Hello(Hello),
    /// HTTP status and body for each heartbeat, in their order.
    Heartbeats(Vec<(u16, Vec<u8>)>),
    /// The worker's heartbeat, as it was received. None: it did not answer.
    Command(Option<Vec<u8>>),
    /// The states of the jobs, in the order of the request.
    JobStatuses(Vec<PeerJobStatus>),
    /// The answer for the user.
    UserRequest {
        /// The HTTP status.
        status: u16,
        /// The encoded body.
        body: Vec<u8>,
        /// Seconds after which the user should come back.
        retry_after: Option<u64>,
    },
    /// A page of the cancellations that the responder knows of.
    Cancellations {
        /// Incarnation of the responder.
        incarnation: u64,
        /// Whether the page continues from the requested position with nothing left out.
        continues: bool,
        /// Ids of the cancelled jobs.
        job_ids: Vec<String>,
        /// Offset to continue from.
        next: u64,
        /// Whether more cancellations are known already.
        more: bool,
    },
    /// Whether a leader took the cancellations on.
    Cancelled(bool),
}
