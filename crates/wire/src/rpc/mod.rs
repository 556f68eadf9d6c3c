//! RPC interface between daemons, on the control port.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use savorylane_intent::{Hash, Version};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::control::{Heartbeat, Notice, Poll, Sender, Suspicion, poll, ring};
use crate::operator::{Scope, Summary};

/// Request for the document in force at a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Sender of the message.
    pub from: Sender,
    /// Hash of the sender's document, which may serve as the base of a delta.
    pub base: Option<Hash>,
}

/// A document or host list, or a delta to one, in transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
// Keeps the text of decoding errors, which peers receive in RPC errors.
#[serde(expecting = "struct Transfer")]
pub struct Payload {
    /// Version of the document; `None` for a host list.
    pub version: Option<Version>,
    /// Compressed content, encoded as base64.
    pub content: String,
}

/// Reading of the clock of one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clock {
    /// Run of the daemon, which holds idempotency keys.
    pub run: Incarnation,
    /// Time since the start of the run, in microseconds.
    pub now_us: u64,
}

/// Methods of the control port.
#[rpc(client, server, namespace = "control")]
pub trait Control {
    /// Exchanges membership records of hosts.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, message: Heartbeat) -> RpcResult<Heartbeat>;

    /// Probes a host on behalf of the sender, and returns whether the host
    /// answered.
    #[method(name = "probe")]
    async fn probe(&self, host: String) -> RpcResult<bool>;

    /// Announces the version that is in force at the sender.
    #[method(name = "notice")]
    async fn notice(&self, message: Notice) -> RpcResult<()>;

    /// Waits until the daemon has a newer version or host list than the sender,
    /// or until the time limit of the poll, and returns what is newer.
    #[method(name = "poll")]
    async fn poll(&self, message: Poll) -> RpcResult<poll::Answer>;

    /// Returns the document in force, as a delta if possible.
    #[method(name = "fetch")]
    async fn fetch(&self, message: Fetch) -> RpcResult<Option<Payload>>;

    /// Returns the platform's list, as the daemon knows it, if its number is
    /// greater than `after`.
    #[method(name = "hosts")]
    async fn hosts(&self, after: u64) -> RpcResult<Option<Payload>>;

    /// Returns the rings that the daemon follows for the queried scopes. Scopes
    /// without a known ring are left out.
    #[method(name = "ring")]
    async fn ring(&self, message: ring::Query) -> RpcResult<Vec<ring::Confirmation>>;

    /// Returns for each digest whether the confirmation with that digest is
    /// still valid. A query for an unchanged ring thus takes 34 bytes
    /// instead of about 600.
    #[method(name = "confirm")]
    async fn confirm(&self, digests: Vec<String>) -> RpcResult<Vec<bool>>;

    /// Returns the run of the daemon and the time of its clock.
    #[method(name = "clock")]
    async fn clock(&self) -> RpcResult<Clock>;

    /// Reports requests that may have crashed an upstream. The answer
    /// acknowledges the report and contains what the receiver knows about the
    /// requests.
    #[method(name = "suspect")]
    async fn suspect(&self, message: Suspicion) -> RpcResult<Suspicion>;

    /// Returns the results of all classes over a scope.
    #[method(name = "summary")]
    async fn summary(&self, scope: Scope) -> RpcResult<Summary>;
}
