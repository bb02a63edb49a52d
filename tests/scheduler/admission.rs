//! Admission: a job is accepted only when it could run on some machine type and within its team's limit.

use crate::common::*;
use cypressgap::core::admission::{check, Refusal};
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn admission_cases() {
    let types = [machine_type("m8", 8.0)];
    let cases: [(&str, Edit, Result<(), Refusal>); 8] = [
        ("fits", |_| {}, Ok(())),
        (
            "unknown team",
            |s| s.team = "green".into(),
            Err(Refusal::UnknownTeam),
        ),
        (
            "too large",
            |s| s.resources = resources(9.0),
            Err(Refusal::NoType),
        ),
        (
            "no such type",
            |s| s.machine_types = Some(vec!["g8".into()]),
            Err(Refusal::NoType),
        ),
        (
            "no such zone",
            |s| s.zone = Some("z".into()),
            Err(Refusal::NoType),
        ),
        (
            "an array over the limit as a whole",
            |s| s.task_count = 90,
            Ok(()),
        ),
        (
            "a gang over the limit",
            |s| {
                s.kind = JobKind::Gang;
                s.task_count = 9;
            },
            Err(Refusal::OverLimit),
        ),
        (
            "a gang at the limit",
            |s| {
                s.kind = JobKind::Gang;
                s.task_count = 8;
            },
            Ok(()),
        ),
    ];
    for (name, edit, expected) in cases {
        let mut s = spec("wk-000001", 2, 4.0);
        edit(&mut s);
        assert_eq!(check(&s, &config().teams, &types), expected, "{name}");
    }
}
