//! Stand-ins for the state service, the cloud and a worker, by their published protocol, on
//! loopback. They serve the end-to-end tests and hold just what those need.

pub mod process;
pub mod test_cluster;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Response, Server};

/// Any MessagePack value, kept as it came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Any {
    Nil(()),
    Bool(bool),
    Int(u64),
    Float(f64),
    Text(String),
    List(Vec<Any>),
    Map(BTreeMap<String, Any>),
}

pub fn map<const N: usize>(items: [(&str, Any); N]) -> Any {
    Any::Map(items.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Any {
    pub fn get(&self, key: &str) -> Option<&Any> {
        match self {
            Any::Map(m) => m.get(key),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Any::Text(t)) => t.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Any::Int(n)) => *n,
            _ => 0,
        }
    }
    pub fn list(&self, key: &str) -> Vec<Any> {
        match self.get(key) {
            Some(Any::List(l)) => l.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn t(s: &str) -> Any {
    Any::Text(s.to_owned())
}

/// A free port for a node that is started later. Below the range from which the system takes ports
/// for connections and for listeners that name none: one of those would have it by then.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 15_000 + (std::process::id() % 100) as u16 * 100;
    for _ in 0..5_000 {
        let port = 15_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

type StandInResponse = (u16, Any);

/// Serves requests, each in a thread of its own, until the process ends.
fn serve(
    handle: impl Fn(&Method, &str, Any) -> StandInResponse + Send + Sync + 'static,
) -> SocketAddr {
    serve_at(Ipv4Addr::LOCALHOST, handle)
}

fn serve_at(
    address: Ipv4Addr,
    handle: impl Fn(&Method, &str, Any) -> StandInResponse + Send + Sync + 'static,
) -> SocketAddr {
    let server = Server::http((address, 0)).expect("a stand-in listens");
    let address = server.server_addr().to_ip().expect("an IP address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut body = Vec::new();
                let _ = request.as_reader().read_to_end(&mut body);
                let body = rmp_serde::from_slice(&body).unwrap_or(Any::Nil(()));
                let (status, answer) = handle(request.method(), request.url(), body);
                let bytes = rmp_serde::to_vec_named(&answer).expect("an answer");
                let response = Response::from_data(bytes).with_status_code(status);
                let _ = request.respond(response);
            });
        }
    });
    address
}

#[derive(Default)]
struct Ledger {
    keys: BTreeMap<String, (Any, u64, Option<u64>)>,
    revision: u64,
    log: Vec<(u64, String, Option<Any>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl Ledger {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (t, life))| now.duration_since(*t) > *life)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !bound.is_empty() {
            self.revision += 1;
        }
        for key in bound {
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }
}

/// What becomes of a transaction that is not answered.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It is carried out at once.
    AnswerLost,
    /// It is carried out only after this time, behind newer ones.
    Late(Duration),
    /// It is carried out and answered; then the state service is out for everybody.
    ThenOut,
}

