//! A fake worker, which implements the worker's side of the published protocol.

use super::http::{call, serve_at};
use super::value::{map, text, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::Method;

/// A task that the worker lists in its heartbeats, running or ended, until a `forget` command removes it.
#[derive(Clone, Debug, PartialEq)]
struct WorkerTask {
    attempt: u64,
    started: Instant,
    /// `None`: the task still runs.
    exit_reason: Option<&'static str>,
}

#[derive(Default)]
struct WorkerState {
    /// The listed tasks by id.
    tasks: BTreeMap<String, WorkerTask>,
    /// The highest fencing token received.
    token: u64,
    /// The task id and the attempt of each task start, in the order of the starts.
    starts: Vec<(String, u64)>,
    /// When each command arrived under a valid token.
    command_times: Vec<Instant>,
    /// How often the lease expired. Each expiry begins a new incarnation.
    expired_leases: u64,
    /// When the most recent heartbeat that was answered was sent. The lease is counted from this time.
    lease_renewed_at: Option<Instant>,
}

/// A worker on its own machine. It sends heartbeats, and each of its tasks ends after a set run time.
#[derive(Clone)]
pub struct FakeWorker {
    state: Arc<Mutex<WorkerState>>,
    next_serial: Arc<AtomicU64>,
    endpoint: String,
    name: String,
    heartbeat_interval: Duration,
    /// The time after which a task ends as done.
    run_time_ms: Arc<AtomicU64>,
    /// 0: the lease never expires.
    lease_ms: Arc<AtomicU64>,
}

impl FakeWorker {
    /// Starts a worker on 127.0.0.1 that sends its heartbeats every 100 ms, at first to the first of these
    /// nodes.
    pub fn start(name: &str, run_time: Duration, nodes: Vec<(String, SocketAddr)>) -> FakeWorker {
        let heartbeat_interval = Duration::from_millis(100);
        FakeWorker::start_at(
            Ipv4Addr::LOCALHOST,
            name,
            run_time,
            heartbeat_interval,
            nodes,
        )
    }

    /// As [`FakeWorker::start`], on another loopback address and with another interval between heartbeats.
    pub fn start_at(
        address: Ipv4Addr,
        name: &str,
        run_time: Duration,
        heartbeat_interval: Duration,
        nodes: Vec<(String, SocketAddr)>,
    ) -> FakeWorker {
        let state: Arc<Mutex<WorkerState>> = Arc::default();
        let next_serial = Arc::new(AtomicU64::new(1));
        let mut worker = FakeWorker {
            state,
            next_serial,
            endpoint: String::new(),
            name: name.to_owned(),
            heartbeat_interval,
            run_time_ms: Arc::new(AtomicU64::new(run_time.as_millis() as u64)),
            lease_ms: Arc::default(),
        };
        let w = worker.clone();
        let address = serve_at(address, move |method, url, body| {
            if method == &Method::Post && url == "/commands" {
                let executed = w.execute(&body);
                let status = if executed { 200 } else { 409 };
                return (status, w.next_heartbeat());
            }
            (200, w.next_heartbeat())
        });
        worker.endpoint = address.to_string();
        let w = worker.clone();
        std::thread::spawn(move || w.send_heartbeats(&nodes));
        worker
    }

    /// The address on which the worker receives commands.
    pub fn endpoint(&self) -> String {
        self.endpoint.clone()
    }

    /// Sets how long a task runs, also for the tasks that run already.
    pub fn set_run_time(&self, run_time: Duration) {
        self.run_time_ms
            .store(run_time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets the lease and renews it now. All tasks end once the most recent heartbeat that was answered
    /// was sent longer ago than the lease. Zero: the lease never expires.
    pub fn set_lease(&self, lease: Duration) {
        self.state
            .lock()
            .expect("the lock of the worker's state")
            .lease_renewed_at = Some(Instant::now());
        self.lease_ms
            .store(lease.as_millis() as u64, Ordering::SeqCst);
    }

    /// The task id and the attempt of each task start so far, in the order of the starts.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state
            .lock()
            .expect("the lock of the worker's state")
            .starts
            .clone()
    }

    /// When the worker received each command under a valid token.
    pub fn command_times(&self) -> Vec<Instant> {
        self.state
            .lock()
            .expect("the lock of the worker's state")
            .command_times
            .clone()
    }

    /// The number of tasks that run.
    pub fn running(&self) -> usize {
        let mut state = self.state.lock().expect("the lock of the worker's state");
        self.expire_lease(&mut state);
        state
            .tasks
            .values()
            .filter(|task| task.exit_reason.is_none())
            .count()
    }

    /// The ids of the tasks that run.
    pub fn running_tasks(&self) -> Vec<String> {
        let mut state = self.state.lock().expect("the lock of the worker's state");
        self.expire_lease(&mut state);
        let running = state
            .tasks
            .iter()
            .filter(|(_, task)| task.exit_reason.is_none());
        running.map(|(task_id, _)| task_id.clone()).collect()
    }

    /// The highest fencing token that the worker received.
    pub fn token(&self) -> u64 {
        self.state
            .lock()
            .expect("the lock of the worker's state")
            .token
    }

    /// Sends one additional heartbeat to this node, and returns the status of the answer.
    pub fn send_heartbeat_to(&self, node: SocketAddr) -> u16 {
        call("POST", node, "/agent/beat", Some(&self.next_heartbeat())).0
    }

    /// How often the worker's lease expired.
    pub fn expired_leases(&self) -> u64 {
        self.state
            .lock()
            .expect("the lock of the worker's state")
            .expired_leases
    }

    /// Ends all tasks and begins a new incarnation if the lease has expired.
    fn expire_lease(&self, state: &mut WorkerState) {
        let lease = Duration::from_millis(self.lease_ms.load(Ordering::SeqCst));
        let expired = |t: Instant| !lease.is_zero() && t.elapsed() > lease;
        if state.lease_renewed_at.is_some_and(expired) {
            state.tasks.clear();
            state.expired_leases += 1;
            state.lease_renewed_at = Some(Instant::now());
        }
    }

    /// Executes the commands of a message. Returns false and executes none of them if the message has an
    /// outdated fencing token.
    fn execute(&self, body: &Value) -> bool {
        let mut state = self.state.lock().expect("the lock of the worker's state");
        self.expire_lease(&mut state);
        if body.int("Epoch") < state.token {
            return false;
        }
        state.token = body.int("Epoch");
        for command in body.list("Directives") {
            let (task_id, attempt) = (command.text("Shard"), command.int("Try"));
            state.command_times.push(Instant::now());
            match command.text("Verb").as_str() {
                "launch" if !state.tasks.contains_key(&task_id) => {
                    state.starts.push((task_id.clone(), attempt));
                    let task = WorkerTask {
                        attempt,
                        started: Instant::now(),
                        exit_reason: None,
                    };
                    state.tasks.insert(task_id, task);
                }
                "kill" => {
                    if let Some(task) = state
                        .tasks
                        .get_mut(&task_id)
                        .filter(|task| task.exit_reason.is_none())
                    {
                        task.exit_reason = Some("stopped");
                    }
                }
                "forget" => {
                    state
                        .tasks
                        .retain(|id, task| id != &task_id || task.attempt != attempt);
                }
                _ => {}
            }
        }
        true
    }

    /// The body of the next heartbeat, which lists all tasks. Each call raises the serial number.
    fn next_heartbeat(&self) -> Value {
        let mut state = self.state.lock().expect("the lock of the worker's state");
        self.expire_lease(&mut state);
        let run_time = Duration::from_millis(self.run_time_ms.load(Ordering::SeqCst));
        for task in state.tasks.values_mut() {
            if task.exit_reason.is_none() && task.started.elapsed() >= run_time {
                task.exit_reason = Some("done");
            }
        }
        let tasks = state
            .tasks
            .iter()
            .map(|(task_id, task)| {
                let phase = if task.exit_reason.is_some() {
                    "ended"
                } else {
                    "running"
                };
                let mut listed = BTreeMap::from([
                    ("Shard".to_owned(), text(task_id)),
                    ("Try".to_owned(), Value::Int(task.attempt)),
                    ("Phase".to_owned(), text(phase)),
                ]);
                if let Some(exit_reason) = task.exit_reason {
                    listed.insert("ExitReason".to_owned(), text(exit_reason));
                }
                Value::Map(listed)
            })
            .collect();
        map([
            ("Host", text(&self.name)),
            ("Endpoint", text(&self.endpoint)),
            ("HostType", text("m8")),
            ("Site", text("hall-a")),
            ("Preemptible", Value::Bool(false)),
            ("Tenure", Value::Int(1 + state.expired_leases)),
            (
                "Serial",
                Value::Int(self.next_serial.fetch_add(1, Ordering::SeqCst)),
            ),
            ("Epoch", Value::Int(state.token)),
            ("Shards", Value::List(tasks)),
        ])
    }

    /// Sends heartbeats until the process ends, each to the node that is believed to lead.
    fn send_heartbeats(&self, nodes: &[(String, SocketAddr)]) {
        let mut target = 0;
        loop {
            let (sent, heartbeat) = (Instant::now(), self.next_heartbeat());
            let (status, body) = call("POST", nodes[target].1, "/agent/beat", Some(&heartbeat));
            match status {
                200 => {
                    // An answer to a heartbeat of an earlier incarnation neither renews the lease nor is
                    // executed.
                    let incarnation = Value::Int(1 + self.expired_leases());
                    if heartbeat.get("Tenure") == Some(&incarnation) && self.execute(&body) {
                        let mut state = self.state.lock().expect("the lock of the worker's state");
                        state.lease_renewed_at = Some(sent);
                    }
                }
                421 => {
                    let leader = body.text("Controller");
                    let found = nodes.iter().position(|n| n.0 == leader);
                    target = found.unwrap_or((target + 1) % nodes.len());
                }
                _ => target = (target + 1) % nodes.len(),
            }
            std::thread::sleep(self.heartbeat_interval);
        }
    }
}
