//! Long-lived duties round leadership: watching the control keys, campaigning, renewing, loading.

use super::duties::{feed, Event};
use super::service::Shared;
use super::stop::Stop;
use super::view::RoleView;
use crate::core::cluster::{CancelSource, Cluster};
use crate::core::history::Summary;
use crate::core::leadership::{LeaderRecord, Leadership, Role, Step};
use crate::core::ledger::{self, Verdict, CONTROL_PREFIX, LEADER_KEY, TERM_KEY, TYPES_KEY};
use crate::core::model::{Term, Uid};
use crate::core::status_reads::{self, Standing};
use crate::core::watermark::Moment;
use crate::net::questions;
use crate::net::store::{Asked, Change, Content, Pair, StoreError, Txn};
use crate::net::wire::{StoredChunk, StoredHistory, StoredJob, StoredLeader, WireTypes};
use crate::runtime::budget::Rank;
use crossbeam::channel::{Receiver, Sender};
use rand::Rng;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CALL: Duration = Duration::from_millis(1500);
/// Who gave the leadership up because it heard nobody takes it again only after this.
const RESIGNED: Duration = Duration::from_secs(10);
/// How long a node that no worker reports to leaves the leadership to others.
const YIELD: Duration = Duration::from_millis(900);
/// Timers this late double the leader's lease, at most `MOST_LONGER` times more is added to it.
const STRAINED: Duration = Duration::from_millis(200);
const MOST_LONGER: f64 = 3.0;
/// Before a call that failed is made again while loading.
const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// How long reading the history's summary may take.
const HISTORY_LIMIT: Duration = Duration::from_secs(4);
const WATCH_BLOCK: Duration = Duration::from_secs(5);

