//! Checks the platform's settings file and converts it into [`Settings`].
//!
//! The first invalid field is reported as an error with the name of the field.

use super::checks::FieldChecks;
use super::platform_file::{
    Deployment, NextStoreLimits, PeerEntry, PlatformFile, SloEntry, StoreLimits, TeamEntry,
    WorkerTimes,
};
use super::{OperatorSettings, PeerAddress, Settings, SettingsError, StoreRates};
use crate::core::model::{SchedulerConfig, Slo, Team, TeamName, Tuning, Zone};
use cypressgap_recovery::settings::RecoverySettings;
use std::time::Duration;

const MIN_SOCKETS: usize = 256;
/// An idle process with all its threads uses about 8 MB.
const MIN_RAM_MB: f64 = 32.0;
/// The leader's share has to suffice for renewals of its lease and for watches of two prefixes, and each node
/// needs requests for its users' reads.
const MIN_STORE_RPS: f64 = 10.0;
/// The end of a job takes two changes from the leader's share: its outcome is written, and its key in the
/// index of live jobs is removed. A cancellation takes two changes from the share of a node's users.
const MIN_STORE_WRITE_RPS: f64 = 6.0;
/// A job's record or the intents of 64 tasks fit into one value of this size.
const MIN_VALUE_KB: f64 = 6.0;
/// The announced limit for values may be this low: a chunk's intents still fit, because the number of
/// attempts per chunk is limited according to the size of a value.
const MIN_NEXT_VALUE_KB: f64 = 2.0;
const MIN_TXN_OPS: usize = 4;
const MIN_CLOUD_RPS: f64 = 0.1;
const MAX_CONTROLLERS: usize = 1000;
const MAX_RATE_PER_S: f64 = 1e9;
const MAX_VALUE_KB: f64 = 1e6;
const MAX_SLO_S: f64 = 1e6;
/// If clocks were further apart, the ages of jobs would be wrong by more than any service-level objective
/// allows.
const MAX_SKEW_MS: f64 = 60_000.0;
/// A heartbeat may be late by up to a quarter of the interval, and one may have to be repeated.
const MIN_HEARTBEATS_PER_LEASE: f64 = 2.5;

impl Settings {
    /// Parses the text of the platform's settings file and checks its values. `path` is only used in errors.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        let file: PlatformFile = toml::from_str(text).map_err(|e| SettingsError::Toml {
            path: path.to_owned(),
            source: Box::new(e),
        })?;
        let checks = FieldChecks { path };
        if file.member.is_empty() {
            return Err(checks.error("member", "must not be empty"));
        }
        checks.check_deployment(&file.deployment)?;
        let next = checks.combine_store_limits(&file.deployment.store)?;
        let teams = checks.convert_teams(&file.deployment.teams)?;
        let peers = checks.convert_peers(&file.peers)?;
        checks.check_lease(&file.deployment.workers)?;
        let deployment = &file.deployment;
        Ok(Settings {
            member: file.member,
            zone: Zone(file.zone),
            http_bind: checks.parse_address("front", &file.http_bind)?,
            peer_bind: checks.parse_address("peer_bind", &file.peer_bind)?,
            peers,
            cloud_address: checks.parse_address("endpoints.cloud", &file.endpoints.cloud)?,
            store_address: checks.parse_address("endpoints.state", &file.endpoints.store)?,
            controller_count: deployment.controller_count,
            max_clock_skew: Duration::from_secs_f64(deployment.skew_ms / 1000.0),
            store_rates: checks.store_rates(&deployment.store)?,
            next_store_rates: next.rates,
            cloud_requests_per_s: checks.check_positive(
                "deployment.cloud.rps",
                deployment.cloud.rps,
                MAX_RATE_PER_S,
            )?,
            max_sockets: deployment.quota.max_sockets,
            operator_settings: OperatorSettings::default(),
            config: checks.scheduler_config(deployment, teams, &next.sizes)?,
        })
    }
}

