//! Plans a placement round: goes over the queue and collects what to start, what to stop and what waits.
//!
//! Tasks are taken in the order of the queue; a task that would pass its team's limit is skipped. The
//! round works on its own view of the machines, so that the cluster state stays as it is.

use crate::core::model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources, TeamName, Zone};
use crate::core::placement::plan::{RoundPlan, SpareRoom};
use crate::core::placement::preemption::PreemptionInput;
use crate::core::placement::slots::Slot;
use crate::core::state::{ClusterState, Job};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Tasks looked at in one round. A longer queue waits for the rounds to come.
pub(super) const MAX_TASKS_PER_ROUND: usize = 4000;
/// Scores closer than this are equal: heartbeats come no more often than every half second.
pub(super) const SCORE_RESOLUTION_S: f64 = 1.0;
/// From a task's predicted end to the next one's start in its place. Also, of many predicted ends the
/// earliest is mostly an error: without this, tasks wait for busy machines while others stand idle.
pub(super) const TURNAROUND: Duration = Duration::from_millis(2500);

/// A round while it is planned: what it has to go on, and what it has decided so far.
pub(super) struct PlacementRound<'a> {
    pub(super) now: Instant,
    /// Fetch rates by machine type.
    pub(super) fetch_rates: Vec<f64>,
    pub(super) slots: Vec<Slot<'a>>,
    pub(super) jobs_within_guarantee: HashSet<&'a JobId>,
    pub(super) teams_over_fair_share: HashSet<&'a TeamName>,
    /// What the teams' tasks use, this round's starts included.
    pub(super) team_usage: HashMap<TeamName, Resources>,
    /// Tasks looked at so far, of all jobs and of each.
    pub(super) examined: usize,
    pub(super) examined_by_job: HashMap<&'a JobId, usize>,
    /// The longest wait so far that is expected of a task.
    pub(super) longest_wait: Duration,
    /// Jobs held back by their team's limit.
    pub(super) limited_jobs: Vec<&'a JobId>,
    pub(super) plan: RoundPlan,
}

impl ClusterState {
    /// What to start, what to stop, and what waits.
    pub(super) fn plan_round(&self, now: Instant) -> RoundPlan {
        let mut round = self.begin_round(now);
        let queue = self.queue(
            now,
            &round.jobs_within_guarantee,
            &round.teams_over_fair_share,
        );
        for entry in queue {
            match entry.job.spec.kind {
                JobKind::Gang => self.plan_gang(entry, &mut round),
                JobKind::Batch => self.plan_array(entry, &mut round),
            }
        }
        self.finish_round(round)
    }

    fn begin_round(&self, now: Instant) -> PlacementRound<'_> {
        let fetch_rates: Vec<f64> = self
            .fleet
            .types
            .iter()
            .map(|t| t.fetch_gb_per_s * self.history.fetch_ratio(&t.name))
            .collect();
        PlacementRound {
            now,
            slots: self.slots(now, &fetch_rates),
            fetch_rates,
            jobs_within_guarantee: self.jobs_within_guarantee(),
            teams_over_fair_share: self.teams_over_fair_share(),
            team_usage: self.quota_usage.by_team(),
            examined: 0,
            examined_by_job: HashMap::new(),
            longest_wait: Duration::ZERO,
            limited_jobs: Vec::new(),
            plan: RoundPlan::default(),
        }
    }

    fn finish_round(&self, round: PlacementRound<'_>) -> RoundPlan {
        let PlacementRound {
            now,
            fetch_rates,
            slots,
            jobs_within_guarantee,
            mut limited_jobs,
            mut plan,
            ..
        } = round;
        // Nothing is rented, kept or stopped for a job that would only fail there too, or for work that
        // waits for the start limiter.
        let rate_limited = plan.rate_limited;
        plan.waiting.retain(|waiting| {
            self.jobs.get(&waiting.job_id).is_some_and(|job| {
                let is_limited = rate_limited && is_ordinary(&job.spec, &jobs_within_guarantee);
                !job.crash_loop.is_suspected() && !is_limited
            })
        });
        limited_jobs.retain(|id| {
            self.jobs
                .get(id)
                .is_some_and(|job| !job.crash_loop.is_suspected())
        });
        plan.preemptions = self.plan_preemptions(&PreemptionInput {
            now,
            waiting: &plan.waiting,
            slots: &slots,
            fetch_rates: &fetch_rates,
            jobs_within_guarantee: &jobs_within_guarantee,
            limited_jobs: &limited_jobs,
        });
        plan.spare = slots
            .iter()
            .map(|slot| SpareRoom {
                machine: slot.machine.id.clone(),
                free: slot.free_unreserved,
            })
            .collect();
        plan
    }

    /// The zones of machines, as far as they are known.
    pub(in crate::core) fn zone_of(&self) -> impl Fn(&MachineId) -> Option<Zone> + '_ {
        |id| {
            let machine = self.fleet.machines.get(id)?;
            (!machine.zone.0.is_empty()).then(|| machine.zone.clone())
        }
    }
}

/// Work that may wait while the controllers cannot keep up: neither of a high priority nor within a
/// guarantee.
pub(super) fn is_ordinary(spec: &JobSpec, jobs_within_guarantee: &HashSet<&JobId>) -> bool {
    spec.priority <= Priority::Standard && !jobs_within_guarantee.contains(&spec.job_id)
}

impl<'a> PlacementRound<'a> {
    /// How many tasks of a job this round has looked at.
    pub(super) fn examined_of(&self, job: &Job) -> usize {
        let examined = self.examined_by_job.get(&job.spec.job_id);
        examined.copied().unwrap_or(0)
    }

    /// This round looks at so many tasks of a job.
    pub(super) fn record_examined(&mut self, job: &'a Job, tasks: usize) {
        self.examined += tasks;
        *self.examined_by_job.entry(&job.spec.job_id).or_default() += tasks;
    }

    /// How many more tasks this round may look at.
    pub(super) fn remaining_tasks(&self) -> usize {
        MAX_TASKS_PER_ROUND.saturating_sub(self.examined)
    }

    /// What a team's tasks use, this round's starts included.
    pub(super) fn usage_of(&self, team: &TeamName) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }
}
