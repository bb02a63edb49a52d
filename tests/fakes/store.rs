//! A fake key-value store that injects outages, lost responses and delayed transactions.

use super::http::{query_parameter, serve, FakeResponse};
use super::value::{map, text, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::Method;

/// Delay of a response that has to count as lost. It is longer than the timeout of any caller.
const NO_RESPONSE_DELAY: Duration = Duration::from_secs(40);

struct Entry {
    value: Value,
    /// The revision at which the key was put last.
    revision: u64,
    /// The lease that the key is attached to. The key is deleted when this lease ends. `None`: the key is not
    /// attached to a lease and is kept.
    lease: Option<u64>,
}

struct Lease {
    renewed_at: Instant,
    duration: Duration,
}

/// A change in the log.
struct Change {
    revision: u64,
    key: String,
    /// `None`: the key was deleted.
    value: Option<Value>,
}

/// The keys with their revisions, the log of changes, and the leases.
#[derive(Default)]
struct StoreState {
    keys: BTreeMap<String, Entry>,
    /// The revision of the most recent change.
    revision: u64,
    log: Vec<Change>,
    /// The leases by id.
    leases: BTreeMap<u64, Lease>,
}

impl StoreState {
    /// Ends the leases that were not renewed in time.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.duration_since(lease.renewed_at) > lease.duration)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Removes a lease and deletes the keys that are attached to it.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.delete(key);
        }
    }

    fn revision_value(&self) -> Value {
        Value::Int(self.revision)
    }

    /// Lists the keys under a prefix, all on one page.
    fn list(&self, url: &str) -> FakeResponse {
        let (prefix, after) = (query_parameter(url, "Under"), query_parameter(url, "From"));
        let (prefix, after) = (prefix.unwrap_or_default(), after.unwrap_or_default());
        let pairs = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
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

    /// The logged changes of keys under a prefix that are later than a revision, as a watch returns them.
    fn changes_after(&self, revision: u64, prefix: &str) -> Vec<Value> {
        let changes = self.log.iter();
        let changes = changes.filter(|c| c.revision > revision && c.key.starts_with(prefix));
        let encode = |change: &Change| {
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
        changes.map(encode).collect()
    }

    /// Grants a lease, whose id is the new revision.
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

    /// Renews a lease. Status 404: the lease has expired or was never granted.
    fn renew_lease(&mut self, id: u64) -> FakeResponse {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed_at = Instant::now();
                (200, Value::Nil(()))
            }
            None => (404, Value::Nil(())),
        }
    }

    /// Applies a transaction if each key of its conditions has the expected revision, where 0 means absent.
    /// Otherwise changes nothing, and answers with the keys whose conditions failed.
    fn commit(&mut self, body: &Value) -> FakeResponse {
        let failed: Vec<Value> = body
            .list("If")
            .iter()
            .filter(|c| {
                let revision = self.keys.get(&c.text("Path")).map_or(0, |e| e.revision);
                revision != c.int("Stamp")
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

/// What happens to a transaction that meets a fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The transaction is applied, and its response is lost.
    ResponseLost,
    /// The transaction is applied only after this delay, behind newer transactions, and its response is
    /// lost.
    Late(Duration),
    /// The transaction is not applied, and answered with status 503.
    Refused,
    /// The transaction is applied and answered, and then the store becomes unavailable to all nodes.
    UnavailableAfterwards,
}

/// The store, with the faults that a test injects.
#[derive(Clone)]
pub struct FakeStore {
    /// The state, and a condition variable for its changes.
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// While set, every request is answered with status 503.
    pub unavailable: Arc<AtomicBool>,
    /// How many of the next transactions without changes get no response in time. Such transactions only
    /// compare revisions, and nodes read with them.
    pub unanswered_reads: Arc<AtomicU64>,
    /// The maximum number of changes in a transaction. A transaction with more is answered with status 400.
    pub max_changes: Arc<AtomicU64>,
    /// While set, watches of the queue (`q/`) are not answered.
    pub queue_watch_held: Arc<AtomicBool>,
    /// Faults that no transaction has met yet, each with a key prefix. A fault is for the next transaction
    /// that puts a key with this prefix.
    faults: Arc<Mutex<Vec<(&'static str, Fault)>>>,
    /// The address on which the store listens.
    pub address: SocketAddr,
}

impl FakeStore {
    /// Starts an empty store without faults.
    pub fn start() -> FakeStore {
        let mut store = FakeStore {
            state: Arc::default(),
            unavailable: Arc::default(),
            unanswered_reads: Arc::default(),
            max_changes: Arc::new(AtomicU64::new(u64::MAX)),
            queue_watch_held: Arc::default(),
            faults: Arc::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let handler = store.clone();
        store.address = serve(move |method, url, body| handler.handle(method, url, &body));
        store
    }

    /// Serves a request, subject to the injected faults.
    fn handle(&self, method: &Method, url: &str, body: &Value) -> FakeResponse {
        if self.unavailable.load(Ordering::SeqCst) {
            return (503, Value::Nil(()));
        }
        if body.list("Apply").len() as u64 > self.max_changes.load(Ordering::SeqCst) {
            return (400, map([("error", text("too many changes"))]));
        }
        if url.starts_with("/follow") && query_parameter(url, "Under").as_deref() == Some("q/") {
            while self.queue_watch_held.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        if self.takes_unanswered_read(url, body) {
            std::thread::sleep(NO_RESPONSE_DELAY);
        }
        match take_fault(&self.faults, url, body) {
            Some(Fault::ResponseLost) => {
                serve_request(&self.state, method, url, body);
                std::thread::sleep(NO_RESPONSE_DELAY);
            }
            Some(Fault::Late(after)) => {
                std::thread::sleep(after);
                serve_request(&self.state, method, url, body);
                std::thread::sleep(NO_RESPONSE_DELAY);
            }
            Some(Fault::Refused) => return (503, Value::Nil(())),
            Some(Fault::UnavailableAfterwards) => {
                let answered = serve_request(&self.state, method, url, body);
                self.unavailable.store(true, Ordering::SeqCst);
                return answered;
            }
            None => {}
        }
        serve_request(&self.state, method, url, body)
    }

    /// Whether this request is a transaction without changes that is to get no response. If so, decrements
    /// the number of transactions that are still to get none.
    fn takes_unanswered_read(&self, url: &str, body: &Value) -> bool {
        let decrement = |n: u64| n.checked_sub(1);
        let is_read = url == "/txn" && body.list("Apply").is_empty();
        is_read
            && self
                .unanswered_reads
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
                .is_ok()
    }

    /// Restores the empty state of the start: all keys and leases are lost, and revisions begin at 0 again.
    pub fn reset(&self) {
        *self.state.0.lock().expect("the lock of the store's state") = StoreState::default();
    }

    /// Adds a fault for the next transaction that puts a key with this prefix.
    pub fn inject_fault(&self, prefix: &'static str, fault: Fault) {
        self.faults
            .lock()
            .expect("the lock of the faults")
            .push((prefix, fault));
    }

    /// The number of faults that no transaction has met yet.
    pub fn pending_faults(&self) -> usize {
        self.faults.lock().expect("the lock of the faults").len()
    }

    /// Puts a key directly, for example a record that an earlier leader would have written.
    pub fn put(&self, key: &str, value: Value) {
        let mut state = self.state.0.lock().expect("the lock of the store's state");
        state.revision += 1;
        state.put(key.to_owned(), value, None);
    }

    /// The value of a key. `None`: the key is absent.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.state.0.lock().expect("the lock of the store's state");
        state.keys.get(key).map(|entry| entry.value.clone())
    }

    /// The keys under a prefix, in alphabetical order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("the lock of the store's state");
        let keys = state.keys.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }
}

/// Removes and returns the first fault that this request meets.
fn take_fault(
    faults: &Mutex<Vec<(&'static str, Fault)>>,
    url: &str,
    body: &Value,
) -> Option<Fault> {
    if url != "/txn" {
        return None;
    }
    let changes = body.list("Apply");
    let mut faults = faults.lock().expect("the lock of the faults");
    let is_put = |prefix: &str| changes.iter().any(|c| c.text("Put").starts_with(prefix));
    let index = faults.iter().position(|fault| is_put(fault.0))?;
    Some(faults.remove(index).1)
}

/// Serves a request of the store's protocol without faults.
fn serve_request(
    shared: &(Mutex<StoreState>, Condvar),
    method: &Method,
    url: &str,
    body: &Value,
) -> FakeResponse {
    let path = url.split('?').next().unwrap_or(url);
    let mut state = shared.0.lock().expect("the lock of the store's state");
    state.expire_leases();
    match (method, path) {
        (Method::Get, "/store") => state.list(url),
        (Method::Get, "/follow") => watch(state, &shared.1, url),
        (Method::Get, path) => state.read(path),
        (Method::Post, "/leases") => state.grant_lease(body),
        (Method::Post, "/txn") => {
            let response = state.commit(body);
            if response.0 == 200 {
                shared.1.notify_all();
            }
            response
        }
        (Method::Post | Method::Delete, path) => {
            let id = path.split('/').nth(2).and_then(|i| i.parse().ok());
            let id = id.unwrap_or(0u64);
            if method == &Method::Delete {
                state.end_lease(id);
                return (200, Value::Nil(()));
            }
            state.renew_lease(id)
        }
        _ => (400, Value::Nil(())),
    }
}

/// Waits for changes of keys under a prefix that are later than a revision, and returns them. Returns no
/// changes if none occur within the time that the request gives.
fn watch(mut state: MutexGuard<StoreState>, changed: &Condvar, url: &str) -> FakeResponse {
    let prefix = query_parameter(url, "Under").unwrap_or_default();
    let number = |name: &str| {
        query_parameter(url, name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(0u64)
    };
    let after = number("From");
    let deadline = Instant::now() + Duration::from_millis(number("BlockMs"));
    loop {
        state.expire_leases();
        let log = state.changes_after(after, &prefix);
        if !log.is_empty() || Instant::now() >= deadline {
            let answer = [
                ("LedgerRev", state.revision_value()),
                ("Log", Value::List(log)),
            ];
            return (200, map(answer));
        }
        let check_interval = Duration::from_millis(20);
        state = changed
            .wait_timeout(state, check_interval)
            .expect("the lock of the store's state")
            .0;
    }
}
