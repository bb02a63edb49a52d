//! Estimates of run times and image fetch times from measurements.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::history::History;

#[test]
fn estimates_move_from_the_users_values_to_measured_ones() {
    let mut history = History::default();
    let machine_type_name = MachineTypeName::from("m8");
    let job = spec("wk-000001", 1, 4.0);
    assert_eq!(
        history.run_time(&job, &machine_type_name),
        secs(60),
        "the user's estimate"
    );
    history.record_run(&job, &machine_type_name, secs(30));
    assert_eq!(
        history.run_time(&job, &machine_type_name),
        secs(30),
        "the measured time of another task of the job"
    );
    let mut other = job.clone();
    other.expected = secs(100);
    let estimated_s = history.run_time(&other, &machine_type_name).as_secs_f64();
    assert!(
        (estimated_s - 50.0).abs() < 0.1,
        "corrected, as the user's estimates were twice the measured time: {estimated_s}"
    );
    // A new leader loads the summary.
    let summary = history.summary(100).expect("there are new measurements");
    assert_eq!(history.summary(100), None);
    let mut next = History::default();
    next.load(&summary);
    assert_eq!(next.run_time(&job, &machine_type_name), secs(30));
    // However many kinds of tasks were measured, the summary contains no more entries than requested.
    for n in 0..500 {
        let mut kind = job.clone();
        kind.class = format!("class-{n}");
        history.record_run(&kind, &MachineTypeName(format!("type-{n}")), secs(30));
        history.record_fetch(&MachineTypeName(format!("type-{n}")), 1.0, 4.0, secs(8));
    }
    let kept = history.summary(60).expect("there are new measurements");
    assert_eq!(kept.runs.len() + kept.bias.len() + kept.fetch.len(), 60);
    let mut history = next;
    history.record_fetch(&machine_type_name, 1.0, 4.0, secs(8));
    assert_eq!(history.fetch_time(&machine_type_name, 1.0, 2.0), secs(4));
}
