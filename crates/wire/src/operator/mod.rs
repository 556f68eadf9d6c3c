//! Messages of the operator port.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use savorylane_intent::Version;
use savorylane_intent::document::Target;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Load};

/// How far a summary reaches.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Requests that entered at this daemon.
    Host,
    /// Requests that entered in this daemon's data centre.
    DataCentre,
    /// Requests that entered anywhere that can be reached.
    Fleet,
}

/// Results of one class over the last window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the class.
    pub class: String,
    /// The target in force.
    pub target: Target,
    /// Requests that ended within the window.
    pub requests: u64,
    /// Requests answered with success.
    pub succeeded: u64,
    /// Requests answered with success within the target's latency.
    pub in_time: u64,
}

impl Outcome {
    /// Returns the share of the requests that were answered in time, 0 to 1;
    /// 1 when there were none.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time, self.requests)
    }

    /// Returns the share of the requests that succeeded, 0 to 1; 1 when there
    /// were none.
    pub fn success_share(&self) -> f64 {
        share(self.succeeded, self.requests)
    }

    /// Says whether the target was met over the window.
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
    /// Length of the window, seconds.
    pub window_s: u64,
    /// Daemons whose results are contained.
    pub daemons: u64,
    /// Daemons that did not answer.
    pub missing: u64,
    /// Results by class.
    pub outcomes: Vec<Outcome>,
}

/// What a daemon knows of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service of the host.
    pub service: String,
    /// `alive`, `leaving`, `suspect`, `gone` or `unknown`.
    pub state: String,
    /// Version in force there, as far as it is known.
    pub version: Option<Version>,
}

/// State of one daemon, and of the hosts as it sees them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Host of the daemon.
    pub host: String,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Version in force.
    pub version: Option<Version>,
    /// Number of the host list in force.
    pub hosts_number: u64,
    /// Whether this daemon reads the platform.
    pub reader: bool,
    /// Load of the upstream.
    pub load: Load,
    /// All known hosts.
    pub hosts: Vec<Host>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the entry in this run, from 1.
    pub sequence: u64,
    /// Moment, RFC 3339 in UTC.
    pub at: String,
    /// What happened; the member `kind` names it.
    pub event: serde_json::Value,
}

/// Methods of the operator port.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Returns the state of the daemon and of the hosts as it sees them.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Returns the results of all classes over a scope.
    #[method(name = "summary")]
    async fn summary(&self, scope: Scope) -> RpcResult<Summary>;

    /// Returns up to `most` audit entries after `sequence`.
    #[method(name = "audit")]
    async fn audit(&self, sequence: u64, most: u64) -> RpcResult<Vec<Entry>>;

    /// Makes the host leave: no new work from now on.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Status>;
}
