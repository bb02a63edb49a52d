//! Settings: the platform's TOML, and the operators' own S-expressions.
//!
//! Of the platform's file, unknown fields are ignored and missing or absurd ones refused. Of the
//! operators' file, everything unknown is refused, with its name and line.

use crate::core::leadership::cancellation_watermark;
use crate::core::model::{SchedulerConfig, Slo, Team, TeamName, Tuning, Zone};
use cypressgap_recovery::settings::RecoverySettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

mod operators;

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not TOML of this shape.
    #[error("{path}: {source}")]
    Toml {
        /// The file.
        path: String,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// A field has a value that cannot be used.
    #[error("{path}: {field}: {problem}")]
    Field {
        /// The file.
        path: String,
        /// The field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The operators' file is wrong.
    #[error("{path}: line {line}: {problem}")]
    Lisp {
        /// The file.
        path: String,
        /// The line.
        line: usize,
        /// What is wrong there.
        problem: String,
    },
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// Its name.
    pub member: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What a process may have.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Open sockets.
    pub sockets: usize,
}

/// How the sockets that a process may have are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sockets {
    /// Connections from workers, users and health checks.
    pub front: usize,
    /// Kept open to workers, for commands.
    pub workers: usize,
    /// Of peers.
    pub peers: usize,
}

/// One part in so many of the sockets is kept open to workers, to which commands then cost no new
/// connection. With an eighth, 492 of 3,939, a follower that sent to 555 workers in turn never found its
/// connection open again, and tasks were placed a tenth slower.
const WORKERS_PART: usize = 4;
/// Connections from peers: each keeps a few for each of its threads that ask us.
const PEER_SOCKETS: usize = 64;
/// The state service, its watches, the cloud, the listeners, what we keep open to peers.
const OWN_SOCKETS: usize = 80;
/// For workers, users and health checks at least.
const MIN_FRONT: usize = 32;
const MIN_SOCKETS: usize = 256;
/// A process with its threads and no work takes some 8 MB.
const MIN_RAM_MB: f64 = 32.0;
/// A leader renews its lease and watches two prefixes within its part; every node asks for its users.
const MIN_RPS: f64 = 10.0;
/// A verdict takes two changes of the leader's part, an acceptance two of a node's.
const MIN_WRITE_RPS: f64 = 6.0;
/// A job, or 64 tasks' intents, fit into one value.
/// Values may become this small: a chunk of intents fits.
const MIN_NEXT_KB: f64 = 2.0;
const MIN_VALUE_KB: f64 = 6.0;
const MIN_CLOUD_RPS: f64 = 0.1;
/// Clocks further apart would tell jobs' ages wrongly by more than any aim allows.
const MAX_SKEW_MS: f64 = 60_000.0;

/// Operators' settings outside the core.
#[derive(Clone, Debug)]
pub struct Operations {
    /// The leader's lease.
    pub leader_lease: Duration,
    /// Threads that answer users.
    pub handlers: usize,
    /// Threads that send commands to workers.
    pub agents: usize,
    /// How often a summary is logged.
    pub metrics_every: Duration,
}

impl Default for Operations {
    fn default() -> Self {
        Operations {
            leader_lease: Duration::from_millis(3000),
            handlers: 24,
            agents: 12,
            metrics_every: Duration::from_secs(60),
        }
    }
}

/// All settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name.
    pub member: String,
    /// Its zone.
    pub zone: Zone,
    /// Where users and workers reach it.
    pub front: SocketAddr,
    /// Where other controllers reach it.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub seeds: Vec<PeerAddress>,
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
    /// Controllers in all.
    pub nodes: usize,
    /// How far the time of day may be from the true one.
    pub skew: Duration,
    /// What the core needs.
    pub config: SchedulerConfig,
    /// Requests a second of the state service.
    pub state_rps: f64,
    /// Changes a second of the state service.
    pub state_write_rps: f64,
    /// Requests and changes a second that the state service may come to allow.
    pub state_next: Option<(f64, f64)>,
    /// Requests a second of the cloud.
    pub cloud_rps: f64,
    /// What this process may have.
    pub quota: Quota,
    /// The operators' settings outside the core.
    pub operations: Operations,
}

#[derive(Deserialize)]
struct File {
    member: String,
    domain: String,
    front: String,
    peer_bind: String,
    #[serde(default)]
    seeds: Vec<FileSeed>,
    endpoints: Endpoints,
    deployment: Deployment,
}

