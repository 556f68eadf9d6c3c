//! Actions that a view returns for execution.

use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::Version;
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Heartbeat, State};

/// Identifier of a heartbeat or indirect probe until its result is reported.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Reason for which a heartbeat is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Periodic gossip round.
    Round,
    /// Query for versions and records by a daemon that just started.
    Start,
    /// Query for versions by a daemon whose process was paused.
    Resume,
    /// Test whether a host that failed on the request path, or is suspect or
    /// gone, answers again.
    Trial,
    /// Indirect probe of a host on behalf of a peer.
    Relay,
    /// Delivery of an urgent change, such as `leaving`, ahead of the next
    /// round.
    Push,
}

/// Message to send or event to handle. Hosts are identified by name.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the heartbeat and report the answer with
    /// [`View::on_heartbeat_answer`], or a timeout after [`ANSWER_TIMEOUT`]
    /// with [`View::on_timeout`].
    ///
    /// [`ANSWER_TIMEOUT`]: crate::view::ANSWER_TIMEOUT
    /// [`View::on_heartbeat_answer`]: crate::View::on_heartbeat_answer
    /// [`View::on_timeout`]: crate::View::on_timeout
    Heartbeat {
        /// Identifier to report the answer or timeout with.
        token: Token,
        /// Receiver.
        to: Arc<str>,
        /// Reason for which the heartbeat is sent.
        purpose: Purpose,
        /// Heartbeat to send.
        message: Heartbeat,
    },
    /// Ask `via` to probe `target` and report the result with
    /// [`View::on_probe_result`], or a timeout after [`PROBE_TIMEOUT`] with
    /// [`View::on_timeout`].
    ///
    /// [`PROBE_TIMEOUT`]: crate::view::PROBE_TIMEOUT
    /// [`View::on_probe_result`]: crate::View::on_probe_result
    /// [`View::on_timeout`]: crate::View::on_timeout
    Probe {
        /// Identifier to report the result or timeout with.
        token: Token,
        /// Host that carries out the probe.
        via: Arc<str>,
        /// Host to probe.
        target: Arc<str>,
    },
    /// Send the notice of the own version, see [`View::notice`].
    ///
    /// [`View::notice`]: crate::View::notice
    Notice {
        /// Receiver.
        to: Arc<str>,
    },
    /// A query at start or after a pause ended: every queried peer has answered
    /// or timed out. If none has answered, peers are queried again after a
    /// backoff delay.
    Queried {
        /// [`Purpose::Start`] or [`Purpose::Resume`].
        purpose: Purpose,
        /// Number of peers that answered.
        answers: usize,
    },
    /// A peer announced a greater version than the own one: fetch the document
    /// from that peer.
    NewerVersion {
        /// Peer to fetch from.
        host: Arc<str>,
        /// Version of the peer.
        version: Version,
    },
    /// A peer announced a host list with a greater number than the own one:
    /// fetch the list from that peer.
    NewerHostList {
        /// Peer to fetch from.
        host: Arc<str>,
        /// Number of the peer's host list.
        number: u64,
    },
    /// New requests may be routed to the host.
    Routable(Arc<str>),
    /// No new requests may be routed to the host.
    Unroutable(Arc<str>),
    /// The state of a host changed; for audit and log.
    State {
        /// Host.
        host: Arc<str>,
        /// New state.
        state: State,
    },
    /// This daemon became (`true`) or ceased to be (`false`) a reader of the
    /// platform.
    Reader(bool),
    /// The process was paused for this duration, so its state may be
    /// outdated.
    Paused(Duration),
    /// The incarnation of this daemon was raised to the given one, because a
    /// peer holds a record of an earlier incarnation with a later start time.
    Incarnation(Incarnation),
    /// A newer daemon runs on this host, with the given incarnation. This
    /// daemon should stop serving.
    Replaced(Incarnation),
}
