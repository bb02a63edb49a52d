//! What workers' reports tell, and what they are answered.

use super::cluster::{Answer, Cluster};
use super::commands::MOST_DIRECTIVES;
use super::entities::Host;
use super::launch_check::LaunchCheck;
use super::model::{
    Attempt, Directive, Epoch, HostId, Need, Report, TaskId, TaskPhase, TaskReport, TeamName, Uid,
};
use super::unrecorded::UnrecordedTask;
use cypressgap_recovery::pacing::OrderClass;
use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

/// What was told to a host shows in its reports within one interval, or this.
const ACKNOWLEDGE_LEAST: Duration = Duration::from_secs(4);

/// A host that is silent for so many reports may have been restarted under its name.
const RESTART_SILENCE_REPORTS: f64 = 2.5;

/// The tasks that a report lists, sorted by what becomes of them.
#[derive(Default)]
struct ReportedTasks {
    listed: HashSet<(TaskId, Attempt)>,
    /// Those that should not be there.
    unexpected: Vec<Directive>,
    /// Ended ones that the worker may forget.
    forgets: Vec<Directive>,
    /// What the unexpected ones take, and whose they are.
    foreign: Vec<(TeamName, Need)>,
    /// Jobs of unexpected tasks that are not known here.
    unknown_jobs: BTreeSet<Uid>,
    /// No late command may start what is killed.
    raise_token: bool,
}

impl Cluster {
    /// A report, or the body of a direct answer (`heartbeat` false: it renews no lease).
    pub fn on_report(&mut self, now: Instant, r: Report, heartbeat: bool) -> Answer {
        let host = r.host.clone();
        let renews = self.renews(now);
        match self.take_report(now, r, heartbeat, renews) {
            Answer::Accept { directives, .. } if heartbeat && !renews => {
                // What cannot go with the answer goes by itself; direct commands renew no lease.
                let kill = |d: &Directive| matches!(d, Directive::Kill { .. });
                if directives.iter().any(kill) {
                    self.urgent.insert(host);
                }
                Answer::Withheld
            }
            answer => answer,
        }
    }

    /// `renews`: the answer may go to the worker, and then renews its lease.
    fn take_report(&mut self, now: Instant, r: Report, heartbeat: bool, renews: bool) -> Answer {
        if r.epoch.term() > self.term {
            return Answer::Superseded(r.epoch.term());
        }
        if heartbeat {
            self.last_heartbeat = Some(now);
        }
        let heartbeat = heartbeat && renews;
        if self.tombstones.contains(&r.host) {
            return Answer::Ignore;
        }
        if let Some(epoch) = self.outdated(now, &r, heartbeat) {
            return Answer::Accept {
                epoch,
                directives: Vec::new(),
            };
        }
        self.take_host(now, &r);
        let mut tasks = self.take_tasks(now, &r);
        let current = self.is_current(&r);
        let unknown_jobs = std::mem::take(&mut tasks.unknown_jobs);
        self.note_unknown_jobs(now, &r.host, current, unknown_jobs);
        let listed = &tasks.listed;
        self.takeover
            .on_report(now, &r.host, current, |task, attempt| {
                listed.contains(&(task.clone(), attempt))
            });
        self.acknowledge_orders(&r);
        self.prove_absent(now, &r, &tasks.listed);
        self.check_acknowledged(now, &r, &tasks.listed);
        self.answer_report(now, &r.host, heartbeat, tasks)
    }

    /// The host that a report names; one that was not known appears.
    fn reporting_host(&mut self, now: Instant, r: &Report) -> &mut Host {
        let term = self.term;
        self.hosts.entry(r.host.clone()).or_insert_with(|| {
            log::info!(
                "host appears host={} type={} site={}",
                r.host,
                r.host_type,
                r.site
            );
            Host::new(
                r.host.clone(),
                r.host_type.clone(),
                r.site.clone(),
                r.spot,
                term,
                now,
            )
        })
    }

