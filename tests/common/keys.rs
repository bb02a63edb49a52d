//! A simulated key-value store that only tracks which keys exist.

use super::ClusterFixture;
use cypressgap::core::model::JobSpec;
use cypressgap::core::persistence::keys::{dependents_key, live_job_key};
use cypressgap::core::persistence::write_batch::{WriteOp, WriteOutcome};
use cypressgap::core::state::Action;
use std::collections::BTreeSet;

/// The keys of jobs in the key-value store, as submissions and the leader's transactions change them.
#[derive(Default)]
pub struct StoreKeys {
    /// The keys that exist.
    pub all: BTreeSet<String>,
    /// The number of operations in all transactions so far.
    pub changes: usize,
}

impl StoreKeys {
    /// Accepts a job: adds its entry in the index of live jobs and, if the job is listed as a
    /// dependent, its entries in the lists of dependents, and passes it to the leader.
    pub fn accept(&mut self, fixture: &mut ClusterFixture, spec: JobSpec) {
        self.all.insert(live_job_key(&spec.job_id));
        if spec.listed_as_dependent {
            self.all
                .extend(spec.dependencies.iter().map(dependents_key));
        }
        fixture.job(spec);
    }

    /// Runs a tick of the leader in which a transaction may have at most `max_changes` operations, and
    /// applies its transactions. Returns their operations.
    pub fn tick(&mut self, fixture: &mut ClusterFixture, max_changes: usize) -> Vec<WriteOp> {
        fixture.cluster.set_write_allowance(max_changes);
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
