//! Jobs cancelled together with their dependents, over whole nodes: outages, lost answers and ends of
//! nodes between the steps.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn submit_depending_on(node: SocketAddr, job_id: &str, dependencies: &[&str]) {
    let body = submission_depending_on(job_id, dependencies);
    until("accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        assert_ne!(status, 422, "{job_id}");
        matches!(status, 200 | 201).then_some(())
    });
}

fn cancel(node: SocketAddr, job_id: &str) -> u16 {
    let path = format!("/api/jobs/{job_id}/withdraw");
    call("POST", node, &path, None).0
}

/// Asks about a job and then about a dependent, again and again: once the first is called cancelled,
/// the second may be called nothing else.
fn assert_never_orphaned(nodes: &[SocketAddr], root: &str, dependents: &[&str], why: &str) {
    let start = Instant::now();
    let mut root_cancelled = false;
    let mut unsettled = vec![String::new()];
    while !unsettled.is_empty() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "{why}: never settled: {unsettled:?}"
        );
        unsettled.clear();
        for node in nodes {
            root_cancelled |= phase(*node, root).as_deref() == Some("withdrawn");
            for dependent in dependents {
                let answered = phase(*node, dependent);
                let cancelled = answered.as_deref() == Some("withdrawn");
                assert!(
                    !root_cancelled || cancelled || answered.is_none(),
                    "{why}: {dependent} {answered:?}"
                );
                if !cancelled {
                    unsettled.push(format!("{dependent} {answered:?}"));
                }
            }
        }
        if !root_cancelled {
            unsettled.push(format!("{root}, never called cancelled"));
        }
    }
}

/// The first step of a cancellation is durable, and then the store is out for longer than
/// `cancel_s`; the node that began may have ended. Whoever asks first afterwards finds no dependent
/// called queued whose dependency is called cancelled.
#[test]
fn an_outage_between_the_steps_of_a_cascade_orphans_nobody() {
    // The key whose write is followed by the outage, and whether the confirming node ends.
    let cases = [
        ("j/wk-000400", false),
        ("j/wk-000400", true),
        ("j/wk-000401", false),
        ("j/wk-000401", true),
    ];
    std::thread::scope(|s| {
        for (key, ends) in cases {
            s.spawn(move || outage_in_a_cascade(key, ends));
        }
    });
}

fn outage_in_a_cascade(key: &'static str, ends: bool) {
    let why = format!("{key}, ends {ends}");
    let (lease, cancel_bound) = (Duration::from_secs(3), Duration::from_secs(11));
    let cluster = TestCluster::new(2);
    let mut nodes = [0, 1].map(|n| {
        Some(cluster.start_with(n, |s| {
            (s.config.lease, s.config.cancel) = (lease, cancel_bound);
        }))
    });
    until("one leads", || {
        nodes.iter().flatten().find_map(leading_term)
    });
    let confirming = nodes
        .iter()
        .position(|n| n.as_ref().is_some_and(|n| leading_term(n).is_none()))
        .expect("a follower");
    let [a, b] = [
        cluster.members[confirming].1,
        cluster.members[1 - confirming].1,
    ];
    submit(a, "wk-000400", 1);
    submit_depending_on(b, "wk-000401", &["wk-000400"]);
    submit_depending_on(a, "wk-000402", &["wk-000401"]);
    cluster
        .store
        .inject_fault(key, Fault::UnavailableAfterwards);
    cancel(a, "wk-000400");
    until("the outage", || {
        cluster
            .store
            .unavailable
            .load(Ordering::SeqCst)
            .then_some(())
    });
    if ends {
        if let Some(node) = nodes[confirming].take() {
            node.stop();
        }
    }
    std::thread::sleep(cancel_bound);
    cluster.store.unavailable.store(false, Ordering::SeqCst);
    let asked: Vec<SocketAddr> = if ends { vec![b] } else { vec![b, a] };
    assert_never_orphaned(&asked, "wk-000400", &["wk-000401", "wk-000402"], &why);
    until("confirmed", || {
        (cancel(b, "wk-000400") == 200).then_some(())
    });
    for node in nodes.into_iter().flatten() {
        node.stop();
    }
}

