//! The state service's protocol.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::Stop;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{Page, Records};
use crate::core::persistence::ledger::{
    job_key, live_key, Batch, JobOutcome, Op, Value, OUTCOME_PREFIX,
};
use crate::net::http_client::{CallError, Client, HttpResponse};
use crate::net::wire::{self, StoredChunk, StoredHistory, StoredOutcome};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

mod budget;

pub use budget::StoreBudget;

/// Why a call of the state service has no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Not executed: refused, or never sent.
    #[error("the state service is not available")]
    Unavailable,
    /// Not executed: the rate is used up for the moment. It says nothing of the service's health.
    #[error("the state service's rate is used up")]
    Spent,
    /// May have been executed, or may yet be.
    #[error("the state service did not answer")]
    Unknown,
    /// Not executed, and never will be as it is: malformed or over a limit.
    #[error("the state service takes no such request")]
    Refused,
    /// What it answered is of another form than was asked for.
    #[error("a record of the state service cannot be read")]
    Unreadable,
    /// The lease has ended, or never was.
    #[error("no such lease")]
    NoLease,
    /// Changes before this revision are no longer kept: list again.
    #[error("the watch's revision is too old")]
    TooOld,
}

/// What became of a transaction that was answered.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// It was carried out.
    Applied {
        /// The stamp of the keys that it wrote.
        revision: u64,
    },
    /// Conditions did not hold.
    Failed {
        /// Keys with other stamps; perhaps not all of them.
        keys: Vec<String>,
    },
}

/// A key as it was read.
pub struct Entry<T> {
    /// Its value.
    pub value: T,
    /// Its stamp.
    pub revision: u64,
}

#[derive(Serialize)]
struct Condition<'a> {
    #[serde(rename = "Path")]
    path: &'a str,
    #[serde(rename = "Stamp")]
    revision: u64,
}

/// A change of one key, in the wire's form.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Change<'a> {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: &'a str,
        /// The value.
        #[serde(rename = "V")]
        value: Content,
        /// The lease with which the key ends.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "Delete")]
        key: &'a str,
    },
}

/// A value in its stored form.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Content {
    /// Tasks of a job.
    Chunk(StoredChunk),
    /// How a job ended.
    JobOutcome(StoredOutcome),
    /// What was measured.
    History(StoredHistory),
    /// A live job.
    Job(Box<wire::StoredJob>),
    /// Who leads.
    Leader(wire::StoredLeader),
    /// The dependents of a job, for earlier versions.
    Dependents(wire::StoredDependents),
    /// A counter or a mark.
    Number(u64),
    /// Machine types.
    Types(wire::WireMachineTypes),
}

impl From<&Value> for Content {
    fn from(v: &Value) -> Self {
        match v {
            Value::Chunk(c) => Content::Chunk(c.into()),
            Value::JobOutcome(v) => Content::JobOutcome((*v).into()),
            Value::History(s) => Content::History(s.into()),
        }
    }
}

#[derive(Serialize)]
struct TxnRequest<'a> {
    #[serde(rename = "If")]
    conditions: Vec<Condition<'a>>,
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
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
    revision: u64,
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