/// The state service, with a switch for outages.
#[derive(Clone)]
pub struct StateService {
    ledger: Arc<(Mutex<Ledger>, Condvar)>,
    pub out: Arc<AtomicBool>,
    /// So many of the next transactions that change nothing are not answered in time.
    pub lose: Arc<AtomicU64>,
    /// Puts and deletes that a transaction may have; more are answered 400.
    pub most_ops: Arc<AtomicU64>,
    /// While set, the watch of the queue is not answered.
    pub queue_watch_held: Arc<AtomicBool>,
    /// For the next transaction that puts a key with this prefix.
    faults: Arc<Mutex<Vec<(&'static str, Fault)>>>,
    pub address: SocketAddr,
}

impl StateService {
    pub fn start() -> StateService {
        let ledger: Arc<(Mutex<Ledger>, Condvar)> = Arc::default();
        let out = Arc::new(AtomicBool::new(false));
        let lose: Arc<AtomicU64> = Arc::default();
        let faults: Arc<Mutex<Vec<(&'static str, Fault)>>> = Arc::default();
        let (l, o, n) = (ledger.clone(), out.clone(), lose.clone());
        let f = faults.clone();
        let most_ops = Arc::new(AtomicU64::new(u64::MAX));
        let most = most_ops.clone();
        let queue_watch_held = Arc::new(AtomicBool::new(false));
        let held = queue_watch_held.clone();
        let address = serve(move |method, url, body| {
            if o.load(Ordering::SeqCst) {
                return (503, Any::Nil(()));
            }
            if body.list("Apply").len() as u64 > most.load(Ordering::SeqCst) {
                return (400, map([("error", t("too many changes"))]));
            }
            if url.starts_with("/follow") && query(url, "Under").as_deref() == Some("q/") {
                while held.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            let left = |n: u64| n.checked_sub(1);
            let compares = url == "/txn" && body.list("Apply").is_empty();
            if compares
                && n.fetch_update(Ordering::SeqCst, Ordering::SeqCst, left)
                    .is_ok()
            {
                // Longer than anybody waits.
                std::thread::sleep(Duration::from_secs(40));
            }
            match fault_of(&f, url, &body) {
                Some(Fault::AnswerLost) => {
                    answer(&l, method, url, &body);
                    std::thread::sleep(Duration::from_secs(40));
                }
                Some(Fault::Late(after)) => {
                    std::thread::sleep(after);
                    answer(&l, method, url, &body);
                    std::thread::sleep(Duration::from_secs(40));
                }
                Some(Fault::ThenOut) => {
                    let answered = answer(&l, method, url, &body);
                    o.store(true, Ordering::SeqCst);
                    return answered;
                }
                None => {}
            }
            answer(&l, method, url, &body)
        });
        StateService {
            ledger,
            out,
            lose,
            most_ops,
            queue_watch_held,
            faults,
            address,
        }
    }

    /// Puts it back to the state that it had at the start: all keys and leases are lost.
    pub fn put_back(&self) {
        *self.ledger.0.lock().expect("the ledger") = Ledger::default();
    }

    pub fn fault(&self, prefix: &'static str, fault: Fault) {
        self.faults
            .lock()
            .expect("the faults")
            .push((prefix, fault));
    }

    /// Faults that no transaction has met yet.
    pub fn faults_left(&self) -> usize {
        self.faults.lock().expect("the faults").len()
    }

    /// Puts a key, as an earlier process may have left it behind.
    pub fn put(&self, key: &str, value: Any) {
        let mut l = self.ledger.0.lock().expect("the ledger");
        l.revision += 1;
        let revision = l.revision;
        l.keys
            .insert(key.to_owned(), (value.clone(), revision, None));
        l.log.push((revision, key.to_owned(), Some(value)));
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Any> {
        let ledger = self.ledger.0.lock().expect("the ledger");
        ledger.keys.get(key).map(|entry| entry.0.clone())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let l = self.ledger.0.lock().expect("the ledger");
        let keys = l.keys.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }
}

fn fault_of(faults: &Mutex<Vec<(&'static str, Fault)>>, url: &str, body: &Any) -> Option<Fault> {
    if url != "/txn" {
        return None;
    }
    let puts = body.list("Apply");
    let mut all = faults.lock().expect("the faults");
    let met = |p: &str| puts.iter().any(|o| o.text("Put").starts_with(p));
    let at = all.iter().position(|f| met(f.0))?;
    Some(all.remove(at).1)
}

fn query(url: &str, name: &str) -> Option<String> {
    let (_, q) = url.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(&format!("{name}=")))
        .map(str::to_owned)
}

fn answer(
    state: &(Mutex<Ledger>, Condvar),
    method: &Method,
    url: &str,
    body: &Any,
) -> StandInResponse {
    let path = url.split('?').next().unwrap_or(url);
    let mut l = state.0.lock().expect("the ledger");
    l.expire();
    let rev = |l: &Ledger| Any::Int(l.revision);
    match (method, path) {
        (Method::Get, "/store") => {
            let (under, from) = (query(url, "Under"), query(url, "From"));
            let (under, from) = (under.unwrap_or_default(), from.unwrap_or_default());
            let pairs = l
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(&under) && **k > from)
                .map(|(k, v)| map([("Path", t(k)), ("V", v.0.clone()), ("Stamp", Any::Int(v.1))]))
                .collect();
            let more = Any::Bool(false);
            let answer = [
                ("Pairs", Any::List(pairs)),
                ("HasNext", more),
                ("LedgerRev", rev(&l)),
            ];
            (200, map(answer))
        }
        (Method::Get, "/follow") => {
            let under = query(url, "Under").unwrap_or_default();
            let number = |n: &str| query(url, n).and_then(|v| v.parse().ok()).unwrap_or(0u64);
            let from = number("From");
            let until = Instant::now() + Duration::from_millis(number("BlockMs"));
            loop {
                l.expire();
                let log: Vec<Any> = l
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > from && k.starts_with(&under))
                    .map(|(r, k, v)| match v {
                        Some(v) => map([("Put", t(k)), ("V", v.clone()), ("Stamp", Any::Int(*r))]),
                        None => map([("Delete", t(k)), ("Stamp", Any::Int(*r))]),
                    })
                    .collect();
                if !log.is_empty() || Instant::now() >= until {
                    let answer = [("LedgerRev", rev(&l)), ("Log", Any::List(log))];
                    return (200, map(answer));
                }
                let pause = Duration::from_millis(20);
                l = state.1.wait_timeout(l, pause).expect("the ledger").0;
            }
        }
        (Method::Get, p) => match p.strip_prefix("/store/").and_then(|k| l.keys.get(k)) {
            Some(v) => (200, map([("V", v.0.clone()), ("Stamp", Any::Int(v.1))])),
            None => (404, map([("LedgerRev", rev(&l))])),
        },
        (Method::Post, "/leases") => {
            l.revision += 1;
            let id = l.revision;
            let life = Duration::from_millis(body.int("LifeMs"));
            l.leases.insert(id, (Instant::now(), life));
            (200, map([("Permit", Any::Int(id))]))
        }
        (Method::Post, "/txn") => {
            let failed: Vec<Any> = body
                .list("If")
                .iter()
                .filter(|c| {
                    let found = l.keys.get(&c.text("Path")).map_or(0, |v| v.1);
                    found != c.int("Stamp")
                })
                .map(|c| t(&c.text("Path")))
                .collect();
            if !failed.is_empty() {
                let answer = [("failed", Any::List(failed)), ("LedgerRev", rev(&l))];
                return (409, map(answer));
            }
            l.revision += 1;
            let revision = l.revision;
            for op in body.list("Apply") {
                let permit = match op.get("Permit") {
                    Some(Any::Int(n)) => Some(*n),
                    _ => None,
                };
                if permit.is_some_and(|p| !l.leases.contains_key(&p)) {
                    return (400, map([("error", t("no such lease"))]));
                }
                let (put, delete) = (op.text("Put"), op.text("Delete"));
                if delete.is_empty() {
                    let v = op.get("V").cloned().unwrap_or(Any::Nil(()));
                    l.keys.insert(put.clone(), (v.clone(), revision, permit));
                    l.log.push((revision, put, Some(v)));
                } else {
                    l.keys.remove(&delete);
                    l.log.push((revision, delete, None));
                }
            }
            state.1.notify_all();
            (200, map([("LedgerRev", rev(&l))]))
        }
        (Method::Post | Method::Delete, p) => {
            let id = p.split('/').nth(2).and_then(|i| i.parse().ok());
            let id = id.unwrap_or(0u64);
            if method == &Method::Delete {
                l.end_lease(id);
                return (200, Any::Nil(()));
            }
            match l.leases.get_mut(&id) {
                Some(lease) => {
                    lease.0 = Instant::now();
                    (200, Any::Nil(()))
                }
                None => (404, Any::Nil(())),
            }
        }
        _ => (400, Any::Nil(())),
    }
}

/// Machines that the cloud lists as running: name and endpoint.
pub type CloudListing = Arc<Mutex<Vec<(String, String)>>>;

/// A network path to one address that can be cut: what is open then ends, what is new is refused.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a link listens");
        let link = Link {
            address: listener.local_addr().expect("its address"),
            cut: Arc::default(),
            open: Arc::default(),
        };
        let l = link.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if l.cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(to) = TcpStream::connect(target) else {
                    continue;
                };
                for (a, b) in [(&from, &to), (&to, &from)] {
                    let (Ok(mut a), Ok(mut b), Ok(kept)) =
                        (a.try_clone(), b.try_clone(), a.try_clone())
                    else {
                        continue;
                    };
                    l.open.lock().expect("the link").push(kept);
                    std::thread::spawn(move || {
                        let _ = std::io::copy(&mut a, &mut b);
                        let _ = b.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        link
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for s in self.open.lock().expect("the link").drain(..) {
                let _ = s.shutdown(Shutdown::Both);
            }
        }
    }
}

/// The cloud: one machine type, and the machines that the test starts itself and lists.
pub fn start_cloud(listed: CloudListing) -> SocketAddr {
    serve(move |method, url, _| match (method, url) {
        (Method::Get, "/machine_types") => {
            let kind = map([
                ("Name", t("m8")),
                ("Vcpus", Any::Float(8.0)),
                ("Gpus", Any::Float(0.0)),
                ("MemoryGb", Any::Float(32.0)),
                ("CacheGb", Any::Float(50.0)),
                ("FetchGbPerS", Any::Float(1.0)),
                ("Hourly", Any::Float(4.0)),
                ("LowPrice", Any::Float(1.0)),
                ("BootS", Any::Float(30.0)),
                ("Sites", Any::List(vec![t("hall-a")])),
            ]);
            (200, map([("HostTypes", Any::List(vec![kind]))]))
        }
        (Method::Get, _) => {
            let machines = listed.lock().expect("the list");
            let machines = machines.iter().map(|(name, endpoint)| {
                map([
                    ("Uid", t(name)),
                    ("Endpoint", t(endpoint)),
                    ("HostType", t("m8")),
                    ("Site", t("hall-a")),
                    ("Preemptible", Any::Bool(false)),
                    ("Phase", t("running")),
                    ("AgeS", Any::Float(60.0)),
                ])
            });
            let machines = Any::List(machines.collect());
            (
                200,
                map([("Hosts", machines), ("HasNext", Any::Bool(false))]),
            )
        }
        (_, "/hosts/return") => (200, Any::Nil(())),
        _ => (503, map([("error", t("no capacity"))])),
    })
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    attempt: u64,
    started: Instant,
    why: Option<&'static str>,
}

#[derive(Default)]
struct Machine {
    tasks: BTreeMap<String, Held>,
    token: u64,
    starts: Vec<(String, u64)>,
    /// When it carried out an order.
    orders: Vec<Instant>,
    /// Earlier sessions, and when the last answered report was sent.
    sessions: u64,
    answered: Option<Instant>,
}

/// One machine: reports, and runs each task for as long as the test says.
#[derive(Clone)]
pub struct Worker {
    machine: Arc<Mutex<Machine>>,
    serial: Arc<AtomicU64>,
    endpoint: String,
    name: String,
    /// Between two reports.
    pause: Duration,
    /// In milliseconds.
    run: Arc<AtomicU64>,
    /// In milliseconds; 0: it never runs out.
    lease: Arc<AtomicU64>,
}

impl Worker {
    pub fn start(name: &str, run: Duration, nodes: Vec<(String, SocketAddr)>) -> Worker {
        let pause = Duration::from_millis(100);
        Worker::start_at(Ipv4Addr::LOCALHOST, name, run, pause, nodes)
    }

