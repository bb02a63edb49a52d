//! Messages between controllers. The order and the types of fields and variants define the wire format.

use borsh::{BorshDeserialize, BorshSerialize};

/// The status that controllers send each other once a second, both as a request and as its response.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// The sender's member name.
    pub member: String,
    /// The term in which the sender leads. None: the sender does not lead.
    pub leader_term: Option<u64>,
    /// The highest term that the sender has observed.
    pub highest_term: u64,
    /// Whether the sender can reach the key-value store.
    pub store_available: bool,
    /// The number of workers that send their heartbeats to the sender.
    pub worker_count: u32,
    /// The rate of changes in the key-value store that the sender recently requested for its users, in
    /// changes per second.
    pub user_changes_per_s: f64,
    /// The same rate for the sender's work as the leader.
    pub leader_changes_per_s: f64,
    /// The average delay with which the sender's timers fire, in milliseconds.
    pub timer_lag_ms: u32,
    /// In the leader's requests: jobs whose task counts have changed since the receiver's last response. The
    /// counts are only shown to users. Otherwise empty.
    pub progress: Vec<JobProgress>,
    /// In the leader's requests: ids of jobs that have ended. In responses: the texts of a
    /// [`super::HelloExtension`].
    pub finished_jobs: Vec<String>,
}

/// The task counts of a live job.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct JobProgress {
    /// The job's id.
    pub job_id: String,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are running.
    pub running: u32,
}

/// A position in the log of cancellations that a controller keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CancellationPosition {
    /// The controller's incarnation. A new incarnation starts with an empty log.
    pub incarnation: u64,
    /// The number of cancellations in the log before this position.
    pub offset: u64,
}

/// A request from one controller to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Reports the sender's status.
    Hello(Hello),
    /// Relays encoded heartbeats of workers to the leader.
    Heartbeats(Vec<Vec<u8>>),
    /// Requests that the receiver relays commands to a worker.
    Command {
        /// The address at which the worker receives commands.
        endpoint: String,
        /// The encoded commands.
        body: Vec<u8>,
    },
    /// Requests the statuses of the jobs with these ids, for a sender that cannot reach the key-value store.
    JobStatuses(Vec<String>),
    /// Relays a user's submission or cancellation, for the same reason.
    UserRequest {
        /// The HTTP method.
        method: String,
        /// The path of the URL.
        path: String,
        /// The encoded body.
        body: Vec<u8>,
    },
    /// Reads a page of the receiver's log of cancellations. This variant and all that follow may be sent only
    /// to peers that support [`super::VERSION_WITH_CANCELLATIONS`].
    Cancellations {
        /// The position to continue from. None: the response states where to begin.
        from: Option<CancellationPosition>,
    },
    /// Notifies the leader that the sender is about to confirm to users that these jobs are cancelled.
    Cancelled(Vec<String>),
}

/// The status of a job according to a peer.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerJobStatus {
    /// The peer could not determine the status.
    Unknown,
    /// The job was never accepted.
    NeverAccepted,
    /// The job was accepted and has not ended.
    Live,
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// The response to the [`PeerRequest`] variant of the same name.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// The responder's status.
    Hello(Hello),
    /// The HTTP status and the body of the response to each heartbeat, in the order of the request.
    Heartbeats(Vec<(u16, Vec<u8>)>),
    /// The encoded heartbeat with which the worker responded. None: the worker did not respond.
    Command(Option<Vec<u8>>),
    /// The statuses of the jobs, in the order of the request.
    JobStatuses(Vec<PeerJobStatus>),
    /// The response to the user's request.
    UserRequest {
        /// The HTTP status.
        status: u16,
        /// The encoded body.
        body: Vec<u8>,
        /// The `Retry-After` value in seconds. None: the response has no such header.
        retry_after: Option<u64>,
    },
    /// One page of the responder's log of cancellations.
    Cancellations {
        /// The responder's incarnation.
        incarnation: u64,
        /// Whether the page starts at the requested position. False: cancellations may be missing before it.
        continues: bool,
        /// The ids of the cancelled jobs.
        job_ids: Vec<String>,
        /// The offset after this page, to continue from.
        next: u64,
        /// Whether the log contains more cancellations after this page.
        more: bool,
    },
    /// Whether the responder leads and has accepted the notification.
    Cancelled(bool),
}
