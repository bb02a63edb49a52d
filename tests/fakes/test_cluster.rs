//! A cluster of whole nodes on loopback with its fakes, and what its users do.
//!
//! Waits end on what is observed; their limits are far beyond what any machine needs.

use super::{call, free_port, map, start_cloud, text, CloudListing, FakeStore, Link, Value};
use cypressgap::core::model::Term;
use cypressgap::node::view::RoleView;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a test waits for anything, far beyond what any machine needs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits until `look` finds something, and fails after `WAIT_LIMIT`.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "never came: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The fakes and addresses that the nodes of a cluster share.
pub struct TestCluster {
    pub store: FakeStore,
    pub cloud: SocketAddr,
    pub cloud_listing: CloudListing,
    /// The nodes by name, with the addresses that users and workers call.
    pub members: Vec<(String, SocketAddr)>,
    pub peers: Vec<SocketAddr>,
    /// Each node's path to the store, and the other nodes' path to it.
    pub store_links: Vec<Link>,
    pub peer_links: Vec<Link>,
}

impl TestCluster {
    pub fn new(nodes: usize) -> TestCluster {
        let name = |n: usize| (format!("worker-{n}"), free_port());
        let store = FakeStore::start();
        let cloud_listing = CloudListing::default();
        let peers: Vec<SocketAddr> = (0..nodes).map(|_| free_port()).collect();
        TestCluster {
            cloud: start_cloud(cloud_listing.clone()),
            cloud_listing,
            members: (0..nodes).map(name).collect(),
            store_links: (0..nodes).map(|_| Link::to(store.address)).collect(),
            peer_links: peers.iter().map(|p| Link::to(*p)).collect(),
            peers,
            store,
        }
    }

    /// Partitions a node from the store and, both ways, from the other controller of two.
    pub fn partition(&self, n: usize) {
        self.store_links[n].partition();
        for l in &self.peer_links {
            l.partition();
        }
    }

    /// The platform's settings of a node.
    pub fn config(&self, n: usize) -> String {
        let seeds = (0..self.members.len()).filter(|m| *m != n).map(|m| {
            let (member, address) = (&self.members[m].0, self.peer_links[m].address);
            format!(
                "[[seeds]]\nmember = \"{member}\"\ndomain = \"hall-a\"\naddress = \"{address}\"\n"
            )
        });
        let example = include_str!("../../examples/node.toml");
        let deployment = example.find("[deployment]").expect("the example");
        format!(
            "member = \"{}\"\ndomain = \"hall-a\"\nfront = \"{}\"\npeer_bind = \"{}\"\n{}\
             [endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n{}",
            self.members[n].0,
            self.members[n].1,
            self.peers[n],
            seeds.collect::<String>(),
            self.cloud,
            self.store_links[n].address,
            &example[deployment..]
        )
    }

    /// Starts node `n` in this process.
    pub fn start(&self, n: usize) -> Service {
        self.start_with(n, |_| {})
    }

    /// As `start`, with edited settings.
    pub fn start_with(&self, n: usize, edit: impl Fn(&mut Settings)) -> Service {
        let text = include_str!("../../examples/node.toml");
        let mut settings = Settings::parse("node.toml", text).expect("the example");
        settings.member = self.members[n].0.clone();
        settings.http_bind = self.members[n].1;
        settings.peer_bind = self.peers[n];
        settings.store_address = self.store_links[n].address;
        settings.cloud_address = self.cloud;
        settings.config.heartbeat = Duration::from_millis(300);
        let mut seed = settings.peers[0].clone();
        settings.peers.clear();
        for m in (0..self.members.len()).filter(|m| *m != n) {
            seed.member = self.members[m].0.clone();
            seed.address = self.peer_links[m].address;
            settings.peers.push(seed.clone());
        }
        edit(&mut settings);
        Service::start(settings).expect("a node starts")
    }
}

/// The body of a submission.
pub fn submission(job_id: &str, task_count: u64) -> Value {
    map([
        ("Uid", text(job_id)),
        ("JobClass", text("plain")),
        ("Owner", text("vision")),
        ("JobKind", text("batch")),
        ("Urgency", text("standard")),
        ("Shards", Value::Int(task_count)),
        ("Vcpus", Value::Float(2.0)),
        ("Gpus", Value::Float(0.0)),
        ("MemoryGb", Value::Float(4.0)),
        ("ImageRef", text("img-1")),
        ("PullGb", Value::Float(1.0)),
        ("SamePlace", Value::Bool(false)),
        ("Spread", Value::Bool(false)),
        ("Preemptible", Value::Bool(true)),
        ("ExpectedS", Value::Float(1.0)),
        ("SnapshotEveryS", Value::Float(0.0)),
        ("SnapshotS", Value::Float(0.0)),
    ])
}

/// A job's record as the store keeps it.
pub fn job_record(job_id: &str, task_count: u64) -> Value {
    let amounts = [2.0, 0.0, 4.0].map(Value::Float).to_vec();
    map([
        ("uid", text(job_id)),
        ("class", text("plain")),
        ("owner", text("vision")),
        ("gang", Value::Bool(false)),
        ("urgency", Value::Int(1)),
        ("shards", Value::Int(task_count)),
        ("need", Value::List(amounts)),
        ("types", Value::Nil(())),
        ("site", Value::Nil(())),
        ("same_place", Value::Bool(false)),
        ("spread", Value::Bool(false)),
        ("spot", Value::Bool(true)),
        ("image", Value::List(vec![text("img-1"), Value::Float(1.0)])),
        ("expected", Value::Float(1.0)),
        ("every", Value::Float(0.0)),
        ("save", Value::Float(0.0)),
        ("due", Value::Nil(())),
        ("at", Value::Int(7)),
    ])
}

/// Submits a job until it is accepted or known.
pub fn submit(node: SocketAddr, job_id: &str, task_count: u64) {
    let body = submission(job_id, task_count);
    until("accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        matches!(status, 200 | 201).then_some(())
    });
}

/// The phase that a node answers for a job, if it answers one.
pub fn phase(node: SocketAddr, job_id: &str) -> Option<String> {
    let (status, body) = call("GET", node, &format!("/api/jobs/{job_id}"), None);
    (status == 200).then(|| body.text("Phase"))
}

/// The term in which a node leads.
pub fn leads(s: &Service) -> Option<Term> {
    match s.context.view.read().role {
        RoleView::Leader(t) => Some(t),
        RoleView::Follower(_) => None,
    }
}

/// The body of a submission of one task with dependencies.
pub fn submission_depending_on(job_id: &str, dependencies: &[&str]) -> Value {
    let mut s = submission(job_id, 1);
    if let Value::Map(m) = &mut s {
        let dependencies = dependencies.iter().map(|n| text(n)).collect();
        m.insert("Awaits".to_owned(), Value::List(dependencies));
    }
    s
}
