//! When a heartbeat that does not list an attempt proves that the attempt is off its machine.
//!
//! Invariant: an attempt is removed only if no late copy of its launch can start it any more. Either the
//! worker has begun a new incarnation, which accepts no command of an earlier one, or it shows a token of
//! this term above that of every launch that was sent.

use crate::core::model::{FencingToken, Heartbeat, TaskId};
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::{ActiveAttempt, ClusterState, Machine};
use std::time::Instant;

/// What follows from a heartbeat's not listing an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Absence {
    /// It is certainly off the machine.
    Proved,
    /// It is not wanted, and a heartbeat that shows a raised token would prove its absence.
    NeedsRaisedToken,
    /// Its launch may still be on its way.
    Unproved,
}

impl ClusterState {
    /// Removes the attempts that a heartbeat proves to be off its machine.
    pub(super) fn prove_absent(
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
            match self.absence(heartbeat, machine, task, attempt) {
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

    fn absence(
        &self,
        heartbeat: &Heartbeat,
        machine: &Machine,
        task: &TaskId,
        attempt: &ActiveAttempt,
    ) -> Absence {
        let shows_term = heartbeat.token.term() == self.term;
        let of_earlier_incarnation = attempt
            .incarnation
            .is_some_and(|incarnation| incarnation < heartbeat.incarnation);
        let was_launched = attempt.launch_token != FencingToken(0);
        if of_earlier_incarnation && was_launched && (shows_term || machine.rented_this_term) {
            // The worker began a new incarnation and killed what it had; commands of the old one no longer
            // match.
            return Absence::Proved;
        }
        let shows_later_token = shows_term && heartbeat.token > attempt.launch_token;
        if self.is_unwanted(machine, task, attempt) {
            if shows_later_token {
                Absence::Proved
            } else {
                Absence::NeedsRaisedToken
            }
        } else if attempt.observed_phase.is_some() && shows_later_token {
            Absence::Proved
        } else {
            Absence::Unproved
        }
    }

    /// Whether an attempt will not be launched any more.
    fn is_unwanted(&self, machine: &Machine, task: &TaskId, attempt: &ActiveAttempt) -> bool {
        attempt.kill_request.is_some()
            || machine.returning
            || machine.eviction_at.is_some()
            || self.launch_check(task) == LaunchCheck::Refused
    }
}
