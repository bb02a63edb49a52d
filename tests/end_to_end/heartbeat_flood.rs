//! All workers of a large fleet send their heartbeats at once to a node that has just started. Guards against
//! heartbeats that are never answered, and against memory that grows with their number.

use super::fakes::process::NodeProcess;
use super::fakes::test_cluster::*;
use super::fakes::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of threads that send heartbeats at the same time.
const SENDERS: usize = 100;

/// The peak resident memory of a process, in KiB.
fn peak_memory_kib(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))
        .expect("the process has a status file");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value
        .and_then(|n| n.parse().ok())
        .expect("the peak memory is a number")
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

/// Sends a machine's heartbeats until one is accepted, 200 ms after each refusal, and returns how many were
/// sent. Panics after 60.
fn heartbeat_until_accepted(node: std::net::SocketAddr, machine: usize) -> usize {
    for sent in 1..=60 {
        let body = heartbeat(machine, sent as u64);
        if call("POST", node, "/agent/beat", Some(&body)).0 == 200 {
            return sent;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("no heartbeat of machine {machine} was accepted");
}

/// Sends heartbeats of all machines from [`SENDERS`] threads until each machine has one accepted. Returns the
/// time that this took, the number of heartbeats sent, and the peak memory of the node in KiB.
fn flood(machines: usize) -> (Duration, usize, u64) {
    let cluster = TestCluster::new(1);
    let node = cluster.members[0].1;
    let process = NodeProcess::start(&cluster, 0, |text| text, "(cypressgap (max-hosts 10000))");
    wait_until("the node leads", || {
        cluster.store.value("ctl/leader").map(|_| ())
    });
    let next_machine = Arc::new(AtomicUsize::new(0));
    let started_at = Instant::now();
    let senders = (0..SENDERS).map(|_| {
        let next_machine = next_machine.clone();
        std::thread::spawn(move || {
            let mut heartbeats = 0;
            loop {
                let machine = next_machine.fetch_add(1, Ordering::SeqCst);
                if machine >= machines {
                    return heartbeats;
                }
                heartbeats += heartbeat_until_accepted(node, machine);
            }
        })
    });
    let senders: Vec<_> = senders.collect();
    let heartbeats = senders
        .into_iter()
        .map(|s| s.join().expect("all heartbeats of the thread are accepted"));
    let heartbeats = heartbeats.sum();
    (
        started_at.elapsed(),
        heartbeats,
        peak_memory_kib(process.id()),
    )
}

/// 1000 machines send their heartbeats to a node that has just begun to lead.
#[test]
fn a_fleet_that_sends_heartbeats_at_once_is_answered_within_bounded_memory() {
    let (elapsed, heartbeats, memory_kib) = flood(1000);
    println!("1000 machines: {elapsed:?}, {heartbeats} heartbeats, {memory_kib} KiB");
    assert!(memory_kib < 136 * 1024, "{memory_kib} KiB");
}

/// Prints the figures for larger fleets:
/// `cargo test --release --test end_to_end measure_heartbeat_flood -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_heartbeat_flood() {
    for machines in [1000, 4000, 6000] {
        let (elapsed, heartbeats, memory_kib) = flood(machines);
        println!("{machines} machines: {elapsed:?}, {heartbeats} heartbeats, {memory_kib} KiB");
    }
}
