//! The state service's protocol.

use super::http::{Answer, CallError, Client};
use super::wire::{self, StoredChunk, StoredHistory, StoredVerdict};
use crate::core::ledger::{Batch, Op, Value, Verdict};
use crate::core::model::Uid;
use crate::runtime::budget::{Bucket, Rank};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Not executed: refused, out of budget, or never sent.
    #[error("the state service is not available")]
    Unavailable,
    /// May have been executed, or may yet be.
    #[error("the state service did not answer")]
    Unknown,
    #[error("no such lease")]
    NoLease,
    #[error("the watch's revision is too old")]
    TooOld,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Txn {
    Applied { revision: u64 },
    Failed { keys: Vec<String> },
}

pub struct Entry<T> {
    pub value: T,
    pub stamp: u64,
}

#[derive(Serialize)]
struct Condition<'a> {
    #[serde(rename = "Path")]
    path: &'a str,
    #[serde(rename = "Stamp")]
    stamp: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
pub enum Change<'a> {
    Put {
        #[serde(rename = "Put")]
        key: &'a str,
        #[serde(rename = "V")]
        value: Content,
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: &'a str,
    },
}

/// A value in its stored form.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Content {
    Chunk(StoredChunk),
    Verdict(StoredVerdict),
    History(StoredHistory),
    Job(Box<wire::StoredJob>),
    Leader(wire::StoredLeader),
    Number(u64),
    Types(wire::WireTypes),
}

impl From<&Value> for Content {
    fn from(v: &Value) -> Self {
        match v {
            Value::Chunk(c) => Content::Chunk(c.into()),
            Value::Verdict(v) => Content::Verdict((*v).into()),
            Value::History(s) => Content::History(s.into()),
        }
    }
}

#[derive(Serialize)]
struct TxnRequest<'a> {
    #[serde(rename = "If")]
    conditions: Vec<Condition<'a>>,
    #[serde(rename = "Apply")]
    apply: Vec<Change<'a>>,
}

#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(rename = "LedgerRev")]
    revision: Option<u64>,
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct GetAnswer<T> {
    #[serde(rename = "V")]
    value: T,
    #[serde(rename = "Stamp")]
    stamp: u64,
}

#[derive(Deserialize)]
struct ListAnswer<T> {
    #[serde(rename = "Pairs")]
    pairs: Vec<Pair<T>>,
    #[serde(rename = "HasNext", default)]
    more: bool,
    #[serde(rename = "LedgerRev")]
    revision: u64,
}

#[derive(Deserialize)]
pub struct Pair<T> {
    #[serde(rename = "Path")]
    pub path: String,
    #[serde(rename = "V")]
    pub value: T,
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

#[derive(Deserialize)]
struct Permit {
    #[serde(rename = "Permit")]
    permit: u64,
}

#[derive(Serialize)]
struct Life {
    #[serde(rename = "LifeMs")]
    life_ms: u64,
}

#[derive(Deserialize)]
pub struct Changes<T> {
    #[serde(rename = "LedgerRev")]
    pub revision: u64,
    #[serde(rename = "Log", default = "Vec::new")]
    pub log: Vec<Logged<T>>,
}

#[derive(Deserialize)]
pub struct Logged<T> {
    #[serde(rename = "Put")]
    pub put: Option<String>,
    #[serde(rename = "Delete")]
    pub delete: Option<String>,
    #[serde(rename = "V")]
    pub value: Option<T>,
    #[serde(rename = "Stamp")]
    pub stamp: Option<u64>,
}

const NONE: Option<&()> = None;

#[derive(Clone)]
pub struct Store {
    client: Client,
    budgets: Arc<Budgets>,
}

/// The rates that this node keeps to. Users' requests and the leader's work have their own, so that
/// neither takes what the other needs.
pub struct Budgets {
    users: (Bucket, Bucket),
    leader: (Bucket, Bucket),
}

/// The leader's part of all requests and of all changes. The rest is the users', node by node.
const LEADER_REQUESTS: f64 = 0.4;
const LEADER_CHANGES: f64 = 0.6;
/// Bursts of one second's worth are allowed; a little less allows for the clocks.
const BURST_S: f64 = 0.9;

impl Budgets {
    /// Of the deployment's rates for `nodes` nodes. Only one of them leads, so each holds the
    /// leader's part ready.
    pub fn new(rps: f64, write_rps: f64, nodes: usize, now: Instant) -> Budgets {
        let nodes = nodes.max(1) as f64;
        let bucket = |rate: f64| Bucket::new(rate, BURST_S, now);
        Budgets {
            users: (
                bucket(rps * (1.0 - LEADER_REQUESTS) / nodes),
                bucket(write_rps * (1.0 - LEADER_CHANGES) / nodes),
            ),
            leader: (
                bucket(rps * LEADER_REQUESTS),
                bucket(write_rps * LEADER_CHANGES),
            ),
        }
    }

