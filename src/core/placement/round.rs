//! Plans a placement round: walks the queue and collects the tasks to start, the tasks to preempt and the
//! tasks that keep waiting.
//!
//! Jobs are visited in queue order. The round stops placing tasks of an array as soon as the next one would
//! make the team's usage exceed the team's limit. It skips a gang whose members together would do so. Tasks
//! that wait for room are not part of the team's usage: once the limit is reached together with them, further
//! tasks of the team start where there is room now, and reserve nothing. The round works on its own copy of
//! each machine's free resources, so the cluster state does not change.

use crate::core::model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources, TeamName, Zone};
use crate::core::placement::plan::{RoundPlan, SpareResources};
use crate::core::placement::preemption::PreemptionInput;
use crate::core::placement::slots::Slot;
use crate::core::placement::team_load::{team_loads, TeamLoad};
use crate::core::state::{ClusterState, Job};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// The maximum number of tasks that one round examines. A gang is always examined as a whole, which may
/// exceed this number. Waiting tasks beyond it are left to later rounds.
pub(super) const MAX_TASKS_PER_ROUND: usize = 4000;
/// Scores are rounded to this resolution, and machines with the same rounded score are compared by price.
/// Smaller differences between scores mean nothing, because a worker sends heartbeats at most every half
/// second.
pub(super) const SCORE_RESOLUTION_S: f64 = 1.0;
/// Added to the score of a machine whose resources are still in use: the time from the predicted end of a
/// task to the start of its successor. It also compensates for prediction errors: the earliest of many
/// predicted ends is usually too early, and without this delay tasks wait for busy machines while other
/// machines are idle.
pub(super) const SUCCESSOR_START_DELAY: Duration = Duration::from_millis(2500);

/// The state of a placement round during planning: its inputs and the decisions made so far.
pub(super) struct PlacementRound<'a> {
    pub(super) now: Instant,
    /// Expected image fetch rate in GB per second, by the index of the machine type in the fleet.
    pub(super) fetch_rates_gb_per_s: Vec<f64>,
    /// All machines that are up or booting, with the starts and reservations of this round.
    pub(super) slots: Vec<Slot<'a>>,
    pub(super) jobs_within_guarantee: HashSet<&'a JobId>,
    pub(super) teams_over_fair_share: HashSet<&'a TeamName>,
    /// The resources of each team's tasks, which the team's limit bounds.
    pub(super) team_loads: HashMap<TeamName, TeamLoad>,
    /// The number of tasks examined so far in this round.
    pub(super) examined_tasks: usize,
    /// The number of tasks examined so far in this round, by job.
    pub(super) examined_by_job: HashMap<&'a JobId, usize>,
    /// The longest expected wait of any task reserved so far in this round. Tasks beyond
    /// [`MAX_TASKS_PER_ROUND`] are assumed to wait this long.
    pub(super) longest_wait: Duration,
    /// Job arrays with waiting tasks that only their team's limit holds back.
    pub(super) quota_limited_jobs: Vec<&'a JobId>,
    pub(super) plan: RoundPlan,
}

impl ClusterState {
    /// Decides which tasks to start, which to preempt and which keep waiting, without changing the state.
    pub(super) fn plan_round(&self, now: Instant) -> RoundPlan {
        let mut round = self.begin_round(now);
        let queue = self.queue(
            now,
            &round.jobs_within_guarantee,
            &round.teams_over_fair_share,
        );
        for entry in &queue {
            self.plan_nominated(*entry, &mut round);
        }
        for entry in queue {
            match entry.job.spec.kind {
                JobKind::Gang => self.plan_gang(entry, &mut round),
                JobKind::Batch => self.plan_array(entry, &mut round),
            }
        }
        self.finish_round(round)
    }

