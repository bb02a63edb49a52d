//! Admission: a job is accepted only if a task of the job could run on some machine type, and if its team's
//! limit allows one task of a job array or all tasks of a gang.

use crate::common::*;
use cypressgap::core::admission::{check_job, AdmissionError};
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn admission_cases() {
    let types = [machine_type("m8", 8.0)];
    // Name, change to a job of two tasks with 4 CPUs each, and expected result.
    let cases: [(&str, Edit, Result<(), AdmissionError>); 8] = [
        ("fits", |_| {}, Ok(())),
        (
            "unknown team",
            |job| job.team = "green".into(),
            Err(AdmissionError::UnknownTeam),
        ),
        (
            "too large",
            |job| job.resources = resources(9.0),
            Err(AdmissionError::NoSuitableMachineType),
        ),
        (
            "no such type",
            |job| job.machine_types = Some(vec!["g8".into()]),
            Err(AdmissionError::NoSuitableMachineType),
        ),
        (
            "no such zone",
            |job| job.zone = Some("z".into()),
            Err(AdmissionError::NoSuitableMachineType),
        ),
        (
            "an array that exceeds the limit as a whole",
            |job| job.task_count = 90,
            Ok(()),
        ),
        (
            "a gang that exceeds the limit",
            |job| {
                job.kind = JobKind::Gang;
                job.task_count = 9;
            },
            Err(AdmissionError::ExceedsTeamLimit),
        ),
        (
            "a gang at the limit",
            |job| {
                job.kind = JobKind::Gang;
                job.task_count = 8;
            },
            Ok(()),
        ),
    ];
    for (name, edit, expected) in cases {
        let mut job = spec("wk-000001", 2, 4.0);
        edit(&mut job);
        assert_eq!(check_job(&job, &config().teams, &types), expected, "{name}");
    }
}