#[derive(Deserialize)]
struct FileSeed {
    member: String,
    address: String,
}

#[derive(Deserialize)]
struct Endpoints {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct Deployment {
    count: usize,
    #[serde(default)]
    skew_ms: f64,
    teams: Vec<FileTeam>,
    #[serde(default)]
    #[serde(rename = "objectives")]
    slos: Vec<FileObjective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    quota: FileQuota,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FileObjective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    next: Option<StateNext>,
}

/// The limits that the state service will have from some moment on. What is absent stays.
#[derive(Deserialize)]
struct StateNext {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

#[derive(Deserialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileQuota {
    max_sockets: usize,
    ram_mb: Option<f64>,
}

impl Settings {
    /// Together they stay within the quota, commands under way included.
    pub fn sockets(&self) -> Sockets {
        let all = self.quota.sockets;
        let workers = all / WORKERS_PART;
        // Followers deliver as many commands at a time as the leader's senders send.
        let under_way = self.operations.agents + self.operations.handlers;
        let taken = workers + PEER_SOCKETS + OWN_SOCKETS + under_way;
        Sockets {
            front: all.saturating_sub(taken).max(MIN_FRONT),
            workers,
            peers: PEER_SOCKETS,
        }
    }

    /// Reads a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Reads its text.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        let f: File = toml::from_str(text).map_err(|e| SettingsError::Toml {
            path: path.to_owned(),
            source: Box::new(e),
        })?;
        let bad = |field: &str, problem: &str| SettingsError::Field {
            path: path.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        };
        let address = |field: &str, s: &str| {
            s.parse::<SocketAddr>()
                .map_err(|_| bad(field, &format!("'{s}' is not an address and port")))
        };
        let positive = |field: &str, x: f64, most: f64| {
            if x.is_finite() && x > 0.0 && x <= most {
                Ok(x)
            } else {
                Err(bad(
                    field,
                    &format!("{x} is not above 0 and at most {most}"),
                ))
            }
        };
        let seconds =
            |field: &str, x: f64| positive(field, x, 86_400.0).map(Duration::from_secs_f64);
        if f.member.is_empty() {
            return Err(bad("member", "is empty"));
        }
        let d = &f.deployment;
        if !(0.0..=MAX_SKEW_MS).contains(&d.skew_ms) {
            return Err(bad("deployment.skew_ms", "must be from 0 to 60000"));
        }
        if d.count == 0 || d.count > 1000 {
            return Err(bad("deployment.count", "must be from 1 to 1000"));
        }
        if d.state.txn_ops < 4 {
            return Err(bad("deployment.state.txn_ops", "must be at least 4"));
        }
        let least = |field: &str, x: f64, least: f64| {
            if x >= least {
                Ok(())
            } else {
                Err(bad(
                    field,
                    &format!("{x} is below {least}, the least to run with"),
                ))
            }
        };
        let (state, cloud, quota) = (&d.state, &d.cloud, &d.quota);
        let sockets = quota.max_sockets as f64;
        least("deployment.quota.max_sockets", sockets, MIN_SOCKETS as f64)?;
        let ram = quota.ram_mb.unwrap_or(MIN_RAM_MB);
        least("deployment.quota.ram_mb", ram, MIN_RAM_MB)?;
        least("deployment.state.rps", state.rps, MIN_RPS)?;
        least("deployment.state.write_rps", state.write_rps, MIN_WRITE_RPS)?;
        least("deployment.state.value_kb", state.value_kb, MIN_VALUE_KB)?;
        least("deployment.cloud.rps", cloud.rps, MIN_CLOUD_RPS)?;
        // Sizes keep to the smaller of both sets from the start; rates fall when refusals show that the
        // next ones hold.
        let mut sizes = (state.value_kb, state.txn_ops);
        let mut next_rates = None;
        if let Some(n) = &state.next {
            let (rps, writes) = (
                n.rps.unwrap_or(state.rps),
                n.write_rps.unwrap_or(state.write_rps),
            );
            least("deployment.state.next.rps", rps, MIN_RPS)?;
            least("deployment.state.next.write_rps", writes, MIN_WRITE_RPS)?;
            positive("deployment.state.next.rps", rps, 1e9)?;
            positive("deployment.state.next.write_rps", writes, 1e9)?;
            let value_kb = n.value_kb.unwrap_or(state.value_kb);
            least("deployment.state.next.value_kb", value_kb, MIN_NEXT_KB)?;
            positive("deployment.state.next.value_kb", value_kb, 1e6)?;
            let ops = n.txn_ops.unwrap_or(state.txn_ops);
            least("deployment.state.next.txn_ops", ops as f64, 4.0)?;
            sizes = (sizes.0.min(value_kb), sizes.1.min(ops));
            next_rates = Some((rps.min(state.rps), writes.min(state.write_rps)));
        }
        let mut teams = Vec::new();
        for t in &d.teams {
            let amount = |field: &str, x: f64| {
                if x.is_finite() && x >= 0.0 {
                    Ok((x > 0.0).then_some(x))
                } else {
                    Err(bad(
                        &format!("deployment.teams.{field} of {}", t.name),
                        &format!("{x} is not an amount"),
                    ))
                }
            };
            teams.push(Team {
                name: TeamName(t.name.clone()),
                cpus: amount("cpus", t.cpus)?,
                cpus_max: amount("cpus_max", t.cpus_max)?,
                gpus: amount("gpus", t.gpus)?,
                gpus_max: amount("gpus_max", t.gpus_max)?,
            });
        }
        let mut seeds = Vec::new();
        for s in &f.seeds {
            seeds.push(PeerAddress {
                member: s.member.clone(),
                address: address(&format!("seeds address of {}", s.member), &s.address)?,
            });
        }
        let slos = d
            .slos
            .iter()
            .map(|o| Slo {
                kind: o.kind.clone(),
                class: o.class.clone(),
                within: o
                    .within_s
                    .filter(|s| s.is_finite() && *s >= 0.0 && *s < 1e6)
                    .map(Duration::from_secs_f64),
            })
            .collect();
        let w = &d.workers;
        // Reports come up to a quarter late, and one may have to be repeated.
        if w.lease_s < w.report_s * 2.5 {
            let problem = format!("{} is below 2.5 times report_s", w.lease_s);
            return Err(bad("deployment.workers.lease_s", &problem));
        }
        Ok(Settings {
            member: f.member,
            zone: Zone(f.domain),
            front: address("front", &f.front)?,
            peer_bind: address("peer_bind", &f.peer_bind)?,
            seeds,
            cloud: address("endpoints.cloud", &f.endpoints.cloud)?,
            state: address("endpoints.state", &f.endpoints.state)?,
            nodes: d.count,
            skew: Duration::from_secs_f64(d.skew_ms / 1000.0),
            state_rps: positive("deployment.state.rps", d.state.rps, 1e9)?,
            state_write_rps: positive("deployment.state.write_rps", d.state.write_rps, 1e9)?,
            state_next: next_rates,
            cloud_rps: positive("deployment.cloud.rps", d.cloud.rps, 1e9)?,
            quota: Quota {
                sockets: d.quota.max_sockets,
            },
            operations: Operations::default(),
            config: SchedulerConfig {
                teams,
                slos,
                heartbeat: seconds("deployment.workers.report_s", w.report_s)?,
                lease: seconds("deployment.workers.lease_s", w.lease_s)?,
                gang_wait: seconds("deployment.workers.gang_wait_s", w.gang_wait_s)?,
                gang_peer: seconds("deployment.workers.gang_peer_s", w.gang_peer_s)?,
                cancel: seconds("deployment.workers.cancel_s", w.cancel_s)?,
                txn_ops: sizes.1,
                value_bytes: (positive("deployment.state.value_kb", sizes.0, 1e6)? * 1024.0)
                    as usize,
                list_lag: seconds("deployment.cloud.list_lag_s", d.cloud.list_lag_s)?,
                tuning: Tuning::default(),
                recovery: RecoverySettings::default(),
            },
        })
    }

    /// What can be run with, but not without loss.
    pub fn warnings(&self) -> Vec<String> {
        let mut out = Vec::new();
        let p = &self.config;
        if !cancellation_watermark::patience(p.lease, p.cancel).1 {
            out.push(format!(
                "deployment.workers.cancel_s: {:.1} is so close to lease_s, {:.1}, that the tasks of a \
                 cancelled job may outlast it by {:.1} s where their leader has lost the state service \
                 and its peers",
                p.cancel.as_secs_f64(),
                p.lease.as_secs_f64(),
                cancellation_watermark::overshoot(p.lease, p.cancel).as_secs_f64()
            ));
        }
        out
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}