    fn begin_round(&self, now: Instant) -> PlacementRound<'_> {
        let fetch_rates_gb_per_s: Vec<f64> = self
            .fleet
            .types
            .iter()
            .map(|t| t.fetch_gb_per_s * self.history.fetch_ratio(&t.name))
            .collect();
        PlacementRound {
            now,
            slots: self.slots(now, &fetch_rates_gb_per_s),
            fetch_rates_gb_per_s,
            jobs_within_guarantee: self.jobs_within_guarantee(),
            teams_over_fair_share: self.teams_over_fair_share(),
            team_loads: team_loads(&self.quota_usage),
            examined_tasks: 0,
            examined_by_job: HashMap::new(),
            longest_wait: Duration::ZERO,
            quota_limited_jobs: Vec::new(),
            plan: RoundPlan::default(),
        }
    }

    fn finish_round(&self, round: PlacementRound<'_>) -> RoundPlan {
        let PlacementRound {
            now,
            fetch_rates_gb_per_s,
            slots,
            jobs_within_guarantee,
            mut quota_limited_jobs,
            mut plan,
            ..
        } = round;
        // Jobs suspected of a crash loop would fail on other machines too, and ordinary jobs that wait
        // for the start limiter do not lack machines. Their tasks are removed from `waiting`, so that no
        // machine is rented or kept and no task is preempted for them. A suspected job that the fleet cannot
        // hold stays in `waiting`, because it could never be retried otherwise.
        let start_limit_reached = plan.start_limit_reached;
        plan.waiting.retain(|waiting| {
            self.jobs.get(&waiting.job_id).is_some_and(|job| {
                let is_limited = start_limit_reached
                    && is_subject_to_start_limit(&job.spec, &jobs_within_guarantee);
                let may_be_retried = !job.crash_loop.is_suspected() || !self.fleet_can_hold(job);
                may_be_retried && !is_limited
            })
        });
        quota_limited_jobs.retain(|id| {
            self.jobs
                .get(id)
                .is_some_and(|job| !job.crash_loop.is_suspected())
        });
        plan.preemption = self.plan_preemptions(&PreemptionInput {
            now,
            waiting: &plan.waiting,
            slots: &slots,
            fetch_rates_gb_per_s: &fetch_rates_gb_per_s,
            jobs_within_guarantee: &jobs_within_guarantee,
            quota_limited_jobs: &quota_limited_jobs,
        });
        plan.spare = slots
            .iter()
            .map(|slot| SpareResources {
                machine: slot.machine.id.clone(),
                free: slot.free_unreserved,
            })
            .collect();
        plan
    }

    /// The quota that is kept from a job for more urgent jobs of its team.
    pub(super) fn quota_kept_from(&self, spec: &JobSpec) -> Resources {
        let mut kept = Resources::default();
        for (job_id, tasks) in self.nominations.quota() {
            let beneficiary = self.jobs.get(job_id).map(|job| &job.spec);
            let beneficiary =
                beneficiary.filter(|b| b.team == spec.team && b.priority > spec.priority);
            if let Some(beneficiary) = beneficiary {
                kept.add(&beneficiary.resources.times(f64::from(tasks)));
            }
        }
        kept
    }

    /// Returns a function that looks up the zone of a machine. It returns `None` if the machine is
    /// unknown or its zone is not known.
    pub(in crate::core) fn zone_of(&self) -> impl Fn(&MachineId) -> Option<Zone> + '_ {
        |id| {
            let machine = self.fleet.machines.get(id)?;
            (!machine.zone.0.is_empty()).then(|| machine.zone.clone())
        }
    }
}

/// Whether the start limiter applies to a job. It does not apply to jobs above standard priority, or to
/// jobs within their team's guarantee.
pub(super) fn is_subject_to_start_limit(
    spec: &JobSpec,
    jobs_within_guarantee: &HashSet<&JobId>,
) -> bool {
    spec.priority <= Priority::Standard && !jobs_within_guarantee.contains(&spec.job_id)
}

impl<'a> PlacementRound<'a> {
    /// The number of this job's tasks that the round has examined.
    pub(super) fn examined_tasks_of(&self, job: &Job) -> usize {
        let examined_tasks = self.examined_by_job.get(&job.spec.job_id);
        examined_tasks.copied().unwrap_or(0)
    }

    /// Adds `tasks` to the numbers of examined tasks of the round and of the job.
    pub(super) fn record_examined(&mut self, job: &'a Job, tasks: usize) {
        self.examined_tasks += tasks;
        *self.examined_by_job.entry(&job.spec.job_id).or_default() += tasks;
    }

    /// The number of tasks that this round may still examine.
    pub(super) fn remaining_tasks(&self) -> usize {
        MAX_TASKS_PER_ROUND.saturating_sub(self.examined_tasks)
    }

    /// Whether a machine that is up has these resources free now.
    pub(super) fn has_free_slot(&self, resources: &Resources) -> bool {
        let mut slots_up = self.slots.iter().filter(|slot| slot.ready_at.is_none());
        slots_up.any(|slot| resources.fits(&slot.free))
    }

    /// The resources of a team's tasks; see [`PlacementRound::team_loads`].
    pub(super) fn load_of(&self, team: &TeamName) -> TeamLoad {
        self.team_loads.get(team).copied().unwrap_or_default()
    }
}
