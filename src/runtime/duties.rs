//! The routines that serve a leader: the core's loop, the queue's feed, the store's writer, the
//! cloud's clerk, the senders of direct commands, and the announcer to the peers.

use super::budget::{Bucket, Rank};
use super::elector::Sign;
use super::service::Shared;
use super::stop::Stop;
use super::view::RoleView;
use crate::core::capacity::Rented;
use crate::core::cluster::{Action, Answer, Cluster};
use crate::core::ledger::{self, Batch, BatchOutcome, Verdict};
use crate::core::model::*;
use crate::net::peer::{Ask, Hello, Peer, Reply};
use crate::net::store::{Change, Content, StoreError, Txn};
use crate::net::wire::{self, RentRequest, StoredJob, StoredVerdict};
use crate::net::{agent, peer};
use crossbeam::channel::{Receiver, Sender};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// What the core's loop hears.
pub enum Event {
    Lead(Box<Cluster>),
    StepDown,
    /// Reports that came together, answered together.
    Beats(Vec<Report>, Sender<Vec<BeatReply>>),
    Job(Term, Box<JobSpec>, u64),
    Withdrawn(Term, Uid),
    Written(Term, BatchOutcome),
    Sent(Term, HostId, Option<Report>),
    Rented(Term, String, Rented),
    Returned(Term, Vec<HostId>, bool),
    Listed(Term, Vec<Listed>),
    Types(Vec<HostType>),
}

pub enum BeatReply {
    Accept(Epoch, Vec<Directive>),
    NotLeader,
}

pub struct SendOrder {
    term: Term,
    host: HostId,
    endpoint: String,
    what: Order,
}

enum Order {
    Commands(Epoch, u64, Vec<Directive>),
}

pub enum CloudOrder {
    Rent(Term, RentRequest),
    Return(Term, Vec<HostId>),
}

/// Where the core's actions go.
pub struct Outlets {
    pub store: Sender<(Term, Batch)>,
    pub agents: Sender<SendOrder>,
    pub cloud: Sender<CloudOrder>,
    pub signs: Sender<Sign>,
}

/// Jobs' counts are for display: users may learn of them a second late.
const PUBLISH_EVERY: Duration = Duration::from_millis(1000);

/// The loop that owns the picture. Events in, actions out.
pub fn core_loop(shared: &Shared, events: &Receiver<Event>, out: &Outlets) {
    let mut cluster: Option<Cluster> = None;
    let mut next_tick = Instant::now();
    let mut published = HashMap::new();
    let mut next_publish = Instant::now();
    let mut next_metrics = Instant::now() + shared.settings.operations.metrics_every;
    while !shared.stop.stopped() {
        let left = next_tick.saturating_duration_since(Instant::now());
        let event = events.recv_timeout(left).ok();
        let now = Instant::now();
        let mut done = 0;
        let mut next = event;
        // What has queued up is taken in one go, so that a late thread catches up.
        while let Some(e) = next {
            handle(&mut cluster, &mut published, e, now, out);
            done += 1;
            next = if done < 64 {
                events.try_recv().ok()
            } else {
                None
            };
        }
        let Some(c) = cluster.as_mut() else {
            next_tick = now + Duration::from_millis(500);
            continue;
        };
        let ticking = now >= next_tick;
        c.allow(shared.store.changes_left());
        let certain = shared.view.surely_leads(c.term, now);
        c.confirm(certain);
        let actions = if ticking { c.tick(now) } else { c.flush(now) };
        if ticking {
            let took = now.elapsed();
            next_tick = now + Duration::from_millis(150);
            shared.meters.rounds.record(took);
            c.tick_took(took);
            // In an outage nobody could take over; and a lease that is lost anyway ends by itself.
            if certain && c.is_deaf(now) {
                let _ = out.signs.try_send(Sign::Deaf(c.term));
            }
        }
        perform(shared, c, actions, now, out);
        if ticking && now >= next_publish {
            next_publish = now + PUBLISH_EVERY;
            publish(shared, c, &mut published);
        }
        if now >= next_metrics {
            next_metrics = now + shared.settings.operations.metrics_every;
            metrics(shared, c);
        }
    }
}

