//! Keep-alive pings and idle timeouts of connections between daemons.

use std::time::Duration;

use savorylane_policy::route::CONNECTION_IDLE_TIMEOUT;

/// Interval of the pings that the client side of a connection sends while
/// requests are unanswered.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which the connection is closed, which
/// aborts the requests on it.
///
/// On a slow link the answer is queued behind bodies: 16 connections that each
/// fill their window take 19 s on 7 Mbit/s. Entries stop using an unresponsive
/// connection much sooner.
pub const PING_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the pings that the server side sends. They only detect peers
/// that have disappeared, whose connections would otherwise stay open forever.
pub const SERVER_PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an idle connection is not reused.
///
/// A failed idle connection is detected only by a request that gets no answer.
/// Pings on all idle connections of a large mesh would cost more than such
/// requests.
pub const IDLE_TIMEOUT: Duration = CONNECTION_IDLE_TIMEOUT;
