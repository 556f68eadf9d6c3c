//! HTTP server that the caller and data edges share.

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
use crate::keepalive::{PING_TIMEOUT, SERVER_PING_INTERVAL};
use crate::kernel::Context;
use drain::Drained;

mod drain;

/// Time in which a caller must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The same on the adapted platform, while no document says how long callers
/// may keep a connection idle; the library counts that time as the head's.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of all headers of a request, bytes.
const MAX_HEADER_BYTES: u32 = 16_384;
/// Window of one HTTP/2 stream, bytes. This much of a body is on the way before
/// the gatekeeper admits or refuses its request. A body passes at one window a
/// round trip: 400 KB a second to another region.
pub const STREAM_WINDOW_BYTES: u32 = 16_384;
/// The same on a thin link, where room for a large body is reserved before it
/// is sent: two or three of them fill the link from another region.
const MEDIUM_LINK_WINDOW_BYTES: u32 = 65_536;
/// The same on a slow link, on which a larger one would hold up what is small.
const SLOW_LINK_WINDOW_BYTES: u32 = 32_768;
/// Rates of a link below which it is slow and thin, megabits a second.
const SLOW_LINK_MBPS: u32 = 20;
const MEDIUM_LINK_MBPS: u32 = 200;
/// Streams that fill the window of one HTTP/2 connection: 64 uploads can wait
/// for a slot before they hold up those that have one.
const CONNECTION_WINDOW_STREAMS: u32 = 64;
/// Headers of a request. Upstreams commonly accept 100, and the daemon adds a
/// few; a request at the upstream's bound would be refused there only.
const MAX_HEADERS: usize = 90;
/// Streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
/// Streams that a peer of no trust may reset before they are looked at.
const MAX_RESETS: usize = 20;
/// The same for daemons. What waits on a full link arrives at once, with the
/// resets of all callers that went away meanwhile; beyond the limit the library
/// closes the connection, with all requests on it.
const MAX_DAEMON_RESETS: usize = 16 * MAX_STREAMS as usize;

/// Time after the stop in which requests that are on their way are still taken.
/// The library closes a connection between two requests without a look at what
/// arrived on it.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Bounds of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that one address may open.
    pub max_connections: usize,
    /// Time in which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Size of all headers of a request, bytes.
    pub max_header_bytes: u32,
    /// Headers of a request.
    pub max_headers: usize,
    /// Protocols that are spoken.
    pub protocol: Protocol,
    /// Streams of HTTP/2 that may be reset before they are looked at.
    pub max_resets: usize,
    /// Window of one stream of HTTP/2, bytes.
    pub stream_window: u32,
}

/// Protocols of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1 or HTTP/2, as the peer begins.
    Any,
    /// HTTP/1.1 only; a connection takes less memory.
    Http1,
}

impl Limits {
    /// Limits towards other daemons of the adapted platform and the platform
    /// itself. A request takes a few more headers there than its caller sent.
    pub const DAEMONS: Self = Self {
        max_connections: 65_536,
        head_timeout: IDLE_TIMEOUT,
        max_header_bytes: 4 * MAX_HEADER_BYTES,
        max_headers: 4 * MAX_HEADERS,
        protocol: Protocol::Any,
        max_resets: MAX_DAEMON_RESETS,
        stream_window: STREAM_WINDOW_BYTES,
    };

    /// Limits towards callers of the adapted platform. Headers take up to
    /// 16 KiB there unless the document says more; what a connection reads at
    /// once is bounded by this too.
    pub const CALLERS: Self = Self {
        max_header_bytes: 2 * MAX_HEADER_BYTES,
        protocol: Protocol::Http1,
        ..Self::DAEMONS
    };

    /// Returns the limits of a connection that is accepted now: on the adapted
    /// platform `adapted` with what the document in force says of callers, and
    /// elsewhere the product's own for `connections` of one address.
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

    /// Returns these limits with what a document says of callers. The library
    /// has one time for an idle connection and for a head that arrives, so the
    /// longer one bounds both.
    fn with_document(self, document: &document::Limits) -> Self {
        let head = Duration::from_millis(document.header_ms.max(document.idle_ms).into());
        Self {
            // A document without these times gives none to close by.
            head_timeout: if head.is_zero() {
                self.head_timeout
            } else {
                head
            },
            // Two heads of the configured size fit, for what stands beside the
            // headers: the request line and what a daemon adds.
            max_header_bytes: document
                .header_bytes
                .saturating_mul(2)
                .max(self.max_header_bytes),
            ..self
        }
    }

