//! A site of whole nodes on loopback, with its stand-ins, and what its users do.
//!
//! Waits end on what is observed; their limits are far beyond what any machine needs.

use super::{call, free_port, map, start_cloud, t, Any, CloudListing, Link, StateService};
use cypressgap::core::model::Term;
use cypressgap::runtime::node_view::RoleView;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(60);

pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub struct TestCluster {
    pub state: StateService,
    pub cloud: SocketAddr,
    pub listed: CloudListing,
    pub names: Vec<(String, SocketAddr)>,
    pub peers: Vec<SocketAddr>,
    /// Each node's way to the state service, and the others' way to it.
    pub to_state: Vec<Link>,
    pub to_peer: Vec<Link>,
}

impl TestCluster {
    pub fn new(nodes: usize) -> TestCluster {
        let name = |n: usize| (format!("worker-{n}"), free_port());
        let state = StateService::start();
        let listed = CloudListing::default();
        let peers: Vec<SocketAddr> = (0..nodes).map(|_| free_port()).collect();
        TestCluster {
            cloud: start_cloud(listed.clone()),
            listed,
            names: (0..nodes).map(name).collect(),
            to_state: (0..nodes).map(|_| Link::to(state.address)).collect(),
            to_peer: peers.iter().map(|p| Link::to(*p)).collect(),
            peers,
            state,
        }
    }

    /// Cuts a node off the state service and, both ways, the other controllers of two.
    pub fn cut(&self, n: usize) {
        self.to_state[n].cut(true);
        for l in &self.to_peer {
            l.cut(true);
        }
    }

    /// The platform's settings of a node.
    pub fn config(&self, n: usize) -> String {
        let seeds = (0..self.names.len()).filter(|m| *m != n).map(|m| {
            let (member, address) = (&self.names[m].0, self.to_peer[m].address);
            format!(
                "[[seeds]]\nmember = \"{member}\"\ndomain = \"hall-a\"\naddress = \"{address}\"\n"
            )
        });
        let example = include_str!("../../examples/node.toml");
        let deployment = example.find("[deployment]").expect("the example");
        format!(
            "member = \"{}\"\ndomain = \"hall-a\"\nfront = \"{}\"\npeer_bind = \"{}\"\n{}\
             [endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n{}",
            self.names[n].0,
            self.names[n].1,
            self.peers[n],
            seeds.collect::<String>(),
            self.cloud,
            self.to_state[n].address,
            &example[deployment..]
        )
    }

    pub fn start(&self, n: usize) -> Service {
        self.start_with(n, |_| {})
    }

    pub fn start_with(&self, n: usize, edit: impl Fn(&mut Settings)) -> Service {
        let text = include_str!("../../examples/node.toml");
        let mut s = Settings::parse("node.toml", text).expect("the example");
        s.member = self.names[n].0.clone();
        s.http_bind = self.names[n].1;
        s.peer_bind = self.peers[n];
        s.store_address = self.to_state[n].address;
        s.cloud_address = self.cloud;
        s.config.heartbeat = Duration::from_millis(300);
        let mut seed = s.peers[0].clone();
        s.peers.clear();
        for m in (0..self.names.len()).filter(|m| *m != n) {
            seed.member = self.names[m].0.clone();
            seed.address = self.to_peer[m].address;
            s.peers.push(seed.clone());
        }
        edit(&mut s);
        Service::start(s).expect("a node starts")
    }
}

pub fn submission(job_id: &str, task_count: u64) -> Any {
    map([
        ("Uid", t(job_id)),
        ("JobClass", t("plain")),
        ("Owner", t("vision")),
        ("JobKind", t("batch")),
        ("Urgency", t("standard")),
        ("Shards", Any::Int(task_count)),
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

/// A job as the state service keeps it.
pub fn job_record(job_id: &str, task_count: u64) -> Any {
    let amounts = [2.0, 0.0, 4.0].map(Any::Float).to_vec();
    map([
        ("uid", t(job_id)),
        ("class", t("plain")),
        ("owner", t("vision")),
        ("gang", Any::Bool(false)),
        ("urgency", Any::Int(1)),
        ("shards", Any::Int(task_count)),
        ("need", Any::List(amounts)),
        ("types", Any::Nil(())),
        ("site", Any::Nil(())),
        ("same_place", Any::Bool(false)),
        ("spread", Any::Bool(false)),
        ("spot", Any::Bool(true)),
        ("image", Any::List(vec![t("img-1"), Any::Float(1.0)])),
        ("expected", Any::Float(1.0)),
        ("every", Any::Float(0.0)),
        ("save", Any::Float(0.0)),
        ("due", Any::Nil(())),
        ("at", Any::Int(7)),
    ])
}

pub fn submit(node: SocketAddr, job_id: &str, task_count: u64) {
    let body = submission(job_id, task_count);
    until("accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        matches!(status, 200 | 201).then_some(())
    });
}

pub fn phase(node: SocketAddr, job_id: &str) -> Option<String> {
    let (status, body) = call("GET", node, &format!("/api/jobs/{job_id}"), None);
    (status == 200).then(|| body.text("Phase"))
}

pub fn leads(s: &Service) -> Option<Term> {
    match s.shared.view.read().role {
        RoleView::Leader(t) => Some(t),
        RoleView::Follower(_) => None,
    }
}

pub fn awaiting(job_id: &str, dependencies: &[&str]) -> Any {
    let mut s = submission(job_id, 1);
    if let Any::Map(m) = &mut s {
        let dependencies = dependencies.iter().map(|n| t(n)).collect();
        m.insert("Awaits".to_owned(), Any::List(dependencies));
    }
    s
}
