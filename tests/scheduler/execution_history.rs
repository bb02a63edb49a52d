//! Run times and image fetches as they were measured, from which placement estimates.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::history::History;

#[test]
fn run_time_estimates_move_from_the_owners_to_measured_ones() {
    let mut history = History::default();
    let t = MachineTypeName::from("m8");
    let s = spec("wk-000001", 1, 4.0);
    assert_eq!(history.run_time(&s, &t), secs(60), "the owner's estimate");
    history.record_run(&s, &t, secs(30));
    assert_eq!(history.run_time(&s, &t), secs(30), "siblings measured");
    let mut other = s.clone();
    other.expected = secs(100);
    let est = history.run_time(&other, &t).as_secs_f64();
    assert!((est - 50.0).abs() < 0.1, "owners were off by half: {est}");
    // A new leader starts from the summary.
    let summary = history.summary(100).expect("something is new");
    assert_eq!(history.summary(100), None);
    let mut next = History::default();
    next.load(&summary);
    assert_eq!(next.run_time(&s, &t), secs(30));
    // However many kinds were seen, the summary stays within its limit.
    for n in 0..500 {
        let mut kind = s.clone();
        kind.class = format!("class-{n}");
        history.record_run(&kind, &MachineTypeName(format!("type-{n}")), secs(30));
        history.record_fetch(&MachineTypeName(format!("type-{n}")), 1.0, 4.0, secs(8));
    }
    let kept = history.summary(60).expect("something is new");
    assert_eq!(kept.runs.len() + kept.bias.len() + kept.fetch.len(), 60);
    let mut history = next;
    history.record_fetch(&t, 1.0, 4.0, secs(8));
    assert_eq!(history.fetch_time(&t, 1.0, 2.0), secs(4));
}