/// What the elector hears.
pub enum ElectorEvent {
    /// The leader key as it stands.
    Leader(Option<LeaderRecord>),
    /// A term that a report or a peer has shown.
    Term(Term),
    /// The leader of this term hears no worker.
    Deaf(Term),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Control {
    Leader(StoredLeader),
    Types(WireTypes),
    Other(IgnoredAny),
}

fn record(l: StoredLeader, stamp: u64) -> LeaderRecord {
    LeaderRecord {
        member: l.member,
        boot: l.boot,
        term: Term(l.term),
        stamp,
    }
}

fn take_types(shared: &Shared, t: &WireTypes) {
    let types: Vec<_> = t.host_types.iter().filter_map(|t| t.to_type()).collect();
    if !types.is_empty() {
        shared.view.write().types = types;
    }
}

/// Follows the control keys: the leader and the machine types.
pub fn watch_control(shared: &Shared, elector_events: &Sender<ElectorEvent>) {
    while !shared.stop.stopped() {
        if let Err(e) = watch_until_trouble(shared, elector_events) {
            log::debug!("watch of the control keys ended why=\"{e}\"");
            shared
                .view
                .store_answered(e == StoreError::TooOld, Instant::now());
        }
        let pause = rand::thread_rng().gen_range(300..600);
        shared.stop.wait(Duration::from_millis(pause));
    }
}

fn watch_until_trouble(
    shared: &Shared,
    elector_events: &Sender<ElectorEvent>,
) -> Result<(), StoreError> {
    let (pairs, mut revision) = shared
        .store
        .list::<Control>(CONTROL_PREFIX, Rank::Leader, CALL)?;
    shared.view.store_answered(true, Instant::now());
    let mut leader = None;
    for p in pairs {
        match p.value {
            Control::Leader(l) if p.path == LEADER_KEY => leader = Some(record(l, p.stamp)),
            Control::Types(t) if p.path == TYPES_KEY => take_types(shared, &t),
            _ => {}
        }
    }
    let _ = elector_events.send(ElectorEvent::Leader(leader));
    while !shared.stop.stopped() {
        let changes = shared
            .store
            .follow::<Control>(CONTROL_PREFIX, revision, WATCH_BLOCK)?;
        shared.view.store_answered(true, Instant::now());
        revision = changes.revision.max(revision);
        for c in changes.log {
            if c.delete.as_deref() == Some(LEADER_KEY) {
                let _ = elector_events.send(ElectorEvent::Leader(None));
            }
            match (c.put.as_deref(), c.value, c.stamp) {
                (Some(LEADER_KEY), Some(Control::Leader(l)), Some(stamp)) => {
                    let _ = elector_events.send(ElectorEvent::Leader(Some(record(l, stamp))));
                }
                (Some(TYPES_KEY), Some(Control::Types(t)), _) => take_types(shared, &t),
                _ => {}
            }
        }
    }
    Ok(())
}

/// Campaigns and renews; starts and stops what a term needs.
pub fn elect(shared: &Arc<Shared>, elector_events: &Receiver<ElectorEvent>) {
    let mut life = shared.settings.operations.leader_lease;
    let boot: u64 = rand::thread_rng().gen::<u64>() >> 1;
    let mut machine = Leadership::new(&shared.settings.member, boot, life / 4);
    let mut permit = None;
    let mut term_stop = Stop::new();
    let mut heard = false;
    let mut vacant: Option<Instant> = None;
    while !shared.stop.stopped() {
        let mut step = match elector_events.recv_timeout(Duration::from_millis(250)) {
            Ok(ElectorEvent::Leader(r)) => {
                heard = true;
                machine.observed(Instant::now(), r)
            }
            Ok(ElectorEvent::Term(t)) => machine.term_seen(t),
            Ok(ElectorEvent::Deaf(t)) => {
                let step = machine.resign(Instant::now(), t, RESIGNED);
                if let (Step::StepDown, Some(p)) = (&step, permit) {
                    log::warn!(
                        "no worker is heard, the leadership is given up term={}",
                        t.0
                    );
                    // If this fails, the lease ends by itself.
                    let _ = shared.store.drop_lease(p, CALL);
                }
                step
            }
            Err(_) => machine.due(Instant::now()),
        };
        if let Step::Campaign { stamp } = step {
            let now = Instant::now();
            // Before the first look at the leader key its absence means nothing. And who hears no
            // worker lets those go first who may, unless the key is its own earlier life's.
            let since = *vacant.get_or_insert(now);
            let waited = now.saturating_duration_since(since) >= YIELD;
            let first = stamp != 0 || waited || shared.workers.any(now);
            if !heard || !first {
                step = Step::Wait;
            }
        } else {
            vacant = None;
        }
        let (asked, asked_day) = (Instant::now(), SystemTime::now());
        match step {
            Step::Wait => {}
            Step::Renew => {
                match permit.map(|p| shared.store.extend(p, life / 4)) {
                    Some(Ok(())) => {
                        shared.view.store_answered(true, Instant::now());
                        shared.view.lease_lasts((asked, asked_day), life);
                        machine.renewed(asked)
                    }
                    Some(Err(StoreError::NoLease)) | None => {
                        log::warn!("the leader lease has ended");
                        machine.lease_ended();
                        term_stop.stop();
                        permit = None;
                        shared.step_down();
                        publish(shared, &machine);
                    }
                    // The state service may be out for everyone: then the lease lives on.
                    Some(Err(e)) => {
                        shared.view.store_answered(false, Instant::now());
                        log::info!("lease not renewed why=\"{e}\"");
                    }
                }
            }
            Step::StepDown => {
                log::info!("stepping down");
                term_stop.stop();
                permit = None;
                shared.step_down();
                publish(shared, &machine);
            }
            Step::Campaign { stamp } => match campaign(shared, boot, stamp, &mut life) {
                Ok(Some((term, leader_stamp, lease))) => {
                    machine.renew_every(life / 4);
                    let now = Instant::now();
                    shared.view.lease_lasts((asked, asked_day), life);
                    machine.won(now, term, leader_stamp);
                    permit = Some(lease);
                    term_stop = Stop::new();
                    log::info!("leading term={}", term.0);
                    publish(shared, &machine);
                    let (s, stop) = (shared.clone(), term_stop.clone());
                    let spawned = std::thread::Builder::new()
                        .name("term".into())
                        .spawn(move || serve_term(&s, term, leader_stamp, &stop));
                    if spawned.is_err() {
                        log::error!("no thread for the term");
                    }
                }
                Ok(None) => {
                    let pause = rand::thread_rng().gen_range(100..400);
                    machine.lost(Instant::now(), Duration::from_millis(pause));
                    look_again(shared, &mut machine);
                }
                Err(e) => {
                    log::info!("campaign failed why=\"{e}\"");
                    shared.view.store_answered(false, Instant::now());
                    let pause = rand::thread_rng().gen_range(300..800);
                    machine.lost(Instant::now(), Duration::from_millis(pause));
                    look_again(shared, &mut machine);
                }
            },
        }
        publish(shared, &machine);
    }
    term_stop.stop();
    if let Some(p) = permit {
        let _ = shared.store.drop_lease(p, CALL);
    }
}

fn look_again(shared: &Shared, machine: &mut Leadership) {
    if let Ok(found) = shared
        .store
        .get::<StoredLeader>(LEADER_KEY, Rank::Leader, CALL)
    {
        machine.observed(Instant::now(), found.map(|e| record(e.value, e.stamp)));
    }
}

fn publish(shared: &Shared, machine: &Leadership) {
    let (role, leader) = match machine.role() {
        Role::Leader { term, .. } => (RoleView::Leader(*term), None),
        Role::Follower { leader } => (
            RoleView::Follower(leader.as_ref().map(|l| l.member.clone())),
            leader.clone(),
        ),
    };
    let i = shared.view.read();
    if i.role == role && i.highest == machine.highest() {
        return;
    }
    drop(i);
    let mut i = shared.view.write();
    i.role = role;
    i.leader = leader;
    i.highest = i.highest.max(machine.highest());
}

/// One transaction: the leader key on a new lease, and the term's counter raised.
fn campaign(
    shared: &Shared,
    boot: u64,
    stamp: u64,
    life: &mut Duration,
) -> Result<Option<(Term, u64, u64)>, StoreError> {
    let counter = shared.store.get::<u64>(TERM_KEY, Rank::Leader, CALL)?;
    let (old, term_stamp) = counter.map_or((0, 0), |e| (e.value, e.stamp));
    // Nodes that cannot keep up renew late: with a lease that is short for that, each leader lost it
    // while it loaded, and the next one began anew.
    let strain = shared.worst_strain().as_secs_f64() / STRAINED.as_secs_f64();
    let longer = 1.0 + strain.min(MOST_LONGER);
    *life = shared.settings.operations.leader_lease.mul_f64(longer);
    let lease = shared.store.lease(*life, CALL)?;
    let term = old + 1;
    let conditions = [
        (LEADER_KEY.to_owned(), stamp),
        (TERM_KEY.to_owned(), term_stamp),
    ];
    let changes = vec![
        Change::Put {
            key: LEADER_KEY,
            value: Content::Leader(StoredLeader {
                member: shared.settings.member.clone(),
                boot,
                term,
            }),
            permit: Some(lease),
        },
        Change::Put {
            key: TERM_KEY,
            value: Content::Number(term),
            permit: None,
        },
    ];
    match shared.store.txn(&conditions, changes, Rank::Leader, CALL) {
        Ok(Txn::Applied { revision }) => Ok(Some((Term(term), revision, lease))),
        Ok(Txn::Failed { .. }) => {
            let _ = shared.store.drop_lease(lease, CALL);
            Ok(None)
        }
        Err(StoreError::Unknown) => {
            // It may have been applied: the key tells. If it is applied later, the lease that
            // nobody renews ends that leadership by itself.
            let found = shared
                .store
                .get::<StoredLeader>(LEADER_KEY, Rank::Leader, CALL)?;
            Ok(found
                .filter(|e| e.value.boot == boot && e.value.term == term)
                .map(|e| (Term(term), e.stamp, lease)))
        }
        Err(e) => Err(e),
    }
}

/// Loads the picture, hands it to the core, then feeds it the queue's changes.
fn serve_term(shared: &Arc<Shared>, term: Term, stamp: u64, stop: &Stop) {
    loop {
        if stop.stopped() {
            return;
        }
        match load(shared, term, stamp, stop) {
            Ok((cluster, revision)) => {
                let event = Event::Lead(Box::new(cluster));
                if shared.events.send(event).is_ok() {
                    let _ = shared.wake.try_send(());
                    feed(shared, term, revision, stop);
                }
                return;
            }
            Err(e) => {
                log::info!("loading failed term={} why=\"{e}\"", term.0);
                stop.wait(Duration::from_millis(400));
            }
        }
    }
}

/// The verdicts of jobs whose place in the index of live jobs is not removed yet.
///
/// A call whose answer is lost is made again, and what has been found out is kept: with one long wait for
/// each answer a leader loaded for 100 s while a third of the answers were lost.
fn over_already(
    shared: &Shared,
    live: &[Pair<StoredJob>],
    stop: &Stop,
) -> Result<HashMap<Uid, Verdict>, StoreError> {
    let prefix = ledger::LIVE_PREFIX;
    let uids = live.iter().filter_map(|p| p.path.strip_prefix(prefix));
    let uids: Vec<Uid> = uids.filter_map(Uid::parse).collect();
    let found = standings_of(shared, &uids, stop)?;
    let over = found
        .into_iter()
        .filter_map(|(uid, standing)| Some((uid, standing?)))
        .filter(|(_, verdict)| *verdict != Verdict::Live);
    Ok(over.collect())
}

/// How those ended that live jobs need and that are not live themselves.
fn ends_of_needed(
    shared: &Shared,
    live: &[Pair<StoredJob>],
    stop: &Stop,
) -> Result<Vec<(Uid, Verdict)>, StoreError> {
    let prefix = ledger::LIVE_PREFIX;
    let known: HashSet<&str> = live
        .iter()
        .filter_map(|p| p.path.strip_prefix(prefix))
        .collect();
    let needed = live.iter().flat_map(|p| p.value.needs());
    let needed: BTreeSet<Uid> = needed
        .filter(|n| !known.contains(n.as_str()))
        .filter_map(|n| Uid::parse(n))
        .collect();
    let needed: Vec<Uid> = needed.into_iter().collect();
    let found = standings_of(shared, &needed, stop)?;
    Ok(found
        .into_iter()
        .filter_map(|(u, s)| Some((u, s?)))
        .collect())
}

/// How accepted jobs stand.
pub(super) fn standings_of(
    shared: &Shared,
    uids: &[Uid],
    stop: &Stop,
) -> Result<HashMap<Uid, Standing>, StoreError> {
    let mut all = HashMap::new();
    let until = Instant::now() + Duration::from_secs(20);
    for part in uids.chunks(questions::most_at_once(shared)) {
        let mut left: BTreeSet<Uid> = part.iter().cloned().collect();
        let mut accepted = left.clone();
        loop {
            let patience = (Instant::now() + CALL).min(until);
            let asked = Asked::new(&shared.store, stop, Rank::Leader, patience);
            let (found, trouble) = status_reads::standings(&asked, &left, &mut accepted);
            left.retain(|u| !found.contains_key(u));
            all.extend(found);
            match trouble {
                None => break,
                Some(e) if Instant::now() + LOAD_PAUSE >= until || stop.wait(LOAD_PAUSE) => {
                    return Err(e)
                }
                Some(_) => {}
            }
        }
    }
    Ok(all)
}

fn read_all<T: DeserializeOwned>(
    shared: &Shared,
    prefix: &str,
    stop: &Stop,
) -> Result<(Vec<Pair<T>>, u64), StoreError> {
    let (limit, patience) = (Duration::from_secs(6), Duration::from_secs(30));
    shared
        .store
        .list_patiently(prefix, Rank::Leader, limit, patience, stop)
}

/// What the state service holds of the cluster.
struct StoredPicture {
    lists: Vec<Pair<IgnoredAny>>,
    live: Vec<Pair<StoredJob>>,
    cancel_marks: Vec<Pair<IgnoredAny>>,
    intents: Vec<Pair<StoredChunk>>,
    history: Option<StoredHistory>,
    /// From here on the watch of the queue misses nothing of it.
    revision: u64,
}

fn read_picture(shared: &Shared, stop: &Stop) -> Result<StoredPicture, StoreError> {
    let (lists, _) = read_all(shared, ledger::DEPENDENTS_PREFIX, stop)?;
    let (live, revision) = read_all(shared, ledger::LIVE_PREFIX, stop)?;
    let (cancel_marks, _) = read_all(shared, ledger::CANCEL_MARK_PREFIX, stop)?;
    let (intents, _) = read_all(shared, ledger::INTENT_PREFIX, stop)?;
    let history =
        shared
            .store
            .get::<StoredHistory>(ledger::HISTORY_KEY, Rank::Leader, HISTORY_LIMIT)?;
    Ok(StoredPicture {
        lists,
        live,
        cancel_marks,
        intents,
        history: history.map(|entry| entry.value),
        revision,
    })
}

/// The job that a key under a prefix names.
fn job_under(prefix: &str, key: &str) -> Option<Uid> {
    key.strip_prefix(prefix).and_then(Uid::parse)
}

fn load(
    shared: &Shared,
    term: Term,
    stamp: u64,
    stop: &Stop,
) -> Result<(Cluster, u64), StoreError> {
    let began = Moment::now();
    let picture = read_picture(shared, stop)?;
    let over = over_already(shared, &picture.live, stop)?;
    let ends = ends_of_needed(shared, &picture.live, stop)?;
    let (jobs, chunks) = (picture.live.len(), picture.intents.len());
    let revision = picture.revision;
    let now = Instant::now();
    let mut cluster = empty_cluster(shared, term, stamp, now);
    let peers = shared.peers.iter().map(|p| p.member.clone());
    cluster.confirmed_by(peers, began);
    for (uid, verdict) in ends {
        cluster.ended_before(now, &uid, verdict);
    }
    enter_picture(&mut cluster, now, picture, &over);
    log::info!("loaded term={} jobs={jobs} intent_keys={chunks}", term.0);
    Ok((cluster, revision))
}

fn empty_cluster(shared: &Shared, term: Term, stamp: u64, now: Instant) -> Cluster {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let types = shared.view.read().types.clone();
    let params = shared.settings.params.clone();
    Cluster::new(params, term, stamp, types, now, now_ms)
}

/// Takes over what was read, with the verdicts of jobs that are still in the index.
fn enter_picture(
    cluster: &mut Cluster,
    now: Instant,
    picture: StoredPicture,
    over: &HashMap<Uid, Verdict>,
) {
    if let Some(history) = picture.history {
        cluster.history.load(&Summary::from(history));
    }
    let mut cancelled = Vec::new();
    for pair in picture.live {
        let Some(spec) = pair.value.into_spec() else {
            continue;
        };
        match over.get(&spec.uid) {
            Some(Verdict::Done) => {
                cluster.ended_before(now, &spec.uid, Verdict::Done);
                cluster.forget_index(&spec.uid);
            }
            Some(Verdict::Cancelled) => {
                cancelled.push(spec.uid.clone());
                cluster.on_job(spec, pair.stamp);
            }
            _ => cluster.on_job(spec, pair.stamp),
        }
    }
    for pair in picture.lists {
        if let Some(uid) = job_under(ledger::DEPENDENTS_PREFIX, &pair.path) {
            cluster.load_list(&uid);
        }
    }
    for pair in picture.intents {
        if let Some((uid, index)) = ledger::parse_chunk_key(&pair.path) {
            cluster.load_chunk(now, &uid, index, pair.value.into_value(), pair.stamp);
        }
    }
    // After the intents, so that no task of a cancelled job is overlooked.
    for pair in picture.cancel_marks {
        if let Some(uid) = job_under(ledger::CANCEL_MARK_PREFIX, &pair.path) {
            cluster.on_cancelled(now, &uid, CancelSource::Load);
        }
    }
    for uid in cancelled {
        cluster.on_cancelled(now, &uid, CancelSource::Verdict);
    }
}
