//! Calls between daemons on the control port.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use savorylane_intent::{Hash, Version};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::control::{Confirmation, Heartbeat, News, Notice, Poll, Question, Sender, Suspicion};
use crate::operator::{Scope, Summary};

/// Asks a daemon for its document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Sender.
    pub from: Sender,
    /// Hash of the document that the sender has, as the base of a delta.
    pub base: Option<Hash>,
}

/// A document or host list on its way; base64 of the compressed form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// Version of the document; `None` for a host list.
    pub version: Option<Version>,
    /// Compressed content.
    pub content: String,
}

/// Clock of one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clock {
    /// The run that holds keys.
    pub run: Incarnation,
    /// Time since the run started, microseconds.
    pub now_us: u64,
}

/// Methods of the control port.
#[rpc(client, server, namespace = "control")]
pub trait Control {
    /// Exchanges records of hosts.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, message: Heartbeat) -> RpcResult<Heartbeat>;

    /// Tries to reach a host on behalf of the sender.
    #[method(name = "probe")]
    async fn probe(&self, host: String) -> RpcResult<bool>;

    /// Tells the version that the sender has in force.
    #[method(name = "notice")]
    async fn notice(&self, message: Notice) -> RpcResult<()>;

    /// Waits for what is newer than the sender's knowledge, and returns it.
    #[method(name = "poll")]
    async fn poll(&self, message: Poll) -> RpcResult<News>;

    /// Returns the document in force, as a delta where that is possible.
    #[method(name = "fetch")]
    async fn fetch(&self, message: Fetch) -> RpcResult<Option<Transfer>>;

    /// Returns the host list in force if its number is greater than `after`.
    #[method(name = "hosts")]
    async fn hosts(&self, after: u64) -> RpcResult<Option<Transfer>>;

    /// Returns the rings that the daemon follows, as far as it knows them.
    #[method(name = "ring")]
    async fn ring(&self, message: Question) -> RpcResult<Vec<Confirmation>>;

    /// Says for each digest whether a confirmation with it still holds, so that
    /// an unchanged ring costs 34 bytes a question instead of about 600.
    #[method(name = "confirm")]
    async fn confirm(&self, digests: Vec<String>) -> RpcResult<Vec<bool>>;

    /// Returns the run of the daemon and the time of its own clock.
    #[method(name = "clock")]
    async fn clock(&self) -> RpcResult<Clock>;

    /// Tells of requests that may have crashed an upstream. The answer
    /// acknowledges them and tells what the receiver knows of them.
    #[method(name = "suspect")]
    async fn suspect(&self, message: Suspicion) -> RpcResult<Suspicion>;

    /// Returns results by class over a scope.
    #[method(name = "summary")]
    async fn summary(&self, scope: Scope) -> RpcResult<Summary>;
}
