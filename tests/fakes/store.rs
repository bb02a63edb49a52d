//! A fake key-value store, with outages and lost or late answers.

use super::http::{query, serve, FakeResponse};
use super::value::{map, text, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::Method;

/// Longer than any caller waits.
const NEVER_ANSWERED: Duration = Duration::from_secs(40);

/// A key's value.
struct Entry {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    renewed_at: Instant,
    duration: Duration,
}

/// A change in the log. Without a value: the key was deleted.
struct Change {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// The keys with their revisions, the log of changes, and the leases.
#[derive(Default)]
struct StoreState {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    log: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
}

impl StoreState {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.duration_since(lease.renewed_at) > lease.duration)
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
            .filter(|(_, v)| v.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !bound.is_empty() {
            self.revision += 1;
        }
        for key in bound {
            self.delete(key);
        }
    }

    fn revision_value(&self) -> Value {
        Value::Int(self.revision)
    }

    fn list(&self, url: &str) -> FakeResponse {
        let (under, from) = (query(url, "Under"), query(url, "From"));
        let (under, from) = (under.unwrap_or_default(), from.unwrap_or_default());
        let pairs = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&under) && **k > from)
            .map(|(k, entry)| {
                map([
                    ("Path", text(k)),
                    ("V", entry.value.clone()),
                    ("Stamp", Value::Int(entry.revision)),
                ])
            })
            .collect();
        let answer = [
            ("Pairs", Value::List(pairs)),
            ("HasNext", Value::Bool(false)),
            ("LedgerRev", self.revision_value()),
        ];
        (200, map(answer))
    }

    fn read(&self, path: &str) -> FakeResponse {
        match path.strip_prefix("/store/").and_then(|k| self.keys.get(k)) {
            Some(entry) => {
                let answer = [
                    ("V", entry.value.clone()),
                    ("Stamp", Value::Int(entry.revision)),
                ];
                (200, map(answer))
            }
            None => (404, map([("LedgerRev", self.revision_value())])),
        }
    }

    fn changes_after(&self, revision: u64, prefix: &str) -> Vec<Value> {
        let changes = self.log.iter();
        let changes = changes.filter(|c| c.revision > revision && c.key.starts_with(prefix));
        let entry = |change: &Change| {
            let stamp = Value::Int(change.revision);
            match &change.value {
                Some(value) => map([
                    ("Put", text(&change.key)),
                    ("V", value.clone()),
                    ("Stamp", stamp),
                ]),
                None => map([("Delete", text(&change.key)), ("Stamp", stamp)]),
            }
        };
        changes.map(entry).collect()
    }

    fn grant_lease(&mut self, body: &Value) -> FakeResponse {
        self.revision += 1;
        let id = self.revision;
        let lease = Lease {
            renewed_at: Instant::now(),
            duration: Duration::from_millis(body.int("LifeMs")),
        };
        self.leases.insert(id, lease);
        (200, map([("Permit", Value::Int(id))]))
    }

    fn renew_lease(&mut self, id: u64) -> FakeResponse {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed_at = Instant::now();
                (200, Value::Nil(()))
            }
            None => (404, Value::Nil(())),
        }
    }

    /// A transaction: applied as a whole if all its conditions hold.
    fn commit(&mut self, body: &Value) -> FakeResponse {
        let failed: Vec<Value> = body
            .list("If")
            .iter()
            .filter(|c| {
                let found = self.keys.get(&c.text("Path")).map_or(0, |e| e.revision);
                found != c.int("Stamp")
            })
            .map(|c| text(&c.text("Path")))
            .collect();
        if !failed.is_empty() {
            let answer = [
                ("failed", Value::List(failed)),
                ("LedgerRev", self.revision_value()),
            ];
            return (409, map(answer));
        }
        self.revision += 1;
        for change in body.list("Apply") {
            let lease = match change.get("Permit") {
                Some(Value::Int(n)) => Some(*n),
                _ => None,
            };
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return (400, map([("error", text("no such lease"))]));
            }
            let (put, delete) = (change.text("Put"), change.text("Delete"));
            if delete.is_empty() {
                let value = change.get("V").cloned().unwrap_or(Value::Nil(()));
                self.put(put, value, lease);
            } else {
                self.delete(delete);
            }
        }
        (200, map([("LedgerRev", self.revision_value())]))
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        let entry = Entry {
            value: value.clone(),
            revision,
            lease,
        };
        self.keys.insert(key.clone(), entry);
        let value = Some(value);
        self.log.push(Change {
            revision,
            key,
            value,
        });
    }

    fn delete(&mut self, key: String) {
        self.keys.remove(&key);
        let revision = self.revision;
        let value = None;
        self.log.push(Change {
            revision,
            key,
            value,
        });
    }
}

/// What becomes of a transaction that is not answered.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It is carried out at once.
    AnswerLost,
    /// It is carried out only after this time, behind newer ones.
    Late(Duration),
    /// It is carried out and answered; then the store is out for everybody.
    UnavailableAfterwards,
}

