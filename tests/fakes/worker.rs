//! A fake worker, by its published protocol.

use super::http::{call, serve_at};
use super::value::{map, text, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::Method;

#[derive(Clone, Debug, PartialEq)]
struct RunningTask {
    attempt: u64,
    started: Instant,
    exit_reason: Option<&'static str>,
}

#[derive(Default)]
struct WorkerState {
    tasks: BTreeMap<String, RunningTask>,
    token: u64,
    starts: Vec<(String, u64)>,
    /// When it carried out an order.
    orders: Vec<Instant>,
    /// Earlier incarnations, and when the last answered heartbeat was sent.
    expired_leases: u64,
    last_answered: Option<Instant>,
}

/// One machine: sends heartbeats, and runs each task for as long as the test says.
#[derive(Clone)]
pub struct FakeWorker {
    state: Arc<Mutex<WorkerState>>,
    serial: Arc<AtomicU64>,
    endpoint: String,
    name: String,
    /// Between two heartbeats.
    pause: Duration,
    /// In milliseconds.
    run: Arc<AtomicU64>,
    /// In milliseconds; 0: it never runs out.
    lease: Arc<AtomicU64>,
}

impl FakeWorker {
    pub fn start(name: &str, run: Duration, nodes: Vec<(String, SocketAddr)>) -> FakeWorker {
        let pause = Duration::from_millis(100);
        FakeWorker::start_at(Ipv4Addr::LOCALHOST, name, run, pause, nodes)
    }

    /// With an address of its own, and so long between two heartbeats.
    pub fn start_at(
        address: Ipv4Addr,
        name: &str,
        run: Duration,
        pause: Duration,
        nodes: Vec<(String, SocketAddr)>,
    ) -> FakeWorker {
        let state: Arc<Mutex<WorkerState>> = Arc::default();
        let serial = Arc::new(AtomicU64::new(1));
        let mut worker = FakeWorker {
            state,
            serial,
            endpoint: String::new(),
            name: name.to_owned(),
            pause,
            run: Arc::new(AtomicU64::new(run.as_millis() as u64)),
            lease: Arc::default(),
        };
        let w = worker.clone();
        let address = serve_at(address, move |method, url, body| {
            if method == &Method::Post && url == "/commands" {
                let executed = w.execute(&body);
                let status = if executed { 200 } else { 409 };
                return (status, w.heartbeat());
            }
            (200, w.heartbeat())
        });
        worker.endpoint = address.to_string();
        let w = worker.clone();
        std::thread::spawn(move || w.heartbeats(&nodes));
        worker
    }

    pub fn endpoint(&self) -> String {
        self.endpoint.clone()
    }

    /// From now on its tasks run for this long.
    pub fn set_run_time(&self, run: Duration) {
        self.run.store(run.as_millis() as u64, Ordering::SeqCst);
    }

    /// From now on its tasks end when no answered heartbeat was sent for this long.
    pub fn set_lease(&self, lease: Duration) {
        self.state.lock().expect("the machine").last_answered = Some(Instant::now());
        self.lease.store(lease.as_millis() as u64, Ordering::SeqCst);
    }

    /// Tasks started so far, with their attempts.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state.lock().expect("the machine").starts.clone()
    }

    /// When it carried out orders.
    pub fn orders(&self) -> Vec<Instant> {
        self.state.lock().expect("the machine").orders.clone()
    }

    /// Tasks on the machine that have not ended.
    pub fn running(&self) -> usize {
        let mut state = self.state.lock().expect("the machine");
        self.expire(&mut state);
        state
            .tasks
            .values()
            .filter(|h| h.exit_reason.is_none())
            .count()
    }

    /// The tasks on the machine that have not ended.
    pub fn running_tasks(&self) -> Vec<String> {
        let mut state = self.state.lock().expect("the machine");
        self.expire(&mut state);
        let running = state.tasks.iter().filter(|(_, h)| h.exit_reason.is_none());
        running.map(|(shard, _)| shard.clone()).collect()
    }

    /// The highest token that a controller showed it.
    pub fn token(&self) -> u64 {
        self.state.lock().expect("the machine").token
    }

    /// Sends one heartbeat to this node, wherever the others go. The answer's status.
    pub fn heartbeat_to(&self, node: SocketAddr) -> u16 {
        call("POST", node, "/agent/beat", Some(&self.heartbeat())).0
    }

    /// Sessions that ended because the lease ran out.
    pub fn expired_leases(&self) -> u64 {
        self.state.lock().expect("the machine").expired_leases
    }

    fn expire(&self, state: &mut WorkerState) {
        let lease = Duration::from_millis(self.lease.load(Ordering::SeqCst));
        let spent = |t: Instant| !lease.is_zero() && t.elapsed() > lease;
        if state.last_answered.is_some_and(spent) {
            state.tasks.clear();
            state.expired_leases += 1;
            state.last_answered = Some(Instant::now());
        }
    }

    fn execute(&self, body: &Value) -> bool {
        let mut state = self.state.lock().expect("the machine");
        self.expire(&mut state);
        if body.int("Epoch") < state.token {
            return false;
        }
        state.token = body.int("Epoch");
        for command in body.list("Directives") {
            let (shard, attempt) = (command.text("Shard"), command.int("Try"));
            state.orders.push(Instant::now());
            match command.text("Verb").as_str() {
                "launch" if !state.tasks.contains_key(&shard) => {
                    state.starts.push((shard.clone(), attempt));
                    let task = RunningTask {
                        attempt,
                        started: Instant::now(),
                        exit_reason: None,
                    };
                    state.tasks.insert(shard, task);
                }
                "kill" => {
                    if let Some(task) = state
                        .tasks
                        .get_mut(&shard)
                        .filter(|h| h.exit_reason.is_none())
                    {
                        task.exit_reason = Some("stopped");
                    }
                }
                "forget" => {
                    state
                        .tasks
                        .retain(|s, h| s != &shard || h.attempt != attempt);
                }
                _ => {}
            }
        }
        true
    }

    fn heartbeat(&self) -> Value {
        let mut state = self.state.lock().expect("the machine");
        self.expire(&mut state);
        let run = Duration::from_millis(self.run.load(Ordering::SeqCst));
        for task in state.tasks.values_mut() {
            if task.exit_reason.is_none() && task.started.elapsed() >= run {
                task.exit_reason = Some("done");
            }
        }
        let tasks = state
            .tasks
            .iter()
            .map(|(s, h)| {
                let phase = if h.exit_reason.is_some() {
                    "ended"
                } else {
                    "running"
                };
                let mut task = BTreeMap::from([
                    ("Shard".to_owned(), text(s)),
                    ("Try".to_owned(), Value::Int(h.attempt)),
                    ("Phase".to_owned(), text(phase)),
                ]);
                if let Some(exit_reason) = h.exit_reason {
                    task.insert("ExitReason".to_owned(), text(exit_reason));
                }
                Value::Map(task)
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
                Value::Int(self.serial.fetch_add(1, Ordering::SeqCst)),
            ),
            ("Epoch", Value::Int(state.token)),
            ("Shards", Value::List(tasks)),
        ])
    }

    fn heartbeats(&self, nodes: &[(String, SocketAddr)]) {
        let mut at = 0;
        loop {
            let (sent, heartbeat) = (Instant::now(), self.heartbeat());
            let (status, body) = call("POST", nodes[at].1, "/agent/beat", Some(&heartbeat));
            match status {
                200 => {
                    // The answer to a heartbeat of an earlier incarnation is dropped.
                    let incarnation = Value::Int(1 + self.expired_leases());
                    if heartbeat.get("Tenure") == Some(&incarnation) && self.execute(&body) {
                        let mut state = self.state.lock().expect("the machine");
                        state.last_answered = Some(sent);
                    }
                }
                421 => {
                    let named = body.text("Controller");
                    let found = nodes.iter().position(|n| n.0 == named);
                    at = found.unwrap_or((at + 1) % nodes.len());
                }
                _ => at = (at + 1) % nodes.len(),
            }
            std::thread::sleep(self.pause);
        }
    }
}
