//! The settings of one node, from the platform's TOML file and the operators' file of S-expressions.
//!
//! In the platform's file, unknown fields are ignored; a missing required field or an invalid value is an
//! error. In the operators' file, an unknown setting is an error too; it names the setting and the line.
//!
//! This module defines the settings in the form in which the node uses them. Its submodules parse the files.

use crate::core::model::{SchedulerConfig, Zone};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

mod checks;
mod error;
mod expressions;
mod operators;
mod platform;
mod platform_file;
mod socket_budget;
mod warnings;

pub use error::SettingsError;
pub use socket_budget::SocketBudget;

/// Another controller, according to the settings.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// The peer's unique name among the controllers.
    pub member: String,
    /// The address at which the peer listens for other controllers.
    pub address: SocketAddr,
}

/// The rates that the key-value store allows for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRates {
    /// Requests per second, including those that make changes.
    pub requests: f64,
    /// Changes per second. A change writes or deletes one key.
    pub changes: f64,
}

/// The operators' settings for everything except the scheduler core. `Default` supplies the values of the
/// settings that the operators' file does not name.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// How long the leader's lease lasts without a renewal.
    pub leader_lease: Duration,
    /// The number of threads that handle users' submissions and cancellations.
    pub api_threads: usize,
    /// The number of threads that send commands to workers.
    pub command_threads: usize,
    /// The interval at which a summary of the metrics is logged.
    pub metrics_interval: Duration,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            leader_lease: Duration::from_millis(3000),
            api_threads: 24,
            command_threads: 12,
            metrics_interval: Duration::from_secs(60),
        }
    }
}

/// All settings of one node. The settings from the operators' file have default values until that file is
/// read.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's unique name among the controllers.
    pub member: String,
    /// The zone in which this node runs.
    pub zone: Zone,
    /// The address at which the node listens for users and workers.
    pub http_bind: SocketAddr,
    /// The address at which the node listens for other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<PeerAddress>,
    /// The address of the cloud's API.
    pub cloud_address: SocketAddr,
    /// The address of the key-value store.
    pub store_address: SocketAddr,
    /// The number of controllers, including this one.
    pub controller_count: usize,
    /// How far this node's time of day may be from the correct time.
    pub max_clock_skew: Duration,
    /// The configuration of the scheduler core.
    pub config: SchedulerConfig,
    /// The rates that the key-value store allows at present.
    pub store_rates: StoreRates,
    /// Lower rates that the key-value store may apply later, without notice. None: no such rates are
    /// announced.
    pub next_store_rates: Option<StoreRates>,
    /// The rate of requests that the cloud allows, in requests per second.
    pub cloud_requests_per_s: f64,
    /// The maximum number of open sockets of this process.
    pub max_sockets: usize,
    /// The operators' settings for everything except the scheduler core.
    pub operator_settings: OperatorSettings,
}

impl Settings {
    /// Reads and checks the platform's settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Reads and checks the operators' settings file, and replaces the values of the settings that it names.
    pub fn load_operators(&mut self, path: &Path) -> Result<(), SettingsError> {
        let text = read(path)?;
        self.parse_operators(&path.display().to_string(), &text)
    }

    /// Computes how the process's sockets are divided among their uses.
    #[must_use]
    pub fn socket_budget(&self) -> SocketBudget {
        SocketBudget::new(self.max_sockets, &self.operator_settings)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}