/// The size limits of the key-value store.
struct StoreSizes {
    /// The maximum size of one value, in KiB.
    value_kb: f64,
    /// The maximum number of changes in one transaction.
    txn_ops: usize,
}

/// The limits that follow from the store's present limits and from those announced for later.
struct CombinedStoreLimits {
    /// The smaller of the present and the announced sizes, which apply from the start.
    sizes: StoreSizes,
    /// The lower of the present and the announced rates, which apply once refusals show that the announced
    /// ones are in force. None: no limits are announced.
    rates: Option<StoreRates>,
}

impl FieldChecks<'_> {
    fn check_deployment(&self, deployment: &Deployment) -> Result<(), SettingsError> {
        if !(0.0..=MAX_SKEW_MS).contains(&deployment.skew_ms) {
            return Err(self.error("deployment.skew_ms", "must be from 0 to 60000"));
        }
        if !(1..=MAX_CONTROLLERS).contains(&deployment.controller_count) {
            return Err(self.error("deployment.count", "must be from 1 to 1000"));
        }
        let (store, quota) = (&deployment.store, &deployment.quota);
        if store.txn_ops < MIN_TXN_OPS {
            return Err(self.error("deployment.state.txn_ops", "must be at least 4"));
        }
        let sockets = quota.max_sockets as f64;
        let ram_mb = quota.ram_mb.unwrap_or(MIN_RAM_MB);
        let minimums = [
            ("quota.max_sockets", sockets, MIN_SOCKETS as f64),
            ("quota.ram_mb", ram_mb, MIN_RAM_MB),
            ("state.rps", store.rps, MIN_STORE_RPS),
            ("state.write_rps", store.write_rps, MIN_STORE_WRITE_RPS),
            ("state.value_kb", store.value_kb, MIN_VALUE_KB),
            ("cloud.rps", deployment.cloud.rps, MIN_CLOUD_RPS),
        ];
        minimums
            .iter()
            .try_for_each(|(field, value, min)| self.check_min(&field_path(field), *value, *min))
    }

    /// Combines the present and the announced limits of the store. Smaller sizes apply from the start; lower
    /// rates apply only once refusals show that the announced ones are in force.
    fn combine_store_limits(
        &self,
        store: &StoreLimits,
    ) -> Result<CombinedStoreLimits, SettingsError> {
        let Some(next) = &store.next else {
            let (value_kb, txn_ops) = (store.value_kb, store.txn_ops);
            return Ok(CombinedStoreLimits {
                sizes: StoreSizes { value_kb, txn_ops },
                rates: None,
            });
        };
        let rates = self.next_rates(store, next)?;
        let value_kb = next.value_kb.unwrap_or(store.value_kb);
        let field = "deployment.state.next.value_kb";
        self.check_min(field, value_kb, MIN_NEXT_VALUE_KB)?;
        self.check_positive(field, value_kb, MAX_VALUE_KB)?;
        let txn_ops = next.txn_ops.unwrap_or(store.txn_ops);
        let field = "deployment.state.next.txn_ops";
        self.check_min(field, txn_ops as f64, MIN_TXN_OPS as f64)?;
        Ok(CombinedStoreLimits {
            sizes: StoreSizes {
                value_kb: value_kb.min(store.value_kb),
                txn_ops: txn_ops.min(store.txn_ops),
            },
            rates: Some(rates),
        })
    }

    fn next_rates(
        &self,
        store: &StoreLimits,
        next: &NextStoreLimits,
    ) -> Result<StoreRates, SettingsError> {
        let requests = next.rps.unwrap_or(store.rps);
        let changes = next.write_rps.unwrap_or(store.write_rps);
        let (requests_field, changes_field) = (
            "deployment.state.next.rps",
            "deployment.state.next.write_rps",
        );
        self.check_min(requests_field, requests, MIN_STORE_RPS)?;
        self.check_min(changes_field, changes, MIN_STORE_WRITE_RPS)?;
        self.check_positive(requests_field, requests, MAX_RATE_PER_S)?;
        self.check_positive(changes_field, changes, MAX_RATE_PER_S)?;
        Ok(StoreRates {
            requests: requests.min(store.rps),
            changes: changes.min(store.write_rps),
        })
    }

    fn store_rates(&self, store: &StoreLimits) -> Result<StoreRates, SettingsError> {
        Ok(StoreRates {
            requests: self.check_positive("deployment.state.rps", store.rps, MAX_RATE_PER_S)?,
            changes: self.check_positive(
                "deployment.state.write_rps",
                store.write_rps,
                MAX_RATE_PER_S,
            )?,
        })
    }

    fn convert_teams(&self, entries: &[TeamEntry]) -> Result<Vec<Team>, SettingsError> {
        entries
            .iter()
            .map(|entry| self.convert_team(entry))
            .collect()
    }

    fn convert_team(&self, entry: &TeamEntry) -> Result<Team, SettingsError> {
        let amount = |field: &str, value: f64| {
            let field = format!("deployment.teams.{field} of {}", entry.name);
            self.check_optional_amount(&field, value)
        };
        Ok(Team {
            name: TeamName(entry.name.clone()),
            cpus: amount("cpus", entry.cpus)?,
            cpus_max: amount("cpus_max", entry.cpus_max)?,
            gpus: amount("gpus", entry.gpus)?,
            gpus_max: amount("gpus_max", entry.gpus_max)?,
        })
    }

    fn convert_peers(&self, entries: &[PeerEntry]) -> Result<Vec<PeerAddress>, SettingsError> {
        let peer = |entry: &PeerEntry| {
            let field = format!("seeds address of {}", entry.member);
            Ok(PeerAddress {
                member: entry.member.clone(),
                address: self.parse_address(&field, &entry.address)?,
            })
        };
        entries.iter().map(peer).collect()
    }

    fn check_lease(&self, workers: &WorkerTimes) -> Result<(), SettingsError> {
        if workers.lease_s < workers.heartbeat_s * MIN_HEARTBEATS_PER_LEASE {
            let problem = format!("{} is below 2.5 times report_s", workers.lease_s);
            return Err(self.error("deployment.workers.lease_s", problem));
        }
        Ok(())
    }

    fn scheduler_config(
        &self,
        deployment: &Deployment,
        teams: Vec<Team>,
        sizes: &StoreSizes,
    ) -> Result<SchedulerConfig, SettingsError> {
        let workers = &deployment.workers;
        let seconds = |field: &str, value: f64| self.check_duration(&field_path(field), value);
        let value_kb =
            |value: f64| self.check_positive("deployment.state.value_kb", value, MAX_VALUE_KB);
        Ok(SchedulerConfig {
            teams,
            slos: deployment.slos.iter().map(Slo::from).collect(),
            heartbeat: seconds("workers.report_s", workers.heartbeat_s)?,
            lease: seconds("workers.lease_s", workers.lease_s)?,
            gang_assembly_timeout: seconds("workers.gang_wait_s", workers.gang_wait_s)?,
            gang_failure_detection_time: seconds("workers.gang_peer_s", workers.gang_peer_s)?,
            cancel: seconds("workers.cancel_s", workers.cancel_s)?,
            txn_ops: sizes.txn_ops,
            value_bytes: (value_kb(sizes.value_kb)? * 1024.0) as usize,
            max_cloud_list_lag: seconds("cloud.list_lag_s", deployment.cloud.list_lag_s)?,
            tuning: Tuning::default(),
            recovery: RecoverySettings::default(),
        })
    }
}

fn field_path(field: &str) -> String {
    format!("deployment.{field}")
}

impl From<&SloEntry> for Slo {
    fn from(entry: &SloEntry) -> Self {
        let usable = |seconds: &f64| seconds.is_finite() && (0.0..MAX_SLO_S).contains(seconds);
        Slo {
            kind: entry.kind.clone(),
            class: entry.class.clone(),
            within: entry.within_s.filter(usable).map(Duration::from_secs_f64),
        }
    }
}
