//! Records and keys of the store.

use crate::common::{spec, ClusterFixture};
use crate::golden::{read, Golden};
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

#[test]
fn records_of_the_state_service() {
    let mut golden = Golden::of(include_str!("records.txt"));
    let jobs = [
        ("job", job()),
        ("job in lists", listed_job()),
        ("job of standard urgency", plain_job(Priority::Standard)),
        ("job of idle urgency", plain_job(Priority::Idle)),
    ];
    for (name, spec) in jobs {
        let write = |spec: &JobSpec| encode(&StoredValue::Job(Box::new(spec.into())));
        golden.both(name, spec, write, |b| {
            JobSpec::try_from(read::<StoredJob>(b)).expect("a job")
        });
    }
    let outcomes = [
        ("verdict live", JobOutcome::Live),
        ("verdict done", JobOutcome::Done),
        ("verdict cancelled", JobOutcome::Cancelled),
    ];
    for (name, outcome) in outcomes {
        let write = |v: &JobOutcome| encode(&StoredValue::from(&RecordValue::JobOutcome(*v)));
        golden.both(name, outcome, write, |b| {
            JobOutcome::try_from(&read::<StoredOutcome>(b)).expect("a verdict")
        });
    }
    let write = |c: &ChunkValue| encode(&StoredValue::from(&RecordValue::Chunk(c.clone())));
    golden.both("chunk", chunk(), write, |b| read::<StoredChunk>(b).into());
    let write = |s: &HistorySummary| encode(&StoredValue::from(&RecordValue::History(s.clone())));
    golden.both("history", summary(), write, |b| {
        read::<StoredHistory>(b).into()
    });
    let dependents = vec!["wk-000415".to_owned(), "wk-000416".to_owned()];
    let write = |job_ids: &Vec<String>| {
        let job_ids = job_ids.clone();
        encode(&StoredValue::Dependents(StoredDependents { job_ids }))
    };
    golden.both("dependents", dependents, write, |b| {
        read::<StoredDependents>(b).job_ids
    });
    let leader = ("worker-1".to_owned(), 77, 4);
    let write = |(member, boot, term): &(String, u64, u64)| {
        encode(&StoredValue::Leader(StoredLeader {
            member: member.clone(),
            boot: *boot,
            term: *term,
        }))
    };
    golden.both("leader", leader, write, |b| {
        let leader: StoredLeader = read(b);
        (leader.member, leader.boot, leader.term)
    });
    // A term's number and the mark of a cancelled job.
    let write = |n: &u64| encode(&StoredValue::Number(*n));
    golden.both("term", 70_000, write, read);
    golden.both("cancel mark", 1, write, read);
    // As the cloud named them.
    let types: WireMachineTypes = read(&golden.sample("types"));
    assert_eq!(
        MachineType::try_from(&types.machine_types[0]),
        Ok(machine_type(8.0, 50.0, 0.5))
    );
    golden.written("types", &encode(&StoredValue::Types(types)));
    golden.finish();
}

#[test]
fn keys_of_the_state_service() {
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
    for (key, golden) in keys {
        assert_eq!(key, golden);
    }
    assert_eq!(TASKS_PER_CHUNK, 64);
    let chunk = keys::parse_chunk_key("i/wk-000412/12");
    assert_eq!(chunk, Some((job_id, 12)));
    assert_eq!(TaskId::parse("wk-000412/7"), Some(task(7)));
    assert_eq!(task(7).to_string(), "wk-000412/7");
    // Numbers that say which term gave them out.
    assert_eq!((attempt(9).0, attempt(9).term()), (0x4000_0009, Term(4)));
    assert_eq!((token().0, token().term()), (0x400_0001, Term(4)));
    // The keys of the history's entries, which are hashes.
    let measured = HistorySummary {
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
    assert_eq!(history.summary(10), Some(measured.clone()));
    let mut loaded = History::default();
    loaded.load(&measured);
    let other = JobSpec {
        expected: secs(60.0),
        ..job()
    };
    assert_eq!(loaded.run_time(&job(), &"g8".into()), secs(240.0));
    assert_eq!(loaded.run_time(&other, &"g8".into()), secs(60.0));
    assert_eq!(loaded.fetch_ratio(&"g8".into()), 0.5);
    // A rental's claim, which the cloud keeps.
    let mut world = ClusterFixture::new();
    world.advance(secs(10.0));
    world.job(spec("wk-000001", 1, 4.0));
    let idempotency_keys = world
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
