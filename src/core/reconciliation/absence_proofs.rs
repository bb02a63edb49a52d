//! Proof that an attempt is not on its machine, from a heartbeat that does not list it.
//!
//! Invariant: an attempt is removed only if no late copy of its launch can start it any more. Either the
//! agent has started a new incarnation, which accepts no command of an earlier one, or its heartbeat carries
//! a token of this term that is higher than the token of every launch of the attempt that was sent.

use crate::core::model::{FencingToken, Heartbeat, TaskId};
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::{ActiveAttempt, ClusterState, Machine};
use std::time::Instant;

/// What it means that a heartbeat does not list an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Absence {
    /// The attempt is certainly not on the machine.
    Proved,
    /// The attempt will not be launched any more. A heartbeat that does not list the attempt and carries a
    /// higher token than its launches would prove that it is absent.
    NeedsRaisedToken,
    /// The launch of the attempt may still be in flight.
    Unproved,
}

impl ClusterState {
    /// Removes the attempts that a heartbeat proves not to be on its machine. Raises the token of the machine
    /// if an attempt will not be launched any more and only a heartbeat with a higher token would prove it
    /// absent.
    pub(super) fn remove_absent_attempts(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        listed: &ListedAttempts,
    ) {
        let Some(machine) = self.fleet.machines.get(&heartbeat.machine) else {
            return;
        };
        let mut absent = Vec::new();
        let mut must_raise_token = false;
        for task in machine.placed_tasks.keys() {
            let job = self.jobs.get(&task.job_id);
            let Some(attempt) = job.and_then(|job| job.active.get(&task.index)) else {
                continue;
            };
            if !attempt.durable || listed.contains(task, attempt.id) {
                continue;
            }
            match self.assess_absence(heartbeat, machine, task, attempt) {
                Absence::Proved => absent.push(task.clone()),
                Absence::NeedsRaisedToken => {
                    must_raise_token |= machine.token <= attempt.launch_token;
                }
                Absence::Unproved => {}
            }
        }
        if must_raise_token {
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.token = machine.token.next();
            }
        }
        for task in absent {
            log::debug!(
                "task proved absent task={task} machine={}",
                heartbeat.machine
            );
            self.record_attempt_gone(now, &task.job_id, task.index, AttemptEnd::Incomplete);
        }
    }

    fn assess_absence(
        &self,
        heartbeat: &Heartbeat,
        machine: &Machine,
        task: &TaskId,
        attempt: &ActiveAttempt,
    ) -> Absence {
        let carries_current_term = heartbeat.token.term() == self.term;
        let of_earlier_incarnation = attempt
            .incarnation
            .is_some_and(|incarnation| incarnation < heartbeat.incarnation);
        let was_launched = attempt.launch_token != FencingToken(0);
        if of_earlier_incarnation
            && was_launched
            && (carries_current_term || machine.rented_this_term)
        {
            // The agent killed its tasks when it started the new incarnation, and it rejects commands for the
            // old one.
            return Absence::Proved;
        }
        let carries_later_token = carries_current_term && heartbeat.token > attempt.launch_token;
        if self.is_unwanted(machine, task, attempt) {
            if carries_later_token {
                Absence::Proved
            } else {
                Absence::NeedsRaisedToken
            }
        } else if attempt.observed_phase.is_some() && carries_later_token {
            Absence::Proved
        } else {
            Absence::Unproved
        }
    }

    /// Whether an attempt will not be launched any more: its kill was requested, its machine is being
    /// returned or evicted, or the launch check refuses it.
    fn is_unwanted(&self, machine: &Machine, task: &TaskId, attempt: &ActiveAttempt) -> bool {
        attempt.kill_request.is_some()
            || machine.returning
            || machine.eviction_at.is_some()
            || self.launch_check(task) == LaunchCheck::Refused
    }
}
