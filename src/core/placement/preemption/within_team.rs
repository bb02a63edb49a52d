//! Preemption within a team: tasks of a lower priority are stopped if only the team's limit holds back a
//! job of a higher priority.

use crate::core::model::{JobKind, JobSpec, Priority, Resources, TaskId, Team, TeamName};
use crate::core::placement::preemption::{
    Preemption, PreemptionInput, PreemptionPlan, PreemptionReason, MAX_PREEMPTIONS_PER_ROUND,
};
use crate::core::state::{ClusterState, Job};
use std::collections::{HashMap, HashSet};

/// An active task that may be preempted for another job of its team.
struct Victim<'a> {
    task: TaskId,
    job: &'a Job,
    /// The cost of preempting the task, in seconds of lost work including the restart.
    cost: f64,
}

/// The usage of one team and its candidate victims.
#[derive(Default)]
struct TeamWorkload<'a> {
    /// The resources that the team uses, without those of tasks that are being stopped, plus the resources
    /// of all waiting tasks of those preempting jobs that were handled so far.
    used: Resources,
    /// Tasks that may be preempted, by descending cost.
    victims: Vec<Victim<'a>>,
}

impl<'a> TeamWorkload<'a> {
    /// Selects the cheapest victims of a lower priority that make room for one more task within the team's
    /// limit. Returns `None`, and selects nothing, if all of them together do not.
    fn make_room(&mut self, team: &Team, preemptor: &JobSpec) -> Option<Vec<TaskId>> {
        let mut used = self.used;
        let mut chosen = Vec::new();
        // The cheapest victims are the last ones.
        for (index, victim) in self.victims.iter().enumerate().rev() {
            if team.allows(&used, &preemptor.resources) {
                break;
            }
            if victim.job.spec.priority < preemptor.priority {
                used.sub(&victim.job.spec.resources);
                chosen.push(index);
            }
        }
        if !team.allows(&used, &preemptor.resources) {
            return None;
        }
        self.used = used;
        self.used.add(&preemptor.resources);
        // The indices descend, so that removing one leaves those to come in place.
        let chosen = chosen.into_iter();
        Some(
            chosen
                .map(|index| self.victims.remove(index).task)
                .collect(),
        )
    }
}

impl ClusterState {
    /// Selects tasks to preempt so that higher-priority jobs fit under their teams' limits.
    pub(super) fn plan_preemptions_within_teams(
        &self,
        input: &PreemptionInput<'_>,
        plan: &mut PreemptionPlan,
    ) {
        let preemptors: Vec<&Job> = input
            .quota_limited_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.spec.priority > Priority::Standard && job.spec.kind == JobKind::Batch)
            .filter(|job| {
                self.nominations
                    .may_preempt_for_quota(input.now, &job.spec.job_id)
            })
            .collect();
        if preemptors.is_empty() {
            return;
        }
        let mut workload_by_team = self.team_workloads(&preemptors, input, &plan.preemptions);
        for job in preemptors {
            let team = self.team_config(&job.spec.team);
            let workload = workload_by_team.get_mut(&job.spec.team);
            if let (Some(team), Some(workload)) = (team, workload) {
                preempt_within_team(job, team, workload, plan);
            }
        }
    }

    /// The usage and candidate victims of the preemptors' teams, without tasks that are already being
    /// stopped.
    fn team_workloads<'a>(
        &'a self,
        preemptors: &[&'a Job],
        input: &PreemptionInput<'_>,
        preemptions: &[Preemption],
    ) -> HashMap<&'a TeamName, TeamWorkload<'a>> {
        let mut workload_by_team: HashMap<&TeamName, TeamWorkload<'_>> = HashMap::new();
        for preemptor in preemptors {
            let team = &preemptor.spec.team;
            workload_by_team
                .entry(team)
                .or_insert_with(|| TeamWorkload {
                    used: self.quota_usage.team_usage(team),
                    victims: Vec::new(),
                });
        }
        let preempted: HashSet<&TaskId> = preemptions.iter().map(|p| &p.task).collect();
        for job in self.jobs.values() {
            if let Some(workload) = workload_by_team.get_mut(&job.spec.team) {
                self.add_running_tasks(job, input, &preempted, workload);
            }
        }
        for workload in workload_by_team.values_mut() {
            workload
                .victims
                .sort_by(|a, b| b.cost.total_cmp(&a.cost).then(b.task.cmp(&a.task)));
        }
        workload_by_team
    }

    /// Adds the active tasks of one job that may be preempted to its team's candidate victims. Subtracts the
    /// resources of those that are already being stopped from the team's usage.
    fn add_running_tasks<'a>(
        &self,
        job: &'a Job,
        input: &PreemptionInput<'_>,
        preempted: &HashSet<&TaskId>,
        workload: &mut TeamWorkload<'a>,
    ) {
        for (index, attempt) in &job.active {
            let task = job.task(*index);
            if attempt.kill_request.is_some() || preempted.contains(&task) {
                workload.used.sub(&job.spec.resources);
                continue;
            }
            if job.spec.kind == JobKind::Gang {
                continue;
            }
            let guaranteed = input.jobs_within_guarantee;
            let cost = self.cost_of_preempting(input.now, job, *index, attempt, guaranteed);
            workload
                .victims
                .extend(cost.map(|cost| Victim { task, job, cost }));
        }
    }
}

/// Selects victims for each waiting task of a job that then fits under its team's limit.
fn preempt_within_team(
    job: &Job,
    team: &Team,
    workload: &mut TeamWorkload<'_>,
    plan: &mut PreemptionPlan,
) {
    for _ in 0..job.waiting_count() {
        if plan.preemptions.len() >= MAX_PREEMPTIONS_PER_ROUND {
            break;
        }
        let Some(victims) = workload.make_room(team, &job.spec) else {
            break;
        };
        if victims.is_empty() {
            continue;
        }
        plan.quota_beneficiaries.push(job.spec.job_id.clone());
        let preemptions = victims.into_iter().map(|task| Preemption {
            task,
            reason: PreemptionReason::TeamLimit,
        });
        plan.preemptions.extend(preemptions);
    }
}
