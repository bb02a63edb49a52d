//! The front: users, workers and health checks over `tiny_http`.
//!
//! Requests pass through stages with small bounded queues: the connection's own thread, the
//! dispatcher, then the pool for reports or the pool for users. A full queue is answered at once.
//! Only the users' pool waits for the state service, so a slow one never holds reports up.

use super::wire::{self, JobState, JustUid, Submission};
use crate::core::admission;
use crate::core::ledger::{job_key, live_key, withdrawn_key, Verdict};
use crate::core::model::Uid;
use crate::net::store::{Change, Content, StoreError, Txn};
use crate::runtime::budget::Rank;
use crate::runtime::duties::verdict_name;
use crate::runtime::service::{problem, Shared};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tiny_http::{Header, Method, Request, Response, Server, StatusCode};

/// `tiny_http` reads bodies up to this size before it hands a request on.
const BUFFERED: usize = 1024;
/// Longer bodies are read by threads of their own, at most this many, so that a client that stops
/// in the middle of one holds up nobody else.
const BODY_READERS: usize = 48;
const BODY_PATIENCE: Duration = Duration::from_secs(3);

type Spawn<'a> = dyn FnMut(&str, Box<dyn FnOnce() + Send>) -> std::io::Result<()> + 'a;

/// The listening socket. Accepted sockets inherit its keep-alive, which ends the connections of
/// clients that vanished: `tiny_http` itself sets no time-outs.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    let alive = TcpKeepalive::new()
        .with_time(Duration::from_secs(30))
        .with_interval(Duration::from_secs(10));
    if let Err(e) = socket.set_tcp_keepalive(&alive) {
        log::debug!("no keep-alive why=\"{e}\"");
    }
    // Inherited too: answers are written in one go and must not wait for acknowledgements.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("no no-delay why=\"{e}\"");
    }
    socket.bind(&address.into())?;
    socket.listen(512)?;
    Ok(socket.into())
}

pub fn serve(
    shared: &Arc<Shared>,
    listener: TcpListener,
    spawn: &mut Spawn<'_>,
) -> std::io::Result<()> {
    let handlers = shared.settings.operations.handlers;
    let (beats, beat_queue) = bounded::<Request>(64);
    let (users, user_queue) = bounded::<Request>(64);
    let readers = Arc::new(AtomicUsize::new(0));
    // Reports wait for the core or for the leader, one thread each.
    for _ in 0..handlers * 2 {
        let (s, q, r) = (shared.clone(), beat_queue.clone(), readers.clone());
        spawn(
            "beats",
            Box::new(move || pool(&q, &r, |from, _, _, body| (s.beat(from, body), None))),
        )?;
    }
    for _ in 0..handlers {
        let (s, q, r) = (shared.clone(), user_queue.clone(), readers.clone());
        spawn(
            "users",
            Box::new(move || pool(&q, &r, |_, m, p, body| user_request(&s, m, p, body))),
        )?;
    }
    let s = shared.clone();
    spawn(
        "front",
        Box::new(move || accept_loop(&s, listener, &beats, &users)),
    )
}

/// Runs `tiny_http`, and starts it anew on the same socket when its accepting thread has ended:
/// it ends for good at the first error, such as no free sockets.
fn accept_loop(
    shared: &Arc<Shared>,
    listener: TcpListener,
    beats: &Sender<Request>,
    users: &Sender<Request>,
) {
    while !shared.stop.stopped() {
        let server = match listener
            .try_clone()
            .map_err(|e| e.to_string())
            .and_then(|l| Server::from_listener(l, None).map_err(|e| e.to_string()))
        {
            Ok(s) => Arc::new(s),
            Err(e) => {
                log::error!("the front cannot listen why=\"{e}\"");
                shared.stop.wait(Duration::from_millis(500));
                continue;
            }
        };
        while !shared.stop.stopped() {
            match server.recv_timeout(Duration::from_secs(5)) {
                Ok(Some(request)) => dispatch(shared, request, beats, users),
                Ok(None) => {}
                Err(e) => {
                    log::warn!("accepting ended why=\"{e}\"");
                    break;
                }
            }
        }
        if !shared.stop.stopped() {
            // Connections of this server live on: their requests still come through its queue.
            let (s, b, u) = (shared.clone(), beats.clone(), users.clone());
            let spawned = std::thread::Builder::new()
                .name("front-old".into())
                .spawn(move || {
                    while !s.stop.stopped() {
                        if let Ok(Some(r)) = server.recv_timeout(Duration::from_secs(5)) {
                            dispatch(&s, r, &b, &u);
                        }
                    }
                });
            if spawned.is_err() {
                log::error!("no thread for open connections");
            }
            shared.stop.wait(Duration::from_millis(200));
        }
    }
}