fn handle(
    cluster: &mut Option<Cluster>,
    published: &mut HashMap<Uid, (u32, u32)>,
    event: Event,
    now: Instant,
    out: &Outlets,
) {
    match event {
        Event::Lead(c) => {
            published.clear();
            *cluster = Some(*c);
            return;
        }
        Event::StepDown => {
            *cluster = None;
            return;
        }
        _ => {}
    }
    let Some(c) = cluster.as_mut() else {
        if let Event::Beats(reports, reply) = event {
            let _ = reply.send(reports.iter().map(|_| BeatReply::NotLeader).collect());
        }
        return;
    };
    let term = c.term;
    match event {
        Event::Beats(reports, reply) => {
            let answers = reports.into_iter().map(|report| {
                match c.on_report(now, report, true) {
                    Answer::Accept { epoch, directives } => BeatReply::Accept(epoch, directives),
                    Answer::Ignore => BeatReply::NotLeader,
                    Answer::Superseded(t) => {
                        // Never waits: the elector may be waiting for this loop. It will be seen
                        // again.
                        let _ = out.signs.try_send(Sign::Term(t));
                        BeatReply::NotLeader
                    }
                }
            });
            let _ = reply.send(answers.collect());
        }
        Event::Job(t, spec, stamp) if t == term => c.on_job(*spec, stamp),
        Event::Withdrawn(t, uid) if t == term => c.on_withdrawn(now, &uid),
        Event::Written(t, outcome) if t == term => {
            let superseded = c.on_batch(now, outcome);
            if superseded {
                log::warn!("a write met a newer leader term={}", term.0);
                let _ = out.signs.try_send(Sign::Leader(None));
            }
        }
        Event::Sent(t, host, report) if t == term => {
            if let Some(higher) = c.on_sent(now, &host, report) {
                let _ = out.signs.try_send(Sign::Term(higher));
            }
        }
        Event::Rented(t, claim, outcome) if t == term => c.on_rented(now, &claim, outcome),
        Event::Returned(t, hosts, ok) if t == term => {
            if ok {
                c.on_returned(now, &hosts);
            } else {
                c.on_return_failed(&hosts);
            }
        }
        Event::Listed(t, listed) if t == term => c.on_list(now, &listed),
        Event::Types(types) => c.types = types,
        _ => {}
    }
}

fn perform(shared: &Shared, c: &mut Cluster, actions: Vec<Action>, now: Instant, out: &Outlets) {
    let term = c.term;
    for a in actions {
        match a {
            Action::Store(batch) => {
                if out.store.try_send((term, batch)).is_err() {
                    c.on_batch(now, BatchOutcome::Unknown);
                }
            }
            Action::Send {
                host,
                endpoint,
                epoch,
                tenure,
                directives,
            } => {
                let order = SendOrder {
                    term,
                    host: host.clone(),
                    endpoint,
                    what: Order::Commands(epoch, tenure, directives),
                };
                if out.agents.try_send(order).is_err() {
                    // The host's next report carries them.
                    c.on_sent(now, &host, None);
                }
            }
            Action::Probe {
                host,
                endpoint,
                epoch,
                tenure,
            } => {
                // Without directives: it shows the term's token and answers with its report.
                let what = Order::Commands(epoch, tenure, Vec::new());
                let order = SendOrder {
                    term,
                    host,
                    endpoint,
                    what,
                };
                // When the senders are busy, the host's own report will do.
                let _ = out.agents.try_send(order);
            }
            Action::Rent {
                claim,
                host_type,
                site,
                spot,
                number,
            } => {
                let request = RentRequest {
                    claim: claim.clone(),
                    host_type: host_type.0,
                    site: site.0,
                    preemptible: spot,
                    number,
                };
                if out.cloud.try_send(CloudOrder::Rent(term, request)).is_err() {
                    c.on_rented(now, &claim, Rented::Unknown);
                }
            }
            Action::Return { hosts } => {
                let order = CloudOrder::Return(term, hosts.clone());
                if out.cloud.try_send(order).is_err() {
                    c.on_return_failed(&hosts);
                }
            }
        }
    }
    for uid in c.take_gone_jobs() {
        shared.view.write().progress.remove(&uid);
    }
}

