//! Versions side by side: what the earlier ones read and write, by their layout.
//!
//! The samples are written by hand from the layouts of the version that `production` in
//! `deploy/service.toml` names and of the one before it, not with this version's types.

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

/// What the production version keeps of a job.
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

#[test]
fn records_of_the_version_in_production_are_read_and_written_as_they_are() {
    fn both<T: Serialize + serde::de::DeserializeOwned>(record: Value) {
        let read: T = decode(&encode(&record)).expect("it is read");
        let again: Value = decode(&encode(&read)).expect("it is written");
        assert_eq!(again, record);
    }
    both::<StoredJob>(job_record());
    both::<StoredOutcome>(map([("p", text("withdrawn"))]));
    both::<StoredLeader>(map([
        ("member", text("worker-1")),
        ("boot", Value::Int(77)),
        ("term", Value::Int(4)),
    ]));
    let attempt = Value::List(vec![Value::Int(3), Value::Int(1 << 30), text("i-000231")]);
    both::<StoredChunk>(map([
        ("d", Value::Int(5)),
        ("a", Value::List(vec![attempt])),
    ]));
    let run = Value::List(vec![Value::Int(9), Value::Float(1.5), Value::Int(2)]);
    both::<StoredHistory>(map([
        ("runs", Value::List(vec![run])),
        ("bias", Value::List(vec![])),
        ("fetch", Value::List(vec![])),
    ]));
    let stored: StoredJob = decode(&encode(&job_record())).expect("it is read");
    let spec = JobSpec::try_from(stored).expect("a job");
    assert_eq!((spec.task_count, spec.dependencies.len()), (16, 0));
    // A job that awaits others has one field more, which the oldest version passes over. The version
    // in production writes it, and enters the job in a list of each dependency.
    both::<StoredDependents>(map([(
        "by",
        Value::List(vec![text("wk-000412"), text("wk-000415")]),
    )]));
    let mut awaits = spec.clone();
    awaits.dependencies = vec!["wk-000398".into()];
    awaits.listed_as_dependent = true;
    let Value::Map(mut listed_as_dependent) = job_record() else {
        panic!("not a map");
    };
    listed_as_dependent.insert("needs".into(), Value::List(vec![text("wk-000398")]));
    both::<StoredJob>(Value::Map(listed_as_dependent.clone()));
    let read: StoredJob =
        decode(&encode(&Value::Map(listed_as_dependent.clone()))).expect("it is read");
    assert_eq!(JobSpec::try_from(read).as_ref(), Ok(&awaits));
    let written: Value = decode(&encode(&StoredJob::from(&awaits))).expect("a map");
    assert_eq!(written, Value::Map(listed_as_dependent.clone()));
    // This version says where it enters none; the versions before pass over that.
    awaits.listed_as_dependent = false;
    let written: Value = decode(&encode(&StoredJob::from(&awaits))).expect("a map");
    listed_as_dependent.insert("unlisted".into(), Value::Bool(true));
    assert_eq!(written, Value::Map(listed_as_dependent));
}

/// Bytes of a `borsh` frame, put together field by field.
#[derive(Clone, Default)]
struct Bytes(Vec<u8>);

