//! Validation of bodies and frames from outside: submissions, heartbeats and messages of peers.

use cypressgap::core::admission::check_record_size;
use cypressgap::core::model::*;
use cypressgap::net::peer::{read_frame, write_frame, Hello, JobProgress, PeerRequest};
use cypressgap::net::wire::{decode, encode, InvalidField, StoredJob, Submission, WireHeartbeat};
use serde::Serialize;
use std::collections::BTreeMap;

/// A MessagePack value.
#[derive(Clone, Serialize)]
#[serde(untagged)]
enum Value {
    Text(&'static str),
    Float(f64),
    Int(i64),
    Bool(bool),
    Nil(Option<()>),
    List(Vec<Value>),
    Map(BTreeMap<&'static str, Value>),
}

/// The fields of a valid submission.
fn submission_fields() -> BTreeMap<&'static str, Value> {
    BTreeMap::from([
        ("Uid", Value::Text("wk-000412")),
        ("JobClass", Value::Text("train")),
        ("Owner", Value::Text("vision")),
        ("JobKind", Value::Text("group")),
        ("Urgency", Value::Text("high")),
        ("Shards", Value::Int(16)),
        ("Vcpus", Value::Float(8.0)),
        ("Gpus", Value::Float(1.0)),
        ("MemoryGb", Value::Float(64.0)),
        ("ImageRef", Value::Text("img-07")),
        ("PullGb", Value::Float(6.2)),
        ("HostTypes", Value::List(vec![Value::Text("g8")])),
        ("Site", Value::Nil(None)),
        ("SamePlace", Value::Bool(true)),
        ("Spread", Value::Bool(false)),
        ("Preemptible", Value::Bool(true)),
        ("ExpectedS", Value::Float(240.0)),
        ("SnapshotEveryS", Value::Float(30.0)),
        ("SnapshotS", Value::Float(4.0)),
        ("DueS", Value::Float(900.0)),
    ])
}

/// Decodes and validates a submission that is accepted at the time 7.
fn parse_submission(fields: &BTreeMap<&'static str, Value>) -> Result<JobSpec, InvalidField> {
    decode::<Submission>(&encode(fields))
        .ok_or(InvalidField("body"))
        .and_then(|submission| submission.to_spec(7))
}

/// Guards against a job that is accepted with values with which it cannot be scheduled or that its record
/// cannot hold, and against valid submissions that are rejected.
#[test]
fn submissions_are_validated() {
    let spec = parse_submission(&submission_fields()).unwrap();
    assert_eq!((spec.task_count, spec.kind), (16, JobKind::Gang));
    // The stored record is decoded as the same job.
    let stored: StoredJob = decode(&encode(&StoredJob::from(&spec))).unwrap();
    assert_eq!(JobSpec::try_from(stored), Ok(spec));

    let valid = [
        ("Vcpus", Value::Int(8)),
        ("DueS", Value::Nil(None)),
        ("HostTypes", Value::Nil(None)),
        (
            "Novelty",
            Value::Map(BTreeMap::from([("a", Value::Int(1))])),
        ),
        ("SnapshotEveryS", Value::Float(0.0)),
        ("Shards", Value::Int(100_000)),
        ("Awaits", Value::Nil(None)),
        ("Awaits", Value::List(vec![])),
    ];
    for (field, value) in valid {
        let mut fields = submission_fields();
        fields.insert(field, value);
        assert!(parse_submission(&fields).is_ok(), "{field}");
    }
    for field in ["Site", "DueS", "HostTypes"] {
        let mut fields = submission_fields();
        fields.remove(field);
        assert!(parse_submission(&fields).is_ok(), "{field} may be omitted");
    }
    let invalid = [
        ("Uid", Value::Text("job-1")),
        ("Uid", Value::Text("wk-")),
        ("Uid", Value::Text("wk-12/3")),
        ("Uid", Value::Int(412)),
        ("JobKind", Value::Text("swarm")),
        ("Urgency", Value::Text("soon")),
        ("Shards", Value::Int(0)),
        ("Shards", Value::Int(-1)),
        ("Shards", Value::Int(100_001)),
        ("Shards", Value::Float(2.5)),
        ("Vcpus", Value::Float(-1.0)),
        ("Vcpus", Value::Float(f64::NAN)),
        ("MemoryGb", Value::Float(f64::INFINITY)),
        ("ExpectedS", Value::Float(1e300)),
        ("DueS", Value::Float(-1.0)),
        ("HostTypes", Value::Text("g8")),
        ("ImageRef", Value::Text("")),
        ("Spread", Value::Nil(None)),
        ("SamePlace", Value::Int(1)),
        ("Awaits", Value::Text("wk-000398")),
        ("Awaits", Value::Int(1)),
        (
            "Awaits",
            Value::List(vec![Value::Text("wk-000398"), Value::Text("two")]),
        ),
        ("Awaits", Value::List(vec![Value::Int(398)])),
    ];
    for (field, value) in invalid {
        let mut fields = submission_fields();
        fields.insert(field, value);
        assert!(parse_submission(&fields).is_err(), "{field}");
    }
    let optional = ["Site", "DueS", "HostTypes"];
    for field in submission_fields().keys().filter(|f| !optional.contains(f)) {
        let mut fields = submission_fields();
        fields.remove(field);
        assert!(parse_submission(&fields).is_err(), "{field} is missing");
    }
}

/// Guards against a dependency that is counted twice, and against a record whose size bound leaves the
/// dependencies out, so that the store would reject it.
#[test]
fn dependencies_of_a_submission() {
    let with_dependencies = |job_ids: &[&'static str]| {
        let mut fields = submission_fields();
        fields.insert(
            "Awaits",
            Value::List(job_ids.iter().map(|id| Value::Text(id)).collect()),
        );
        parse_submission(&fields).unwrap()
    };
    // A dependency counts once, even if the submission names it several times.
    let spec = with_dependencies(&["wk-000405", "wk-000398", "wk-000405"]);
    let expected: Vec<JobId> = vec!["wk-000398".into(), "wk-000405".into()];
    assert_eq!(spec.dependencies, expected);
    let stored = StoredJob::from(&spec);
    let decoded: StoredJob = decode(&encode(&stored)).unwrap();
    assert_eq!(JobSpec::try_from(decoded), Ok(spec));
    // Only dependencies that have not ended stay in the record, and each of them counts for the record's
    // size.
    let mut reduced = stored.clone();
    reduced.keep_dependencies(&["wk-000405".into()], false);
    assert_eq!(reduced.dependencies(), ["wk-000405"]);
    assert!(reduced.max_size_bytes() < stored.max_size_bytes());
    let job_ids: Vec<&'static str> = vec!["wk-00000000000000000001"; 1];
    let size_with_one = StoredJob::from(&with_dependencies(&job_ids)).max_size_bytes();
    let size_without = StoredJob::from(&with_dependencies(&[])).max_size_bytes();
    assert!(size_with_one >= size_without + job_ids[0].len() + 3);
}

/// Guards against a body that is accepted although it is not a submission, or that exhausts the stack by its
/// depth.
#[test]
fn malformed_submission_bodies_are_rejected() {
    let deeply_nested = [vec![0x91u8; 5000], vec![0xc0]].concat();
    let cases: [&[u8]; 6] = [
        b"",
        b"\xc1",
        b"{\"Uid\":1}",
        &[0x93, 1, 2, 3],
        &[0x81],
        &deeply_nested,
    ];
    for body in cases {
        let submission = decode::<Submission>(body).ok_or(InvalidField("body"));
        assert!(submission.and_then(|s| s.to_spec(0)).is_err(), "{body:?}");
    }
}

/// Guards against heartbeats that are misread, and against a task that is taken for ended because its entry
/// cannot be read.
#[test]
fn heartbeats_are_validated() {
    let task = |task_id, phase, exit_reason: Option<&'static str>| {
        let mut fields = BTreeMap::from([
            ("Shard", Value::Text(task_id)),
            ("Try", Value::Int(2)),
            ("Phase", Value::Text(phase)),
        ]);
        if let Some(reason) = exit_reason {
            fields.insert("ExitReason", Value::Text(reason));
        }
        Value::Map(fields)
    };
    let heartbeat = |tasks: Vec<Value>| {
        let fields = BTreeMap::from([
            ("Host", Value::Text("i-000231")),
            ("Endpoint", Value::Text("10.1.0.232:9000")),
            ("HostType", Value::Text("g8")),
            ("Site", Value::Text("a")),
            ("Preemptible", Value::Bool(true)),
            ("Tenure", Value::Int(1)),
            ("Serial", Value::Int(88)),
            ("Epoch", Value::Int(41)),
            ("EvictionS", Value::Nil(None)),
            ("Shards", Value::List(tasks)),
        ]);
        decode::<WireHeartbeat>(&encode(&fields)).and_then(|wire| Heartbeat::try_from(wire).ok())
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
    for (phase, exit_reason, expected) in cases {
        let decoded = heartbeat(vec![task("wk-000412/3", phase, exit_reason)]);
        assert_eq!(decoded.map(|h| h.tasks[0].phase), expected, "{phase}");
    }
    // A task that cannot be read makes the whole heartbeat invalid. A heartbeat in which the task is
    // left out would count as proof that the task has ended.
    let with_invalid_task = heartbeat(vec![
        task("wk-000412/3", "running", None),
        task("x", "running", None),
    ]);
    assert_eq!(with_invalid_task, None);
}

/// Guards against frames of a peer that are cut off, too long or of an unknown type and are not rejected.
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
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &hello).unwrap();
    assert_eq!(
        read_frame::<PeerRequest>(&mut bytes.as_slice()).unwrap(),
        hello
    );
    let invalid: [&[u8]; 3] = [
        &bytes[..bytes.len() - 1],
        &[255, 255, 255, 255, 0],
        &[1, 0, 0, 0, 9],
    ];
    for frame in invalid {
        assert!(read_frame::<PeerRequest>(&mut &frame[..]).is_err());
    }
}