fn wait_until_index_is_cleared(cluster: &TestCluster, why: &str) {
    let start = Instant::now();
    loop {
        let mut left = cluster.store.keys("q/");
        left.extend(cluster.store.keys("d/"));
        if left.is_empty() {
            return;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "{why}: left {left:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against keys that nobody removes: a leader whose watch is late hears of an acceptance only
/// when its own node has told users that the job is cancelled.
#[test]
fn a_job_cancelled_before_its_acceptance_is_known_leaves_the_index() {
    let cluster = TestCluster::new(1);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    until("one leads", || leading_term(&node));
    submit(address, "wk-000600", 1);
    cluster.store.queue_watch_held.store(true, Ordering::SeqCst);
    submit_depending_on(address, "wk-000601", &["wk-000600"]);
    submit(address, "wk-000602", 1);
    for job_id in ["wk-000600", "wk-000602"] {
        until("confirmed", || {
            (cancel(address, job_id) == 200).then_some(())
        });
    }
    assert_never_orphaned(&[address], "wk-000600", &["wk-000601"], "a late watch");
    cluster
        .store
        .queue_watch_held
        .store(false, Ordering::SeqCst);
    wait_until_index_is_cleared(&cluster, "a late watch");
    node.stop();
}

/// Guards against lists that nobody removes: a submission was entered in one, and was then refused
/// because another of its dependencies was cancelled, while the leader still lived.
#[test]
fn a_list_without_a_dependent_goes_once_no_node_needs_lists() {
    let cluster = TestCluster::new(1);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    until("one leads", || leading_term(&node));
    submit(address, "wk-000620", 1);
    cluster.store.put(
        "d/wk-000620",
        map([("by", Value::List(vec![text("wk-000621")]))]),
    );
    until("confirmed", || {
        (cancel(address, "wk-000620") == 200).then_some(())
    });
    wait_until_index_is_cleared(&cluster, "a list without a dependent");
    node.stop();
}

/// Submissions that name a job race with its cancellation, at both nodes, while transactions of
/// either are answered late or not at all. Whatever was accepted is cancelled with it, for everybody.
#[test]
fn submissions_and_a_cancellation_interleave() {
    let late = Fault::Late(Duration::from_millis(1700));
    let cases: [(&str, &[(&str, Fault)]); 5] = [
        ("no fault", &[]),
        (
            "an acceptance's answer is lost",
            &[("q/l/wk-0005", Fault::AnswerLost)],
        ),
        ("an acceptance is late", &[("q/l/wk-0005", late)]),
        (
            "the cancellation's answer is lost",
            &[("j/wk-000500", Fault::AnswerLost)],
        ),
        ("the cancellation is late", &[("j/wk-000500", late)]),
    ];
    std::thread::scope(|s| {
        for (why, faults) in cases {
            s.spawn(move || race_submissions_with_cancellation(why, faults));
        }
    });
}

fn race_submissions_with_cancellation(why: &str, faults: &[(&'static str, Fault)]) {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    until("one leads", || nodes.iter().find_map(leading_term));
    submit(a, "wk-000500", 1);
    let submit_some = |node: SocketAddr, first: u32| {
        let mut accepted = Vec::new();
        let mut before = "wk-000500".to_owned();
        for n in first..first + 12 {
            let job_id = format!("wk-{n:06}");
            // A fan and chains at once.
            let body = submission_depending_on(&job_id, &["wk-000500", &before]);
            let start = Instant::now();
            while start.elapsed() < Duration::from_secs(6) {
                if matches!(call("POST", node, "/api/jobs", Some(&body)).0, 200 | 201) {
                    accepted.push(job_id.clone());
                    before = job_id;
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        accepted
    };
    let mut dependents = Vec::new();
    std::thread::scope(|s| {
        let first = s.spawn(|| submit_some(a, 510));
        let second = s.spawn(|| submit_some(b, 540));
        std::thread::sleep(Duration::from_millis(60));
        for (prefix, fault) in faults {
            cluster.store.inject_fault(prefix, *fault);
        }
        until("confirmed", || {
            (cancel(b, "wk-000500") == 200).then_some(())
        });
        for submitted in [first, second] {
            dependents.extend(submitted.join().expect("submissions"));
        }
    });
    assert!(dependents.len() > 6, "{why}: {dependents:?}");
    let names: Vec<&str> = dependents.iter().map(String::as_str).collect();
    assert_never_orphaned(&[a, b], "wk-000500", &names, why);
    wait_until_index_is_cleared(&cluster, why);
    for node in nodes {
        node.stop();
    }
}

/// No number of dependents is a reason to refuse another one: neither the lists that an earlier
/// version needs nor anything else is full for ever.
#[test]
fn any_number_of_jobs_may_depend_on_one() {
    const DEPENDENTS: u32 = 60;
    // Two nodes that know each other's version, and one that has never heard its peer.
    for versions_known in [true, false] {
        let cluster = TestCluster::new(2);
        // Lists with room for a few names only.
        let small = |s: &mut cypressgap::settings::Settings| s.config.value_bytes = 700;
        let mut nodes = vec![cluster.start_with(0, small)];
        if versions_known {
            nodes.push(cluster.start_with(1, small));
            until("they know each other", || {
                let knows = |n: &cypressgap::runtime::service::Service| {
                    n.context.peers.iter().all(|p| p.supports(3))
                };
                nodes.iter().all(knows).then_some(())
            });
        }
        let node = cluster.members[0].1;
        submit(node, "wk-000600", 1);
        for n in 0..DEPENDENTS {
            submit_depending_on(node, &format!("wk-{:06}", 700 + n), &["wk-000600"]);
        }
        let lists = cluster.store.keys("d/").len();
        assert_eq!(
            lists == 0,
            versions_known,
            "lists are kept for earlier versions only"
        );
        until("confirmed", || {
            if cancel(node, "wk-000600") == 200 {
                return Some(());
            }
            // As its Retry-After says.
            std::thread::sleep(Duration::from_secs(1));
            None
        });
        for n in 0..DEPENDENTS {
            let job_id = format!("wk-{:06}", 700 + n);
            let answered = until("told", || phase(node, &job_id));
            assert_eq!(answered, "withdrawn", "{job_id}");
        }
        until("lists and index are cleared", || {
            let left = cluster.store.keys("q/").len() + cluster.store.keys("d/").len();
            (left == 0).then_some(())
        });
        for node in nodes {
            node.stop();
        }
    }
}

/// The store allows fewer changes a transaction than the settings say, from one moment on: in
/// the middle of a cascade, inside an outage, or while another leader loads. Nothing is lost, and what
/// was refused goes on in parts.
#[test]
fn store_limits_fall_in_the_middle_of_a_cascade() {
    #[derive(Clone, Copy, Debug)]
    enum Coincidence {
        Nothing,
        AnOutage,
        ANewLeader,
    }
    std::thread::scope(|s| {
        for coincidence in [
            Coincidence::Nothing,
            Coincidence::AnOutage,
            Coincidence::ANewLeader,
        ] {
            s.spawn(move || {
                let cluster = TestCluster::new(2);
                let mut nodes = [Some(cluster.start(0)), Some(cluster.start(1))];
                let worker =
                    FakeWorker::start("i-1", Duration::from_millis(300), cluster.members.clone());
                until("one leads", || {
                    nodes.iter().flatten().find_map(leading_term)
                });
                let leading = nodes
                    .iter()
                    .position(|n| n.as_ref().is_some_and(|n| leading_term(n).is_some()))
                    .expect("a leader");
                let other = cluster.members[1 - leading].1;
                worker.set_run_time(Duration::from_secs(600));
                submit(other, "wk-000750", 1);
                let dependents: Vec<String> = (751..766).map(|n| format!("wk-{n:06}")).collect();
                for job_id in &dependents {
                    submit_depending_on(other, job_id, &["wk-000750"]);
                }
                cluster.store.max_changes.store(3, Ordering::SeqCst);
                // It may be told to come back while the rate of changes is used up. Once its own
                // outcome is durable, nobody asks again: the rest is the nodes' to finish.
                until("the cancellation is durable", || {
                    cancel(other, "wk-000750");
                    let outcomes = cluster.store.keys("j/wk-000750").len();
                    (outcomes == 1).then_some(())
                });
                match coincidence {
                    Coincidence::Nothing => {}
                    Coincidence::AnOutage => {
                        cluster.store.unavailable.store(true, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_secs(3));
                        cluster.store.unavailable.store(false, Ordering::SeqCst);
                    }
                    Coincidence::ANewLeader => {
                        if let Some(node) = nodes[leading].take() {
                            node.stop();
                        }
                    }
                }
                let names: Vec<&str> = dependents.iter().map(String::as_str).collect();
                assert_never_orphaned(&[other], "wk-000750", &names, &format!("{coincidence:?}"));
                // What comes afterwards is served as well.
                worker.set_run_time(Duration::from_millis(300));
                submit(other, "wk-000790", 2);
                until("it ends", || {
                    (phase(other, "wk-000790")? == "done").then_some(())
                });
                for node in nodes.into_iter().flatten() {
                    node.stop();
                }
            });
        }
    });
}
