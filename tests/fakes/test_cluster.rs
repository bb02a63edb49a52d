//! A cluster of controllers on loopback with its fakes, and requests that users send to it.
//!
//! A wait ends as soon as its condition holds. Its limit only ends a test that would otherwise hang, and is
//! far longer than any machine needs.

use super::{call, free_port, map, start_cloud, text, CloudListing, FakeStore, Link, Value};
use cypressgap::core::model::Term;
use cypressgap::node::view::RoleView;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a test waits for a condition, far longer than any machine needs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits until `check` returns a value, and panics after [`WAIT_LIMIT`] with the text of the condition.
pub fn wait_until<T>(condition: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting for: {condition}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The fakes and addresses that the nodes of a cluster share.
pub struct TestCluster {
    pub store: FakeStore,
    /// The address of the cloud API.
    pub cloud: SocketAddr,
    pub cloud_listing: CloudListing,
    /// The member name of each node, and the address on which it serves users and workers.
    pub members: Vec<(String, SocketAddr)>,
    /// The addresses on which the nodes listen for their peers.
    pub peers: Vec<SocketAddr>,
    /// Each node's path to the store.
    pub store_links: Vec<Link>,
    /// The path of all other nodes to each node.
    pub peer_links: Vec<Link>,
}

impl TestCluster {
    /// Starts the fakes of a cluster and allocates the addresses of its nodes. No node is started.
    pub fn new(nodes: usize) -> TestCluster {
        let member = |n: usize| (format!("worker-{n}"), free_port());
        let store = FakeStore::start();
        let cloud_listing = CloudListing::default();
        let peers: Vec<SocketAddr> = (0..nodes).map(|_| free_port()).collect();
        TestCluster {
            cloud: start_cloud(cloud_listing.clone()),
            cloud_listing,
            members: (0..nodes).map(member).collect(),
            store_links: (0..nodes).map(|_| Link::to(store.address)).collect(),
            peer_links: peers.iter().map(|p| Link::to(*p)).collect(),
            peers,
            store,
        }
    }

    /// Partitions a node from the store, and all nodes from each other.
    pub fn partition(&self, n: usize) {
        self.store_links[n].partition();
        for l in &self.peer_links {
            l.partition();
        }
    }

    /// The platform's settings of a node, as a TOML text.
    pub fn platform_settings(&self, n: usize) -> String {
        let peers = (0..self.members.len()).filter(|m| *m != n).map(|m| {
            let (member, address) = (&self.members[m].0, self.peer_links[m].address);
            format!(
                "[[seeds]]\nmember = \"{member}\"\ndomain = \"hall-a\"\naddress = \"{address}\"\n"
            )
        });
        let example = include_str!("../../examples/node.toml");
        let deployment = example.find("[deployment]").expect("the example settings");
        format!(
            "member = \"{}\"\ndomain = \"hall-a\"\nfront = \"{}\"\npeer_bind = \"{}\"\n{}\
             [endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n{}",
            self.members[n].0,
            self.members[n].1,
            self.peers[n],
            peers.collect::<String>(),
            self.cloud,
            self.store_links[n].address,
            &example[deployment..]
        )
    }

    /// Starts node `n` in this process.
    pub fn start(&self, n: usize) -> Service {
        self.start_with(n, |_| {})
    }

    /// As [`TestCluster::start`], with settings that `edit` has changed.
    pub fn start_with(&self, n: usize, edit: impl Fn(&mut Settings)) -> Service {
        let text = include_str!("../../examples/node.toml");
        let mut settings = Settings::parse("node.toml", text).expect("the example settings");
        settings.member = self.members[n].0.clone();
        settings.http_bind = self.members[n].1;
        settings.peer_bind = self.peers[n];
        settings.store_address = self.store_links[n].address;
        settings.cloud_address = self.cloud;
        settings.config.heartbeat = Duration::from_millis(300);
        let mut peer = settings.peers[0].clone();
        settings.peers.clear();
        for m in (0..self.members.len()).filter(|m| *m != n) {
            peer.member = self.members[m].0.clone();
            peer.address = self.peer_links[m].address;
            settings.peers.push(peer.clone());
        }
        edit(&mut settings);
        Service::start(settings).expect("the node starts")
    }
}

/// The body of a submission of a batch job, whose tasks take 2 CPUs and 4 GB each.
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

/// The stored record of such a job.
pub fn job_record(job_id: &str, task_count: u64) -> Value {
    let resources = [2.0, 0.0, 4.0].map(Value::Float).to_vec();
    map([
        ("uid", text(job_id)),
        ("class", text("plain")),
        ("owner", text("vision")),
        ("gang", Value::Bool(false)),
        ("urgency", Value::Int(1)),
        ("shards", Value::Int(task_count)),
        ("need", Value::List(resources)),
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

/// Repeats a submission until the node accepts the job or answers that it is known.
pub fn submit(node: SocketAddr, job_id: &str, task_count: u64) {
    let body = submission(job_id, task_count);
    wait_until("the job is accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        matches!(status, 200 | 201).then_some(())
    });
}

/// The phase of a job according to a node. `None`: the node did not answer with status 200.
pub fn phase(node: SocketAddr, job_id: &str) -> Option<String> {
    let (status, body) = call("GET", node, &format!("/api/jobs/{job_id}"), None);
    (status == 200).then(|| body.text("Phase"))
}

/// The term in which a node leads. `None`: it follows.
pub fn leading_term(node: &Service) -> Option<Term> {
    match node.context.view.read().role {
        RoleView::Leader(t) => Some(t),
        RoleView::Follower(_) => None,
    }
}

/// The body of a submission of a job with one task and these dependencies.
pub fn submission_depending_on(job_id: &str, dependencies: &[&str]) -> Value {
    let mut body = submission(job_id, 1);
    if let Value::Map(m) = &mut body {
        let dependencies = dependencies.iter().map(|n| text(n)).collect();
        m.insert("Awaits".to_owned(), Value::List(dependencies));
    }
    body
}