/// Puts the counts that changed where the front and the announcer find them.
fn publish(shared: &Shared, c: &Cluster, published: &mut HashMap<Uid, (u32, u32)>) {
    let mut changed = Vec::new();
    for (uid, j) in &c.jobs {
        let counts = (j.done_count, j.running_count());
        if published.get(uid) != Some(&counts) {
            changed.push((uid.clone(), counts));
        }
    }
    published.retain(|uid, _| c.jobs.contains_key(uid));
    if changed.is_empty() && shared.view.read().live_jobs == c.jobs.len() {
        return;
    }
    let mut i = shared.view.write();
    i.live_jobs = c.jobs.len();
    for (uid, counts) in changed {
        i.progress.insert(uid.clone(), counts);
        published.insert(uid, counts);
    }
}

fn metrics(shared: &Shared, c: &mut Cluster) {
    let m = &shared.meters;
    for w in c.waits.drain(..) {
        m.starts.record(w);
    }
    let queued: u32 = c.jobs.values().map(|j| j.waiting_count()).sum();
    let active: usize = c.jobs.values().map(|j| j.active.len()).sum();
    log::info!(
        "summary term={} jobs={} queued={queued} active={active} hosts={} {} {} {} {}",
        c.term.0,
        c.jobs.len(),
        c.hosts.len(),
        m.starts.facts("starts"),
        m.rounds.facts("rounds"),
        m.store.facts("store_calls"),
        m.cloud.facts("cloud_calls")
    );
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Queued {
    Job(Box<StoredJob>),
    Other(IgnoredAny),
}

/// Follows the queue: accepted jobs and withdrawals, whichever node took them.
pub fn feed(shared: &Shared, term: Term, mut revision: u64, stop: &Stop) {
    while !stop.stopped() {
        let block = Duration::from_secs(5);
        match shared
            .store
            .follow::<Queued>(ledger::QUEUE_PREFIX, revision, block)
        {
            Ok(changes) => {
                revision = revision.max(changes.revision);
                for c in changes.log {
                    if let Some(key) = c.put {
                        take_queued(shared, term, &key, c.value, c.stamp.unwrap_or(0));
                    }
                }
            }
            Err(StoreError::TooOld) => {
                let limit = Duration::from_secs(4);
                match shared
                    .store
                    .list::<Queued>(ledger::QUEUE_PREFIX, Rank::Leader, limit)
                {
                    Ok((pairs, r)) => {
                        for p in pairs {
                            take_queued(shared, term, &p.path, Some(p.value), p.stamp);
                        }
                        revision = r;
                    }
                    Err(_) => {
                        stop.wait(Duration::from_millis(500));
                    }
                }
            }
            Err(_) => {
                stop.wait(Duration::from_millis(300));
            }
        }
    }
}

fn take_queued(shared: &Shared, term: Term, key: &str, value: Option<Queued>, stamp: u64) {
    let event = if let Some(uid) = key.strip_prefix(ledger::WITHDRAWN_PREFIX) {
        Uid::parse(uid).map(|u| Event::Withdrawn(term, u))
    } else {
        match value {
            Some(Queued::Job(j)) => j.into_spec().map(|s| Event::Job(term, Box::new(s), stamp)),
            _ => None,
        }
    };
    if let Some(e) = event {
        let _ = shared.events.send(e);
    }
}

/// Writes the leader's transactions, one at a time, and reads back what a failed one met.
pub fn write_store(shared: &Shared, batches: &Receiver<(Term, Batch)>) {
    while let Ok((term, batch)) = batches.recv() {
        let limit = Duration::from_millis(2000);
        let outcome = match shared.store.apply(&batch, limit) {
            Ok(Txn::Applied { revision }) => BatchOutcome::Applied { revision },
            Ok(Txn::Failed { keys }) => read_failed(shared, keys),
            Err(e) => {
                log::debug!("write not confirmed why=\"{e}\" ops={}", batch.ops.len());
                BatchOutcome::Unknown
            }
        };
        for op in &batch.ops {
            if let (ledger::Op::Put(key, ledger::Value::Verdict(v)), BatchOutcome::Applied { .. }) =
                (op, &outcome)
            {
                if let Some(uid) = key.strip_prefix("j/").and_then(Uid::parse) {
                    shared.view.remember_final(&uid, *v);
                }
            }
        }
        if shared.events.send(Event::Written(term, outcome)).is_err() {
            return;
        }
    }
}

fn read_failed(shared: &Shared, keys: Vec<String>) -> BatchOutcome {
    let limit = Duration::from_millis(1500);
    let mut found = Vec::new();
    for key in keys {
        let entry = if key.starts_with("j/") {
            shared
                .store
                .get::<StoredVerdict>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, e.value.verdict())))
        } else {
            shared
                .store
                .get::<IgnoredAny>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, None)))
        };
        match entry {
            Ok(Some((stamp, verdict))) => found.push((key, stamp, verdict)),
            Ok(None) => found.push((key, 0, None)),
            Err(_) => return BatchOutcome::Unknown,
        }
    }
    BatchOutcome::Failed { found }
}

