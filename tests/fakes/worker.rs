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
    why: Option<&'static str>,
}

#[derive(Default)]
struct WorkerState {
    tasks: BTreeMap<String, RunningTask>,
    token: u64,
    starts: Vec<(String, u64)>,
    /// When it carried out an order.
    orders: Vec<Instant>,
    /// Earlier incarnations, and when the last answered heartbeat was sent.
    sessions: u64,
    answered: Option<Instant>,
}

/// One machine: sends heartbeats, and runs each task for as long as the test says.
#[derive(Clone)]
pub struct FakeWorker {
    machine: Arc<Mutex<WorkerState>>,
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
        let machine: Arc<Mutex<WorkerState>> = Arc::default();
        let serial = Arc::new(AtomicU64::new(1));
        let mut worker = FakeWorker {
            machine,
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
                let executed = w.take(&body);
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
        self.machine.lock().expect("the machine").answered = Some(Instant::now());
        self.lease.store(lease.as_millis() as u64, Ordering::SeqCst);
    }

    /// Tasks started so far, with their attempts.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.machine.lock().expect("the machine").starts.clone()
    }

    /// When it carried out orders.
    pub fn orders(&self) -> Vec<Instant> {
        self.machine.lock().expect("the machine").orders.clone()
    }

    /// Tasks on the machine that have not ended.
    pub fn running(&self) -> usize {
        let mut m = self.machine.lock().expect("the machine");
        self.expire(&mut m);
        m.tasks.values().filter(|h| h.why.is_none()).count()
    }

    /// The tasks on the machine that have not ended.
    pub fn running_tasks(&self) -> Vec<String> {
        let mut m = self.machine.lock().expect("the machine");
        self.expire(&mut m);
        let running = m.tasks.iter().filter(|(_, h)| h.why.is_none());
        running.map(|(shard, _)| shard.clone()).collect()
    }

    /// The highest token that a controller showed it.
    pub fn token(&self) -> u64 {
        self.machine.lock().expect("the machine").token
    }

    /// Sends one heartbeat to this node, wherever the others go. The answer's status.
    pub fn heartbeat_to(&self, node: SocketAddr) -> u16 {
        call("POST", node, "/agent/beat", Some(&self.heartbeat())).0
    }

    /// Sessions that ended because the lease ran out.
    pub fn expired_leases(&self) -> u64 {
        self.machine.lock().expect("the machine").sessions
    }

    fn expire(&self, m: &mut WorkerState) {
        let lease = Duration::from_millis(self.lease.load(Ordering::SeqCst));
        let spent = |t: Instant| !lease.is_zero() && t.elapsed() > lease;
        if m.answered.is_some_and(spent) {
            m.tasks.clear();
            m.sessions += 1;
            m.answered = Some(Instant::now());
        }
    }

    fn take(&self, body: &Value) -> bool {
        let mut m = self.machine.lock().expect("the machine");
        self.expire(&mut m);
        if body.int("Epoch") < m.token {
            return false;
        }
        m.token = body.int("Epoch");
        for d in body.list("Directives") {
            let (shard, attempt) = (d.text("Shard"), d.int("Try"));
            m.orders.push(Instant::now());
            match d.text("Verb").as_str() {
                "launch" if !m.tasks.contains_key(&shard) => {
                    m.starts.push((shard.clone(), attempt));
                    let held = RunningTask {
                        attempt,
                        started: Instant::now(),
                        why: None,
                    };
                    m.tasks.insert(shard, held);
                }
                "kill" => {
                    if let Some(h) = m.tasks.get_mut(&shard).filter(|h| h.why.is_none()) {
                        h.why = Some("stopped");
                    }
                }
                "forget" => {
                    m.tasks.retain(|s, h| s != &shard || h.attempt != attempt);
                }
                _ => {}
            }
        }
        true
    }

    fn heartbeat(&self) -> Value {
        let mut m = self.machine.lock().expect("the machine");
        self.expire(&mut m);
        let run = Duration::from_millis(self.run.load(Ordering::SeqCst));
        for h in m.tasks.values_mut() {
            if h.why.is_none() && h.started.elapsed() >= run {
                h.why = Some("done");
            }
        }
        let tasks = m
            .tasks
            .iter()
            .map(|(s, h)| {
                let phase = if h.why.is_some() { "ended" } else { "running" };
                let mut task = BTreeMap::from([
                    ("Shard".to_owned(), text(s)),
                    ("Try".to_owned(), Value::Int(h.attempt)),
                    ("Phase".to_owned(), text(phase)),
                ]);
                if let Some(why) = h.why {
                    task.insert("ExitReason".to_owned(), text(why));
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
            ("Tenure", Value::Int(1 + m.sessions)),
            (
                "Serial",
                Value::Int(self.serial.fetch_add(1, Ordering::SeqCst)),
            ),
            ("Epoch", Value::Int(m.token)),
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
                    let session = Value::Int(1 + self.expired_leases());
                    if heartbeat.get("Tenure") == Some(&session) && self.take(&body) {
                        let mut m = self.machine.lock().expect("the machine");
                        m.answered = Some(sent);
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
