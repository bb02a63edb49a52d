//! States of attempts: transitions, reconciliation with heartbeats, and unrecorded tasks.

use cypressgap_model::{AttemptId, JobId, MachineId, TaskId, Term};
use cypressgap_recovery::attempt_state::HeartbeatOrigin::{PossiblyEarlier, ThisTerm};
use cypressgap_recovery::attempt_state::{AttemptState, Evidence, HeartbeatOrigin};
use cypressgap_recovery::reconciliation::Reconciliation;
use cypressgap_recovery::unrecorded::{
    Disposition, ListedJobs, StoredJobStatus, UnrecordedTasks, MIN_DENIAL_INTERVAL,
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
    AttemptId::new(Term(2), number)
}

fn listed(origin: HeartbeatOrigin, jobs: BTreeSet<JobId>) -> ListedJobs {
    ListedJobs { origin, jobs }
}

/// Compares each row of the table in the design note with the code.
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
        // Silence, and heartbeats that may be from before the term, settle no attempt that was not settled.
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
    let mut reconciliation = Reconciliation::default();
    for index in 0..3 {
        reconciliation.record(machine.clone(), task(index), attempt(7));
    }
    reconciliation.record("i-2".into(), task(3), attempt(7));
    let state = |reconciliation: &Reconciliation, index| {
        reconciliation.state(&machine, &task(index), attempt(7))
    };
    // A heartbeat that may be from before the term settles the attempts that it lists, and no others.
    assert_eq!(
        reconciliation.observe_heartbeat(&machine, PossiblyEarlier, |t, _| t.index == 0),
        1
    );
    assert_eq!(state(&reconciliation, 0), Some(AttemptState::Confirmed));
    assert_eq!(state(&reconciliation, 1), Some(AttemptState::Unreported));
    // A heartbeat that lists another attempt of a task does not list the one on record.
    let other = |t: &TaskId, a: AttemptId| t.index <= 1 && a == attempt(8);
    assert_eq!(
        reconciliation.observe_heartbeat(&machine, ThisTerm, other),
        2
    );
    assert_eq!(state(&reconciliation, 0), Some(AttemptState::Absent));
    assert_eq!(state(&reconciliation, 1), Some(AttemptState::Absent));
    assert_eq!(
        reconciliation.state(&machine, &task(1), attempt(8)),
        None,
        "not on record"
    );
    assert_eq!(reconciliation.counts().unsettled(), 1);
    reconciliation.observe_machine(&"i-2".into(), Evidence::MachineSilent);
    assert_eq!(reconciliation.counts().count(AttemptState::Silent), 1);
    assert_eq!(
        reconciliation.observe_machine(&"i-2".into(), Evidence::LeaseExpired),
        1
    );
    for index in 0..3 {
        assert_eq!(
            reconciliation.remove(&machine, &task(index)),
            Some(AttemptState::Absent)
        );
    }
    reconciliation.remove(&"i-2".into(), &task(3));
    assert!(reconciliation.is_empty() && reconciliation.counts().total() == 0);
}

/// Each case has the results of a job's lookups in the key-value store, with their times in seconds, and the
/// expected decision on the job's tasks at a given time.
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
        let mut unrecorded = UnrecordedTasks::new(Duration::from_secs(60));
        let jobs = BTreeSet::from([job_id.clone()]);
        assert_eq!(
            unrecorded
                .replace(start, &"i-1".into(), listed(ThisTerm, jobs))
                .len(),
            1
        );
        for (after, answer) in answers {
            unrecorded.record_status(start + Duration::from_secs(*after), &job_id, *answer);
        }
        let now = start + Duration::from_secs(at);
        assert_eq!(unrecorded.disposition(now, &job_id), expected, "{name}");
        assert!(unrecorded.holds_machine(&"i-1".into()) && unrecorded.may_count_against_any_team());
    }
    assert!(MIN_DENIAL_INTERVAL > Duration::ZERO);
}

#[test]
fn unrecorded_work_counts_until_its_machines_show_it_no_more() {
    let now = Instant::now();
    let (first, second) = (MachineId::from("i-1"), MachineId::from("i-2"));
    let job_id = JobId::from("wk-000009");
    let jobs = || BTreeSet::from([job_id.clone()]);
    let mut unrecorded = UnrecordedTasks::new(Duration::from_secs(60));
    assert_eq!(
        unrecorded
            .replace(now, &first, listed(PossiblyEarlier, jobs()))
            .len(),
        1
    );
    assert_eq!(
        unrecorded
            .replace(now, &second, listed(PossiblyEarlier, jobs()))
            .len(),
        0,
        "known by now"
    );
    assert_eq!(unrecorded.jobs_to_look_up().count(), 1);
    // The job is over, and heartbeats that list its tasks may be from before the term: none of its tasks was
    // on a machine when its terminal state was written.
    unrecorded.record_status(now, &job_id, StoredJobStatus::Over);
    assert!(!unrecorded.may_count_against_any_team());
    unrecorded.replace(now, &second, listed(ThisTerm, jobs()));
    assert!(
        unrecorded.may_count_against_any_team(),
        "this is no late copy"
    );
    unrecorded.replace(now, &second, listed(ThisTerm, BTreeSet::new()));
    assert!(!unrecorded.may_count_against_any_team() && unrecorded.len() == 1);
    unrecorded.remove_machine(&first);
    assert!(unrecorded.is_empty() && unrecorded.jobs_to_look_up().next().is_none());
}
