//! Records and keys of the store, and ids and idempotency keys that outlive a leader.

use crate::common::{spec, ClusterFixture};
use crate::golden::{read, GoldenFile};
use crate::values::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::keys;
use cypressgap::core::persistence::records::{
    ChunkValue, JobOutcome, RecordValue, TASKS_PER_CHUNK,
};
use cypressgap::core::placement::history::{History, HistorySummary};
use cypressgap::core::state::Action;
use cypressgap::net::store::StoredValue;
use cypressgap::net::wire::*;

/// Guards against records that change with a type of the program: controllers of earlier versions, and this
/// one after an update, could no longer read what is stored.
#[test]
fn stored_records() {
    let mut golden = GoldenFile::parse(include_str!("records.txt"));
    let jobs = [
        ("job", job()),
        ("job in lists", listed_job()),
        ("job of standard urgency", plain_job(Priority::Standard)),
        ("job of idle urgency", plain_job(Priority::Idle)),
    ];
    for (name, spec) in jobs {
        let encode_value = |spec: &JobSpec| encode(&StoredValue::Job(Box::new(spec.into())));
        golden.check_round_trip(name, spec, encode_value, |bytes| {
            JobSpec::try_from(read::<StoredJob>(bytes)).expect("a job")
        });
    }
    let outcomes = [
        ("verdict live", JobOutcome::Live),
        ("verdict done", JobOutcome::Done),
        ("verdict cancelled", JobOutcome::Cancelled),
    ];
    for (name, outcome) in outcomes {
        let encode_value =
            |outcome: &JobOutcome| encode(&StoredValue::from(&RecordValue::JobOutcome(*outcome)));
        golden.check_round_trip(name, outcome, encode_value, |bytes| {
            JobOutcome::try_from(&read::<StoredOutcome>(bytes)).expect("an outcome")
        });
    }
    let encode_value =
        |chunk: &ChunkValue| encode(&StoredValue::from(&RecordValue::Chunk(chunk.clone())));
    golden.check_round_trip("chunk", chunk(), encode_value, |bytes| {
        read::<StoredChunk>(bytes).into()
    });
    let encode_value = |summary: &HistorySummary| {
        encode(&StoredValue::from(&RecordValue::History(summary.clone())))
    };
    golden.check_round_trip("history", summary(), encode_value, |bytes| {
        read::<StoredHistory>(bytes).into()
    });
    let dependents = vec!["wk-000415".to_owned(), "wk-000416".to_owned()];
    let encode_value = |job_ids: &Vec<String>| {
        let job_ids = job_ids.clone();
        encode(&StoredValue::Dependents(StoredDependents { job_ids }))
    };
    golden.check_round_trip("dependents", dependents, encode_value, |bytes| {
        read::<StoredDependents>(bytes).job_ids
    });
    let leader = ("worker-1".to_owned(), 77, 4);
    let encode_value = |(member, boot, term): &(String, u64, u64)| {
        encode(&StoredValue::Leader(StoredLeader {
            member: member.clone(),
            boot: *boot,
            term: *term,
        }))
    };
    golden.check_round_trip("leader", leader, encode_value, |bytes| {
        let leader: StoredLeader = read(bytes);
        (leader.member, leader.boot, leader.term)
    });
    // The counter of terms and the marker of a cancelled job are stored as plain numbers.
    let encode_value = |number: &u64| encode(&StoredValue::Number(*number));
    golden.check_round_trip("term", 70_000, encode_value, read);
    golden.check_round_trip("cancel mark", 1, encode_value, read);
    // Machine types are stored in the form in which the cloud lists them.
    let types: WireMachineTypes = read(&golden.bytes("types"));
    assert_eq!(
        MachineType::try_from(&types.machine_types[0]),
        Ok(machine_type(8.0, 50.0, 0.5))
    );
    golden.check_encoding("types", &encode(&StoredValue::Types(types)));
    golden.check_all_used();
}

/// Guards against keys, ids or hashes that are composed in another way than by earlier versions: what those
/// have stored would no longer be found.
#[test]
fn stored_keys_and_ids() {
    let job_id = job_id();
    let keys = [
        (keys::live_job_key(&job_id), "q/l/wk-000412"),
        (keys::cancel_mark_key(&job_id), "q/w/wk-000412"),
        (keys::outcome_key(&job_id), "j/wk-000412"),
        (keys::chunk_key(&job_id, 12), "i/wk-000412/12"),
        (keys::dependents_key(&job_id), "d/wk-000412"),
        (keys::LEADER_KEY.into(), "ctl/leader"),
        (keys::TERM_KEY.into(), "ctl/term"),
        (keys::MACHINE_TYPES_KEY.into(), "ctl/types"),
        (keys::HISTORY_KEY.into(), "h/summary"),
        (keys::CONTROL_PREFIX.into(), "ctl/"),
        (keys::QUEUE_PREFIX.into(), "q/"),
        (keys::LIVE_JOB_PREFIX.into(), "q/l/"),
        (keys::CANCEL_MARK_PREFIX.into(), "q/w/"),
        (keys::OUTCOME_PREFIX.into(), "j/"),
        (keys::INTENT_PREFIX.into(), "i/"),
        (keys::DEPENDENTS_PREFIX.into(), "d/"),
    ];
    for (key, expected) in keys {
        assert_eq!(key, expected);
    }
    assert_eq!(TASKS_PER_CHUNK, 64);
    let chunk = keys::parse_chunk_key("i/wk-000412/12");
    assert_eq!(chunk, Some((job_id, 12)));
    assert_eq!(TaskId::parse("wk-000412/7"), Some(task(7)));
    assert_eq!(task(7).to_string(), "wk-000412/7");
    // The number of an attempt or a token contains the term in which it was issued.
    assert_eq!((attempt(9).0, attempt(9).term()), (0x4000_0009, Term(4)));
    assert_eq!((token().0, token().term()), (0x400_0001, Term(4)));
    // The entries of the history are stored under hashes of their parameters.
    let summary = HistorySummary {
        runs: vec![
            (5_998_537_374_547_088_920, 240.0, 1),
            (10_532_779_575_999_557_262, 240.0, 1),
        ],
        bias: vec![(14_697_005_218_476_546_050, 0.0, 1)],
        fetch: vec![(15_304_317_958_570_790_783, 0.5, 1)],
    };
    let mut history = History::default();
    history.record_run(&job(), &"g8".into(), secs(240.0));
    history.record_fetch(&"g8".into(), 1.0, 6.25, secs(12.5));
    assert_eq!(history.summary(10), Some(summary.clone()));
    let mut loaded = History::default();
    loaded.load(&summary);
    let unmeasured_job = JobSpec {
        expected: secs(60.0),
        ..job()
    };
    assert_eq!(loaded.run_time(&job(), &"g8".into()), secs(240.0));
    assert_eq!(loaded.run_time(&unmeasured_job, &"g8".into()), secs(60.0));
    assert_eq!(loaded.fetch_ratio(&"g8".into()), 0.5);
    // The idempotency key of a rental, which the cloud keeps.
    let mut fixture = ClusterFixture::new();
    fixture.advance(secs(10.0));
    fixture.job(spec("wk-000001", 1, 4.0));
    let idempotency_keys = fixture
        .settle()
        .into_iter()
        .filter_map(|action| match action {
            Action::Rent {
                idempotency_key, ..
            } => Some(idempotency_key),
            _ => None,
        });
    assert_eq!(idempotency_keys.collect::<Vec<_>>(), ["t3-1"]);
}
