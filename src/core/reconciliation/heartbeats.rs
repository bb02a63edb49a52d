//! What workers' reports tell, and what they are answered.

use crate::core::model::{
    AttemptId, FencingToken, Heartbeat, JobId, MachineId, Resources, TaskCommand, TaskId,
    TaskPhase, TaskStatus, TeamName,
};
use crate::core::reconciliation::commands::MAX_COMMANDS;
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::reconciliation::unrecorded_tasks::UnrecordedTask;
use crate::core::state::cluster_state::Machine;
use crate::core::state::cluster_state::{ClusterState, HeartbeatDecision};
use crate::core::state::machine::MachineIdentity;
use cypressgap_recovery::pacing::OrderClass;
use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

/// What was told to a host shows in its reports within one interval, or this.
const ACKNOWLEDGE_MIN: Duration = Duration::from_secs(4);

/// A host that is silent for so many reports may have been restarted under its name.
const RESTART_SILENCE_HEARTBEATS: f64 = 2.5;

/// The tasks that a report lists, sorted by what becomes of them.
#[derive(Default)]
struct ReportedTasks {
    listed: HashSet<(TaskId, AttemptId)>,
    /// Those that should not be there.
    unexpected: Vec<TaskCommand>,
    /// Ended ones that the worker may forget.
    forgets: Vec<TaskCommand>,
    /// What the unexpected ones take, and whose they are.
    foreign: Vec<(TeamName, Resources)>,
    /// Jobs of unexpected tasks that are not known here.
    unknown_jobs: BTreeSet<JobId>,
    /// No late command may start what is killed.
    raise_token: bool,
}