/// Carries out rentals and returns, in order, within the cloud's rate.
pub fn cloud_clerk(shared: &Shared, bucket: &Bucket, orders: &Receiver<CloudOrder>) {
    while let Ok(order) = orders.recv() {
        while !bucket.take(1.0) {
            if shared.stop.wait(Duration::from_millis(150)) {
                return;
            }
        }
        let event = match order {
            CloudOrder::Rent(term, r) => {
                // What is rented in doubt is adopted by whoever leads.
                let leads = shared.view.read().role == RoleView::Leader(term);
                let outcome = if leads {
                    shared.cloud.rent(&r)
                } else {
                    Rented::Unknown
                };
                if outcome == Rented::NoCapacity {
                    log::info!(
                        "no capacity type={} site={} spot={}",
                        r.host_type,
                        r.site,
                        r.preemptible
                    );
                }
                Event::Rented(term, r.claim, outcome)
            }
            CloudOrder::Return(term, hosts) => {
                // One that waited through a cut must not take machines that work for a new leader.
                let leads = shared.view.surely_leads(term, Instant::now());
                let ok = leads && shared.cloud.give_back(&hosts);
                Event::Returned(term, hosts, ok)
            }
        };
        if shared.events.send(event).is_err() {
            return;
        }
    }
}

/// Reads the machine types and the list of machines, while this node leads.
pub fn cloud_reader(shared: &Shared, bucket: &Bucket, wake: &Receiver<()>) {
    let mut next_types = Instant::now();
    let mut next_list = Instant::now();
    while !shared.stop.stopped() {
        // Woken by a takeover.
        let _ = wake.recv_timeout(Duration::from_millis(1000));
        let RoleView::Leader(term) = shared.view.read().role.clone() else {
            next_types = Instant::now();
            next_list = Instant::now();
            continue;
        };
        let now = Instant::now();
        if now >= next_list && bucket.take(1.0) {
            next_list = now + Duration::from_secs(15);
            read_list(shared, term, bucket);
        }
        if now >= next_types && bucket.take(1.0) {
            next_types = now + Duration::from_secs(5);
            if let Some(t) = shared.cloud.types() {
                next_types = now + Duration::from_secs(120);
                let types: Vec<HostType> =
                    t.host_types.iter().filter_map(|t| t.to_type()).collect();
                if !types.is_empty() {
                    keep_types(shared, term, t);
                    shared.view.write().types = types.clone();
                    let _ = shared.events.send(Event::Types(types));
                }
            }
        }
    }
}