    /// The token to answer with if nothing is to be learned from a report: a newer message of the host
    /// came before, or it is its predecessor's.
    fn outdated(&mut self, now: Instant, r: &Report, heartbeat: bool) -> Option<Epoch> {
        let silence = self.params.report.mul_f64(RESTART_SILENCE_REPORTS);
        let h = self.reporting_host(now, r);
        if h.floor.is_some_and(|f| r.epoch < f) {
            // The predecessor's.
            return Some(h.epoch);
        }
        if !h.reported || (r.tenure, r.serial) > (h.tenure, h.serial) {
            return None;
        }
        let silent = now.saturating_duration_since(h.last_report) > silence;
        let restarted = h.restart_probe.is_some_and(|p| r.epoch >= p);
        if !restarted {
            // Overtaken by a newer message, or a late copy: nothing is learned from it. When it
            // is a live worker's report that crossed a direct command, its answer renews the
            // lease, counted from its sending; that was before the newer message came.
            if heartbeat {
                h.last_answer = h.last_answer.max(Some(h.last_report));
            }
            // Or the machine was restarted under its name and counts from the beginning: it has been
            // silent, or shows a token below the one shown before. No copy can show a token that was
            // first given out after it was sent; and such a machine, which has forgotten what it was
            // told to stop, takes no command any more that was sent to it before.
            let fallen_back = r.epoch < h.shown;
            if (silent || fallen_back) && heartbeat && h.restart_probe.is_none() {
                h.epoch = h.epoch.next();
                h.restart_probe = Some(h.epoch);
            }
            return Some(h.epoch);
        }
        log::info!("host was restarted host={}", r.host);
        h.floor = h.restart_probe;
        h.images.clear();
        h.fetching.clear();
        h.last_answer = h.last_answer.max(Some(now));
        None
    }

    /// What a report shows of its host.
    fn take_host(&mut self, now: Instant, r: &Report) {
        let term = self.term;
        let h = self.reporting_host(now, r);
        h.restart_probe = None;
        if !h.reported {
            h.idle_since = h.placed.is_empty().then_some(now);
            h.avoid_until = None;
        }
        let booting = h.booting.take();
        let new_session = !h.reported || r.tenure != h.tenure;
        let later_session = h.reported && r.tenure > h.tenure;
        h.reported = true;
        h.host_type = r.host_type.clone();
        h.site = r.site.clone();
        h.spot = r.spot;
        h.endpoint = r.endpoint.clone();
        h.tenure = r.tenure;
        h.serial = r.serial;
        h.shown = r.epoch;
        h.last_report = now;
        h.lease_spent = false;
        if r.epoch.term() == term {
            h.fenced = true;
            h.epoch = h.epoch.max(r.epoch);
            if h.must_show.is_some_and(|(e, _)| r.epoch >= e) {
                h.must_show = None;
            }
        }
        if later_session {
            h.images.clear();
            h.fetching.clear();
            // The new session's lease runs from its beginning, which is not long before now. Counted
            // from the last answer of the old one, it would seem to have run out under tasks that
            // direct commands start in the new session.
            h.last_answer = h.last_answer.max(Some(now));
            // Reports that were answered, and yet its lease ran out.
            h.require_token(now);
        }
        let noticed = h.eviction.is_none() && r.eviction.is_some();
        if let Some(remaining) = r.eviction {
            h.eviction = Some(now + remaining);
        }
        self.round_due |= new_session || noticed;
        if let Some(since) = booting {
            self.came_up(now.saturating_duration_since(since), r);
        }
        if let Some(remaining) = r.eviction.filter(|_| noticed) {
            log::info!(
                "host will be taken host={} in_s={:.1}",
                r.host,
                remaining.as_secs_f64()
            );
        }
    }

    /// The first report of a machine that was booting.
    fn came_up(&mut self, took: Duration, r: &Report) {
        self.capacity.booted(&r.host_type, took, r.spot);
        log::info!(
            "host is up host={} type={} site={}",
            r.host,
            r.host_type,
            r.site
        );
    }

    /// Sent after this term began, or by a machine without a past. Any other may be a copy from before an
    /// end of the session: what it shows may long be otherwise, since a leader launches the same attempt
    /// again where a session ended.
    fn is_current(&self, r: &Report) -> bool {
        let own = self.hosts.get(&r.host).is_some_and(|h| h.own);
        r.epoch.term() == self.term || own
    }

