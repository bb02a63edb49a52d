//! A large fleet sends its heartbeats all at once to a node that has just come back.

use super::fakes::process::NodeProcess;
use super::fakes::test_cluster::*;
use super::fakes::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SENDERS: usize = 100;

/// The most memory that a process has held, in KiB.
fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let words = line.and_then(|l| l.split_whitespace().nth(1));
    words.and_then(|n| n.parse().ok()).expect("a number")
}

fn heartbeat(machine: usize, serial: u64) -> Value {
    map([
        ("Host", text(&format!("i-{machine:06}"))),
        ("Endpoint", text("127.0.0.1:9")),
        ("HostType", text("m8")),
        ("Site", text("hall-a")),
        ("Preemptible", Value::Bool(false)),
        ("Tenure", Value::Int(1)),
        ("Serial", Value::Int(serial)),
        ("Epoch", Value::Int(0)),
        ("Shards", Value::List(Vec::new())),
    ])
}

/// Each machine sends heartbeats until it is answered, a second after each refusal. Returns how many it took.
fn heartbeat_until_answered(node: std::net::SocketAddr, machine: usize) -> usize {
    for tries in 1..=60 {
        let body = heartbeat(machine, tries as u64);
        if call("POST", node, "/agent/beat", Some(&body)).0 == 200 {
            return tries;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("machine {machine} is never answered");
}

/// All machines send heartbeats within two seconds at most: each is answered before long, and memory stays bounded.
fn flood(machines: usize) -> (Duration, usize, u64) {
    let cluster = TestCluster::new(1);
    let node = cluster.members[0].1;
    let process = NodeProcess::start(&cluster, 0, |text| text, "(cypressgap (max-hosts 10000))");
    until("the node leads", || {
        cluster.store.value("ctl/leader").map(|_| ())
    });
    let next = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let senders = (0..SENDERS).map(|_| {
        let next = next.clone();
        std::thread::spawn(move || {
            let mut heartbeats = 0;
            loop {
                let machine = next.fetch_add(1, Ordering::SeqCst);
                if machine >= machines {
                    return heartbeats;
                }
                heartbeats += heartbeat_until_answered(node, machine);
            }
        })
    });
    let senders: Vec<_> = senders.collect();
    let heartbeats = senders.into_iter().map(|s| s.join().expect("answered"));
    let heartbeats = heartbeats.sum();
    (began.elapsed(), heartbeats, peak_memory(process.id()))
}

#[test]
fn a_fleet_that_sends_heartbeats_at_once_is_answered_within_bounded_memory() {
    let (took, heartbeats, memory) = flood(1000);
    println!("1000 machines: {took:?}, {heartbeats} reports, {memory} KiB");
    assert!(memory < 136 * 1024, "{memory} KiB");
}

/// `cargo test --release --test end_to_end measure_heartbeat_flood -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_heartbeat_flood() {
    for machines in [1000, 4000, 6000] {
        let (took, heartbeats, memory) = flood(machines);
        println!("{machines} machines: {took:?}, {heartbeats} reports, {memory} KiB");
    }
}
