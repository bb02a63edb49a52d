//! The numbers of a small deployment, and the controllers as processes.

use crate::codec::{call, V};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    pub sites: Vec<&'static str>,
}

#[derive(Clone)]
pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

#[derive(Clone)]
pub struct Site {
    pub zone: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    /// The table `state.next` of the settings, if there is one.
    pub next_limits: Option<&'static str>,
    pub ram_mb: f64,
    pub max_sockets: usize,
    pub teams: Vec<Team>,
    pub types: Vec<MachineType>,
}

/// vrstva-brno as in the brief.
pub fn brno() -> Site {
    Site {
        zone: "brno-dc",
        report_s: 3.0,
        lease_s: 22.0,
        gang_wait_s: 40.0,
        gang_peer_s: 6.0,
        cancel_s: 47.0,
        rps: 150.0,
        write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 24,
        cloud_rps: 1.5,
        next_limits: None,
        ram_mb: 136.0,
        max_sockets: 2500,
        teams: vec![Team {
            name: "registry-ops",
            cpus: 80.0,
            cpus_max: 160.0,
        }],
        types: vec![MachineType {
            name: "blob-node",
            cpus: 32.0,
            memory_gb: 128.0,
            price: 1.65,
            spot_price: 0.65,
            cache_gb: 70.0,
            fetch_gb_per_s: 0.8,
            boot_s: 35.0,
            sites: vec!["brno-dc", "ostrava-dc"],
        }],
    }
}

/// hsfoa-athens as in the brief.
pub fn athens() -> Site {
    let machine =
        |name, cpus, memory_gb, price, spot_price, cache_gb, fetch_gb_per_s, boot_s| MachineType {
            name,
            cpus,
            memory_gb,
            price,
            spot_price,
            cache_gb,
            fetch_gb_per_s,
            boot_s,
            sites: vec!["attica-hall"],
        };
    Site {
        zone: "attica-hall",
        report_s: 3.0,
        lease_s: 34.0,
        gang_wait_s: 50.0,
        gang_peer_s: 5.0,
        cancel_s: 54.0,
        rps: 200.0,
        write_rps: 60.0,
        value_kb: 32.0,
        txn_ops: 48,
        cloud_rps: 5.0,
        next_limits: None,
        ram_mb: 200.0,
        max_sockets: 3500,
        teams: vec![Team {
            name: "duty-desk",
            cpus: 0.0,
            cpus_max: 0.0,
        }],
        types: vec![
            machine("relay-box", 4.0, 16.0, 0.2, 0.05, 70.0, 0.3, 40.0),
            machine("pick-server", 32.0, 128.0, 1.54, 0.38, 60.0, 0.3, 20.0),
            machine("inversion-rack", 64.0, 256.0, 2.95, 0.75, 40.0, 0.4, 35.0),
        ],
    }
}

pub struct Node {
    pub member: String,
    pub front: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    dir: PathBuf,
}

/// A free port below the range from which the system chooses ports, so that no other socket gets it.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id() * 97;
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let mut command = Command::new("target/release/cypressgap");
        command
            .args(["--operators", "deploy/operators.lisp", "--config"])
            .arg(&self.config)
            .current_dir(&self.dir)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from));
        // The process ends with the one that started it, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the program starts"));
    }
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    /// Whether the process has ended by itself.
    pub fn ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }
    pub fn up(&self) -> bool {
        call("GET", self.front, "/up", None, Duration::from_secs(1)).0 == 200
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The controllers of a site, not started yet.
pub fn nodes(
    site: &Site,
    root: &std::path::Path,
    temporary: &std::path::Path,
    count: usize,
    store: SocketAddr,
    cloud: SocketAddr,
) -> Vec<Node> {
    let fronts: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
    let mut nodes = Vec::new();
    for n in 0..count {
        let mut t = format!(
            "member = \"worker-{n}\"\ndomain = \"{z}\"\nfront = \"{}\"\npeer_bind = \"{}\"\n",
            fronts[n],
            peers[n],
            z = site.zone
        );
        for (m, peer) in peers.iter().enumerate().filter(|(m, _)| *m != n) {
            t += &format!(
                "[[seeds]]\nmember = \"worker-{m}\"\ndomain = \"{}\"\naddress = \"{peer}\"\n",
                site.zone
            );
        }
        t += &format!(
            "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n[deployment]\ncount = {count}\n\
             zones = [\"{}\"]\nskew_ms = 25.0\n",
            site.zone
        );
        for team in &site.teams {
            t += &format!(
                "[[deployment.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\n\
                 gpus_max = 0.0\n",
                team.name, team.cpus, team.cpus_max
            );
        }
        t += &format!(
            "[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\n\
             gang_peer_s = {:?}\ncancel_s = {:?}\n[deployment.state]\nrps = {:?}\n\
             write_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n[deployment.cloud]\nrps = {:?}\n\
             list_lag_s = 8.0\n[deployment.quota]\ncpu = 0.12\nram_mb = {:?}\nmax_sockets = {}\n",
            site.report_s,
            site.lease_s,
            site.gang_wait_s,
            site.gang_peer_s,
            site.cancel_s,
            site.rps,
            site.write_rps,
            site.value_kb,
            site.txn_ops,
            site.cloud_rps,
            site.ram_mb,
            site.max_sockets
        );
        if let Some(next) = site.next_limits {
            t += &format!("[deployment.state.next]\n{next}\n");
        }
        let config = temporary.join(format!("node-{n}.toml"));
        std::fs::write(&config, t).expect("the settings are written");
        nodes.push(Node {
            member: format!("worker-{n}"),
            front: fronts[n],
            config,
            log: temporary.join(format!("node-{n}.log")),
            child: None,
            dir: root.to_path_buf(),
        });
    }
    nodes
}

/// A batch job of `shards` tasks.
pub fn job(uid: &str, owner: &str, shards: u64, cpus: f64, memory_gb: f64) -> V {
    use crate::codec::{map, s};
    map([
        ("Uid", s(uid)),
        ("JobClass", s("blob-gc")),
        ("Owner", s(owner)),
        ("JobKind", s("batch")),
        ("Urgency", s("standard")),
        ("Shards", V::U(shards)),
        ("Vcpus", V::F(cpus)),
        ("Gpus", V::F(0.0)),
        ("MemoryGb", V::F(memory_gb)),
        ("ImageRef", s("img-01")),
        ("PullGb", V::F(2.0)),
        ("HostTypes", V::Nil),
        ("Site", V::Nil),
        ("SamePlace", V::Bool(false)),
        ("Spread", V::Bool(false)),
        ("Preemptible", V::Bool(true)),
        ("ExpectedS", V::F(20.0)),
        ("SnapshotEveryS", V::F(0.0)),
        ("SnapshotS", V::F(0.0)),
        ("DueS", V::Nil),
    ])
}
