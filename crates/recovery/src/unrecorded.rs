//! Work that a worker shows and that no record names, of a job that the leader does not know.
//!
//! Such work may belong to a job whose acceptance the leader has not heard of yet, to one that is over
//! and long forgotten, to one whose record cannot be read, or to one that the state service lost when it
//! was put back to an earlier state. So the state service is asked, by a linearizable read, before
//! anything is done about it, and a read that failed decides nothing. Until the work is proved gone it
//! holds its machine, and counts as work of any team, since its team is not known.

use crate::attempt_state::HeartbeatOrigin;
use cypressgap_model::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Two answers that a job was never accepted must lie this far apart to count as two.
pub const MIN_DENIAL_INTERVAL: Duration = Duration::from_secs(2);
/// So many of them are needed before work is killed.
pub const MIN_DENIALS: u32 = 2;

/// What the state service says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredJobStatus {
    /// It is accepted and not over: its record is on its way here, or cannot be read.
    Live,
    /// Its verdict is durable, so all of its tasks were proved ended or gone before.
    Over,
    /// It was never accepted, or the state service was put back to an earlier state.
    NeverAccepted,
}

/// What becomes of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It stays, counted as taken, until more is known.
    Hold,
    /// It is killed under a raised token.
    Kill,
}

/// What is known of one job.
#[derive(Clone, Copy, Debug)]
struct UnknownJob {
    first_shown: Instant,
    answer: Option<StoredJobStatus>,
    denials: u32,
    last_denial: Option<Instant>,
    /// Machines that show work of it.
    machines: usize,
}

impl UnknownJob {
    fn new(now: Instant) -> UnknownJob {
        UnknownJob {
            first_shown: now,
            machines: 0,
            answer: None,
            denials: 0,
            last_denial: None,
        }
    }

    fn answered(&mut self, now: Instant, answer: StoredJobStatus) {
        self.answer = Some(answer);
        if answer != StoredJobStatus::NeverAccepted {
            self.denials = 0;
            self.last_denial = None;
            return;
        }
        let apart = |t: Instant| now.saturating_duration_since(t) >= MIN_DENIAL_INTERVAL;
        if self.last_denial.is_none_or(apart) {
            self.denials += 1;
            self.last_denial = Some(now);
        }
    }

    fn disposition(&self, now: Instant, hold: Duration) -> Disposition {
        let held = now.saturating_duration_since(self.first_shown);
        match self.answer {
            Some(StoredJobStatus::Over) => Disposition::Kill,
            Some(StoredJobStatus::NeverAccepted) if self.denials >= MIN_DENIALS && held >= hold => {
                Disposition::Kill
            }
            _ => Disposition::Hold,
        }
    }
}

/// What one machine shows of such jobs.
#[derive(Debug)]
struct ShownWork {
    jobs: BTreeSet<JobId>,
    /// Of the heartbeat that listed them.
    origin: HeartbeatOrigin,
}

/// All such work.
#[derive(Debug)]
pub struct UnrecordedWork {
    hold: Duration,
    jobs: BTreeMap<JobId, UnknownJob>,
    machines: BTreeMap<MachineId, ShownWork>,
    /// Machines whose newest report is no late copy.
    current_machines: usize,
}

impl UnrecordedWork {
    /// `hold`: how long work of a job that was never accepted is left alone.
    pub fn new(hold: Duration) -> UnrecordedWork {
        UnrecordedWork {
            hold,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            current_machines: 0,
        }
    }

    /// What a machine's report shows, in place of what it showed before. Returns jobs that are new here.
    pub fn shown(
        &mut self,
        now: Instant,
        machine: &MachineId,
        origin: HeartbeatOrigin,
        jobs: BTreeSet<JobId>,
    ) -> Vec<JobId> {
        let mut new = Vec::new();
        for job_id in &jobs {
            let inquiry = self.jobs.entry(job_id.clone()).or_insert_with(|| {
                new.push(job_id.clone());
                UnknownJob::new(now)
            });
            inquiry.machines += 1;
        }
        self.remove_machine(machine);
        if !jobs.is_empty() {
            self.current_machines += usize::from(origin == HeartbeatOrigin::ThisTerm);
            self.machines
                .insert(machine.clone(), ShownWork { jobs, origin });
        }
        new
    }

    /// Nothing of the kind is on a machine any more, or the machine is gone.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        let Some(work) = self.machines.remove(machine) else {
            return;
        };
        self.current_machines -= usize::from(work.origin == HeartbeatOrigin::ThisTerm);
        for job_id in work.jobs {
            self.machine_left_job(&job_id);
        }
    }

    /// A job that no machine shows any more needs no answer.
    fn machine_left_job(&mut self, job_id: &JobId) {
        let Some(inquiry) = self.jobs.get_mut(job_id) else {
            return;
        };
        inquiry.machines -= 1;
        if inquiry.machines == 0 {
            self.jobs.remove(job_id);
        }
    }

    /// The state service's answer about a job.
    pub fn answered(&mut self, now: Instant, job_id: &JobId, answer: StoredJobStatus) {
        if let Some(inquiry) = self.jobs.get_mut(job_id) {
            inquiry.answered(now, answer);
        }
    }

    /// What becomes of a job's work.
    pub fn disposition(&self, now: Instant, job_id: &JobId) -> Disposition {
        let inquiry = self.jobs.get(job_id);
        inquiry.map_or(Disposition::Hold, |i| i.disposition(now, self.hold))
    }

    /// Jobs to ask the state service about.
    pub fn to_ask(&self) -> impl Iterator<Item = &JobId> {
        let open = self.jobs.iter();
        open.filter(|(_, inquiry)| inquiry.answer != Some(StoredJobStatus::Over))
            .map(|(job_id, _)| job_id)
    }

    /// Whether a machine holds work whose size is not known.
    pub fn holds_machine(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether tasks of a team that is not known may be on machines. A job whose verdict is durable had
    /// nothing on machines then, so only a report that is no late copy can show work of it.
    pub fn may_use_any_team(&self) -> bool {
        let over = |inquiry: &UnknownJob| inquiry.answer == Some(StoredJobStatus::Over);
        self.current_machines > 0 || !self.jobs.values().all(over)
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// There is no such work.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}
