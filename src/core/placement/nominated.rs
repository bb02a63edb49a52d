//! Places the tasks of job arrays for which others were preempted: on the machines where room is kept for them.

use crate::core::placement::array::{pending_tasks, ArrayPlacement};
use crate::core::placement::plan::WaitingTasks;
use crate::core::placement::queue::QueueEntry;
use crate::core::placement::round::PlacementRound;
use crate::core::placement::scoring::ScoredSlot;
use crate::core::placement::slots::Slot;
use crate::core::state::ClusterState;
use std::cmp::Reverse;
use std::time::Duration;

/// Room that is kept for a task.
#[derive(Clone, Copy)]
struct KeptRoom {
    /// The index of the slot in the round.
    slot: usize,
    may_start_elsewhere: bool,
}

impl ClusterState {
    /// Starts the tasks of an array for which others were preempted, on the machines where room is kept for
    /// them or on others that are free now. If the room is not free yet, keeps it from all other tasks.
    pub(super) fn plan_nominated<'a>(
        &'a self,
        entry: QueueEntry<'a>,
        round: &mut PlacementRound<'a>,
    ) {
        let spec = &entry.job.spec;
        let nominations = self.nominations.of_job(&spec.job_id);
        if nominations.is_empty() || entry.boosted_tasks.is_some() {
            return;
        }
        let Some(team) = self.team_that_may_start(&spec.team) else {
            return;
        };
        let rooms: Vec<KeptRoom> = nominations
            .iter()
            .filter_map(|nomination| {
                let is_on = |slot: &Slot<'_>| slot.machine.id == nomination.machine;
                Some(KeptRoom {
                    slot: round.slots.iter().position(is_on)?,
                    may_start_elsewhere: nomination.is_overdue(round.now),
                })
            })
            .collect();
        let nominated = QueueEntry {
            job: entry.job,
            boosted_tasks: Some(rooms.len() as u32),
        };
        let pending = pending_tasks(nominated, round);
        let mut array = self.begin_array(entry, round);
        let mut load = round.load_of(&spec.team);
        for (index, room) in pending.into_iter().zip(rooms) {
            if !team.allows(&load.used, &spec.resources) {
                round.quota_limited_jobs.push(&spec.job_id);
                break;
            }
            load.add_used(&spec.resources);
            self.plan_nominated_task(index, room, &mut array, round);
        }
        round.team_loads.insert(spec.team.clone(), load);
    }

    fn plan_nominated_task(
        &self,
        index: u32,
        room: KeptRoom,
        array: &mut ArrayPlacement<'_>,
        round: &mut PlacementRound<'_>,
    ) {
        array.set_saved_progress(index);
        let (job, now) = (array.group.job, round.now);
        let may_use = self.may_use_slot(now, job, &round.slots[room.slot], &array.zones);
        let kept = self.score(now, &array.group, &round.slots, room.slot);
        let mut chosen = kept.filter(|slot| may_use && slot.free_now);
        if chosen.is_none() && room.may_start_elsewhere {
            chosen = self.best_free_slot(array, round);
        }
        if let Some(chosen) = chosen {
            array.start(index, &chosen, round);
            return;
        }
        let slot = &mut round.slots[room.slot];
        let run_time = array.group.estimates[slot.type_index].run_time;
        slot.free.sub(&job.spec.resources);
        slot.reserve(now, run_time, &job.spec.resources);
        round.plan.add_waiting(WaitingTasks {
            job_id: job.spec.job_id.clone(),
            count: 1,
            expected_wait: Some(Duration::ZERO),
            expected_run: run_time,
            on_booting_machine: false,
        });
    }

    /// The slot with the lowest score among those on which a task of the array can start now.
    fn best_free_slot(
        &self,
        array: &ArrayPlacement<'_>,
        round: &PlacementRound<'_>,
    ) -> Option<ScoredSlot> {
        let ranked = self.ranked_slots(round.now, &array.group, &round.slots, &array.zones);
        let free = ranked.into_iter().map(|Reverse(slot)| slot);
        free.filter(|slot| slot.free_now).min()
    }
}