fn dispatch(shared: &Shared, request: Request, beats: &Sender<Request>, users: &Sender<Request>) {
    let path = path_of(&request);
    let queue = match path.as_str() {
        "/up" => {
            let answer = match (
                request.method(),
                shared.view.healthy(std::time::Instant::now()),
            ) {
                (Method::Get | Method::Head, true) => (200, Vec::new()),
                (Method::Get | Method::Head, false) => problem(503, "the state service is lost"),
                _ => problem(405, "wrong method"),
            };
            return respond(request, answer, None);
        }
        "/agent/beat" => beats,
        p if p == "/api/jobs" || p.starts_with("/api/jobs/") => users,
        _ => return respond(request, problem(404, "no such path"), None),
    };
    match queue.try_send(request) {
        Ok(()) => {}
        Err(TrySendError::Full(r) | TrySendError::Disconnected(r)) => {
            respond(r, problem(503, "busy"), Some(1))
        }
    }
}

fn path_of(request: &Request) -> String {
    let url = request.url();
    url.split('?').next().unwrap_or(url).to_owned()
}

type Answer = ((u16, Vec<u8>), Option<u64>);

fn pool(
    queue: &Receiver<Request>,
    readers: &Arc<AtomicUsize>,
    handle: impl Fn(Option<IpAddr>, &Method, &str, &[u8]) -> Answer,
) {
    while let Ok(request) = queue.recv() {
        let Some((request, body)) = read_body(request, readers) else {
            continue;
        };
        let path = path_of(&request);
        let (answer, retry) = match body {
            Some(b) => {
                let from = request.remote_addr().map(|a| a.ip());
                handle(from, request.method(), &path, &b)
            }
            None => (problem(400, "the body is too long or incomplete"), None),
        };
        respond(request, answer, retry);
    }
}

type WithBody = (Request, Option<Vec<u8>>);

fn read_capped(mut request: Request) -> WithBody {
    let mut body = Vec::new();
    let limit = wire::BODY_LIMIT as u64 + 1;
    let read = request.as_reader().take(limit).read_to_end(&mut body);
    let fits = read.is_ok() && body.len() <= wire::BODY_LIMIT;
    (request, fits.then_some(body))
}

/// The body, capped. None: the client stopped sending, or there are too many such clients.
fn read_body(request: Request, readers: &Arc<AtomicUsize>) -> Option<WithBody> {
    if request.body_length().is_some_and(|n| n <= BUFFERED) || request.method() == &Method::Get {
        return Some(read_capped(request));
    }
    if readers.fetch_add(1, Ordering::Relaxed) >= BODY_READERS {
        readers.fetch_sub(1, Ordering::Relaxed);
        respond(request, problem(503, "busy"), Some(1));
        return None;
    }
    let (out, done) = bounded(1);
    let count = readers.clone();
    let spawned = std::thread::Builder::new()
        .name("body".into())
        .stack_size(128 * 1024)
        .spawn(move || {
            // When the handler has given up by now, the request ends here unanswered.
            let _ = out.send(read_capped(request));
            count.fetch_sub(1, Ordering::Relaxed);
        });
    if spawned.is_err() {
        readers.fetch_sub(1, Ordering::Relaxed);
        return None;
    }
    done.recv_timeout(BODY_PATIENCE).ok()
}

