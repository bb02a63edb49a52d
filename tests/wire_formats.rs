//! Bodies from outside, well-formed and not.

use cypressgap::core::admission::check_record_size;
use cypressgap::core::model::*;
use cypressgap::net::peer::{read_frame, write_frame, Hello, JobProgress, PeerRequest};
use cypressgap::net::wire::{decode, encode, InvalidField, StoredJob, Submission, WireHeartbeat};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Serialize)]
#[serde(untagged)]
enum V {
    T(&'static str),
    F(f64),
    I(i64),
    B(bool),
    N(Option<()>),
    L(Vec<V>),
    M(BTreeMap<&'static str, V>),
}

fn submission() -> BTreeMap<&'static str, V> {
    BTreeMap::from([
        ("Uid", V::T("wk-000412")),
        ("JobClass", V::T("train")),
        ("Owner", V::T("vision")),
        ("JobKind", V::T("group")),
        ("Urgency", V::T("high")),
        ("Shards", V::I(16)),
        ("Vcpus", V::F(8.0)),
        ("Gpus", V::F(1.0)),
        ("MemoryGb", V::F(64.0)),
        ("ImageRef", V::T("img-07")),
        ("PullGb", V::F(6.2)),
        ("HostTypes", V::L(vec![V::T("g8")])),
        ("Site", V::N(None)),
        ("SamePlace", V::B(true)),
        ("Spread", V::B(false)),
        ("Preemptible", V::B(true)),
        ("ExpectedS", V::F(240.0)),
        ("SnapshotEveryS", V::F(30.0)),
        ("SnapshotS", V::F(4.0)),
        ("DueS", V::F(900.0)),
    ])
}

fn read(m: &BTreeMap<&'static str, V>) -> Result<JobSpec, InvalidField> {
    decode::<Submission>(&encode(m))
        .ok_or(InvalidField("body"))
        .and_then(|s| s.to_spec(7))
}

#[test]
fn submissions_are_validated() {
    let spec = read(&submission()).unwrap();
    assert_eq!((spec.task_count, spec.kind), (16, JobKind::Gang));
    // What the store gives back is the same job.
    let stored: StoredJob = decode(&encode(&StoredJob::from(&spec))).unwrap();
    assert_eq!(JobSpec::try_from(stored), Ok(spec));

    let fine = [
        ("Vcpus", V::I(8)),
        ("DueS", V::N(None)),
        ("HostTypes", V::N(None)),
        ("Novelty", V::M(BTreeMap::from([("a", V::I(1))]))),
        ("SnapshotEveryS", V::F(0.0)),
        ("Shards", V::I(100_000)),
        ("Awaits", V::N(None)),
        ("Awaits", V::L(vec![])),
    ];
    for (field, value) in fine {
        let mut m = submission();
        m.insert(field, value);
        assert!(read(&m).is_ok(), "{field}");
    }
    for field in ["Site", "DueS", "HostTypes"] {
        let mut m = submission();
        m.remove(field);
        assert!(read(&m).is_ok(), "{field} may be omitted");
    }
    let bad = [
        ("Uid", V::T("job-1")),
        ("Uid", V::T("wk-")),
        ("Uid", V::T("wk-12/3")),
        ("Uid", V::I(412)),
        ("JobKind", V::T("swarm")),
        ("Urgency", V::T("soon")),
        ("Shards", V::I(0)),
        ("Shards", V::I(-1)),
        ("Shards", V::I(100_001)),
        ("Shards", V::F(2.5)),
        ("Vcpus", V::F(-1.0)),
        ("Vcpus", V::F(f64::NAN)),
        ("MemoryGb", V::F(f64::INFINITY)),
        ("ExpectedS", V::F(1e300)),
        ("DueS", V::F(-1.0)),
        ("HostTypes", V::T("g8")),
        ("ImageRef", V::T("")),
        ("Spread", V::N(None)),
        ("SamePlace", V::I(1)),
        ("Awaits", V::T("wk-000398")),
        ("Awaits", V::I(1)),
        ("Awaits", V::L(vec![V::T("wk-000398"), V::T("two")])),
        ("Awaits", V::L(vec![V::I(398)])),
    ];
    for (field, value) in bad {
        let mut m = submission();
        m.insert(field, value);
        assert!(read(&m).is_err(), "{field}");
    }
    let optional = ["Site", "DueS", "HostTypes"];
    for field in submission().keys().filter(|f| !optional.contains(f)) {
        let mut m = submission();
        m.remove(field);
        assert!(read(&m).is_err(), "{field} is missing");
    }
}

#[test]
fn dependencies_of_a_submission() {
    let named = |names: &[&'static str]| {
        let mut m = submission();
        m.insert("Awaits", V::L(names.iter().map(|n| V::T(n)).collect()));
        read(&m).unwrap()
    };
    // Each counts once, however often it is named.
    let spec = named(&["wk-000405", "wk-000398", "wk-000405"]);
    let expected: Vec<JobId> = vec!["wk-000398".into(), "wk-000405".into()];
    assert_eq!(spec.dependencies, expected);
    let stored = StoredJob::from(&spec);
    let back: StoredJob = decode(&encode(&stored)).unwrap();
    assert_eq!(JobSpec::try_from(back), Ok(spec));
    // Only what is not over stays in the record, and all of it counts for the record's size.
    let mut kept = stored.clone();
    kept.keep_dependencies(&["wk-000405".into()], false);
    assert_eq!(kept.dependencies(), ["wk-000405"]);
    assert!(kept.max_size_bytes() < stored.max_size_bytes());
    let many: Vec<&'static str> = vec!["wk-00000000000000000001"; 1];
    let one = StoredJob::from(&named(&many)).max_size_bytes();
    let none = StoredJob::from(&named(&[])).max_size_bytes();
    assert!(one >= none + many[0].len() + 3);
}

#[test]
fn malformed_submission_bodies() {
    let deep = [vec![0x91u8; 5000], vec![0xc0]].concat();
    let cases: [&[u8]; 6] = [
        b"",
        b"\xc1",
        b"{\"Uid\":1}",
        &[0x93, 1, 2, 3],
        &[0x81],
        &deep,
    ];
    for body in cases {
        let m = decode::<Submission>(body).ok_or(InvalidField("body"));
        assert!(m.and_then(|s| s.to_spec(0)).is_err(), "{body:?}");
    }
}

#[test]
fn heartbeats_are_validated() {
    let task = |name, phase, why: Option<&'static str>| {
        let mut m = BTreeMap::from([
            ("Shard", V::T(name)),
            ("Try", V::I(2)),
            ("Phase", V::T(phase)),
        ]);
        if let Some(w) = why {
            m.insert("ExitReason", V::T(w));
        }
        V::M(m)
    };
    let heartbeat = |tasks: Vec<V>| {
        let m = BTreeMap::from([
            ("Host", V::T("i-000231")),
            ("Endpoint", V::T("10.1.0.232:9000")),
            ("HostType", V::T("g8")),
            ("Site", V::T("a")),
            ("Preemptible", V::B(true)),
            ("Tenure", V::I(1)),
            ("Serial", V::I(88)),
            ("Epoch", V::I(41)),
            ("EvictionS", V::N(None)),
            ("Shards", V::L(tasks)),
        ]);
        decode::<WireHeartbeat>(&encode(&m)).and_then(|r| Heartbeat::try_from(r).ok())
    };
    let cases = [
        ("fetching", None, Some(TaskPhase::Fetching)),
        ("gathering", None, Some(TaskPhase::WaitingForGang)),
        ("flushing", None, Some(TaskPhase::Checkpointing)),
        (
            "ended",
            Some("done"),
            Some(TaskPhase::Ended(ExitReason::Completed)),
        ),
        (
            "ended",
            Some("novel"),
            Some(TaskPhase::Ended(ExitReason::Failed)),
        ),
        ("ended", None, None),
        ("sleeping", None, None),
    ];
    for (phase, why, expected) in cases {
        let read = heartbeat(vec![task("wk-000412/3", phase, why)]);
        assert_eq!(read.map(|r| r.tasks[0].phase), expected, "{phase}");
    }
    // Leaving an unreadable task out would look like proof that it is gone.
    let odd = heartbeat(vec![
        task("wk-000412/3", "running", None),
        task("x", "running", None),
    ]);
    assert_eq!(odd, None);
}

