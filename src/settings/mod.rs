//! Settings of one node: the platform's TOML file, and the operators' own S-expressions.
//!
//! Unknown fields of the platform's file are ignored; missing ones and values out of range are refused.
//! In the operators' file everything unknown is refused, with its name and line.
//!
//! This module holds the settings in the form in which the node uses them. The modules below read the
//! two files into it.

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

/// A controller other than this one.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// The peer's member name.
    pub member: String,
    /// Where the peer listens for other controllers.
    pub address: SocketAddr,
}

/// The rates that the key-value store allows to all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRates {
    /// Requests a second, those with changes included.
    pub requests: f64,
    /// Changed keys a second.
    pub changes: f64,
}

/// Operators' settings outside the scheduler core.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Duration of the leader's lease.
    pub leader_lease: Duration,
    /// Threads that answer API requests.
    pub api_threads: usize,
    /// Threads that send commands to workers.
    pub command_threads: usize,
    /// How often a summary of the metrics is logged.
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

/// All settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name among the controllers.
    pub member: String,
    /// The zone that this node runs in.
    pub zone: Zone,
    /// Where the node listens for users and workers.
    pub http_bind: SocketAddr,
    /// Where the node listens for other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<PeerAddress>,
    /// The cloud's interface.
    pub cloud_address: SocketAddr,
    /// The key-value store.
    pub store_address: SocketAddr,
    /// Number of controllers, this one included.
    pub controller_count: usize,
    /// How far the time of day may be from the true one.
    pub max_clock_skew: Duration,
    /// Configuration of the scheduler core.
    pub config: SchedulerConfig,
    /// The rates that the key-value store allows.
    pub store_rates: StoreRates,
    /// Lower rates that the key-value store may come to allow without notice.
    pub next_store_rates: Option<StoreRates>,
    /// Requests a second that the cloud allows.
    pub cloud_requests_per_s: f64,
    /// Sockets that this process may have open.
    pub max_sockets: usize,
    /// The operators' settings outside the scheduler core.
    pub operator_settings: OperatorSettings,
}

impl Settings {
    /// Reads the platform's settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Reads the operators' settings file over the values in force.
    pub fn load_operators(&mut self, path: &Path) -> Result<(), SettingsError> {
        let text = read(path)?;
        self.parse_operators(&path.display().to_string(), &text)
    }

    /// The shares of the process's sockets.
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