fn respond(request: Request, (status, body): (u16, Vec<u8>), retry_after: Option<u64>) {
    let mut headers = Vec::with_capacity(2);
    if let Ok(h) = Header::from_bytes("Content-Type", "application/msgpack") {
        headers.push(h);
    }
    if let Some(s) = retry_after {
        if let Ok(h) = Header::from_bytes("Retry-After", s.to_string()) {
            headers.push(h);
        }
    }
    let length = body.len();
    // Never chunked, whatever the size.
    let response = Response::new(
        StatusCode(status),
        headers,
        std::io::Cursor::new(body),
        Some(length),
        None,
    )
    .with_chunked_threshold(usize::MAX);
    if let Err(e) = request.respond(response) {
        log::debug!("answer not delivered why=\"{e}\"");
    }
}

fn user_request(shared: &Shared, method: &Method, path: &str, body: &[u8]) -> Answer {
    if path == "/api/jobs" {
        return match method {
            Method::Post => submit(shared, body),
            _ => (problem(405, "wrong method"), None),
        };
    }
    let rest = path.strip_prefix("/api/jobs/").unwrap_or_default();
    match (method, rest.split_once('/')) {
        (Method::Get, None) => query(shared, rest),
        (_, None) => (problem(405, "wrong method"), None),
        (Method::Post, Some((id, "withdraw"))) => withdraw(shared, id),
        (_, Some((_, "withdraw"))) => (problem(405, "wrong method"), None),
        _ => (problem(404, "no such path"), None),
    }
}

const USER_CALL: Duration = Duration::from_millis(1500);

/// When to come back: soon for a moment's shortage, later when the state service is out.
fn unavailable(shared: &Shared) -> Answer {
    let lost = !shared.view.store_ok(std::time::Instant::now());
    let retry = if lost { 3 } else { 1 };
    (problem(503, "not now"), Some(retry))
}

fn store_said<T>(shared: &Shared, r: &Result<T, StoreError>) {
    match r {
        // Out of our own budget is no sign of the state service's health.
        Err(StoreError::Unavailable) => {}
        r => shared
            .view
            .store_answered(r.is_ok(), std::time::Instant::now()),
    }
}

fn state(shared: &Shared, uid: &Uid, v: Verdict, counts: bool) -> Vec<u8> {
    let (done, running) = shared
        .view
        .read()
        .progress
        .get(uid)
        .copied()
        .unwrap_or_default();
    wire::encode(&JobState {
        uid: uid.0.clone(),
        phase: verdict_name(v, running),
        done: counts.then_some(done),
        running: counts.then_some(running),
    })
}

/// The verdict from memory if final, else from the state service: no node may be behind another.
fn verdict(shared: &Shared, uid: &Uid) -> Result<Option<(Verdict, u64)>, StoreError> {
    if let Some(v) = shared.view.final_answer(uid) {
        return Ok(Some((v, 0)));
    }
    let now = std::time::Instant::now();
    if !shared.view.store_ok(now) {
        return Err(StoreError::Unavailable);
    }
    // A question that was refused for want of the store's rate goes before those that were not.
    let found = shared
        .store
        .verdict(uid, shared.turns.floor(uid, now), USER_CALL);
    shared.turns.answered(uid, found.is_ok(), now);
    store_said(shared, &found);
    if let Ok(Some((v, _))) = &found {
        if *v != Verdict::Live {
            shared.view.remember_final(uid, *v);
        }
    }
    found
}

fn known(shared: &Shared, uid: &Uid, otherwise: Answer) -> Answer {
    match verdict(shared, uid) {
        Ok(Some((v, _))) => ((200, state(shared, uid, v, false)), None),
        Ok(None) => otherwise,
        Err(_) => unavailable(shared),
    }
}