/// The store, with a switch for outages.
#[derive(Clone)]
pub struct FakeStore {
    ledger: Arc<(Mutex<StoreState>, Condvar)>,
    pub unavailable: Arc<AtomicBool>,
    /// So many of the next transactions that change nothing are not answered in time.
    pub unanswered_reads: Arc<AtomicU64>,
    /// Puts and deletes that a transaction may have; more are answered 400.
    pub max_changes: Arc<AtomicU64>,
    /// While set, the watch of the queue is not answered.
    pub queue_watch_held: Arc<AtomicBool>,
    /// For the next transaction that puts a key with this prefix.
    faults: Arc<Mutex<Vec<(&'static str, Fault)>>>,
    pub address: SocketAddr,
}

impl FakeStore {
    pub fn start() -> FakeStore {
        let mut store = FakeStore {
            ledger: Arc::default(),
            unavailable: Arc::default(),
            unanswered_reads: Arc::default(),
            max_changes: Arc::new(AtomicU64::new(u64::MAX)),
            queue_watch_held: Arc::default(),
            faults: Arc::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let serving = store.clone();
        store.address = serve(move |method, url, body| serving.handle(method, url, &body));
        store
    }

    /// Serves a request, with the faults that the test has set.
    fn handle(&self, method: &Method, url: &str, body: &Value) -> FakeResponse {
        if self.unavailable.load(Ordering::SeqCst) {
            return (503, Value::Nil(()));
        }
        if body.list("Apply").len() as u64 > self.max_changes.load(Ordering::SeqCst) {
            return (400, map([("error", text("too many changes"))]));
        }
        if url.starts_with("/follow") && query(url, "Under").as_deref() == Some("q/") {
            while self.queue_watch_held.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        if self.loses(url, body) {
            std::thread::sleep(NEVER_ANSWERED);
        }
        match take_fault(&self.faults, url, body) {
            Some(Fault::AnswerLost) => {
                answer(&self.ledger, method, url, body);
                std::thread::sleep(NEVER_ANSWERED);
            }
            Some(Fault::Late(after)) => {
                std::thread::sleep(after);
                answer(&self.ledger, method, url, body);
                std::thread::sleep(NEVER_ANSWERED);
            }
            Some(Fault::UnavailableAfterwards) => {
                let answered = answer(&self.ledger, method, url, body);
                self.unavailable.store(true, Ordering::SeqCst);
                return answered;
            }
            None => {}
        }
        answer(&self.ledger, method, url, body)
    }

    /// Whether this is one of the transactions without changes that are not answered in time.
    fn loses(&self, url: &str, body: &Value) -> bool {
        let left = |n: u64| n.checked_sub(1);
        let only_compares = url == "/txn" && body.list("Apply").is_empty();
        only_compares
            && self
                .unanswered_reads
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, left)
                .is_ok()
    }

    /// Puts it back to the state that it had at the start: all keys and leases are lost.
    pub fn reset(&self) {
        *self.ledger.0.lock().expect("the ledger") = StoreState::default();
    }

    pub fn inject_fault(&self, prefix: &'static str, fault: Fault) {
        self.faults
            .lock()
            .expect("the faults")
            .push((prefix, fault));
    }

    /// Faults that no transaction has met yet.
    pub fn pending_faults(&self) -> usize {
        self.faults.lock().expect("the faults").len()
    }

    /// Puts a key, as an earlier process may have left it behind.
    pub fn put(&self, key: &str, value: Value) {
        let mut ledger = self.ledger.0.lock().expect("the ledger");
        ledger.revision += 1;
        ledger.put(key.to_owned(), value, None);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let ledger = self.ledger.0.lock().expect("the ledger");
        ledger.keys.get(key).map(|entry| entry.value.clone())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let l = self.ledger.0.lock().expect("the ledger");
        let keys = l.keys.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }
}

fn take_fault(
    faults: &Mutex<Vec<(&'static str, Fault)>>,
    url: &str,
    body: &Value,
) -> Option<Fault> {
    if url != "/txn" {
        return None;
    }
    let puts = body.list("Apply");
    let mut all = faults.lock().expect("the faults");
    let met = |p: &str| puts.iter().any(|o| o.text("Put").starts_with(p));
    let at = all.iter().position(|f| met(f.0))?;
    Some(all.remove(at).1)
}

/// Serves one request of the store's protocol.
fn answer(
    state: &(Mutex<StoreState>, Condvar),
    method: &Method,
    url: &str,
    body: &Value,
) -> FakeResponse {
    let path = url.split('?').next().unwrap_or(url);
    let mut ledger = state.0.lock().expect("the ledger");
    ledger.expire();
    match (method, path) {
        (Method::Get, "/store") => ledger.list(url),
        (Method::Get, "/follow") => follow(ledger, &state.1, url),
        (Method::Get, path) => ledger.read(path),
        (Method::Post, "/leases") => ledger.grant_lease(body),
        (Method::Post, "/txn") => {
            let outcome = ledger.commit(body);
            if outcome.0 == 200 {
                state.1.notify_all();
            }
            outcome
        }
        (Method::Post | Method::Delete, path) => {
            let id = path.split('/').nth(2).and_then(|i| i.parse().ok());
            let id = id.unwrap_or(0u64);
            if method == &Method::Delete {
                ledger.end_lease(id);
                return (200, Value::Nil(()));
            }
            ledger.renew_lease(id)
        }
        _ => (400, Value::Nil(())),
    }
}

/// A watch: waits for changes under a prefix after a revision, or until its time is over.
fn follow(mut ledger: MutexGuard<StoreState>, changed: &Condvar, url: &str) -> FakeResponse {
    let under = query(url, "Under").unwrap_or_default();
    let number = |n: &str| query(url, n).and_then(|v| v.parse().ok()).unwrap_or(0u64);
    let from = number("From");
    let until = Instant::now() + Duration::from_millis(number("BlockMs"));
    loop {
        ledger.expire();
        let log = ledger.changes_after(from, &under);
        if !log.is_empty() || Instant::now() >= until {
            let answer = [
                ("LedgerRev", ledger.revision_value()),
                ("Log", Value::List(log)),
            ];
            return (200, map(answer));
        }
        let pause = Duration::from_millis(20);
        ledger = changed.wait_timeout(ledger, pause).expect("the ledger").0;
    }
}
