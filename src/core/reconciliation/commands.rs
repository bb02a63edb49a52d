//! What workers are told: launches and kills, with the answers to their reports or by direct commands.

use crate::core::model::{
    AttemptId, FencingToken, Heartbeat, MachineId, Priority, TaskCommand, TaskId, TaskPhase, Term,
};
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::state::cluster_state::{Action, ClusterState, HeartbeatDecision};
use crate::core::state::cluster_state::{ActiveAttempt, KillRequest};
use cypressgap_recovery::pacing::OrderClass;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Most directives in one message: far below 64 KiB.
pub(in crate::core) const MAX_COMMANDS: usize = 300;

/// The session of a machine that is written to, and the token that goes with it.
#[derive(Clone, Copy)]
struct Session {
    token: FencingToken,
    incarnation: u64,
    /// It gets no more tasks.
    leaving: bool,
}

impl KillRequest {
    /// How long a task may still save. Repeated without what has passed, so that repeats do not extend it.
    fn left(&self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.since);
        self.grace_period.saturating_sub(passed)
    }
}

impl ActiveAttempt {
    /// The command to end it, unless it is at that already. `shown`: its machine shows it, or it is not
    /// known what the machine shows.
    fn kill_command(&self, now: Instant, task: &TaskId, shown: bool) -> Option<TaskCommand> {
        let kill = self.kill_request.as_ref()?;
        let saving = self.observed_phase == Some(TaskPhase::Checkpointing);
        if !shown || (saving && !kill.grace_period.is_zero()) {
            return None;
        }
        Some(TaskCommand::Kill {
            task: task.clone(),
            attempt: self.id,
            grace_period: if saving {
                kill.left(now)
            } else {
                kill.grace_period
            },
        })
    }
}

impl ClusterState {
    /// Launches and kills that this host has not shown to have taken. `listed`: what it shows now, if
    /// that is known.
    pub(in crate::core) fn commands(
        &mut self,
        now: Instant,
        machine: &MachineId,
        listed: Option<&HashSet<(TaskId, AttemptId)>>,
        out: &mut Vec<TaskCommand>,
    ) {
        let Some(h) = self.fleet.machines.get(machine) else {
            return;
        };
        let session = Session {
            token: h.token,
            incarnation: h.incarnation,
            leaving: h.returning || h.eviction_at.is_some(),
        };
        let tasks: Vec<TaskId> = h.placed_tasks.keys().cloned().collect();
        for task in tasks {
            let job = self.jobs.get(&task.job_id);
            let Some(a) = job.and_then(|j| j.active.get(&task.index)) else {
                continue;
            };
            // One that was adopted is there already.
            if !a.durable && a.observed_phase.is_none() {
                continue;
            }
            let known = match listed {
                Some(l) => l.contains(&(task.clone(), a.id)),
                None => a.observed_phase.is_some(),
            };
            let command = if a.kill_request.is_some() {
                let kill = a.kill_command(now, &task, known || listed.is_none());
                kill.filter(|kill| self.admit(now, machine, kill, self.kill_class(now, &task)))
            } else if known {
                None
            } else {
                self.launch_command(now, machine, &task, session)
            };
            out.extend(command);
            if out.len() >= MAX_COMMANDS {
                break;
            }
        }
    }

    /// The command to start an attempt, if it may start now.
    fn launch_command(
        &mut self,
        now: Instant,
        machine: &MachineId,
        task: &TaskId,
        session: Session,
    ) -> Option<TaskCommand> {
        // Without the state service the job may have been cancelled unheard.
        if session.leaving
            || !self.leadership.confirmed
            || self.launch_check(task) != LaunchCheck::Allowed
        {
            return None;
        }
        let job = self.jobs.get(&task.job_id)?;
        if job.is_cancelled() || job.finished {
            return None;
        }
        let attempt = job.active.get(&task.index)?.id;
        // What an earlier term may have sent is launched again only once it is proved absent.
        if !self.takeover.allows_launch(machine, task, attempt) {
            return None;
        }
        let launch = TaskCommand::Launch {
            task: task.clone(),
            attempt,
        };
        let class = if job.spec.priority >= Priority::High {
            OrderClass::Prompt
        } else {
            OrderClass::Ordinary
        };
        if !self.admit(now, machine, &launch, class) {
            return None;
        }
        let job = self.jobs.get_mut(&task.job_id)?;
        let a = job.active.get_mut(&task.index)?;
        a.launch_token = a.launch_token.max(session.token);
        a.incarnation = Some(session.incarnation);
        a.launch_sent_at.get_or_insert(now);
        Some(launch)
    }

    /// A direct command's answer, or None when there was none.
    pub fn on_sent(
        &mut self,
        now: Instant,
        machine: &MachineId,
        heartbeat: Option<Heartbeat>,
    ) -> Option<Term> {
        if let Some(h) = self.fleet.machines.get_mut(machine) {
            h.command_in_flight = false;
        }
        match heartbeat {
            Some(r) if &r.machine == machine => match self.on_heartbeat(now, r, false) {
                HeartbeatDecision::Superseded(t) => Some(t),
                HeartbeatDecision::Accept { commands, .. } => {
                    // Forgets can wait for the next report; launches and kills cannot.
                    if commands
                        .iter()
                        .any(|d| !matches!(d, TaskCommand::Forget { .. }))
                    {
                        self.outbox.urgent_machines.insert(machine.clone());
                    }
                    None
                }
                HeartbeatDecision::Ignore | HeartbeatDecision::Withheld => None,
            },
            _ => None,
        }
    }

    /// A launch still in flight would come after its kill: the raised token shuts it out.
    fn fence_unseen_kills(&mut self, machine: &MachineId) {
        let Some(h) = self.fleet.machines.get_mut(machine) else {
            return;
        };
        let unseen = h.placed_tasks.keys().any(|t| {
            let a = self
                .jobs
                .get(&t.job_id)
                .and_then(|j| j.active.get(&t.index));
            a.is_some_and(|a| a.durable && a.kill_request.is_some() && a.observed_phase.is_none())
        });
        if unseen {
            h.token = h.token.next();
        }
    }

    /// Direct commands to the hosts that have something to be told at once.
    pub(in crate::core) fn send_urgent(&mut self, now: Instant) {
        for machine in std::mem::take(&mut self.outbox.urgent_machines) {
            let Some(h) = self.fleet.machines.get(&machine) else {
                continue;
            };
            if h.command_in_flight {
                self.outbox.urgent_machines.insert(machine);
                continue;
            }
            // A silent host would only hold a sender up: the next report carries the commands.
            let silent =
                now.saturating_duration_since(h.last_heartbeat_at) > self.config.heartbeat * 2;
            if !h.has_reported || h.endpoint.is_empty() || silent {
                continue;
            }
            self.fence_unseen_kills(&machine);
            let mut commands = Vec::new();
            self.commands(now, &machine, None, &mut commands);
            if commands.is_empty() {
                continue;
            }
            let Some(h) = self.fleet.machines.get_mut(&machine) else {
                continue;
            };
            h.command_in_flight = true;
            self.outbox.push(Action::Send {
                machine: machine.clone(),
                endpoint: h.endpoint.clone(),
                token: h.token,
                incarnation: h.incarnation,
                commands,
            });
        }
    }
}