/// A key of a list.
#[derive(Deserialize)]
pub struct Pair<T> {
    /// The key.
    #[serde(rename = "Path")]
    pub path: String,
    /// Its value.
    #[serde(rename = "V")]
    pub value: T,
    /// Its stamp.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

#[derive(Deserialize)]
struct ServiceError {
    error: String,
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

/// Changes that a watch brought.
#[derive(Deserialize)]
pub struct Changes<T> {
    /// Where to go on.
    #[serde(rename = "LedgerRev")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "Log", default = "Vec::new")]
    pub log: Vec<Logged<T>>,
}

/// One change.
#[derive(Deserialize)]
pub struct Logged<T> {
    /// The key that was written.
    #[serde(rename = "Put")]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "Delete")]
    pub delete: Option<String>,
    /// Its value.
    #[serde(rename = "V")]
    pub value: Option<T>,
    /// Its stamp.
    #[serde(rename = "Stamp")]
    pub revision: Option<u64>,
}

const NONE: Option<&()> = None;
/// The error of a transaction that names a lease which has ended.
const NO_SUCH_LEASE: &str = "no such lease";

/// A client of the state service, within the rates that are this node's part.
#[derive(Clone)]
pub struct Store {
    client: Client,
    budget: Arc<StoreBudget>,
}

/// A question that finds the rate used up waits this long before it looks again.
const QUESTION_PAUSE: Duration = Duration::from_millis(15);
/// Before a page that could not be read is asked for again.
const LIST_PAUSE: Duration = Duration::from_millis(200);
/// Keys read together, the most that the service gives.
const PAGE: usize = 1000;

/// Why the service answered a transaction with 400.
fn refused_txn(answer: &HttpResponse) -> StoreError {
    let error = answer.decode::<ServiceError>().map(|e| e.error);
    if error.as_deref() == Some(NO_SUCH_LEASE) {
        return StoreError::NoLease;
    }
    log::warn!("the state service refused a transaction answer={error:?}");
    StoreError::Refused
}

impl Store {
    fn sent(&self, r: Result<HttpResponse, CallError>) -> Result<HttpResponse, StoreError> {
        match r {
            Ok(a) if a.status == 429 => {
                self.budget.record_refusal(Instant::now());
                Err(StoreError::Spent)
            }
            Ok(a) if a.status == 503 => Err(StoreError::Unavailable),
            Ok(a) => Ok(a),
            Err(CallError::NotSent) => Err(StoreError::Unavailable),
            Err(CallError::NoAnswer) => Err(StoreError::Unknown),
        }
    }

    /// A store that is called through this client.
    pub fn new(client: Client, budget: StoreBudget) -> Store {
        Store {
            client,
            budget: Arc::new(budget),
        }
    }

    /// Changes that the leader could make now.
    pub fn leader_changes_left(&self) -> usize {
        self.budget.leader_changes_left(Instant::now())
    }

    fn leave(&self, rank: RequestClass, writes: usize) -> Result<(), StoreError> {
        if self.budget.try_take(rank, writes, Instant::now()) {
            Ok(())
        } else {
            Err(StoreError::Spent)
        }
    }

    /// The rates that are this node's part.
    pub fn budget(&self) -> &StoreBudget {
        &self.budget
    }