fn read_list(shared: &Shared, term: Term, bucket: &Bucket) {
    let mut from = String::new();
    let mut all = Vec::new();
    while let Some((page, more)) = shared.cloud.list(&from) {
        if let Some(last) = page.last() {
            from = last.id.0.clone();
        }
        let end = !more || page.is_empty();
        all.extend(page);
        if end || !bucket.take(1.0) {
            break;
        }
    }
    if !all.is_empty() {
        let _ = shared.events.send(Event::Listed(term, all));
    }
}

/// Machine types outlive the cloud's outages in the state service.
fn keep_types(shared: &Shared, term: Term, types: wire::WireTypes) {
    let limit = Duration::from_millis(1500);
    let rank = Rank::Leader;
    let Ok(Some(leader)) = shared
        .store
        .get::<wire::StoredLeader>(ledger::LEADER_KEY, rank, limit)
    else {
        return;
    };
    if leader.value.term != term.0 {
        return;
    }
    let conditions = [(ledger::LEADER_KEY.to_owned(), leader.stamp)];
    let change = Change::Put {
        key: ledger::TYPES_KEY,
        value: Content::Types(types),
        permit: None,
    };
    if let Err(e) = shared.store.txn(&conditions, vec![change], rank, limit) {
        log::info!("machine types not kept why=\"{e}\"");
    }
}

/// Sends direct commands. The followers do the sending where they can: the leader's processor is the
/// one that binds.
pub fn send_commands(shared: &Shared, client: &ureq::Agent, orders: &Receiver<SendOrder>) {
    while let Ok(o) = orders.recv() {
        let Order::Commands(epoch, tenure, directives) = &o.what;
        let body = agent::encode(*epoch, *tenure, directives);
        let answer = match helper(shared, &o.host) {
            Some(p) => through_peer(p, client, &o.endpoint, body),
            None => agent::deliver(client, &o.endpoint, &body),
        };
        let report = answer.and_then(|b| agent::report(&b));
        let event = Event::Sent(o.term, o.host, report);
        if shared.events.send(event).is_err() {
            return;
        }
    }
}

/// The peer that sends to this host: always the same one, so that its connections are used again.
fn helper<'a>(shared: &'a Shared, host: &HostId) -> Option<&'a Peer> {
    let now = Instant::now();
    let live = shared.view.live_peers(now);
    let able: Vec<&std::sync::Arc<Peer>> = shared
        .peers
        .iter()
        .filter(|p| p.delivers(now) && live.iter().any(|(m, _)| m == &p.member))
        .collect();
    if able.is_empty() {
        return None;
    }
    let n = ImageKey::of(&host.0).0 as usize % able.len();
    Some(able[n])
}

fn through_peer(
    peer: &Peer,
    client: &ureq::Agent,
    endpoint: &str,
    body: Vec<u8>,
) -> Option<Vec<u8>> {
    let ask = Ask::Command {
        endpoint: endpoint.to_owned(),
        body,
    };
    let limit = agent::LIMIT + Duration::from_millis(500);
    let answer = peer.ask(&ask, limit);
    let now = Instant::now();
    match answer {
        Ok(Reply::Command(answer)) => {
            peer.delivered(answer.is_some(), now);
            answer
        }
        Ok(_) => None,
        Err(e) => {
            peer.delivered(false, now);
            let Ask::Command { body, .. } = ask else {
                return None;
            };
            // A refusal came at once, so there is time to send it ourselves.
            let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
            refused
                .then(|| agent::deliver(client, endpoint, &body))
                .flatten()
        }
    }
}

fn hello(shared: &Shared, progress: Vec<(String, u32, u32)>, over: Vec<String>) -> Hello {
    let now = Instant::now();
    let i = shared.view.read();
    let leads = match i.role {
        RoleView::Leader(t) => Some(t.0),
        RoleView::Follower(_) => None,
    };
    let highest = i.highest.0;
    drop(i);
    Hello {
        member: shared.settings.member.clone(),
        leads,
        highest,
        store_ok: shared.view.store_ok(now),
        workers: shared.workers.count(now),
        progress,
        over,
    }
}

