//! The store's keys, as the core's transactions change them.

use super::ClusterFixture;
use cypressgap::core::model::JobSpec;
use cypressgap::core::persistence::keys::{dependents_key, live_job_key};
use cypressgap::core::persistence::write_batch::{WriteOp, WriteOutcome};
use cypressgap::core::state::Action;
use std::collections::BTreeSet;

/// The keys that the store holds of jobs, as the leader's transactions change them.
#[derive(Default)]
pub struct StoreKeys {
    pub all: BTreeSet<String>,
    pub changes: usize,
}

impl StoreKeys {
    pub fn accept(&mut self, fixture: &mut ClusterFixture, spec: JobSpec) {
        self.all.insert(live_job_key(&spec.job_id));
        if spec.listed_as_dependent {
            self.all
                .extend(spec.dependencies.iter().map(dependents_key));
        }
        fixture.job(spec);
    }

    /// Lets a tick's transaction have so many changes, and carries it out.
    pub fn tick(&mut self, fixture: &mut ClusterFixture, changes: usize) -> Vec<WriteOp> {
        fixture.cluster.set_write_allowance(changes);
        let mut written = Vec::new();
        for action in fixture.cluster.tick(fixture.now) {
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
            fixture.revision += 1;
            let revision = fixture.revision;
            fixture
                .cluster
                .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
        }
        written
    }
}