    /// Reads a key. None: it is absent.
    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
        rank: RequestClass,
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
        let a = self.sent(
            self.client
                .call("GET", &format!("/store/{key}"), NONE, limit),
        )?;
        match a.status {
            200 => {
                let g: GetAnswer<T> = a.decode().ok_or(StoreError::Unavailable)?;
                Ok(Some(Entry {
                    value: g.value,
                    revision: g.revision,
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
        rank: RequestClass,
        limit: Duration,
    ) -> Result<(Vec<Pair<T>>, u64), StoreError> {
        self.list_patiently(prefix, rank, limit, limit, &Stop::new())
    }

    /// The same, page by page: one that fails is asked for again until the patience is over, so that
    /// what has been read already is not read again and again by a node that is busy or short of the
    /// rate. A watch from the first page's revision makes up for what changes meanwhile.
    pub fn list_patiently<T: DeserializeOwned>(
        &self,
        prefix: &str,
        rank: RequestClass,
        limit: Duration,
        patience: Duration,
        stop: &Stop,
    ) -> Result<(Vec<Pair<T>>, u64), StoreError> {
        let until = Instant::now() + patience;
        let mut all: Vec<Pair<T>> = Vec::new();
        let mut revision = None;
        loop {
            let from = all.last().map(|l| l.path.as_str());
            match self.page::<T>(prefix, from, rank, limit) {
                Ok(page) => {
                    let first = *revision.get_or_insert(page.revision);
                    let empty = page.pairs.is_empty();
                    all.extend(page.pairs);
                    if !page.more || empty {
                        return Ok((all, first));
                    }
                }
                Err(StoreError::Unreadable) => return Err(StoreError::Unreadable),
                Err(e) => {
                    if Instant::now() + LIST_PAUSE >= until || stop.wait(LIST_PAUSE) {
                        return Err(e);
                    }
                }
            }
        }
    }

    fn page<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: Option<&str>,
        rank: RequestClass,
        limit: Duration,
    ) -> Result<ListAnswer<T>, StoreError> {
        self.leave(rank, 0)?;
        let mut path = format!("/store?Under={prefix}&Most={PAGE}");
        if let Some(last) = from {
            path.push_str(&format!("&From={last}"));
        }
        let a = self.sent(self.client.call("GET", &path, NONE, limit))?;
        if a.status != 200 {
            return Err(StoreError::Unavailable);
        }
        a.decode().ok_or(StoreError::Unreadable)
    }

    /// A transaction: the changes are made if all keys have these stamps (0: absent).
    pub fn txn(
        &self,
        conditions: &[(String, u64)],
        changes: Vec<Change<'_>>,
        rank: RequestClass,
        limit: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        self.leave(rank, changes.len())?;
        self.exchange(conditions, changes, limit)
    }

    /// A user's transaction that leaves this part of the rate to others.
    pub fn txn_above(
        &self,
        floor: f64,
        conditions: &[(String, u64)],
        changes: Vec<Change<'_>>,
        limit: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let (now, n) = (Instant::now(), changes.len());
        if !self
            .budget
            .try_take_above(RequestClass::User, n, floor, now)
        {
            return Err(StoreError::Spent);
        }
        self.exchange(conditions, changes, limit)
    }

    fn exchange(
        &self,
        conditions: &[(String, u64)],
        changes: Vec<Change<'_>>,
        limit: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let request = TxnRequest {
            conditions: conditions
                .iter()
                .map(|(path, revision)| Condition {
                    path,
                    revision: *revision,
                })
                .collect(),
            apply: changes,
        };
        let a = self.sent(self.client.call("POST", "/txn", Some(&request), limit))?;
        match a.status {
            200 => {
                let t: TxnAnswer = a.decode().ok_or(StoreError::Unknown)?;
                t.revision
                    .map(|revision| TransactionOutcome::Applied { revision })
                    .ok_or(StoreError::Unknown)
            }
            409 => {
                let t: TxnAnswer = a.decode().ok_or(StoreError::Unavailable)?;
                Ok(TransactionOutcome::Failed { keys: t.failed })
            }
            400 => Err(refused_txn(&a)),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Carries out a transaction of the leader.
    pub fn apply(&self, batch: &Batch, limit: Duration) -> Result<TransactionOutcome, StoreError> {
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
        self.txn(&batch.conditions, changes, RequestClass::Leader, limit)
    }

    /// A new lease.
    pub fn lease(&self, life: Duration, limit: Duration) -> Result<u64, StoreError> {
        self.leave(RequestClass::Leader, 0)?;
        let body = Life {
            life_ms: life.as_millis() as u64,
        };
        let a = self.sent(self.client.call("POST", "/leases", Some(&body), limit))?;
        match a.status {
            200 | 201 => a
                .decode::<Permit>()
                .map(|p| p.permit)
                .ok_or(StoreError::Unknown),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Renews a lease.
    pub fn extend(&self, permit: u64, limit: Duration) -> Result<(), StoreError> {
        self.leave(RequestClass::Leader, 0)?;
        let path = format!("/leases/{permit}/extend");
        let a = self.sent(self.client.call("POST", &path, NONE, limit))?;
        match a.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Ends a lease, and the keys on it.
    pub fn drop_lease(&self, permit: u64, limit: Duration) -> Result<(), StoreError> {
        self.leave(RequestClass::Leader, 0)?;
        self.sent(
            self.client
                .call("DELETE", &format!("/leases/{permit}"), NONE, limit),
        )
        .map(|_| ())
    }

    /// Waits for changes after this revision, for so long at most.
    pub fn follow<T: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
        block: Duration,
    ) -> Result<Changes<T>, StoreError> {
        self.leave(RequestClass::Leader, 0)?;
        let path = format!(
            "/follow?Under={prefix}&From={from}&BlockMs={}",
            block.as_millis()
        );
        let limit = block + Duration::from_secs(3);
        let a = self.sent(self.client.call("GET", &path, NONE, limit))?;
        match a.status {
            200 => a.decode().ok_or(StoreError::Unavailable),
            410 => Err(StoreError::TooOld),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// A job's verdict by itself, with its key's stamp. `accepted`: the job is known to have been
    /// accepted; else that is asked first, since the verdict's key outlives the job's.
    pub fn outcome(
        &self,
        job_id: &JobId,
        accepted: bool,
        limit: Duration,
    ) -> Result<Option<(JobOutcome, u64)>, StoreError> {
        let known = accepted || {
            self.leave(RequestClass::User, 0)?;
            self.read::<IgnoredAny>(&live_key(job_id), limit)?.is_some()
        };
        self.leave(RequestClass::User, 0)?;
        let said = self.read::<StoredOutcome>(&job_key(job_id), limit)?;
        match said {
            None => Ok(known.then_some((JobOutcome::Live, 0))),
            Some(e) => match e.value.outcome() {
                Some(v) => Ok(Some((v, e.revision))),
                None => Err(StoreError::Unavailable),
            },
        }
    }
}

/// What questions need of the state service, each call within the questions' part of the rate.
pub struct Asked<'a> {
    store: &'a Store,
    stop: &'a Stop,
    rank: RequestClass,
    until: Instant,
    /// For a submission or a cancellation, to which questions leave a part of the rate.
    change: bool,
    /// The first call's part of the rate has been taken already.
    paid: Cell<bool>,
}

impl<'a> Asked<'a> {
    /// Reads within the part of the rate that is for this rank, until this time.
    pub fn new(store: &'a Store, stop: &'a Stop, rank: RequestClass, until: Instant) -> Asked<'a> {
        Asked {
            store,
            stop,
            rank,
            until,
            change: false,
            paid: Cell::new(false),
        }
    }

    /// What a submission or a cancellation has to ask.
    pub fn for_change(store: &'a Store, stop: &'a Stop, until: Instant) -> Asked<'a> {
        Asked {
            change: true,
            ..Asked::new(store, stop, RequestClass::User, until)
        }
    }

    /// Reads a key. None: it is absent.
    pub fn value<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Entry<T>>, StoreError> {
        self.charge()?;
        self.store.read(key, self.limit())
    }

    /// Waits a little for the rate, ahead of the first call: what comes meanwhile can go with it.
    pub fn admit(&self) -> bool {
        while !self.paid.get() {
            let now = Instant::now();
            let left = match self.rank {
                RequestClass::User if self.change => {
                    self.store.budget.try_take(RequestClass::User, 0, now)
                }
                RequestClass::User => self.store.budget.try_take_status_query(now),
                RequestClass::Leader => self.store.budget.try_take(RequestClass::Leader, 0, now),
            };
            if !left && (now >= self.until || self.stop.wait(QUESTION_PAUSE)) {
                return false;
            }
            self.paid.set(left);
        }
        true
    }

    fn charge(&self) -> Result<(), StoreError> {
        if self.admit() {
            self.paid.set(false);
            Ok(())
        } else {
            Err(StoreError::Spent)
        }
    }

    fn limit(&self) -> Duration {
        self.until
            .saturating_duration_since(Instant::now())
            .max(QUESTION_PAUSE)
    }
}

impl Records for Asked<'_> {
    type Error = StoreError;

    fn differing(&self, expected: &[(String, u64)]) -> Result<Vec<String>, StoreError> {
        self.charge()?;
        match self.store.exchange(expected, Vec::new(), self.limit())? {
            TransactionOutcome::Applied { .. } => Ok(Vec::new()),
            TransactionOutcome::Failed { keys } => Ok(keys),
        }
    }

    fn outcomes(&self, from: &str) -> Result<Page, StoreError> {
        self.charge()?;
        let path = format!("/store?Under={OUTCOME_PREFIX}&From={from}&Most={PAGE}");
        let call = self.store.client.call("GET", &path, NONE, self.limit());
        let a = self.store.sent(call)?;
        if a.status != 200 {
            return Err(StoreError::Unavailable);
        }
        let page: ListAnswer<StoredOutcome> = a.decode().ok_or(StoreError::Unavailable)?;
        let more = page.more;
        let read = |p: Pair<StoredOutcome>| p.value.outcome().map(|v| (p.path, v));
        Ok((page.pairs.into_iter().filter_map(read).collect(), more))
    }

    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, StoreError> {
        self.charge()?;
        let e = self.store.read::<StoredOutcome>(key, self.limit())?;
        Ok(e.and_then(|e| e.value.outcome()))
    }
}
