//! Limits of the connections to a server.

use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;
use savorylane_intent::document;

use crate::keepalive::{PING_TIMEOUT, SERVER_PING_INTERVAL};
use crate::kernel::Context;

/// Time within which a caller must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Head timeout on an adapted platform, unless the document in force sets an
/// idle timeout. It also bounds idle connections: the library has one timeout
/// for an idle connection and for the head of the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum total size of the headers of a request in bytes.
const MAX_HEADER_BYTES: u32 = 16_384;
/// Flow-control window of one HTTP/2 stream in bytes.
///
/// This much of a body is sent before the gatekeeper admits or refuses its
/// request. A body is transferred at one window per round trip, which is 400 KB
/// per second to another region.
pub const STREAM_WINDOW_BYTES: u32 = 16_384;
/// Stream window on a link of medium rate in bytes. On such links, capacity is
/// reserved before a large body is sent, and two or three bodies from another
/// region saturate the link.
const MEDIUM_LINK_WINDOW_BYTES: u32 = 65_536;
/// Stream window on a slow link in bytes. A larger window would delay small
/// messages.
const SLOW_LINK_WINDOW_BYTES: u32 = 32_768;
/// Rate in megabits per second below which a link is slow.
const SLOW_LINK_MBPS: u32 = 20;
/// Rate in megabits per second below which a link that is not slow is of medium
/// rate.
const MEDIUM_LINK_MBPS: u32 = 200;
/// Maximum number of bytes of one HTTP/2 answer that were not written yet.
pub const SEND_BUFFER_BYTES: usize = 131_072;
/// Number of stream windows that the window of an HTTP/2 connection holds: 64
/// uploads can wait for a slot before they block the uploads that have one.
const CONNECTION_WINDOW_STREAMS: u32 = 64;
/// Maximum number of headers of a request. Upstreams commonly accept 100, and
/// the daemon adds a few. Without the margin, a request near that limit would
/// pass the daemon and be refused by the upstream.
const MAX_HEADERS: usize = 90;
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
/// Maximum number of concurrent streams of a peer that is no host of the
/// deployment.
const STRANGER_STREAMS: u32 = 64;
/// Number of stream windows that the connection window of such a peer, or of a
/// caller, holds.
const SHARED_WINDOW_STREAMS: u32 = 16;
/// Maximum number of streams that an untrusted peer may reset before the server
/// has accepted them.
const MAX_RESETS: usize = 20;
/// Maximum number of such resets from a daemon.
///
/// After congestion on the link, the delayed requests arrive in one burst,
/// together with the resets for all callers that disconnected in the meantime.
/// Above the limit the library closes the connection, which aborts all requests
/// on it.
const MAX_DAEMON_RESETS: usize = 16 * MAX_STREAMS as usize;

/// Limits of a connection to a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections from one address.
    pub max_connections: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Maximum total size of the headers of a request in bytes.
    pub max_header_bytes: u32,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Protocols that the server accepts.
    pub protocol: Protocol,
    /// Maximum number of HTTP/2 streams that the peer may reset before the
    /// server has accepted them.
    pub max_resets: usize,
    /// Flow-control window of one HTTP/2 stream in bytes.
    pub stream_window: u32,
    /// Flow-control window of an HTTP/2 connection in bytes.
    pub connection_window: u32,
    /// Maximum number of concurrent streams of an HTTP/2 connection.
    pub max_streams: u32,
    /// Whether the server adds the date to HTTP/2 answers. Daemons do not use
    /// it, and links between them are paid by the byte.
    pub dates: bool,
}

/// Protocols that a server accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1 or HTTP/2, detected from the first bytes of a connection.
    Any,
    /// HTTP/1.1 only, which needs less memory per connection.
    Http1,
}

impl Limits {
    /// Limits of connections from other daemons on an adapted platform. Such a
    /// request has a few more headers than its caller sent.
    pub const DAEMONS: Self = Self {
        max_connections: 65_536,
        head_timeout: IDLE_TIMEOUT,
        max_header_bytes: 4 * MAX_HEADER_BYTES,
        max_headers: 4 * MAX_HEADERS,
        protocol: Protocol::Any,
        max_resets: MAX_DAEMON_RESETS,
        stream_window: STREAM_WINDOW_BYTES,
        connection_window: CONNECTION_WINDOW_STREAMS * STREAM_WINDOW_BYTES,
        max_streams: MAX_STREAMS,
        dates: true,
    };