    /// For a user's question, which leaves this part of the bucket to those that have waited longer.
    pub fn question(&self, floor: f64, now: Instant) -> bool {
        self.users.0.take_above(1.0, floor, now)
    }

    /// Changes that the leader could make now.
    pub fn changes_left(&self, now: Instant) -> usize {
        self.leader.1.left_at(now) as usize
    }

    pub fn leave(&self, rank: Rank, writes: usize, now: Instant) -> bool {
        let (requests, changes) = match rank {
            Rank::User => &self.users,
            Rank::Leader => &self.leader,
        };
        // What is refused for its changes must not use up requests.
        (writes == 0 || changes.take_at(writes as f64, now)) && requests.take_at(1.0, now)
    }
}

fn sent(r: Result<Answer, CallError>) -> Result<Answer, StoreError> {
    match r {
        Ok(a) if a.status == 429 || a.status == 503 => Err(StoreError::Unavailable),
        Ok(a) => Ok(a),
        Err(CallError::NotSent) => Err(StoreError::Unavailable),
        Err(CallError::NoAnswer) => Err(StoreError::Unknown),
    }
}

impl Store {
    pub fn new(client: Client, budgets: Budgets) -> Store {
        Store {
            client,
            budgets: Arc::new(budgets),
        }
    }

    pub fn changes_left(&self) -> usize {
        self.budgets.changes_left(Instant::now())
    }

    fn leave(&self, rank: Rank, writes: usize) -> Result<(), StoreError> {
        if self.budgets.leave(rank, writes, Instant::now()) {
            Ok(())
        } else {
            Err(StoreError::Unavailable)
        }
    }

    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        rank: Rank,
        limit: Duration,
    ) -> Result<Option<Entry<T>>, StoreError> {
        self.leave(rank, 0)?;
        self.read(key, limit)
    }

