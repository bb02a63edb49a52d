//! What is known of attempts: transitions, reconciliation by reports, and work that no record names.

use cypressgap_model::{AttemptId, JobId, MachineId, TaskId, Term};
use cypressgap_recovery::attempt_state::HeartbeatOrigin::{PossiblyEarlier, ThisTerm};
use cypressgap_recovery::attempt_state::{AttemptState, Evidence};
use cypressgap_recovery::reconciliation::Reconciliation;
use cypressgap_recovery::unrecorded::{
    Disposition, StoredJobStatus, UnrecordedWork, MIN_DENIAL_INTERVAL,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const DESIGN: &str = include_str!("../../../docs/recovery.md");

fn task(index: u32) -> TaskId {
    TaskId {
        job_id: JobId::from("wk-000001"),
        index,
    }
}

fn attempt(number: u64) -> AttemptId {
    AttemptId::of(Term(2), number)
}

/// The table in the design note, row by row, against the code.
#[test]
fn transitions_are_those_of_the_design_note() {
    for state in AttemptState::ALL {
        let row = DESIGN
            .lines()
            .find(|l| l.starts_with(&format!("| `{state}` |")))
            .unwrap_or_else(|| panic!("no row for {state}"));
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let after = Evidence::ALL.map(|e| format!("`{}`", state.after(e)));
        assert_eq!(cells[2..8], after, "{state}");
        let launch = if state.allows_launch() { "yes" } else { "no" };
        assert_eq!(cells[8], launch, "{state}");
    }
}

#[test]
fn only_a_proof_allows_a_launch_and_the_end_of_a_lease_is_final() {
    let allowed = AttemptState::ALL.iter().filter(|s| s.allows_launch());
    assert_eq!(allowed.collect::<Vec<_>>(), [&AttemptState::Absent]);
    for evidence in Evidence::ALL {
        assert_eq!(AttemptState::Expired.after(evidence), AttemptState::Expired);
    }
    for state in AttemptState::ALL {
        // Silence and late copies prove nothing: they settle no attempt that was not settled.
        for evidence in [
            Evidence::MachineSilent,
            Evidence::NotReportedPossiblyEarlier,
        ] {
            let after = state.after(evidence);
            assert!(state.is_settled() || !after.is_settled(), "{state}");
        }
    }
}

#[test]
fn heartbeats_settle_the_attempts_of_their_machine() {
    let machine = MachineId::from("i-1");
    let mut r = Reconciliation::default();
    for index in 0..3 {
        r.record(machine.clone(), task(index), attempt(7));
    }
    r.record("i-2".into(), task(3), attempt(7));
    let state = |r: &Reconciliation, index| r.state(&machine, &task(index), attempt(7));
    // A report from before the term settles what it shows, and nothing else.
    assert_eq!(
        r.observe_heartbeat(&machine, PossiblyEarlier, |t, _| t.index == 0),
        1
    );
    assert_eq!(state(&r, 0), Some(AttemptState::Confirmed));
    assert_eq!(state(&r, 1), Some(AttemptState::Unreported));
    // A machine that shows another attempt of the task does not show this one.
    let other = |t: &TaskId, a: AttemptId| t.index <= 1 && a == attempt(8);
    assert_eq!(r.observe_heartbeat(&machine, ThisTerm, other), 2);
    assert_eq!(state(&r, 0), Some(AttemptState::Absent));
    assert_eq!(state(&r, 1), Some(AttemptState::Absent));
    assert_eq!(
        r.state(&machine, &task(1), attempt(8)),
        None,
        "not on record"
    );
    assert_eq!(r.counts().unsettled(), 1);
    r.observe_machine(&"i-2".into(), Evidence::MachineSilent);
    assert_eq!(r.counts().of(AttemptState::Silent), 1);
    assert_eq!(r.observe_machine(&"i-2".into(), Evidence::LeaseExpired), 1);
    for index in 0..3 {
        assert_eq!(r.remove(&machine, &task(index)), Some(AttemptState::Absent));
    }
    r.remove(&"i-2".into(), &task(3));
    assert!(r.is_empty() && r.counts().total() == 0);
}

/// What the state service says of a job, after how many seconds, and what becomes of its work.
#[test]
fn unrecorded_work_is_killed_only_on_answers() {
    use Disposition::{Hold, Kill};
    use StoredJobStatus::{Live, NeverAccepted, Over};
    type Case = (
        &'static str,
        &'static [(u64, StoredJobStatus)],
        u64,
        Disposition,
    );
    let cases: [Case; 8] = [
        ("no answer, however long", &[], 3600, Hold),
        ("over", &[(1, Over)], 1, Kill),
        ("accepted late", &[(1, Live)], 3600, Hold),
        ("denied once", &[(1, NeverAccepted)], 3600, Hold),
        (
            "denied twice in one moment",
            &[(1, NeverAccepted), (1, NeverAccepted)],
            3600,
            Hold,
        ),
        (
            "denied twice, held too briefly",
            &[(1, NeverAccepted), (4, NeverAccepted)],
            59,
            Hold,
        ),
        (
            "denied twice",
            &[(1, NeverAccepted), (4, NeverAccepted)],
            60,
            Kill,
        ),
        (
            "denied, then live",
            &[(1, NeverAccepted), (4, NeverAccepted), (5, Live)],
            90,
            Hold,
        ),
    ];
    for (name, answers, at, expected) in cases {
        let start = Instant::now();
        let job_id = JobId::from("wk-000009");
        let mut work = UnrecordedWork::new(Duration::from_secs(60));
        let jobs = BTreeSet::from([job_id.clone()]);
        assert_eq!(work.shown(start, &"i-1".into(), ThisTerm, jobs).len(), 1);
        for (after, answer) in answers {
            work.answered(start + Duration::from_secs(*after), &job_id, *answer);
        }
        let now = start + Duration::from_secs(at);
        assert_eq!(work.disposition(now, &job_id), expected, "{name}");
        assert!(work.holds_machine(&"i-1".into()) && work.may_use_any_team());
    }
    assert!(MIN_DENIAL_INTERVAL > Duration::ZERO);
}

#[test]
fn unrecorded_work_counts_until_its_machines_show_it_no_more() {
    let now = Instant::now();
    let (first, second) = (MachineId::from("i-1"), MachineId::from("i-2"));
    let job_id = JobId::from("wk-000009");
    let jobs = || BTreeSet::from([job_id.clone()]);
    let mut work = UnrecordedWork::new(Duration::from_secs(60));
    assert_eq!(work.shown(now, &first, PossiblyEarlier, jobs()).len(), 1);
    assert_eq!(
        work.shown(now, &second, PossiblyEarlier, jobs()).len(),
        0,
        "known by now"
    );
    assert_eq!(work.to_ask().count(), 1);
    // Over, and shown by what may be a late copy: nothing was on machines when its verdict was written.
    work.answered(now, &job_id, StoredJobStatus::Over);
    assert!(!work.may_use_any_team());
    work.shown(now, &second, ThisTerm, jobs());
    assert!(work.may_use_any_team(), "this is no late copy");
    work.shown(now, &second, ThisTerm, BTreeSet::new());
    assert!(!work.may_use_any_team() && work.len() == 1);
    work.remove_machine(&first);
    assert!(work.is_empty() && work.to_ask().next().is_none());
}
