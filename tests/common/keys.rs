//! The state service's keys, as the core's transactions change them.

use super::World;
use cypressgap::core::model::JobSpec;
use cypressgap::core::persistence::keys::{dependents_key, live_job_key};
use cypressgap::core::persistence::write_batch::{WriteOp, WriteOutcome};
use cypressgap::core::state::cluster_state::Action;
use std::collections::BTreeSet;

/// The keys that the state service holds of jobs, as the leader's transactions change them.
#[derive(Default)]
pub struct Keys {
    pub all: BTreeSet<String>,
    pub changes: usize,
}

impl Keys {
    pub fn accept(&mut self, w: &mut World, spec: JobSpec) {
        self.all.insert(live_job_key(&spec.job_id));
        if spec.listed {
            self.all
                .extend(spec.dependencies.iter().map(dependents_key));
        }
        w.job(spec);
    }

    /// Lets a tick's transaction have so many changes, and carries it out.
    pub fn tick(&mut self, w: &mut World, changes: usize) -> Vec<WriteOp> {
        w.c.set_write_allowance(changes);
        let mut written = Vec::new();
        for action in w.c.tick(w.now) {
            let Action::Store(batch) = action else {
                continue;
            };
            self.changes += batch.ops.len();
            for op in &batch.ops {
                match op {
                    WriteOp::Put(key, _) => self.all.insert(key.clone()),
                    WriteOp::Delete(key) => self.all.remove(key),
                };
            }
            written.extend(batch.ops);
            w.revision += 1;
            let revision = w.revision;
            w.c.on_write_outcome(w.now, WriteOutcome::Applied { revision });
        }
        written
    }
}