    fn read<T: DeserializeOwned>(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<Entry<T>>, StoreError> {
        let a = sent(
            self.client
                .call("GET", &format!("/store/{key}"), NONE, limit),
        )?;
        match a.status {
            200 => {
                let g: GetAnswer<T> = a.decode().ok_or(StoreError::Unavailable)?;
                Ok(Some(Entry {
                    value: g.value,
                    stamp: g.stamp,
                }))
            }
            404 => Ok(None),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// All keys under a prefix, and the revision from which a watch misses nothing.
    pub fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
        rank: Rank,
        limit: Duration,
    ) -> Result<(Vec<Pair<T>>, u64), StoreError> {
        let mut all: Vec<Pair<T>> = Vec::new();
        let mut revision = None;
        loop {
            self.leave(rank, 0)?;
            let mut path = format!("/store?Under={prefix}&Most=1000");
            if let Some(last) = all.last() {
                path.push_str(&format!("&From={}", last.path));
            }
            let a = sent(self.client.call("GET", &path, NONE, limit))?;
            if a.status != 200 {
                return Err(StoreError::Unavailable);
            }
            let page: ListAnswer<T> = a.decode().ok_or(StoreError::Unavailable)?;
            let first = *revision.get_or_insert(page.revision);
            let empty = page.pairs.is_empty();
            all.extend(page.pairs);
            if !page.more || empty {
                return Ok((all, first));
            }
        }
    }

    pub fn txn(
        &self,
        conditions: &[(String, u64)],
        changes: Vec<Change<'_>>,
        rank: Rank,
        limit: Duration,
    ) -> Result<Txn, StoreError> {
        self.leave(rank, changes.len())?;
        let request = TxnRequest {
            conditions: conditions
                .iter()
                .map(|(path, stamp)| Condition {
                    path,
                    stamp: *stamp,
                })
                .collect(),
            apply: changes,
        };
        let a = sent(self.client.call("POST", "/txn", Some(&request), limit))?;
        match a.status {
            200 => {
                let t: TxnAnswer = a.decode().ok_or(StoreError::Unknown)?;
                t.revision
                    .map(|revision| Txn::Applied { revision })
                    .ok_or(StoreError::Unknown)
            }
            409 => {
                let t: TxnAnswer = a.decode().ok_or(StoreError::Unavailable)?;
                Ok(Txn::Failed { keys: t.failed })
            }
            400 => {
                log::warn!(
                    "the state service refused a transaction answer={:?}",
                    String::from_utf8_lossy(&a.body)
                );
                Err(StoreError::NoLease)
            }
            _ => Err(StoreError::Unknown),
        }
    }

    pub fn apply(&self, batch: &Batch, limit: Duration) -> Result<Txn, StoreError> {
        let changes = batch
            .ops
            .iter()
            .map(|op| match op {
                Op::Put(key, v) => Change::Put {
                    key,
                    value: v.into(),
                    permit: None,
                },
                Op::Delete(key) => Change::Delete { key },
            })
            .collect();
        self.txn(&batch.conditions, changes, Rank::Leader, limit)
    }

    pub fn lease(&self, life: Duration, limit: Duration) -> Result<u64, StoreError> {
        self.leave(Rank::Leader, 0)?;
        let body = Life {
            life_ms: life.as_millis() as u64,
        };
        let a = sent(self.client.call("POST", "/leases", Some(&body), limit))?;
        match a.status {
            200 | 201 => a
                .decode::<Permit>()
                .map(|p| p.permit)
                .ok_or(StoreError::Unknown),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub fn extend(&self, permit: u64, limit: Duration) -> Result<(), StoreError> {
        self.leave(Rank::Leader, 0)?;
        let path = format!("/leases/{permit}/extend");
        let a = sent(self.client.call("POST", &path, NONE, limit))?;
        match a.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub fn drop_lease(&self, permit: u64, limit: Duration) -> Result<(), StoreError> {
        self.leave(Rank::Leader, 0)?;
        sent(
            self.client
                .call("DELETE", &format!("/leases/{permit}"), NONE, limit),
        )
        .map(|_| ())
    }

    pub fn follow<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
        block: Duration,
    ) -> Result<Changes<T>, StoreError> {
        self.leave(Rank::Leader, 0)?;
        let path = format!(
            "/follow?Under={prefix}&From={from}&BlockMs={}",
            block.as_millis()
        );
        let limit = block + Duration::from_secs(3);
        let a = sent(self.client.call("GET", &path, NONE, limit))?;
        match a.status {
            200 => a.decode().ok_or(StoreError::Unavailable),
            410 => Err(StoreError::TooOld),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub fn verdict(
        &self,
        uid: &Uid,
        floor: f64,
        limit: Duration,
    ) -> Result<Option<(Verdict, u64)>, StoreError> {
        if !self.budgets.question(floor, Instant::now()) {
            return Err(StoreError::Unavailable);
        }
        let key = crate::core::ledger::job_key(uid);
        let e = self.read::<StoredVerdict>(&key, limit)?;
        match e {
            None => Ok(None),
            Some(e) => match e.value.verdict() {
                Some(v) => Ok(Some((v, e.stamp))),
                None => Err(StoreError::Unavailable),
            },
        }
    }
}
