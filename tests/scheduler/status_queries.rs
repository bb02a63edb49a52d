//! Status queries about many jobs at once: few reads of the key-value store, and no wrong answer.

use cypressgap::core::model::JobId;
use cypressgap::core::persistence::job_status_reads;
use cypressgap::core::persistence::job_status_reads::{
    JobRecordReader, JobRecordStatus, OutcomeEntry, OutcomePage, StatusRead,
};
use cypressgap::core::persistence::keys::{live_job_key, outcome_key};
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::persistence::write_batch::KeyCondition;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// A fake of the records in the key-value store, as status queries read them.
struct FakeRecords {
    /// The keys in the index of live jobs.
    live: BTreeSet<String>,
    outcomes_by_key: BTreeMap<String, JobOutcome>,
    /// The maximum number of mismatched keys in an answer.
    keys_per_answer: usize,
    /// The maximum number of outcomes in a page.
    page_size: usize,
    /// The number of calls of the functions of `JobRecordReader` so far, including failed calls.
    calls: Cell<usize>,
    /// The number of calls that succeed; all later calls fail.
    calls_before_outage: usize,
}

impl FakeRecords {
    fn count_call(&self) -> Result<(), &'static str> {
        self.calls.set(self.calls.get() + 1);
        (self.calls.get() <= self.calls_before_outage)
            .then_some(())
            .ok_or("unavailable")
    }
}

impl JobRecordReader for FakeRecords {
    type Error = &'static str;
    fn mismatched_keys(&self, expected: &[KeyCondition]) -> Result<Vec<String>, &'static str> {
        self.count_call()?;
        let exists = |k: &String| self.live.contains(k) || self.outcomes_by_key.contains_key(k);
        let mismatched = expected
            .iter()
            .filter(|c| exists(&c.key) != (c.revision > 0));
        Ok(mismatched
            .take(self.keys_per_answer)
            .map(|c| c.key.clone())
            .collect())
    }
    fn outcomes_after(&self, key: &str) -> Result<OutcomePage, &'static str> {
        self.count_call()?;
        let after = self
            .outcomes_by_key
            .iter()
            .filter(|(k, _)| k.as_str() > key);
        let page: Vec<_> = after.clone().take(self.page_size).collect();
        let more = after.count() > page.len();
        let entries = page.into_iter().map(|(key, outcome)| OutcomeEntry {
            key: key.clone(),
            outcome: *outcome,
        });
        Ok(OutcomePage {
            entries: entries.collect(),
            has_next: more,
        })
    }
    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, &'static str> {
        self.count_call()?;
        Ok(self.outcomes_by_key.get(key).copied())
    }
}

fn job_id(n: u32) -> JobId {
    JobId(format!("wk-{n:06}"))
}

/// Records of jobs by number: 0 to 99 are live, 100 to 149 are done, 150 to 159 are cancelled but still have
/// keys in the index of live jobs, and 160 to 169 are recorded as live by earlier versions. Jobs with other
/// numbers were never accepted.
fn fake_records(keys_per_answer: usize, page_size: usize) -> FakeRecords {
    let outcome = |n: u32| match n {
        100..=149 => Some(JobOutcome::Done),
        150..=159 => Some(JobOutcome::Cancelled),
        160..=169 => Some(JobOutcome::Live),
        _ => None,
    };
    FakeRecords {
        live: (0..100)
            .chain(150..170)
            .map(|n| live_job_key(&job_id(n)))
            .collect(),
        outcomes_by_key: (0..200)
            .filter_map(|n| Some((outcome_key(&job_id(n)), outcome(n)?)))
            .collect(),
        keys_per_answer,
        page_size,
        calls: Cell::new(0),
        calls_before_outage: usize::MAX,
    }
}

fn expected_status(n: u32) -> JobRecordStatus {
    match n {
        0..=99 | 160..=169 => JobRecordStatus::Accepted(JobOutcome::Live),
        100..=149 => JobRecordStatus::Accepted(JobOutcome::Done),
        150..=159 => JobRecordStatus::Accepted(JobOutcome::Cancelled),
        _ => JobRecordStatus::NeverAccepted,
    }
}

#[test]
fn many_status_queries_cost_few_calls_and_are_answered_correctly() {
    // Case name, queried jobs, the job number below which all accepted jobs are already known to be accepted,
    // maximum number of mismatched keys in an answer, maximum number of outcomes in a page, and maximum
    // number of calls.
    type Case = (&'static str, Vec<u32>, u32, usize, usize, usize);
    let cases: [Case; 9] = [
        ("all live and known", (0..100).collect(), 100, 999, 99, 1),
        (
            "a new node, which knows of no job",
            (0..100).collect(),
            0,
            999,
            99,
            2,
        ),
        ("one was done", (50..101).collect(), 101, 999, 99, 3),
        ("many were done", (50..150).collect(), 150, 999, 99, 3),
        ("more than a page", (50..150).collect(), 150, 999, 20, 5),
        ("far apart", vec![100, 149, 155], 0, 999, 5, 4),
        ("never accepted", (300..400).collect(), 0, 999, 99, 1),
        (
            "of all kinds",
            (0..200).step_by(3).collect(),
            60,
            999,
            99,
            4,
        ),
        (
            "one mismatched key per answer",
            vec![1, 101, 155],
            200,
            1,
            99,
            5,
        ),
    ];
    for (name, queried, known_below, keys_per_answer, page_size, max_calls) in cases {
        let records = fake_records(keys_per_answer, page_size);
        let queried: BTreeSet<u32> = queried.into_iter().collect();
        let mut accepted = (0..known_below)
            .filter(|n| expected_status(*n) != JobRecordStatus::NeverAccepted)
            .map(job_id)
            .collect();
        let job_ids = queried.iter().map(|n| job_id(*n)).collect();
        let StatusRead {
            statuses: found_statuses,
            error: read_error,
        } = job_status_reads::read_statuses(&records, &job_ids, &mut accepted);
        assert_eq!(read_error, None, "{name}");
        for n in &queried {
            assert_eq!(
                found_statuses.get(&job_id(*n)),
                Some(&expected_status(*n)),
                "{name}: job {n}"
            );
        }
        assert!(
            records.calls.get() <= max_calls,
            "{name}: {} calls",
            records.calls.get()
        );
    }
}

/// Guards against guessed statuses: jobs whose status could not be read are left out.
#[test]
fn statuses_that_could_not_be_read_are_left_out() {
    for calls_before_outage in 0..4 {
        for keys_per_answer in [1, 999] {
            let mut records = fake_records(keys_per_answer, 2);
            records.calls_before_outage = calls_before_outage;
            let job_ids = (0..200).step_by(7).map(job_id).collect();
            let StatusRead {
                statuses: found_statuses,
                error: read_error,
            } = job_status_reads::read_statuses(&records, &job_ids, &mut BTreeSet::new());
            assert!(
                read_error.is_some() || keys_per_answer == 1,
                "{calls_before_outage} {keys_per_answer}"
            );
            for (job_id, status) in found_statuses {
                let n: u32 = job_id.0[3..].parse().expect("a number");
                assert_eq!(
                    status,
                    expected_status(n),
                    "job {n} after {calls_before_outage} calls"
                );
            }
        }
    }
    assert_eq!(job_status_reads::max_jobs_per_comparison(96, 64 * 1024), 48);
    assert_eq!(
        job_status_reads::max_jobs_per_comparison(100_000, 64 * 1024),
        512
    );
    assert_eq!(job_status_reads::max_jobs_per_comparison(0, 0), 1);
}