    /// With an address of its own, and so long between two reports.
    pub fn start_at(
        address: Ipv4Addr,
        name: &str,
        run: Duration,
        pause: Duration,
        nodes: Vec<(String, SocketAddr)>,
    ) -> Worker {
        let machine: Arc<Mutex<Machine>> = Arc::default();
        let serial = Arc::new(AtomicU64::new(1));
        let mut worker = Worker {
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
    pub fn runs_for(&self, run: Duration) {
        self.run.store(run.as_millis() as u64, Ordering::SeqCst);
    }

    /// From now on its tasks end when no answered report was sent for this long.
    pub fn leased(&self, lease: Duration) {
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

    /// Sends one report to this node, wherever the others go. The answer's status.
    pub fn heartbeat_to(&self, node: SocketAddr) -> u16 {
        call("POST", node, "/agent/beat", Some(&self.heartbeat())).0
    }

    /// Sessions that ended because the lease ran out.
    pub fn sessions_ended(&self) -> u64 {
        self.machine.lock().expect("the machine").sessions
    }

    fn expire(&self, m: &mut Machine) {
        let lease = Duration::from_millis(self.lease.load(Ordering::SeqCst));
        let spent = |t: Instant| !lease.is_zero() && t.elapsed() > lease;
        if m.answered.is_some_and(spent) {
            m.tasks.clear();
            m.sessions += 1;
            m.answered = Some(Instant::now());
        }
    }

    fn take(&self, body: &Any) -> bool {
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
                    let held = Held {
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

    fn heartbeat(&self) -> Any {
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
                    ("Shard".to_owned(), t(s)),
                    ("Try".to_owned(), Any::Int(h.attempt)),
                    ("Phase".to_owned(), t(phase)),
                ]);
                if let Some(why) = h.why {
                    task.insert("ExitReason".to_owned(), t(why));
                }
                Any::Map(task)
            })
            .collect();
        map([
            ("Host", t(&self.name)),
            ("Endpoint", t(&self.endpoint)),
            ("HostType", t("m8")),
            ("Site", t("hall-a")),
            ("Preemptible", Any::Bool(false)),
            ("Tenure", Any::Int(1 + m.sessions)),
            (
                "Serial",
                Any::Int(self.serial.fetch_add(1, Ordering::SeqCst)),
            ),
            ("Epoch", Any::Int(m.token)),
            ("Shards", Any::List(tasks)),
        ])
    }

    fn heartbeats(&self, nodes: &[(String, SocketAddr)]) {
        let mut at = 0;
        loop {
            let (sent, heartbeat) = (Instant::now(), self.heartbeat());
            let (status, body) = call("POST", nodes[at].1, "/agent/beat", Some(&heartbeat));
            match status {
                200 => {
                    // The answer to a report of an earlier session is dropped.
                    let session = Any::Int(1 + self.sessions_ended());
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

/// One call; status 0: no answer.
pub fn call(method: &str, address: SocketAddr, path: &str, body: Option<&Any>) -> (u16, Any) {
    let request =
        ureq::request(method, &format!("http://{address}{path}")).timeout(Duration::from_secs(4));
    let sent = match body {
        Some(b) => request.send_bytes(&rmp_serde::to_vec_named(b).expect("a body")),
        None if method == "POST" => request.send_bytes(&[]),
        None => request.call(),
    };
    match sent {
        Ok(r) | Err(ureq::Error::Status(_, r)) => {
            let status = r.status();
            let mut bytes = Vec::new();
            let _ = r.into_reader().read_to_end(&mut bytes);
            let body = rmp_serde::from_slice(&bytes).unwrap_or(Any::Nil(()));
            (status, body)
        }
        Err(_) => (0, Any::Nil(())),
    }
}
