//! What a view asks its caller to do.

use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::Version;
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Heartbeat, State};

/// Identifies a heartbeat or probe until its answer or timeout is reported.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Regular round.
    Round,
    /// Version and records for a daemon that just started.
    Start,
    /// Version for a daemon that was paused.
    Resume,
    /// Trial of a host that failed on the request path or is gone.
    Trial,
    /// Try of a host on behalf of a peer.
    Relay,
    /// Early delivery of an urgent change, such as `leaving`.
    Push,
}

/// One thing to do or to know. Hosts are given by name.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the heartbeat and report the answer, or a timeout after
    /// [`crate::view::ANSWER_TIMEOUT`].
    Heartbeat {
        /// Reported back with the answer or timeout.
        token: Token,
        /// Receiver.
        to: Arc<str>,
        /// Why it is sent.
        purpose: Purpose,
        /// Content.
        message: Heartbeat,
    },
    /// Ask `via` to try `target` and report the result, or a timeout after
    /// [`crate::view::PROBE_TIMEOUT`].
    Probe {
        /// Reported back with the result or timeout.
        token: Token,
        /// Host that is asked.
        via: Arc<str>,
        /// Host to try.
        target: Arc<str>,
    },
    /// Send a notice of the version in force.
    Notice {
        /// Receiver.
        to: Arc<str>,
    },
    /// The peers asked at start or after a pause have answered or timed out.
    /// With no answer they are asked again after a delay.
    Queried {
        /// [`Purpose::Start`] or [`Purpose::Resume`].
        purpose: Purpose,
        /// Peers that answered.
        answers: usize,
    },
    /// A peer has a greater version: fetch it there.
    NewerVersion {
        /// Peer.
        host: Arc<str>,
        /// Its version.
        version: Version,
    },
    /// A peer has a host list of a greater number: fetch it there.
    NewerHostList {
        /// Peer.
        host: Arc<str>,
        /// Number of its host list.
        number: u64,
    },
    /// The host may be given new work.
    Routable(Arc<str>),
    /// The host may not be given new work.
    Unroutable(Arc<str>),
    /// The state of a host changed, for audit and log.
    State {
        /// Host.
        host: Arc<str>,
        /// New state.
        state: State,
    },
    /// This daemon became (`true`) or ceased to be (`false`) a reader.
    Reader(bool),
    /// The process did not run for this long; its state may be outdated.
    Paused(Duration),
    /// This daemon took a greater incarnation, because peers hold a record of
    /// an earlier run with a later start time.
    Incarnation(Incarnation),
    /// Another run of this host is newer. This daemon should stop serving.
    Replaced(Incarnation),
}
