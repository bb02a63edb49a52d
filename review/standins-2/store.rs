//! The state service: strong consistency, leases, watches, limits of size. Rates are not limited.

use crate::codec::{map, s, serve, Answer, Request, V};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The service keeps this many changes for watches.
const KEPT_CHANGES: usize = 10_000;
const LATENCY: Duration = Duration::from_millis(2);
const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_PAGE_ITEMS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;

struct Entry {
    value: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Change {
    stamp: u64,
    key: String,
    value: Option<V>,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, Entry>,
    rev: u64,
    log: Vec<Change>,
    first_kept: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Limits {
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    limits: Limits,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(limits: Limits) -> Store {
        let mut store = Store {
            state: Arc::default(),
            limits,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let serving = store.clone();
        store.address = serve(move |r| serving.handle(r));
        let ticking = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            ticking.expire();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("state")
    }

    pub fn value(&self, key: &str) -> Option<V> {
        self.lock().keys.get(key).map(|e| e.value.clone())
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, l)| now.duration_since(l.0) > l.1);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.state.1.notify_all();
        }
    }

    fn handle(&self, r: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        if r.path == "/follow" {
            return Some(self.follow(r));
        }
        let mut state = self.lock();
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/store") => state.page(r),
            ("GET", path) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match state.keys.get(key) {
                    None => (404, map([("LedgerRev", V::U(state.rev))])),
                    Some(e) => {
                        let permit = e.permit.map_or(V::Nil, V::U);
                        let fields = [
                            ("Path", s(key)),
                            ("V", e.value.clone()),
                            ("Stamp", V::U(e.stamp)),
                            ("Permit", permit),
                        ];
                        (200, map(fields))
                    }
                }
            }
            ("POST", "/txn") => state.txn(&r.body, &self.limits),
            ("POST", "/leases") => {
                state.next_lease += 1;
                let id = state.next_lease;
                let life = Duration::from_millis(r.body.int("LifeMs").unwrap_or(0));
                if !(100..=600_000).contains(&life.as_millis()) {
                    return Some((400, map([("error", s("LifeMs"))])));
                }
                state.leases.insert(id, (Instant::now(), life));
                (200, map([("Permit", V::U(id))]))
            }
            ("POST", path) => match state.leases.get_mut(&lease_id(path)) {
                Some(lease) => {
                    lease.0 = Instant::now();
                    (200, map([]))
                }
                None => (404, map([])),
            },
            ("DELETE", path) => {
                state.end_lease(lease_id(path));
                (200, map([]))
            }
            _ => (400, map([])),
        };
        drop(state);
        self.state.1.notify_all();
        Some(answer)
    }

    fn follow(&self, r: &Request) -> (u16, V) {
        let prefix = r.param("Under").unwrap_or("").to_owned();
        let from: u64 = r.param("From").and_then(|p| p.parse().ok()).unwrap_or(0);
        let block = r.param("BlockMs").and_then(|p| p.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(block);
        let mut state = self.lock();
        loop {
            if from < state.first_kept {
                return (410, map([]));
            }
            let found = state.log.iter().filter(|c| c.stamp > from);
            let found = found.filter(|c| c.key.starts_with(&prefix));
            let change = |c: &Change| match &c.value {
                Some(v) => map([
                    ("Put", s(&c.key)),
                    ("V", v.clone()),
                    ("Stamp", V::U(c.stamp)),
                ]),
                None => map([("Delete", s(&c.key)), ("Stamp", V::U(c.stamp))]),
            };
            let log: Vec<V> = found.map(change).collect();
            if !log.is_empty() || Instant::now() >= end {
                return (
                    200,
                    map([("LedgerRev", V::U(state.rev)), ("Log", V::L(log))]),
                );
            }
            let wait = Duration::from_millis(50);
            state = self.state.1.wait_timeout(state, wait).expect("state").0;
        }
    }
}

fn lease_id(path: &str) -> u64 {
    path.split('/')
        .nth(2)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0)
}

impl State {
    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached = self.keys.iter().filter(|(_, e)| e.permit == Some(id));
        let attached: Vec<String> = attached.map(|(k, _)| k.clone()).collect();
        if !attached.is_empty() {
            self.rev += 1;
        }
        for key in attached {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, value: Option<V>) {
        self.log.push(Change {
            stamp: self.rev,
            key: key.to_owned(),
            value,
        });
        if self.log.len() > KEPT_CHANGES {
            self.first_kept = self.log.remove(0).stamp;
        }
    }

    fn page(&self, r: &Request) -> (u16, V) {
        let prefix = r.param("Under").unwrap_or("");
        let from = r.param("From").unwrap_or("");
        let most = r
            .param("Most")
            .and_then(|p| p.parse().ok())
            .unwrap_or(MAX_PAGE_ITEMS);
        let (mut pairs, mut bytes, mut more) = (Vec::new(), 0, false);
        let found = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        for (key, e) in found {
            let pair = map([
                ("Path", s(key)),
                ("V", e.value.clone()),
                ("Stamp", V::U(e.stamp)),
            ]);
            bytes += pair.json_bytes();
            if pairs.len() >= most.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            pairs.push(pair);
        }
        let fields = [
            ("Pairs", V::L(pairs)),
            ("HasNext", V::Bool(more)),
            ("LedgerRev", V::U(self.rev)),
        ];
        (200, map(fields))
    }

    fn txn(&mut self, body: &V, limits: &Limits) -> (u16, V) {
        let (conditions, changes) = (body.list("If"), body.list("Apply"));
        let too_large = |c: &V| c.get("V").json_bytes() as f64 > limits.value_kb * 1024.0;
        if changes.len() > limits.txn_ops
            || conditions.len() > 4 * limits.txn_ops
            || body.json_bytes() > MAX_TXN_BYTES
            || changes.iter().any(too_large)
        {
            return (400, map([("error", s("limit"))]));
        }
        let gone = |c: &V| {
            c.int("Permit")
                .is_some_and(|id| !self.leases.contains_key(&id))
        };
        if changes.iter().any(gone) {
            return (400, map([("error", s("no such lease"))]));
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |e| e.stamp);
        let failed = conditions
            .iter()
            .map(|c| (c.text("Path"), c.int("Stamp").unwrap_or(0)));
        let failed = failed.filter(|(key, expected)| stamp(key) != *expected);
        let failed: Vec<V> = failed.map(|(key, _)| V::S(key)).collect();
        if !failed.is_empty() {
            return (
                409,
                map([("failed", V::L(failed)), ("LedgerRev", V::U(self.rev))]),
            );
        }
        if !changes.is_empty() {
            self.rev += 1;
        }
        for change in changes {
            let (put, delete) = (change.text("Put"), change.text("Delete"));
            if put.is_empty() {
                self.delete(&delete);
                continue;
            }
            let entry = Entry {
                value: change.get("V").clone(),
                stamp: self.rev,
                permit: change.int("Permit"),
            };
            self.record(&put, Some(entry.value.clone()));
            self.keys.insert(put, entry);
        }
        (200, map([("LedgerRev", V::U(self.rev))]))
    }
}