impl Bytes {
    fn variant(n: u8) -> Bytes {
        Bytes(vec![n])
    }
    fn u8(mut self, n: u8) -> Bytes {
        self.0.push(n);
        self
    }
    fn u16(mut self, n: u16) -> Bytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn u32(mut self, n: u32) -> Bytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn u64(mut self, n: u64) -> Bytes {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn f64(mut self, x: f64) -> Bytes {
        self.0.extend(x.to_le_bytes());
        self
    }
    fn bytes(self, b: &[u8]) -> Bytes {
        let mut s = self.u32(b.len() as u32);
        s.0.extend(b);
        s
    }
    fn text(self, t: &str) -> Bytes {
        self.bytes(t.as_bytes())
    }
    fn frame(&self) -> Vec<u8> {
        let mut out = (self.0.len() as u32).to_le_bytes().to_vec();
        out.extend(&self.0);
        out
    }
}

fn hello_bytes(variant: u8, over: &[&str]) -> Bytes {
    let b = Bytes::variant(variant)
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
        .u32(over.len() as u32);
    over.iter().fold(b, |b, o| b.text(o))
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

#[test]
fn frames_of_the_version_in_production_keep_their_layout() {
    let asks = [
        (
            hello_bytes(0, &["wk-000002"]),
            PeerRequest::Hello(hello(vec!["wk-000002".into()])),
        ),
        (
            Bytes::variant(1).u32(2).bytes(&[1, 2]).bytes(&[]),
            PeerRequest::Heartbeats(vec![vec![1, 2], vec![]]),
        ),
        (
            Bytes::variant(2).text("10.1.0.232:9000").bytes(&[7]),
            PeerRequest::Command {
                endpoint: "10.1.0.232:9000".into(),
                body: vec![7],
            },
        ),
        (
            Bytes::variant(3).u32(1).text("wk-000003"),
            PeerRequest::JobStatuses(vec!["wk-000003".into()]),
        ),
        (
            Bytes::variant(4)
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
            Bytes::variant(5).u8(0),
            PeerRequest::Cancellations { from: None },
        ),
        (
            Bytes::variant(5).u8(1).u64(77).u64(12),
            PeerRequest::Cancellations {
                from: Some(CancellationPosition {
                    incarnation: 77,
                    offset: 12,
                }),
            },
        ),
        (
            Bytes::variant(6).u32(1).text("wk-000003"),
            PeerRequest::Cancelled(vec!["wk-000003".into()]),
        ),
    ];
    for (old, new) in asks {
        let frame = old.frame();
        assert_eq!(
            read_frame::<PeerRequest>(&mut frame.as_slice()).unwrap(),
            new
        );
        assert_eq!(borsh::to_vec(&new).unwrap(), old.0, "{new:?}");
    }
    let replies = [
        (hello_bytes(0, &[]), PeerResponse::Hello(hello(vec![]))),
        (
            Bytes::variant(1).u32(1).u16(200).bytes(&[1]),
            PeerResponse::Heartbeats(vec![(200, vec![1])]),
        ),
        (Bytes::variant(2).u8(0), PeerResponse::Command(None)),
        (
            Bytes::variant(2).u8(1).bytes(&[3]),
            PeerResponse::Command(Some(vec![3])),
        ),
        (
            Bytes::variant(3).u32(5).u8(0).u8(1).u8(2).u8(3).u8(4),
            PeerResponse::JobStatuses(vec![
                PeerJobStatus::Unknown,
                PeerJobStatus::NeverAccepted,
                PeerJobStatus::Live,
                PeerJobStatus::Done,
                PeerJobStatus::Cancelled,
            ]),
        ),
        (
            Bytes::variant(4).u16(503).bytes(&[]).u8(1).u64(3),
            PeerResponse::UserRequest {
                status: 503,
                body: vec![],
                retry_after: Some(3),
            },
        ),
        (
            Bytes::variant(5)
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
        (Bytes::variant(6).u8(1), PeerResponse::Cancelled(true)),
    ];
    for (old, new) in replies {
        let frame = old.frame();
        assert_eq!(
            read_frame::<PeerResponse>(&mut frame.as_slice()).unwrap(),
            new
        );
        assert_eq!(borsh::to_vec(&new).unwrap(), old.0, "{new:?}");
    }
}

/// Newer frames go only to peers that said they know them. The oldest version says nothing, and heeds
/// nothing in the list where it is said; the version in production says 2, and perhaps that the next
/// rates hold.
#[test]
fn frames_that_an_earlier_peer_understands() {
    let cases: [(&[&str], u32); 6] = [
        (&[], 1),
        (&["wk-000001", "wk-000002"], 1),
        (&["frames 2"], 2),
        (&["frames 2", "next rates"], 2),
        (&["wk-000001", "frames 7"], 7),
        (&["frames many"], 1),
    ];
    for (over, known) in cases {
        let over: Vec<String> = over.iter().map(std::string::ToString::to_string).collect();
        assert_eq!(
            HelloExtension::decode(&over).protocol_version,
            known,
            "{over:?}"
        );
    }
    for store_rates_reduced in [false, true] {
        let said = HelloExtension::current(store_rates_reduced).encode();
        let expected = HelloExtension {
            protocol_version: 3,
            store_rates_reduced,
        };
        assert_eq!(HelloExtension::decode(&said), expected);
        // The production version reads the answer that says so as it stands.
        let texts: Vec<&str> = said.iter().map(String::as_str).collect();
        let new = borsh::to_vec(&PeerResponse::Hello(hello(said.clone()))).unwrap();
        assert_eq!(new, hello_bytes(0, &texts).0);
    }
}
