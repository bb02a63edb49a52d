//! Whole nodes over real sockets, against the stand-ins.
//!
//! Waits end on what is observed; their limits are far beyond what any machine needs.

mod standins;

use cypressgap::runtime::service::Service;
use cypressgap::runtime::view::RoleView;
use cypressgap::settings::Settings;
use standins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

struct Site {
    state: StateService,
    cloud: SocketAddr,
    names: Vec<(String, SocketAddr)>,
    peers: Vec<SocketAddr>,
}

impl Site {
    fn new(nodes: usize) -> Site {
        let name = |n: usize| (format!("worker-{n}"), free_port());
        Site {
            state: StateService::start(),
            cloud: start_cloud(),
            names: (0..nodes).map(name).collect(),
            peers: (0..nodes).map(|_| free_port()).collect(),
        }
    }

    fn start(&self, n: usize) -> Service {
        let text = include_str!("../examples/node.toml");
        let mut s = Settings::parse("node.toml", text).expect("the example");
        s.member = self.names[n].0.clone();
        s.front = self.names[n].1;
        s.peer_bind = self.peers[n];
        s.state = self.state.address;
        s.cloud = self.cloud;
        s.params.report = Duration::from_millis(300);
        let mut seed = s.seeds[0].clone();
        s.seeds.clear();
        for m in (0..self.names.len()).filter(|m| *m != n) {
            seed.member = self.names[m].0.clone();
            seed.address = self.peers[m];
            s.seeds.push(seed.clone());
        }
        Service::start(s).expect("a node starts")
    }
}

fn submission(uid: &str, shards: u64) -> Any {
    map([
        ("Uid", t(uid)),
        ("JobClass", t("plain")),
        ("Owner", t("vision")),
        ("JobKind", t("batch")),
        ("Urgency", t("standard")),
        ("Shards", Any::Int(shards)),
        ("Vcpus", Any::Float(2.0)),
        ("Gpus", Any::Float(0.0)),
        ("MemoryGb", Any::Float(4.0)),
        ("ImageRef", t("img-1")),
        ("PullGb", Any::Float(1.0)),
        ("SamePlace", Any::Bool(false)),
        ("Spread", Any::Bool(false)),
        ("Preemptible", Any::Bool(true)),
        ("ExpectedS", Any::Float(1.0)),
        ("SnapshotEveryS", Any::Float(0.0)),
        ("SnapshotS", Any::Float(0.0)),
    ])
}

fn submit(node: SocketAddr, uid: &str, shards: u64) {
    let body = submission(uid, shards);
    until("accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        matches!(status, 200 | 201).then_some(())
    });
}

fn phase(node: SocketAddr, uid: &str) -> Option<String> {
    let (status, body) = call("GET", node, &format!("/api/jobs/{uid}"), None);
    (status == 200).then(|| body.text("Phase"))
}

#[test]
fn a_job_runs_and_every_node_says_so() {
    let site = Site::new(2);
    let nodes = [site.start(0), site.start(1)];
    let worker = Worker::start("i-1", Duration::from_millis(200), site.names.clone());
    let [a, b] = [site.names[0].1, site.names[1].1];
    submit(a, "wk-000001", 3);
    until("done", || (phase(b, "wk-000001")? == "done").then_some(()));
    assert_eq!(phase(a, "wk-000001").as_deref(), Some("done"));
    assert_eq!(worker.starts().len(), 3);
    // Known now, whatever the body; others are not; and the interface's other answers.
    let mut mangled = submission("wk-000001", 3);
    if let Any::Map(m) = &mut mangled {
        m.remove("Owner");
    }
    let (status, body) = call("POST", b, "/api/jobs", Some(&mangled));
    assert_eq!((status, body.text("Phase").as_str()), (200, "done"));
    let big = Any::Text("x".repeat(70_000));
    let cases = [
        ("GET", "/api/jobs/wk-000404", None, 404),
        ("GET", "/api/jobs/odd", None, 404),
        ("POST", "/api/jobs/wk-000404/withdraw", None, 404),
        ("PUT", "/api/jobs", Some(&mangled), 405),
        ("GET", "/nowhere", None, 404),
        ("POST", "/api/jobs", Some(&big), 400),
        ("POST", "/agent/beat", Some(&mangled), 400),
        ("GET", "/up", None, 200),
    ];
    for (method, path, body, expected) in cases {
        let (status, _) = call(method, a, path, body);
        assert_eq!(status, expected, "{method} {path}");
    }
    until("intents are cleared", || {
        let left = site.state.keys("i/").len() + site.state.keys("q/").len();
        (left == 0).then_some(())
    });
    for n in nodes {
        n.stop();
    }
}

#[test]
fn a_job_outlives_its_leader() {
    let site = Site::new(2);
    let mut nodes = [Some(site.start(0)), Some(site.start(1))];
    let worker = Worker::start("i-1", Duration::from_secs(6), site.names.clone());
    submit(site.names[0].1, "wk-000002", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let leads = |s: &Option<Service>| {
        let role = s.as_ref().map(|s| s.shared.view.read().role.clone());
        matches!(role, Some(RoleView::Leader(_)))
    };
    let leader = nodes.iter().position(leads).expect("one leads");
    if let Some(n) = nodes[leader].take() {
        n.stop();
    }
    let other = site.names[1 - leader].1;
    until("the other leads", || {
        leads(&nodes[1 - leader]).then_some(())
    });
    until("done", || {
        (phase(other, "wk-000002")? == "done").then_some(())
    });
    // The new leader found the tasks where they were and started none again.
    assert_eq!(worker.starts().len(), 2);
}

#[test]
fn a_withdrawn_job_stops_and_stays_withdrawn() {
    let site = Site::new(1);
    let node = site.start(0);
    let address = site.names[0].1;
    let worker = Worker::start("i-1", Duration::from_secs(600), site.names.clone());
    submit(address, "wk-000003", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let path = "/api/jobs/wk-000003/withdraw";
    until("withdrawn", || {
        (call("POST", address, path, None).0 == 200).then_some(())
    });
    until("gone", || (worker.running() == 0).then_some(()));
    assert_eq!(phase(address, "wk-000003").as_deref(), Some("withdrawn"));
    // An outage of the state service takes nothing back: it is answered from memory or refused.
    site.state
        .out
        .store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(phase(address, "wk-000003").as_deref(), Some("withdrawn"));
    let (status, _) = call(
        "POST",
        address,
        "/api/jobs",
        Some(&submission("wk-000004", 1)),
    );
    assert_eq!(status, 503);
    assert_eq!(worker.starts().len(), 2);
    node.stop();
}
