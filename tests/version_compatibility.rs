//! Compatibility of this version with earlier ones that run at the same time: the layouts of stored records
//! and of frames between controllers.
//!
//! The samples are assembled by hand, not with this version's types. Their layouts are those of the
//! production version, which `production` in `deploy/service.toml` names, and of the version before it.

use cypressgap::core::model::JobSpec;
#[path = "fakes/value.rs"]
#[allow(dead_code)]
mod value;

use cypressgap::net::peer::{
    read_frame, CancellationPosition, Hello, HelloExtension, JobProgress, PeerJobStatus,
    PeerRequest, PeerResponse,
};
use cypressgap::net::wire::{
    decode, encode, StoredChunk, StoredDependents, StoredHistory, StoredJob, StoredLeader,
    StoredOutcome,
};
use serde::Serialize;
use value::{map, text, Value};

/// The record of a job in the layout of the production version.
fn job_record() -> Value {
    map([
        ("uid", text("wk-000412")),
        ("class", text("train")),
        ("owner", text("vision")),
        ("gang", Value::Bool(true)),
        ("urgency", Value::Int(2)),
        ("shards", Value::Int(16)),
        (
            "need",
            Value::List(vec![
                Value::Float(8.0),
                Value::Float(1.0),
                Value::Float(64.0),
            ]),
        ),
        ("types", Value::List(vec![text("g8")])),
        ("site", Value::Nil(())),
        ("same_place", Value::Bool(true)),
        ("spread", Value::Bool(false)),
        ("spot", Value::Bool(true)),
        (
            "image",
            Value::List(vec![text("img-07"), Value::Float(6.2)]),
        ),
        ("expected", Value::Float(240.0)),
        ("every", Value::Float(30.0)),
        ("save", Value::Float(4.0)),
        ("due", Value::Float(900.0)),
        ("at", Value::Int(7)),
    ])
}

/// Guards against records that one of two versions that run at the same time cannot read, and against fields
/// that are lost when this version rewrites a record of the production version.
#[test]
fn records_of_the_production_version_round_trip_unchanged() {
    fn check_round_trip<T: Serialize + serde::de::DeserializeOwned>(record: Value) {
        let decoded: T = decode(&encode(&record)).expect("a valid record");
        let rewritten: Value = decode(&encode(&decoded)).expect("a valid value");
        assert_eq!(rewritten, record);
    }
    check_round_trip::<StoredJob>(job_record());
    check_round_trip::<StoredOutcome>(map([("p", text("withdrawn"))]));
    check_round_trip::<StoredLeader>(map([
        ("member", text("worker-1")),
        ("boot", Value::Int(77)),
        ("term", Value::Int(4)),
    ]));
    let attempt = Value::List(vec![Value::Int(3), Value::Int(1 << 30), text("i-000231")]);
    check_round_trip::<StoredChunk>(map([
        ("d", Value::Int(5)),
        ("a", Value::List(vec![attempt])),
    ]));
    let run = Value::List(vec![Value::Int(9), Value::Float(1.5), Value::Int(2)]);
    check_round_trip::<StoredHistory>(map([
        ("runs", Value::List(vec![run])),
        ("bias", Value::List(vec![])),
        ("fetch", Value::List(vec![])),
    ]));
    let stored: StoredJob = decode(&encode(&job_record())).expect("a valid record");
    let spec = JobSpec::try_from(stored).expect("a job");
    assert_eq!((spec.task_count, spec.dependencies.len()), (16, 0));
    // A job with dependencies has one more field. The version before the production version ignores it. The
    // production version writes it, and also enters the job in the list of dependents of each dependency.
    check_round_trip::<StoredDependents>(map([(
        "by",
        Value::List(vec![text("wk-000412"), text("wk-000415")]),
    )]));
    let mut dependent_job = spec.clone();
    dependent_job.dependencies = vec!["wk-000398".into()];
    dependent_job.listed_as_dependent = true;
    let Value::Map(mut record) = job_record() else {
        panic!("not a map");
    };
    record.insert("needs".into(), Value::List(vec![text("wk-000398")]));
    check_round_trip::<StoredJob>(Value::Map(record.clone()));
    let decoded: StoredJob = decode(&encode(&Value::Map(record.clone()))).expect("a valid record");
    assert_eq!(JobSpec::try_from(decoded).as_ref(), Ok(&dependent_job));
    let written: Value = decode(&encode(&StoredJob::from(&dependent_job))).expect("a map");
    assert_eq!(written, Value::Map(record.clone()));
    // If this version enters a job in no list of dependents, it states that in a field of the record, which
    // earlier versions ignore.
    dependent_job.listed_as_dependent = false;
    let written: Value = decode(&encode(&StoredJob::from(&dependent_job))).expect("a map");
    record.insert("unlisted".into(), Value::Bool(true));
    assert_eq!(written, Value::Map(record));
}