/// Tells one peer each second who we are, and as leader how the jobs stand.
pub fn announce(shared: &Shared, peer: &Peer) {
    let mut told: HashMap<Uid, (u32, u32)> = HashMap::new();
    while !shared.stop.wait(Duration::from_millis(1000)) {
        let mut progress = Vec::new();
        let mut over = Vec::new();
        {
            let i = shared.view.read();
            if matches!(i.role, RoleView::Leader(_)) {
                for (uid, counts) in &i.progress {
                    if told.get(uid) != Some(counts) && progress.len() < 2000 {
                        progress.push((uid.0.clone(), counts.0, counts.1));
                    }
                }
                for uid in told.keys().filter(|u| !i.progress.contains_key(*u)) {
                    over.push(uid.0.clone());
                }
            } else {
                told.clear();
            }
        }
        let ask = Ask::Hello(hello(shared, progress.clone(), over.clone()));
        match peer.ask(&ask, Duration::from_millis(1500)) {
            Ok(Reply::Hello(h)) => {
                heard_hello(shared, &h);
                for (uid, d, r) in progress {
                    told.insert(Uid(uid), (d, r));
                }
                for uid in over {
                    told.remove(&Uid(uid));
                }
            }
            Ok(_) => {}
            Err(_) => {
                // It may have missed some, or be a new life that knows none.
                told.clear();
            }
        }
    }
}

fn heard_hello(shared: &Shared, h: &Hello) {
    let now = Instant::now();
    shared.view.peer_said(&h.member, h.store_ok, h.workers, now);
    if let Some(term) = h.leads {
        let own = shared.view.read().highest;
        if Term(term) > own {
            let _ = shared.signs.send(Sign::Term(Term(term)));
        }
    }
}

/// Answers one peer's frames.
pub fn answer_peer(shared: &Shared, mut stream: std::net::TcpStream) {
    let _ = stream.set_nodelay(true);
    // A peer says hello each second: one that is silent for this long is gone.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    while !shared.stop.stopped() {
        let Ok(ask) = peer::read_frame::<Ask>(&mut stream) else {
            return;
        };
        let reply = match ask {
            Ask::Hello(h) => {
                heard_hello(shared, &h);
                if h.leads.is_some() && !matches!(shared.view.read().role, RoleView::Leader(_)) {
                    let mut i = shared.view.write();
                    for (uid, d, r) in h.progress {
                        i.progress.insert(Uid(uid), (d, r));
                    }
                    for uid in h.over {
                        i.progress.remove(&Uid(uid));
                    }
                }
                Reply::Hello(hello(shared, Vec::new(), Vec::new()))
            }
            Ask::Beats(bodies) => Reply::Beats(shared.local_beats(&bodies)),
            Ask::Command { endpoint, body } => {
                Reply::Command(agent::deliver(&shared.agent, &endpoint, &body))
            }
        };
        if peer::write_frame(&mut stream, &reply).is_err() {
            return;
        }
    }
}

pub fn listen_peers(shared: &std::sync::Arc<Shared>, listener: &TcpListener) {
    let most = shared.settings.sockets().peers;
    let open = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    while !shared.stop.stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                use std::sync::atomic::Ordering::Relaxed;
                if open.fetch_add(1, Relaxed) >= most {
                    open.fetch_sub(1, Relaxed);
                    continue;
                }
                let (s, count) = (shared.clone(), open.clone());
                let spawned = std::thread::Builder::new()
                    .name("peer".into())
                    .stack_size(256 * 1024)
                    .spawn(move || {
                        answer_peer(&s, stream);
                        count.fetch_sub(1, Relaxed);
                    });
                if spawned.is_err() {
                    open.fetch_sub(1, Relaxed);
                }
            }
            Err(e) => {
                log::warn!("no connection from a peer why=\"{e}\"");
                shared.stop.wait(Duration::from_millis(200));
            }
        }
    }
}

/// What a verdict is called in answers.
pub fn verdict_name(v: Verdict, running: u32) -> &'static str {
    match v {
        Verdict::Live if running > 0 => "running",
        Verdict::Live => "queued",
        Verdict::Done => "done",
        Verdict::Withdrawn => "withdrawn",
    }
}