    /// Limits of connections from callers and from the platform on an adapted
    /// platform.
    ///
    /// The platform allows 16 KiB of headers unless the document sets a greater
    /// limit. The limit also bounds the read buffer of a connection.
    pub const CALLERS: Self = Self {
        max_header_bytes: 2 * MAX_HEADER_BYTES,
        protocol: Protocol::Http1,
        ..Self::DAEMONS
    };

    /// Returns the limits of a connection that is accepted now.
    ///
    /// On an adapted platform these are `adapted` with the limits of the
    /// document in force, otherwise the defaults with `max_connections`.
    pub fn current(context: &Context, adapted: Self, max_connections: usize) -> Self {
        if context.settings.adapter.is_none() {
            return Self::with_connections(max_connections);
        }
        let snapshot = context.config.snapshot();
        match snapshot.and_then(|snapshot| snapshot.document.limits) {
            Some(document) => adapted.with_document(&document),
            None => adapted,
        }
    }

    /// Returns these limits, adjusted to the limits of a document. The library
    /// has one timeout for an idle connection and for the head of a request, so
    /// the longer of the two applies to both.
    fn with_document(self, document: &document::Limits) -> Self {
        let head = Duration::from_millis(document.header_ms.max(document.idle_ms).into());
        Self {
            // Both are 0 in a document that sets no timeouts.
            head_timeout: if head.is_zero() {
                self.head_timeout
            } else {
                head
            },
            // Twice the configured size leaves room for the request line and
            // for the headers that a daemon adds.
            max_header_bytes: document
                .header_bytes
                .saturating_mul(2)
                .max(self.max_header_bytes),
            ..self
        }
    }

    /// Returns the default limits, with at most `max_connections` connections
    /// from one address.
    pub fn with_connections(max_connections: usize) -> Self {
        Self {
            max_connections,
            head_timeout: HEAD_TIMEOUT,
            max_header_bytes: MAX_HEADER_BYTES,
            max_headers: MAX_HEADERS,
            protocol: Protocol::Any,
            max_resets: MAX_RESETS,
            stream_window: STREAM_WINDOW_BYTES,
            connection_window: CONNECTION_WINDOW_STREAMS * STREAM_WINDOW_BYTES,
            max_streams: MAX_STREAMS,
            dates: true,
        }
    }

    /// Returns these limits, adjusted to a peer that is no host of the
    /// deployment. A new host, which is not listed yet, needs few streams.
    pub(super) fn for_stranger(self) -> Self {
        self.for_caller(STRANGER_STREAMS)
    }

    /// Returns these limits, adjusted to a peer that the operators do not
    /// control, with at most `max_streams` concurrent HTTP/2 streams.
    pub(super) fn for_caller(self, max_streams: u32) -> Self {
        Self {
            connection_window: SHARED_WINDOW_STREAMS * self.stream_window,
            max_streams,
            ..self
        }
    }

    /// Returns these limits, adjusted to a port that only daemons use. The rate
    /// of the host's link is `link_mbps` megabits per second; 0 if unknown.
    pub fn for_daemons(self, link_mbps: u32) -> Self {
        Self {
            max_resets: MAX_DAEMON_RESETS,
            stream_window: stream_window(link_mbps),
            dates: false,
            ..self
        }
    }
}

/// Returns whether request bodies can saturate a link of `mbps` megabits per
/// second; 0 if the rate is unknown.
pub fn bodies_can_saturate(mbps: u32) -> bool {
    (1..MEDIUM_LINK_MBPS).contains(&mbps)
}

/// Returns the stream window in bytes for a link of `mbps` megabits per second;
/// 0 if the rate is unknown.
pub fn stream_window(mbps: u32) -> u32 {
    match mbps {
        1..SLOW_LINK_MBPS => SLOW_LINK_WINDOW_BYTES,
        SLOW_LINK_MBPS..MEDIUM_LINK_MBPS => MEDIUM_LINK_WINDOW_BYTES,
        _ => STREAM_WINDOW_BYTES,
    }
}

/// Returns the builder of connections with `limits`.
pub(super) fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if limits.protocol == Protocol::Http1 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(SERVER_PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(limits.stream_window)
        .initial_connection_window_size(limits.connection_window)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_header_list_size(limits.max_header_bytes)
        .max_pending_accept_reset_streams(limits.max_resets)
        .max_local_error_reset_streams(limits.max_resets)
        .max_concurrent_streams(limits.max_streams)
        .auto_date_header(limits.dates);
    builder
}