/// The body of a `borsh` frame, assembled field by field.
#[derive(Clone, Default)]
struct BorshBytes(Vec<u8>);

impl BorshBytes {
    /// Begins with the index of an enum variant.
    fn variant(index: u8) -> BorshBytes {
        BorshBytes(vec![index])
    }
    fn u8(mut self, n: u8) -> BorshBytes {
        self.0.push(n);
        self
    }
    fn u16(mut self, n: u16) -> BorshBytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn u32(mut self, n: u32) -> BorshBytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn u64(mut self, n: u64) -> BorshBytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn f64(mut self, x: f64) -> BorshBytes {
        self.0.extend(x.to_le_bytes());
        self
    }
    fn bytes(self, bytes: &[u8]) -> BorshBytes {
        let mut with_length = self.u32(bytes.len() as u32);
        with_length.0.extend(bytes);
        with_length
    }
    fn text(self, text: &str) -> BorshBytes {
        self.bytes(text.as_bytes())
    }
    /// The frame: the length of the body, and the body.
    fn frame(&self) -> Vec<u8> {
        let mut frame = (self.0.len() as u32).to_le_bytes().to_vec();
        frame.extend(&self.0);
        frame
    }
}

/// The bytes of [`hello`] as a request or response in the layout of the production version.
fn hello_bytes(variant: u8, finished_jobs: &[&str]) -> BorshBytes {
    let hello = BorshBytes::variant(variant)
        .text("worker-1")
        .u8(1)
        .u64(4)
        .u64(5)
        .u8(1)
        .u32(3)
        .f64(3.5)
        .f64(0.25)
        .u32(12)
        .u32(1)
        .text("wk-000001")
        .u32(1)
        .u32(2)
        .u32(finished_jobs.len() as u32);
    finished_jobs
        .iter()
        .fold(hello, |bytes, job_id| bytes.text(job_id))
}

fn hello(finished_jobs: Vec<String>) -> Hello {
    Hello {
        member: "worker-1".into(),
        leader_term: Some(4),
        highest_term: 5,
        store_available: true,
        worker_count: 3,
        user_changes_per_s: 3.5,
        leader_changes_per_s: 0.25,
        timer_lag_ms: 12,
        progress: vec![JobProgress {
            job_id: "wk-000001".into(),
            done: 1,
            running: 2,
        }],
        finished_jobs,
    }
}