    /// Returns the product's own limits for `connections` connections of one
    /// address.
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

    /// Returns these limits for a port that only daemons use, on a link of
    /// `link_mbps` megabits a second; 0 if that is not known.
    pub fn for_daemons(self, link_mbps: u32) -> Self {
        Self {
            max_resets: MAX_DAEMON_RESETS,
            stream_window: stream_window(link_mbps),
            ..self
        }
    }
}

/// Returns whether bodies of requests can fill a link of `mbps` megabits a
/// second; 0 if that is not known.
pub fn bodies_can_saturate(mbps: u32) -> bool {
    (1..MEDIUM_LINK_MBPS).contains(&mbps)
}

/// Returns the window of a stream on a link of `mbps` megabits a second; 0 if
/// that is not known.
pub fn stream_window(mbps: u32) -> u32 {
    match mbps {
        1..SLOW_LINK_MBPS => SLOW_LINK_WINDOW_BYTES,
        SLOW_LINK_MBPS..MEDIUM_LINK_MBPS => MEDIUM_LINK_WINDOW_BYTES,
        _ => STREAM_WINDOW_BYTES,
    }
}

/// Serves HTTP/1.1 and HTTP/2 until `stop`, then answers the requests that
/// arrived and waits until each connection has answered what it took.
///
/// A connection keeps the limits that `limits` returns when it is accepted.
pub async fn serve<L, H, F>(listener: TcpListener, limits: L, stop: CancellationToken, handle: H)
where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let open: Arc<Mutex<HashMap<IpAddr, usize>>> = Arc::default();
    let accept = |stream: TcpStream, peer: SocketAddr| {
        let limits = limits();
        let Some(permit) = Permit::acquire(&open, peer.ip(), limits.max_connections) else {
            log::warn!("refused a connection of {}: it has too many", peer.ip());
            return;
        };
        let _ = stream.set_nodelay(true);
        let served = serve_connection(stream, peer, limits, stop.clone(), handle.clone());
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
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            () = stop.cancelled() => break,
        }
    }
    // Closing the port resets the connections that the kernel holds for it.
    match accept_pending(listener) {
        Ok(pending) => pending
            .into_iter()
            .for_each(|(stream, peer)| accept(stream, peer)),
        Err(error) => log::warn!("cannot accept the last connections: {error}"),
    }
    connections.close();
    connections.wait().await;
}

/// Accepts what the kernel holds, which the runtime may not know of yet, and
/// closes the port.
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

/// Serves one connection until it ends or, after `stop`, until what it took is
/// answered.
async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
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
    let service = service_fn(move |request: Request<Incoming>| {
        seen.store(true, Ordering::Relaxed);
        let version = request.version();
        http2.store(version == Version::HTTP_2, Ordering::Relaxed);
        let request = request.map(|body| {
            let body = body.map_err(Into::into).boxed_unsync();
            match version {
                Version::HTTP_2 => body,
                _ => Packed::wrap(Drained::wrap(body)),
            }
        });
        let answer = handle(request, peer);
        let stop = stopped.clone();
        async move {
            let mut answer = answer.await;
            if stop.is_cancelled() && version == Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = builder(&limits);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The library's limit starts once it knows the protocol, so a silent
    // connection would hold its permit for ever.
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
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = no_request => {
            log::debug!("a connection of {peer} was closed: it sent no request in time");
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

/// Writes the line of a connection that ended with an error. One that was
/// closed since the peer answered no ping cuts all requests on it, and takes
/// the time of a ping at least, so these lines are bounded.
fn log_connection_error(peer: SocketAddr, error: &(dyn Error + 'static), is_http2: bool) {
    let timed_out = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout);
    if timed_out && is_http2 {
        log::warn!(
            target: "dependency", dependency = "peer", outcome = "lost", peer:display = peer;
            "the peer answered no keep-alive ping in time; its connection was closed"
        );
    } else {
        log::debug!("a connection of {peer} ended: {error}");
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

/// Permit for one connection in the count of its address.
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
