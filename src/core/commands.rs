//! What workers are told: launches and kills, with the answers to their reports or by direct commands.

use super::cluster::{Action, Answer, Cluster};
use super::entities::{Active, Kill};
use super::launch_check::LaunchCheck;
use super::model::{Attempt, Directive, Epoch, HostId, Report, TaskId, TaskPhase, Term, Urgency};
use cypressgap_recovery::pacing::OrderClass;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Most directives in one message: far below 64 KiB.
pub(super) const MOST_DIRECTIVES: usize = 300;

/// The session of a machine that is written to, and the token that goes with it.
#[derive(Clone, Copy)]
struct Session {
    epoch: Epoch,
    tenure: u64,
    /// It gets no more tasks.
    leaving: bool,
}

impl Kill {
    /// How long a task may still save. Repeated without what has passed, so that repeats do not extend it.
    fn left(&self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.since);
        self.wind_down.saturating_sub(passed)
    }
}

impl Active {
    /// The command to end it, unless it is at that already. `shown`: its machine shows it, or it is not
    /// known what the machine shows.
    fn kill_directive(&self, now: Instant, task: &TaskId, shown: bool) -> Option<Directive> {
        let kill = self.kill.as_ref()?;
        let saving = self.seen == Some(TaskPhase::Flushing);
        if !shown || (saving && !kill.wind_down.is_zero()) {
            return None;
        }
        Some(Directive::Kill {
            task: task.clone(),
            attempt: self.attempt,
            wind_down: if saving {
                kill.left(now)
            } else {
                kill.wind_down
            },
        })
    }
}

impl Cluster {
    /// Launches and kills that this host has not shown to have taken. `listed`: what it shows now, if
    /// that is known.
    pub(super) fn directives(
        &mut self,
        now: Instant,
        host: &HostId,
        listed: Option<&HashSet<(TaskId, Attempt)>>,
        out: &mut Vec<Directive>,
    ) {
        let Some(h) = self.hosts.get(host) else {
            return;
        };
        let session = Session {
            epoch: h.epoch,
            tenure: h.tenure,
            leaving: h.returning || h.eviction.is_some(),
        };
        let tasks: Vec<TaskId> = h.placed.keys().cloned().collect();
        for task in tasks {
            let job = self.jobs.get(&task.uid);
            let Some(a) = job.and_then(|j| j.active.get(&task.index)) else {
                continue;
            };
            // One that was adopted is there already.
            if !a.durable && a.seen.is_none() {
                continue;
            }
            let known = match listed {
                Some(l) => l.contains(&(task.clone(), a.attempt)),
                None => a.seen.is_some(),
            };
            let directive = if a.kill.is_some() {
                let kill = a.kill_directive(now, &task, known || listed.is_none());
                kill.filter(|kill| self.admit(now, host, kill, self.kill_class(now, &task)))
            } else if known {
                None
            } else {
                self.launch_directive(now, host, &task, session)
            };
            out.extend(directive);
            if out.len() >= MOST_DIRECTIVES {
                break;
            }
        }
    }

    /// The command to start an attempt, if it may start now.
    fn launch_directive(
        &mut self,
        now: Instant,
        host: &HostId,
        task: &TaskId,
        session: Session,
    ) -> Option<Directive> {
        // Without the state service the job may have been cancelled unheard.
        if session.leaving || !self.confirmed || self.launch_check(task) != LaunchCheck::Allowed {
            return None;
        }
        let job = self.jobs.get(&task.uid)?;
        if job.cancelled || job.finished {
            return None;
        }
        let attempt = job.active.get(&task.index)?.attempt;
        // What an earlier term may have sent is launched again only once it is proved absent.
        if !self.takeover.allows_launch(host, task, attempt) {
            return None;
        }
        let launch = Directive::Launch {
            task: task.clone(),
            attempt,
        };
        let class = if job.spec.urgency >= Urgency::High {
            OrderClass::Prompt
        } else {
            OrderClass::Ordinary
        };
        if !self.admit(now, host, &launch, class) {
            return None;
        }
        let job = self.jobs.get_mut(&task.uid)?;
        let a = job.active.get_mut(&task.index)?;
        a.launch_epoch = a.launch_epoch.max(session.epoch);
        a.tenure = Some(session.tenure);
        a.given.get_or_insert(now);
        Some(launch)
    }

    /// A direct command's answer, or None when there was none.
    pub fn on_sent(&mut self, now: Instant, host: &HostId, report: Option<Report>) -> Option<Term> {
        if let Some(h) = self.hosts.get_mut(host) {
            h.sending = false;
        }
        match report {
            Some(r) if &r.host == host => match self.on_report(now, r, false) {
                Answer::Superseded(t) => Some(t),
                Answer::Accept { directives, .. } => {
                    // Forgets can wait for the next report; launches and kills cannot.
                    if directives
                        .iter()
                        .any(|d| !matches!(d, Directive::Forget { .. }))
                    {
                        self.urgent.insert(host.clone());
                    }
                    None
                }
                Answer::Ignore | Answer::Withheld => None,
            },
            _ => None,
        }
    }

    /// A launch still in flight would come after its kill: the raised token shuts it out.
    fn fence_unseen_kills(&mut self, host: &HostId) {
        let Some(h) = self.hosts.get_mut(host) else {
            return;
        };
        let unseen = h.placed.keys().any(|t| {
            let a = self.jobs.get(&t.uid).and_then(|j| j.active.get(&t.index));
            a.is_some_and(|a| a.durable && a.kill.is_some() && a.seen.is_none())
        });
        if unseen {
            h.epoch = h.epoch.next();
        }
    }

    /// Direct commands to the hosts that have something to be told at once.
    pub(super) fn send_urgent(&mut self, now: Instant) {
        for host in std::mem::take(&mut self.urgent) {
            let Some(h) = self.hosts.get(&host) else {
                continue;
            };
            if h.sending {
                self.urgent.insert(host);
                continue;
            }
            // A silent host would only hold a sender up: the next report carries the commands.
            let silent = now.saturating_duration_since(h.last_report) > self.params.report * 2;
            if !h.reported || h.endpoint.is_empty() || silent {
                continue;
            }
            self.fence_unseen_kills(&host);
            let mut directives = Vec::new();
            self.directives(now, &host, None, &mut directives);
            if directives.is_empty() {
                continue;
            }
            let Some(h) = self.hosts.get_mut(&host) else {
                continue;
            };
            h.sending = true;
            self.actions.push(Action::Send {
                host: host.clone(),
                endpoint: h.endpoint.clone(),
                epoch: h.epoch,
                tenure: h.tenure,
                directives,
            });
        }
    }
}