#[test]
fn peer_frames_are_validated() {
    let hello = PeerRequest::Hello(Hello {
        member: "worker-1".into(),
        leader_term: Some(4),
        highest_term: 4,
        store_available: true,
        user_changes_per_s: 3.5,
        leader_changes_per_s: 0.0,
        timer_lag_ms: 12,
        worker_count: 3,
        progress: vec![JobProgress {
            job_id: "wk-000001".into(),
            done: 1,
            running: 2,
        }],
        finished_jobs: vec![],
    });
    let mut wire = Vec::new();
    write_frame(&mut wire, &hello).unwrap();
    assert_eq!(
        read_frame::<PeerRequest>(&mut wire.as_slice()).unwrap(),
        hello
    );
    let bad: [&[u8]; 3] = [
        &wire[..wire.len() - 1],
        &[255, 255, 255, 255, 0],
        &[1, 0, 0, 0, 9],
    ];
    for frame in bad {
        assert!(read_frame::<PeerRequest>(&mut &frame[..]).is_err());
    }
}

/// Guards against a job that is taken for an outage of the store because its value is refused.
#[test]
fn a_job_spec_too_long_for_a_stored_value_is_refused() {
    let long = |n: usize, c: char| {
        (0..n)
            .map(|_| c.to_string().repeat(200))
            .collect::<Vec<_>>()
    };
    // Machine types named, and whether 8 KiB hold them.
    let cases = [
        ("none", vec![], true),
        ("some", long(20, 'a'), true),
        ("many", long(45, 'a'), false),
        ("few that are escaped", long(10, '\u{1}'), false),
        ("few beyond the plane", long(5, '\u{1F600}'), false),
    ];
    for (name, types, fits) in cases {
        let mut s = read(&submission()).expect("a submission");
        s.machine_types = Some(types.iter().map(|t| t.as_str().into()).collect());
        let size = StoredJob::from(&s).max_size_bytes();
        // The bound holds: this form is shorter than the one that sizes are measured in.
        assert!(size > encode(&StoredJob::from(&s)).len(), "{name}");
        assert_eq!(
            check_record_size(size, 8 * 1024).is_ok(),
            fits,
            "{name}: {size}"
        );
    }
}