/// Guards against accepting a job whose record is too long for a value of the store. The store would reject
/// the record, and the rejection would be taken for an outage of the store.
#[test]
fn a_job_too_long_for_a_stored_value_is_rejected() {
    let long_names = |count: usize, c: char| {
        (0..count)
            .map(|_| c.to_string().repeat(200))
            .collect::<Vec<_>>()
    };
    // The names of machine types in a job, and whether its record fits into 8 KiB.
    let cases = [
        ("none", vec![], true),
        ("some", long_names(20, 'a'), true),
        ("many", long_names(45, 'a'), false),
        (
            "few with escaped characters",
            long_names(10, '\u{1}'),
            false,
        ),
        (
            "few outside the basic multilingual plane",
            long_names(5, '\u{1F600}'),
            false,
        ),
    ];
    for (name, types, fits) in cases {
        let mut spec = parse_submission(&submission_fields()).expect("a valid submission");
        spec.machine_types = Some(types.iter().map(|name| name.as_str().into()).collect());
        let size = StoredJob::from(&spec).max_size_bytes();
        // The encoded form is shorter than the form in which the store measures sizes, so its length must
        // be below the bound.
        assert!(size > encode(&StoredJob::from(&spec)).len(), "{name}");
        assert_eq!(
            check_record_size(size, 8 * 1024).is_ok(),
            fits,
            "{name}: {size}"
        );
    }
}
