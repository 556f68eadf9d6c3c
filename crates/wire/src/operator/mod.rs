//! RPC interface for operators, on the operator port.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use savorylane_intent::Version;
use savorylane_intent::document::Target;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Load};

/// Set of daemons that a summary covers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Requests that entered at this daemon.
    Host,
    /// Requests that entered in this daemon's data centre.
    DataCentre,
    /// Requests that entered at any reachable daemon.
    Fleet,
}

/// Results of one class over the last time window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the class.
    pub class: String,
    /// The target in force.
    pub target: Target,
    /// Number of requests that ended within the window.
    pub requests: u64,
    /// Number of requests that succeeded.
    pub succeeded: u64,
    /// Number of requests that succeeded within the latency of the target.
    pub in_time: u64,
}

impl Outcome {
    /// Returns the share of the requests that succeeded in time, from 0 to 1; 1
    /// if there were no requests.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time, self.requests)
    }

    /// Returns the share of the requests that succeeded, from 0 to 1; 1 if
    /// there were no requests.
    pub fn success_share(&self) -> f64 {
        share(self.succeeded, self.requests)
    }

    /// Returns whether the target was met over the window.
    pub fn met(&self) -> bool {
        self.in_time_share() >= self.target.quantile && self.success_share() >= self.target.success
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

/// Results of all classes over a scope.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Number of daemons whose results are included.
    pub daemons: u64,
    /// Number of daemons that did not answer.
    pub missing: u64,
    /// Results by class.
    pub outcomes: Vec<Outcome>,
}

/// State of one host as seen by a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service of the host.
    pub service: String,
    /// State of the host: `alive`, `leaving`, `suspect`, `gone` or `unknown`.
    pub state: String,
    /// Version in force at the host; `None` if it is not known.
    pub version: Option<Version>,
}

/// State of one daemon, and of the hosts as seen by it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Host of the daemon.
    pub host: String,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Version in force; `None` if there is none.
    pub version: Option<Version>,
    /// Number of the host list in force.
    pub hosts_number: u64,
    /// Whether the daemon reads the configuration from the platform.
    pub reader: bool,
    /// Load of the daemon's gatekeeper and upstream.
    pub load: Load,
    /// All hosts that the daemon knows.
    pub hosts: Vec<Host>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the entry within the run of the daemon, starting at 1.
    pub sequence: u64,
    /// Time of the event in UTC, in RFC 3339 format.
    pub at: String,
    /// Event as a JSON object, whose member `kind` names the kind of event.
    pub event: serde_json::Value,
}

/// Methods of the operator port.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Returns the state of the daemon, and of the hosts as seen by it.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Returns the results of all classes over a scope.
    #[method(name = "summary")]
    async fn summary(&self, scope: Scope) -> RpcResult<Summary>;

    /// Returns up to `most` entries of the audit trail that follow the entry
    /// with number `sequence`.
    #[method(name = "audit")]
    async fn audit(&self, sequence: u64, most: u64) -> RpcResult<Vec<Entry>>;

    /// Drains the daemon: its host leaves and takes no new work from now on.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Status>;
}
