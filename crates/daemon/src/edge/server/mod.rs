//! HTTP server that all listening edges share.

use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use savorylane_intent::document;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{Body, Packed};
use crate::intake::{Connection, Intake};
use crate::keepalive::{PING_TIMEOUT, SERVER_PING_INTERVAL};
use crate::kernel::Context;
use drain::Drained;

mod drain;

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
/// Number of stream windows that the window of an HTTP/2 connection holds: 64
/// uploads can wait for a slot before they block the uploads that have one.
const CONNECTION_WINDOW_STREAMS: u32 = 64;
/// Maximum number of headers of a request. Upstreams commonly accept 100, and
/// the daemon adds a few. Without the margin, a request near that limit would
/// pass the daemon and be refused by the upstream.
const MAX_HEADERS: usize = 90;
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
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

/// Time after `stop` for which a connection still accepts requests, so that
/// requests in transit are served. The library closes an idle connection
/// without reading what has arrived on it.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time for which a connection that is closed to make room may still send the
/// rest of an answer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

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
        }
    }

    /// Returns these limits, adjusted to a port that only daemons use. The rate
    /// of the host's link is `link_mbps` megabits per second; 0 if unknown.
    pub fn for_daemons(self, link_mbps: u32) -> Self {
        Self {
            max_resets: MAX_DAEMON_RESETS,
            stream_window: stream_window(link_mbps),
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

/// Serves HTTP/1.1 and HTTP/2 until `stop`. Then answers all requests that have
/// arrived, and returns once every connection is closed.
///
/// `limits` is called for each accepted connection, whose limits do not change
/// later.
pub async fn serve<L, H, F>(listener: TcpListener, limits: L, stop: CancellationToken, handle: H)
where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_limited(listener, limits, None, stop, handle).await;
}

/// Serves as [`serve`] does, with the limits of `intake` on all connections
/// together.
pub async fn serve_limited<L, H, F>(
    listener: TcpListener,
    limits: L,
    intake: Option<Arc<Intake>>,
    stop: CancellationToken,
    handle: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let open: Arc<Mutex<HashMap<IpAddr, usize>>> = Arc::default();
    let accept = |stream: TcpStream, peer: SocketAddr| {
        let limits = limits();
        let Some(permit) = Permit::acquire(&open, peer.ip(), limits.max_connections) else {
            log::warn!(
                "refused a connection from {}: limit of open connections from one address reached",
                peer.ip()
            );
            return;
        };
        let connection = match &intake {
            Some(intake) => match intake.open(peer.ip()) {
                Some(connection) => Some(connection),
                None => return,
            },
            None => None,
        };
        let _ = stream.set_nodelay(true);
        let served = serve_connection(
            stream,
            peer,
            limits,
            connection,
            stop.clone(),
            handle.clone(),
        );
        connections.spawn(async move {
            let _permit = permit;
            served.await;
        });
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => accept(stream, peer),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    if let Some(intake) = &intake {
                        intake.close_longest();
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            () = stop.cancelled() => break,
        }
    }
    // Closing the listener would reset the connections in its accept queue.
    match accept_pending(listener) {
        Ok(pending) => pending
            .into_iter()
            .for_each(|(stream, peer)| accept(stream, peer)),
        Err(error) => {
            log::warn!("cannot accept the connections that are pending at the stop: {error}")
        }
    }
    connections.close();
    connections.wait().await;
}

/// Accepts all connections in the operating system's accept queue and closes
/// the listener. The async runtime may not have been notified of them yet.
fn accept_pending(listener: TcpListener) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut accepted = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                accepted.push((TcpStream::from_std(stream)?, peer));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(accepted),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                return Ok(accepted);
            }
        }
    }
}

/// Serves one connection until it ends or, after `stop`, until its accepted
/// requests are answered.
async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    connection_limit: Option<Connection>,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Body>, SocketAddr) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let request_seen = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&request_seen);
    let is_http2 = Arc::new(AtomicBool::new(false));
    let http2 = Arc::clone(&is_http2);
    let stopped = stop.clone();
    let flow = connection_limit.as_ref().map(|limit| limit.flow().clone());
    let service = service_fn(move |request: Request<Incoming>| {
        seen.store(true, Ordering::Relaxed);
        let version = request.version();
        http2.store(version == Version::HTTP_2, Ordering::Relaxed);
        let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
        let (request, exchange) = match &flow {
            Some(flow) => {
                let (request, exchange) = flow.begin(request);
                (request, Some(exchange))
            }
            None => (request, None),
        };
        let request = request.map(|body| match version {
            Version::HTTP_2 => body,
            _ => Packed::wrap(Drained::wrap(body)),
        });
        let answer = handle(request, peer);
        let stop = stopped.clone();
        async move {
            let mut answer = answer.await;
            if stop.is_cancelled() && version == Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            if let Some(exchange) = exchange {
                answer = exchange.answer(answer);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = builder(&limits);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The library's timeout starts only after it has detected the protocol, so
    // a connection that sends nothing would hold its permit forever.
    let no_request = async {
        tokio::time::sleep(limits.head_timeout).await;
        if request_seen.load(Ordering::Relaxed) {
            std::future::pending().await
        }
    };
    let closing = async {
        stop.cancelled().await;
        tokio::time::sleep(STOP_GRACE).await;
    };
    let no_room = async {
        match &connection_limit {
            Some(limit) => limit.closed().await,
            None => std::future::pending().await,
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        idle = no_room => {
            if idle && request_seen.load(Ordering::Relaxed) {
                connection.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(FLUSH_TIMEOUT, connection).await;
            }
            return;
        }
        () = no_request => {
            log::debug!("closed a connection from {peer}: no request arrived within the head timeout");
            return;
        }
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log_connection_error(peer, error.as_ref(), is_http2.load(Ordering::Relaxed));
    }
}

/// Logs that a connection ended with an error.
///
/// An unanswered keep-alive ping aborts all requests on the connection and is
/// logged as a warning. The ping timeout bounds the rate of these warnings.
fn log_connection_error(peer: SocketAddr, error: &(dyn Error + 'static), is_http2: bool) {
    let timed_out = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout);
    if timed_out && is_http2 {
        log::warn!(
            target: "dependency", dependency = "peer", outcome = "lost", peer:display = peer;
            "closed a connection: the peer did not answer a keep-alive ping in time"
        );
    } else {
        log::debug!("a connection from {peer} ended with an error: {error}");
    }
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
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
        .initial_connection_window_size(CONNECTION_WINDOW_STREAMS * STREAM_WINDOW_BYTES)
        .max_header_list_size(limits.max_header_bytes)
        .max_pending_accept_reset_streams(limits.max_resets)
        .max_local_error_reset_streams(limits.max_resets)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// Permit for one connection, which counts against the limit of its address.
struct Permit {
    open: Arc<Mutex<HashMap<IpAddr, usize>>>,
    address: IpAddr,
}

impl Permit {
    fn acquire(
        open: &Arc<Mutex<HashMap<IpAddr, usize>>>,
        address: IpAddr,
        max: usize,
    ) -> Option<Self> {
        let mut counts = open.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(address).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Self {
            open: Arc::clone(open),
            address,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
            }
        }
    }
}
