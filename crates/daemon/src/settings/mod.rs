//! Settings: flags with matching environment variables, validated before any
//! port is bound.

mod arguments;
mod check;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_policy::retry;
use savorylane_policy::route::Policy;
use snafu::Snafu;

pub use arguments::parser;

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the deployment.
    pub host: String,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Address on which callers connect.
    pub entry: SocketAddr,
    /// Address to which other daemons send requests.
    pub data: SocketAddr,
    /// Address to which other daemons send control messages.
    pub control: SocketAddr,
    /// Address on which operators connect.
    pub operator: SocketAddr,
    /// Address of the host's upstream.
    pub upstream: SocketAddr,
    /// Path of the upstream's health report, if the report is polled to detect
    /// that the upstream is draining.
    pub health_path: Option<String>,
    /// Maximum number of concurrent requests at the upstream.
    pub slots: usize,
    /// Addresses of the platform, in order of preference.
    pub platform: Vec<SocketAddr>,
    /// Control addresses of the peers that are contacted at the start.
    pub peers: Vec<SocketAddr>,
    /// Time after which a caller no longer resends an idempotency key without
    /// attempt numbers.
    pub key_horizon: Duration,
    /// Whether no earlier process of the deployment served within the key
    /// horizon.
    pub first_start: bool,
    /// Time for which a shutdown waits for requests in flight.
    pub drain_limit: Duration,
    /// Maximum size of a request or answer body in bytes. A longer answer is
    /// aborted, because an upstream can send an endless answer and a deadline
    /// can be far in the future.
    pub max_body_bytes: u64,
    /// Maximum number of open connections from one caller address.
    pub caller_connections: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Number of descriptors that the process may open.
    pub descriptors: usize,
    /// Hosts that watch the platform.
    pub readers: Readers,
    /// Policy by which hosts are chosen.
    pub policy: Policy,
    /// Budgets of retries and hedges.
    pub budgets: retry::Settings,
    /// Rate of the host's link in megabits per second; 0 if unknown.
    pub link_mbps: u32,
    /// Settings of the platform that the daemon is adapted to; `None` for the
    /// product's own platform.
    pub adapter: Option<Adapter>,
    /// Least severe level of the log lines that are written.
    pub log_level: log::LevelFilter,
}

/// Settings for a platform with a keyed store.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Address at which the platform probes whether the daemon accepts callers.
    pub ready: SocketAddr,
    /// Region by data centre.
    pub regions: BTreeMap<String, String>,
}

/// Hosts that watch the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Readers {
    /// All hosts; a baseline for comparison only.
    All,
    /// Two hosts of each data centre.
    #[default]
    Ranked,
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Command {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Whether to only check the settings and exit.
    pub check: bool,
}

/// A missing or invalid setting.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Fault {
    /// A required value is missing.
    #[snafu(display("--{flag}: missing value; {accepted}"))]
    Missing {
        /// Flag without the dashes.
        flag: &'static str,
        /// Clause that states how to set the value.
        accepted: String,
    },
    /// A value is invalid.
    #[snafu(display("--{flag}: found {value}; {accepted}"))]
    Value {
        /// Flag without the dashes.
        flag: &'static str,
        /// The invalid value, quoted and escaped.
        value: String,
        /// Clause that states which values are accepted, such as "expected an
        /// integer from 1 to 3600".
        accepted: String,
    },
}

impl Fault {
    fn value(flag: &'static str, value: &str, accepted: impl Into<String>) -> Self {
        Self::Value {
            flag,
            value: bound::quote(value),
            accepted: accepted.into(),
        }
    }
}
