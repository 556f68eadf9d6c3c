//! Keep-alive pings between daemons, and how long their connections stay idle.

use std::time::Duration;

/// Interval of the keep-alive pings of the client side, which it sends while
/// requests are unanswered.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a ping must be answered before the connection is closed, which
/// cuts the requests on it. The answer waits behind the bodies on a slow link:
/// 16 connections that each fill their window take 19 s on 7 Mbit/s. Entries
/// stop using a silent connection much sooner.
pub const PING_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the pings of the server side. They only find peers that are
/// gone, whose connections would stay for ever.
pub const SERVER_PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a connection without requests is used again. One that went
/// silent shows it only by a request that gets no answer, and pings on all
/// connections of a large mesh would cost more than the requests.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