fn submit(shared: &Shared, body: &[u8]) -> Answer {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let parsed = wire::decode::<Submission>(body)
        .ok_or("body")
        .and_then(|s| s.to_spec(now.as_millis() as u64));
    let spec = match parsed {
        Ok(s) => s,
        Err(field) => {
            let refusal = (problem(400, &format!("missing or invalid: {field}")), None);
            // A job that was accepted stays known, however its repetition is mangled.
            let uid = wire::decode::<JustUid>(body)
                .and_then(|j| j.uid)
                .and_then(|u| Uid::parse(&u));
            return match uid {
                Some(uid) => known(shared, &uid, refusal),
                None => refusal,
            };
        }
    };
    let uid = spec.uid.clone();
    let types = shared.view.read().types.clone();
    if types.is_empty() {
        let wait = (problem(503, "machine types are not known yet"), Some(1));
        return known(shared, &uid, wait);
    }
    if let Err(why) = admission::check(&spec, &shared.settings.params.teams, &types) {
        return known(shared, &uid, (problem(422, &why.to_string()), None));
    }
    if shared.view.final_answer(&uid).is_some() {
        return known(shared, &uid, unavailable(shared));
    }
    if shared.view.read().live_jobs >= shared.settings.params.tuning.max_live_jobs {
        return known(shared, &uid, (problem(429, "too many jobs"), Some(10)));
    }
    let (job, live) = (job_key(&uid), live_key(&uid));
    let changes = vec![
        Change::Put {
            key: &job,
            value: Content::Verdict(Verdict::Live.into()),
            permit: None,
        },
        Change::Put {
            key: &live,
            value: Content::Job(Box::new((&spec).into())),
            permit: None,
        },
    ];
    if !shared.view.store_ok(std::time::Instant::now()) {
        return unavailable(shared);
    }
    let limit = Duration::from_millis(2000);
    let result = shared
        .store
        .txn(&[(job.clone(), 0)], changes, Rank::User, limit);
    store_said(shared, &result);
    match result {
        Ok(Txn::Applied { .. }) => {
            log::debug!(
                "accepted job={uid} class={} shards={} cpus={:.1} expected_s={:.1} due_s={:.1}",
                spec.class,
                spec.shards,
                spec.need.cpus,
                spec.expected.as_secs_f64(),
                spec.due.unwrap_or_default().as_secs_f64()
            );
            ((201, state(shared, &uid, Verdict::Live, false)), None)
        }
        // Known already, or accepted by a transaction whose answer was lost: the key tells.
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {
            known(shared, &uid, unavailable(shared))
        }
        Err(_) => unavailable(shared),
    }
}

fn query(shared: &Shared, id: &str) -> Answer {
    let Some(uid) = Uid::parse(id) else {
        return (problem(404, "no such job"), None);
    };
    match verdict(shared, &uid) {
        Ok(Some((v, _))) => ((200, state(shared, &uid, v, true)), None),
        Ok(None) => (problem(404, "no such job"), None),
        Err(_) => unavailable(shared),
    }
}

fn withdraw(shared: &Shared, id: &str) -> Answer {
    let Some(uid) = Uid::parse(id) else {
        return (problem(404, "no such job"), None);
    };
    for _ in 0..2 {
        let stamp = match verdict(shared, &uid) {
            Ok(Some((Verdict::Live, stamp))) => stamp,
            Ok(Some((v, _))) => return ((200, state(shared, &uid, v, false)), None),
            Ok(None) => return (problem(404, "no such job"), None),
            Err(_) => return unavailable(shared),
        };
        let (job, mark) = (job_key(&uid), withdrawn_key(&uid));
        let changes = vec![
            Change::Put {
                key: &job,
                value: Content::Verdict(Verdict::Withdrawn.into()),
                permit: None,
            },
            Change::Put {
                key: &mark,
                value: Content::Number(1),
                permit: None,
            },
        ];
        let result = shared
            .store
            .txn(&[(job.clone(), stamp)], changes, Rank::User, USER_CALL);
        store_said(shared, &result);
        match result {
            Ok(Txn::Applied { .. }) => {
                shared.view.remember_final(&uid, Verdict::Withdrawn);
                log::info!("withdrawn job={uid}");
                let body = state(shared, &uid, Verdict::Withdrawn, false);
                return ((200, body), None);
            }
            // Done or withdrawn meanwhile, or of unknown outcome: read it again.
            Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {}
            Err(_) => return unavailable(shared),
        }
    }
    unavailable(shared)
}
