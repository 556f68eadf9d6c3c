//! Attributes that an entry attaches to a request, so that the gatekeeper needs
//! no configuration to run the request.

use serde::{Deserialize, Serialize};

/// Attributes of a request that an entry forwards to a gatekeeper, sent as JSON
/// in the header [`HOP`](crate::header::HOP).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hop {
    /// Name of the request's class.
    pub class: String,
    /// Service that the entry routes the request to.
    pub service: String,
    /// Service of the host at which the request entered.
    pub origin: String,
    /// Instance of the upstream that the entry selected.
    pub instance: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Order of load shedding: under overload, requests with higher values are
    /// refused first.
    pub shed_order: u8,
    /// Time left until the request misses the latency target of its class, in
    /// milliseconds.
    pub slack_ms: u32,
    /// Number of the configuration version that the entry used to route the
    /// request; 0 if it is not known.
    #[serde(default)]
    pub version: u64,
    /// Number of the host list that the entry used to route the request; 0 if
    /// it is not known.
    #[serde(default)]
    pub list: u64,
    /// Whether the request may wait in the late lane of the gate: its time
    /// limit leaves room behind its target, and the entry has looked for a
    /// place on time before.
    #[serde(default)]
    pub late: bool,
}
