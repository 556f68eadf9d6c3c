//! What an entry tells the gatekeeper of a request, so that the gatekeeper
//! needs no configuration to run it.

use serde::{Deserialize, Serialize};

/// Attributes of a request on its way to the gatekeeper, as JSON in the header
/// [`HOP`](crate::header::HOP).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hop {
    /// Name of the class.
    pub class: String,
    /// Service that the entry chose.
    pub service: String,
    /// Service of the host where the request began.
    pub origin: String,
    /// Instance of the upstream that the entry chose.
    pub instance: String,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Under overload, higher values are refused first.
    pub shed_order: u8,
    /// Time that remains until the class's target is missed, milliseconds.
    pub slack_ms: u32,
    /// Number of the configuration that the entry chose by; 0 if it is not
    /// known.
    #[serde(default)]
    pub version: u64,
    /// Number of the host list that the entry chose by; 0 if it is not known.
    #[serde(default)]
    pub list: u64,
}
