//! Keep-alive pings between daemons, which both ends of a connection send.

use std::time::Duration;

/// Interval of the keep-alive pings of HTTP/2.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a ping must be answered before the connection is closed, which
/// cuts the requests on it. The answer waits behind the bodies on a slow link:
/// 16 connections that each fill their window take 19 s on 7 Mbit/s. Entries
/// stop using a silent connection much sooner.
pub const PING_TIMEOUT: Duration = Duration::from_secs(20);
