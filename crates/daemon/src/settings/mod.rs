//! Settings: flags with matching environment variables, checked before
//! anything is bound.

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

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host; unique in the deployment.
    pub host: String,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where other daemons send requests.
    pub data: SocketAddr,
    /// Where other daemons send control messages.
    pub control: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// The host's upstream.
    pub upstream: SocketAddr,
    /// Path of the upstream's health report, if it is watched for draining.
    pub health_path: Option<String>,
    /// Requests that the upstream is given at once, at most.
    pub slots: usize,
    /// Addresses of the platform, in order of preference.
    pub platform: Vec<SocketAddr>,
    /// Control addresses of peers that are asked at the start.
    pub peers: Vec<SocketAddr>,
    /// Time after which a caller no longer resends an unmarked key.
    pub key_horizon: Duration,
    /// States that no earlier process served within the key horizon.
    pub first_start: bool,
    /// Time that a shutdown waits for requests in flight.
    pub drain_limit: Duration,
    /// Largest body of a request or an answer, bytes. A longer answer is cut,
    /// since an upstream can send one without end and a deadline can be far.
    pub max_body_bytes: u64,
    /// Connections that one caller may open.
    pub caller_connections: usize,
    /// Who watches the platform.
    pub readers: Readers,
    /// How hosts are chosen.
    pub policy: Policy,
    /// Bounds of retries and hedges.
    pub budgets: retry::Settings,
    /// Rate of the host's link, megabits a second; 0 if it is not known.
    pub link_mbps: u32,
    /// Platform that the daemon is adapted to; `None` for the product's own.
    pub adapter: Option<Adapter>,
    /// Log level.
    pub log_level: log::LevelFilter,
}

/// What the daemon needs to run on a platform with a store of keys.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Where the platform asks whether this daemon takes callers.
    pub ready: SocketAddr,
    /// Region of each data centre.
    pub regions: BTreeMap<String, String>,
}

/// Who watches the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Readers {
    /// Every host; for comparison only.
    All,
    /// Two hosts of each data centre.
    #[default]
    Ranked,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Command {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// A refused setting.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Fault {
    /// A needed value is not given.
    #[snafu(display("--{flag}: no value is given; {accepted}"))]
    Missing {
        /// Flag without the dashes.
        flag: &'static str,
        /// How to give the value.
        accepted: String,
    },
    /// A value is refused.
    #[snafu(display("--{flag}: {value} is not accepted; {accepted}"))]
    Value {
        /// Flag without the dashes.
        flag: &'static str,
        /// The refused value, quoted and escaped.
        value: String,
        /// What is accepted, with units.
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