    /// What a report shows of tasks.
    fn take_tasks(&mut self, now: Instant, r: &Report) -> ReportedTasks {
        let current = self.is_current(r);
        let mut tasks = ReportedTasks::default();
        for t in &r.tasks {
            tasks.listed.insert((t.task.clone(), t.attempt));
            let job = self.jobs.get(&t.task.uid);
            let matches = job
                .and_then(|j| j.active.get(&t.task.index))
                .is_some_and(|a| a.attempt == t.attempt && a.host == r.host);
            let held = job.is_some_and(|j| j.is_held(t.task.index, t.attempt));
            match t.phase {
                TaskPhase::Ended(exit) if matches => {
                    if current {
                        self.ended(now, r, &t.task, exit);
                    }
                }
                TaskPhase::Ended(_) if !held => tasks.forgets.push(Directive::Forget {
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
        shown: &TaskReport,
        decision: UnrecordedTask,
        tasks: &mut ReportedTasks,
    ) {
        match self.jobs.get(&shown.task.uid) {
            Some(job) => {
                let owner = job.spec.owner.clone();
                tasks.foreign.push((owner, job.spec.need));
            }
            None => {
                tasks.unknown_jobs.insert(shown.task.uid.clone());
            }
        }
        if decision == UnrecordedTask::Held {
            return;
        }
        tasks.raise_token |= decision == UnrecordedTask::KilledUnderRaisedToken;
        self.takeover.on_killed();
        tasks.unexpected.push(Directive::Kill {
            task: shown.task.clone(),
            attempt: shown.attempt,
            wind_down: Duration::ZERO,
        });
    }

    fn answer_report(
        &mut self,
        now: Instant,
        host: &HostId,
        heartbeat: bool,
        tasks: ReportedTasks,
    ) -> Answer {
        let mut directives = tasks.unexpected;
        for kill in &directives {
            self.admit(now, host, kill, OrderClass::Immediate);
        }
        let mut forgets = tasks.forgets;
        forgets.retain(|forget| self.admit(now, host, forget, OrderClass::Background));
        let Some(h) = self.hosts.get_mut(host) else {
            return Answer::Ignore;
        };
        h.foreign = Need::default();
        for (_, need) in &tasks.foreign {
            h.foreign.add(need);
        }
        self.team_use.set_unexpected(host, &tasks.foreign);
        if heartbeat {
            h.last_answer = Some(now);
        }
        // After a forget the worker would take a late copy of the launch for a new one, so the same
        // answer raises the token past every launch that went out before.
        if !forgets.is_empty() || tasks.raise_token {
            h.epoch = h.epoch.next();
        }
        directives.extend(forgets);
        self.directives(now, host, Some(&tasks.listed), &mut directives);
        directives.truncate(MOST_DIRECTIVES);
        Answer::Accept {
            epoch: self.hosts[host].epoch,
            directives,
        }
    }

    /// Whether the report shows what the host was told a while ago. A machine whose reports come
    /// through while nothing reaches it would otherwise be given task after task.
    pub(super) fn check_acknowledged(
        &mut self,
        now: Instant,
        r: &Report,
        listed: &HashSet<(TaskId, Attempt)>,
    ) {
        let patience = self.params.report.max(ACKNOWLEDGE_LEAST);
        let Some(h) = self.hosts.get(&r.host) else {
            return;
        };
        let long = |t: Instant| now.saturating_duration_since(t) > patience;
        let ignored = h.placed.keys().any(|t| {
            let a = self.jobs.get(&t.uid).and_then(|j| j.active.get(&t.index));
            a.is_some_and(|a| {
                let shown = listed.contains(&(t.clone(), a.attempt));
                let lost = !shown && a.kill.is_none() && a.given.is_some_and(long);
                let kill = a.kill.as_ref();
                let runs = a.seen != Some(TaskPhase::Flushing);
                lost || (shown && runs && kill.is_some_and(|k| long(k.since + k.wind_down)))
            })
        });
        if ignored {
            if let Some(h) = self.hosts.get_mut(&r.host) {
                h.require_token(now);
            }
        }
    }

    /// Attempts placed on this host that its report does not list.
    pub(super) fn prove_absent(
        &mut self,
        now: Instant,
        r: &Report,
        listed: &HashSet<(TaskId, Attempt)>,
    ) {
        let Some(h) = self.hosts.get(&r.host) else {
            return;
        };
        let mut gone = Vec::new();
        let mut fence = false;
        for task in h.placed.keys() {
            let Some(a) = self
                .jobs
                .get(&task.uid)
                .and_then(|j| j.active.get(&task.index))
            else {
                continue;
            };
            if !a.durable || listed.contains(&(task.clone(), a.attempt)) {
                continue;
            }
            let current = r.epoch.term() == self.term || h.own;
            let earlier =
                a.tenure.is_some_and(|t| t < r.tenure) && a.launch_epoch != Epoch(0) && current;
            let unwanted = a.kill.is_some()
                || h.returning
                || h.eviction.is_some()
                || self.launch_check(task) == LaunchCheck::Refused;
            if earlier {
                // The worker began a new session and killed what it had; commands of the old
                // session no longer match.
                gone.push(task.clone());
            } else if unwanted {
                if r.epoch > a.launch_epoch && r.epoch.term() == self.term {
                    gone.push(task.clone());
                } else {
                    fence |= h.epoch <= a.launch_epoch;
                }
            } else if a.seen.is_some() && r.epoch.term() == self.term && r.epoch > a.launch_epoch {
                gone.push(task.clone());
            }
        }
        if fence {
            if let Some(h) = self.hosts.get_mut(&r.host) {
                h.epoch = h.epoch.next();
            }
        }
        for t in gone {
            log::debug!("task is proved absent task={t} host={}", r.host);
            self.gone(now, &t.uid, t.index, false);
        }
    }
}