impl ClusterState {
    /// A report, or the body of a direct answer (`heartbeat` false: it renews no lease).
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        r: Heartbeat,
        heartbeat: bool,
    ) -> HeartbeatDecision {
        let machine = r.machine.clone();
        let renews = self.may_renew_leases(now);
        match self.take_heartbeat(now, r, heartbeat, renews) {
            HeartbeatDecision::Accept { commands, .. } if heartbeat && !renews => {
                // What cannot go with the answer goes by itself; direct commands renew no lease.
                let kill = |d: &TaskCommand| matches!(d, TaskCommand::Kill { .. });
                if commands.iter().any(kill) {
                    self.outbox.urgent_machines.insert(machine);
                }
                HeartbeatDecision::Withheld
            }
            answer => answer,
        }
    }

    /// `renews`: the answer may go to the worker, and then renews its lease.
    fn take_heartbeat(
        &mut self,
        now: Instant,
        r: Heartbeat,
        heartbeat: bool,
        renews: bool,
    ) -> HeartbeatDecision {
        if r.token.term() > self.term {
            return HeartbeatDecision::Superseded(r.token.term());
        }
        if heartbeat {
            self.liveness.last_heartbeat = Some(now);
        }
        let heartbeat = heartbeat && renews;
        if self.fleet.is_tombstone(&r.machine) {
            return HeartbeatDecision::Ignore;
        }
        if let Some(token) = self.outdated(now, &r, heartbeat) {
            return HeartbeatDecision::Accept {
                token,
                commands: Vec::new(),
            };
        }
        self.take_machine(now, &r);
        let mut tasks = self.take_tasks(now, &r);
        let current = self.is_current(&r);
        let unknown_jobs = std::mem::take(&mut tasks.unknown_jobs);
        self.note_unknown_jobs(now, &r.machine, current, unknown_jobs);
        let listed = &tasks.listed;
        self.takeover
            .on_heartbeat(now, &r.machine, current, |task, attempt| {
                listed.contains(&(task.clone(), attempt))
            });
        self.acknowledge_orders(&r);
        self.prove_absent(now, &r, &tasks.listed);
        self.check_acknowledged(now, &r, &tasks.listed);
        self.answer_heartbeat(now, &r.machine, heartbeat, tasks)
    }

    /// The host that a report names; one that was not known appears.
    fn reporting_machine(&mut self, now: Instant, r: &Heartbeat) -> &mut Machine {
        let term = self.term;
        self.fleet
            .machines
            .entry(r.machine.clone())
            .or_insert_with(|| {
                log::info!(
                    "host appears host={} type={} site={}",
                    r.machine,
                    r.machine_type,
                    r.zone
                );
                let identity = MachineIdentity {
                    id: r.machine.clone(),
                    machine_type: r.machine_type.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                };
                Machine::new(identity, term, now)
            })
    }

    /// The token to answer with if nothing is to be learned from a report: a newer message of the host
    /// came before, or it is its predecessor's.
    fn outdated(&mut self, now: Instant, r: &Heartbeat, heartbeat: bool) -> Option<FencingToken> {
        let silence = self.config.heartbeat.mul_f64(RESTART_SILENCE_HEARTBEATS);
        let h = self.reporting_machine(now, r);
        if h.min_token.is_some_and(|f| r.token < f) {
            // The predecessor's.
            return Some(h.token);
        }
        if !h.has_reported || (r.incarnation, r.serial) > (h.incarnation, h.serial) {
            return None;
        }
        let silent = now.saturating_duration_since(h.last_heartbeat_at) > silence;
        let restarted = h.restart_probe_token.is_some_and(|p| r.token >= p);
        if !restarted {
            // Overtaken by a newer message, or a late copy: nothing is learned from it. When it
            // is a live worker's report that crossed a direct command, its answer renews the
            // lease, counted from its sending; that was before the newer message came.
            if heartbeat {
                h.lease_renewed_at = h.lease_renewed_at.max(Some(h.last_heartbeat_at));
            }
            // Or the machine was restarted under its name and counts from the beginning: it has been
            // silent, or shows a token below the one shown before. No copy can show a token that was
            // first given out after it was sent; and such a machine, which has forgotten what it was
            // told to stop, takes no command any more that was sent to it before.
            let fallen_back = r.token < h.observed_token;
            if (silent || fallen_back) && heartbeat && h.restart_probe_token.is_none() {
                h.token = h.token.next();
                h.restart_probe_token = Some(h.token);
            }
            return Some(h.token);
        }
        log::info!("host was restarted host={}", r.machine);
        h.min_token = h.restart_probe_token;
        h.images.clear();
        h.lease_renewed_at = h.lease_renewed_at.max(Some(now));
        None
    }

    /// What a report shows of its host.
    fn take_machine(&mut self, now: Instant, r: &Heartbeat) {
        let term = self.term;
        let h = self.reporting_machine(now, r);
        h.restart_probe_token = None;
        if !h.has_reported {
            h.idle_since = h.placed_tasks.is_empty().then_some(now);
            h.avoid_until = None;
        }
        let booting = h.booting_since.take();
        let new_session = !h.has_reported || r.incarnation != h.incarnation;
        let later_session = h.has_reported && r.incarnation > h.incarnation;
        h.has_reported = true;
        h.machine_type = r.machine_type.clone();
        h.zone = r.zone.clone();
        h.spot = r.spot;
        h.endpoint = r.endpoint.clone();
        h.incarnation = r.incarnation;
        h.serial = r.serial;
        h.observed_token = r.token;
        h.last_heartbeat_at = now;
        h.lease_expired = false;
        if r.token.term() == term {
            h.fenced = true;
            h.token = h.token.max(r.token);
            if h.required_token
                .is_some_and(|required| r.token >= required.token)
            {
                h.required_token = None;
            }
        }
        if later_session {
            h.images.clear();
            // The new session's lease runs from its beginning, which is not long before now. Counted
            // from the last answer of the old one, it would seem to have run out under tasks that
            // direct commands start in the new session.
            h.lease_renewed_at = h.lease_renewed_at.max(Some(now));
            // Reports that were answered, and yet its lease ran out.
            h.require_token(now);
        }
        let noticed = h.eviction_at.is_none() && r.eviction.is_some();
        if let Some(remaining) = r.eviction {
            h.eviction_at = Some(now + remaining);
        }
        if new_session || noticed {
            self.schedule.request_round();
        }
        if let Some(since) = booting {
            self.came_up(now.saturating_duration_since(since), r);
        }
        if let Some(remaining) = r.eviction.filter(|_| noticed) {
            log::info!(
                "host will be taken host={} in_s={:.1}",
                r.machine,
                remaining.as_secs_f64()
            );
        }
    }

    /// The first report of a machine that was booting.
    fn came_up(&mut self, took: Duration, r: &Heartbeat) {
        self.capacity.record_boot(&r.machine_type, took, r.spot);
        log::info!(
            "host is up host={} type={} site={}",
            r.machine,
            r.machine_type,
            r.zone
        );
    }

    /// Sent after this term began, or by a machine without a past. Any other may be a copy from before an
    /// end of the session: what it shows may long be otherwise, since a leader launches the same attempt
    /// again where a session ended.
    fn is_current(&self, r: &Heartbeat) -> bool {
        let own = self
            .fleet
            .machines
            .get(&r.machine)
            .is_some_and(|h| h.rented_this_term);
        r.token.term() == self.term || own
    }

    /// What a report shows of tasks.
    fn take_tasks(&mut self, now: Instant, r: &Heartbeat) -> ReportedTasks {
        let current = self.is_current(r);
        let mut tasks = ReportedTasks::default();
        for t in &r.tasks {
            tasks.listed.insert((t.task.clone(), t.attempt));
            let job = self.jobs.get(&t.task.job_id);
            let matches = job
                .and_then(|j| j.active.get(&t.task.index))
                .is_some_and(|a| a.id == t.attempt && a.machine == r.machine);
            let held = job.is_some_and(|j| j.is_held(t.task.index, t.attempt));
            match t.phase {
                TaskPhase::Ended(exit) if matches => {
                    if current {
                        self.ended(now, r, &t.task, exit);
                    }
                }
                TaskPhase::Ended(_) if !held => tasks.forgets.push(TaskCommand::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                }),
                TaskPhase::Ended(_) => {}
                phase if matches => self.progress(now, r, &t.task, phase),
                phase => match self.take_unrecorded(now, r, t, current) {
                    UnrecordedTask::Adopted => self.progress(now, r, &t.task, phase),
                    decision => self.note_unexpected(t, decision, &mut tasks),
                },
            }
        }
        tasks
    }

    /// A task that no record names, and that is not adopted.
    fn note_unexpected(
        &mut self,
        shown: &TaskStatus,
        decision: UnrecordedTask,
        tasks: &mut ReportedTasks,
    ) {
        match self.jobs.get(&shown.task.job_id) {
            Some(job) => {
                let team = job.spec.team.clone();
                tasks.foreign.push((team, job.spec.resources));
            }
            None => {
                tasks.unknown_jobs.insert(shown.task.job_id.clone());
            }
        }
        if decision == UnrecordedTask::Held {
            return;
        }
        tasks.raise_token |= decision == UnrecordedTask::KilledUnderRaisedToken;
        self.takeover.on_killed();
        tasks.unexpected.push(TaskCommand::Kill {
            task: shown.task.clone(),
            attempt: shown.attempt,
            grace_period: Duration::ZERO,
        });
    }

    fn answer_heartbeat(
        &mut self,
        now: Instant,
        machine: &MachineId,
        heartbeat: bool,
        tasks: ReportedTasks,
    ) -> HeartbeatDecision {
        let mut commands = tasks.unexpected;
        for kill in &commands {
            self.admit(now, machine, kill, OrderClass::Immediate);
        }
        let mut forgets = tasks.forgets;
        forgets.retain(|forget| self.admit(now, machine, forget, OrderClass::Background));
        let Some(h) = self.fleet.machines.get_mut(machine) else {
            return HeartbeatDecision::Ignore;
        };
        h.unexpected_usage = Resources::default();
        for (_, resources) in &tasks.foreign {
            h.unexpected_usage.add(resources);
        }
        self.quota_usage.set_unexpected(machine, &tasks.foreign);
        if heartbeat {
            h.lease_renewed_at = Some(now);
        }
        // After a forget the worker would take a late copy of the launch for a new one, so the same
        // answer raises the token past every launch that went out before.
        if !forgets.is_empty() || tasks.raise_token {
            h.token = h.token.next();
        }
        commands.extend(forgets);
        self.commands(now, machine, Some(&tasks.listed), &mut commands);
        commands.truncate(MAX_COMMANDS);
        HeartbeatDecision::Accept {
            token: self.fleet.machines[machine].token,
            commands,
        }
    }

    /// Whether the report shows what the host was told a while ago. A machine whose reports come
    /// through while nothing reaches it would otherwise be given task after task.
    pub(in crate::core) fn check_acknowledged(
        &mut self,
        now: Instant,
        r: &Heartbeat,
        listed: &HashSet<(TaskId, AttemptId)>,
    ) {
        let patience = self.config.heartbeat.max(ACKNOWLEDGE_MIN);
        let Some(h) = self.fleet.machines.get(&r.machine) else {
            return;
        };
        let long = |t: Instant| now.saturating_duration_since(t) > patience;
        let ignored = h.placed_tasks.keys().any(|t| {
            let a = self
                .jobs
                .get(&t.job_id)
                .and_then(|j| j.active.get(&t.index));
            a.is_some_and(|a| {
                let shown = listed.contains(&(t.clone(), a.id));
                let lost = !shown && a.kill_request.is_none() && a.launch_sent_at.is_some_and(long);
                let kill = a.kill_request.as_ref();
                let runs = a.observed_phase != Some(TaskPhase::Checkpointing);
                lost || (shown && runs && kill.is_some_and(|k| long(k.since + k.grace_period)))
            })
        });
        if ignored {
            if let Some(h) = self.fleet.machines.get_mut(&r.machine) {
                h.require_token(now);
            }
        }
    }

    /// Attempts placed on this host that its report does not list.
    pub(in crate::core) fn prove_absent(
        &mut self,
        now: Instant,
        r: &Heartbeat,
        listed: &HashSet<(TaskId, AttemptId)>,
    ) {
        let Some(h) = self.fleet.machines.get(&r.machine) else {
            return;
        };
        let mut gone = Vec::new();
        let mut fence = false;
        for task in h.placed_tasks.keys() {
            let Some(a) = self
                .jobs
                .get(&task.job_id)
                .and_then(|j| j.active.get(&task.index))
            else {
                continue;
            };
            if !a.durable || listed.contains(&(task.clone(), a.id)) {
                continue;
            }
            let current = r.token.term() == self.term || h.rented_this_term;
            let earlier = a.incarnation.is_some_and(|t| t < r.incarnation)
                && a.launch_token != FencingToken(0)
                && current;
            let unwanted = a.kill_request.is_some()
                || h.returning
                || h.eviction_at.is_some()
                || self.launch_check(task) == LaunchCheck::Refused;
            if earlier {
                // The worker began a new session and killed what it had; commands of the old
                // session no longer match.
                gone.push(task.clone());
            } else if unwanted {
                if r.token > a.launch_token && r.token.term() == self.term {
                    gone.push(task.clone());
                } else {
                    fence |= h.token <= a.launch_token;
                }
            } else if a.observed_phase.is_some()
                && r.token.term() == self.term
                && r.token > a.launch_token
            {
                gone.push(task.clone());
            }
        }
        if fence {
            if let Some(h) = self.fleet.machines.get_mut(&r.machine) {
                h.token = h.token.next();
            }
        }
        for t in gone {
            log::debug!("task is proved absent task={t} host={}", r.machine);
            self.gone(now, &t.job_id, t.index, false);
        }
    }
}