/// Guards against frames that a controller of the production version cannot read or misreads, because the
/// order or the types of fields or variants have changed.
#[test]
fn frames_keep_the_layout_of_the_production_version() {
    let requests = [
        (
            hello_bytes(0, &["wk-000002"]),
            PeerRequest::Hello(hello(vec!["wk-000002".into()])),
        ),
        (
            BorshBytes::variant(1).u32(2).bytes(&[1, 2]).bytes(&[]),
            PeerRequest::Heartbeats(vec![vec![1, 2], vec![]]),
        ),
        (
            BorshBytes::variant(2).text("10.1.0.232:9000").bytes(&[7]),
            PeerRequest::Command {
                endpoint: "10.1.0.232:9000".into(),
                body: vec![7],
            },
        ),
        (
            BorshBytes::variant(3).u32(1).text("wk-000003"),
            PeerRequest::JobStatuses(vec!["wk-000003".into()]),
        ),
        (
            BorshBytes::variant(4)
                .text("POST")
                .text("/api/jobs")
                .bytes(&[9, 9]),
            PeerRequest::UserRequest {
                method: "POST".into(),
                path: "/api/jobs".into(),
                body: vec![9, 9],
            },
        ),
        (
            BorshBytes::variant(5).u8(0),
            PeerRequest::Cancellations { from: None },
        ),
        (
            BorshBytes::variant(5).u8(1).u64(77).u64(12),
            PeerRequest::Cancellations {
                from: Some(CancellationPosition {
                    incarnation: 77,
                    offset: 12,
                }),
            },
        ),
        (
            BorshBytes::variant(6).u32(1).text("wk-000003"),
            PeerRequest::Cancelled(vec!["wk-000003".into()]),
        ),
    ];
    for (expected, message) in requests {
        let frame = expected.frame();
        assert_eq!(
            read_frame::<PeerRequest>(&mut frame.as_slice()).unwrap(),
            message
        );
        assert_eq!(borsh::to_vec(&message).unwrap(), expected.0, "{message:?}");
    }
    let responses = [
        (hello_bytes(0, &[]), PeerResponse::Hello(hello(vec![]))),
        (
            BorshBytes::variant(1).u32(1).u16(200).bytes(&[1]),
            PeerResponse::Heartbeats(vec![(200, vec![1])]),
        ),
        (BorshBytes::variant(2).u8(0), PeerResponse::Command(None)),
        (
            BorshBytes::variant(2).u8(1).bytes(&[3]),
            PeerResponse::Command(Some(vec![3])),
        ),
        (
            BorshBytes::variant(3).u32(5).u8(0).u8(1).u8(2).u8(3).u8(4),
            PeerResponse::JobStatuses(vec![
                PeerJobStatus::Unknown,
                PeerJobStatus::NeverAccepted,
                PeerJobStatus::Live,
                PeerJobStatus::Done,
                PeerJobStatus::Cancelled,
            ]),
        ),
        (
            BorshBytes::variant(4).u16(503).bytes(&[]).u8(1).u64(3),
            PeerResponse::UserRequest {
                status: 503,
                body: vec![],
                retry_after: Some(3),
            },
        ),
        (
            BorshBytes::variant(5)
                .u64(77)
                .u8(1)
                .u32(1)
                .text("wk-000003")
                .u64(13)
                .u8(0),
            PeerResponse::Cancellations {
                incarnation: 77,
                continues: true,
                job_ids: vec!["wk-000003".into()],
                next: 13,
                more: false,
            },
        ),
        (BorshBytes::variant(6).u8(1), PeerResponse::Cancelled(true)),
    ];
    for (expected, message) in responses {
        let frame = expected.frame();
        assert_eq!(
            read_frame::<PeerResponse>(&mut frame.as_slice()).unwrap(),
            message
        );
        assert_eq!(borsh::to_vec(&message).unwrap(), expected.0, "{message:?}");
    }
}

/// Guards against messages that an earlier peer does not know. A controller sends newer messages only to
/// peers whose hello response states a sufficient protocol version. The version before the production version
/// states none and ignores the list that holds these statements. The production version states version 2 and,
/// where it applies, that the store's reduced rates are in force.
#[test]
fn hello_responses_state_the_protocol_version() {
    let cases: [(&[&str], u32); 6] = [
        (&[], 1),
        (&["wk-000001", "wk-000002"], 1),
        (&["frames 2"], 2),
        (&["frames 2", "next rates"], 2),
        (&["wk-000001", "frames 7"], 7),
        (&["frames many"], 1),
    ];
    for (texts, version) in cases {
        let texts: Vec<String> = texts.iter().map(std::string::ToString::to_string).collect();
        assert_eq!(
            HelloExtension::decode(&texts).protocol_version,
            version,
            "{texts:?}"
        );
    }
    for store_rates_reduced in [false, true] {
        let extension = HelloExtension::current(store_rates_reduced).encode();
        let expected = HelloExtension {
            protocol_version: 3,
            store_rates_reduced,
        };
        assert_eq!(HelloExtension::decode(&extension), expected);
        // The statements do not change the layout of the response, so the production version can read it.
        let texts: Vec<&str> = extension.iter().map(String::as_str).collect();
        let bytes = borsh::to_vec(&PeerResponse::Hello(hello(extension.clone()))).unwrap();
        assert_eq!(bytes, hello_bytes(0, &texts).0);
    }
}
