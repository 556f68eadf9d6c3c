//! HTTP server that all listening edges share.

use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{Body, Packed};
use crate::intake::Intake;
use crate::quota::Quota;
use drain::Drained;
use guard::{Admission, Guard, Peers};
use permit::{Open, Permit};
use pipeline::{Pipeline, Starter, Step};

mod drain;
mod guard;
mod limits;
mod permit;
mod pipeline;

pub use limits::{
    Limits,
    Protocol,
    SEND_BUFFER_BYTES,
    STREAM_WINDOW_BYTES,
    bodies_can_saturate,
    stream_window, //
};
pub use pipeline::{Early, Event, MAX_STARTED};

/// Time after `stop` for which a connection still accepts requests, so that
/// requests in transit are served. The library closes an idle connection
/// without reading what has arrived on it.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time for which a connection that is closed to make room may still send the
/// rest of an answer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a connection that the server has ended waits for its peer to
/// close it, several round trips on a link with full queues.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves HTTP/1.1 and HTTP/2 until `stop`. Then answers all requests that have
/// arrived, and returns once every connection is closed.
///
/// `limits` is called for each accepted connection, whose limits do not change
/// later. `quota` limits what all connections hold together.
pub async fn serve<L, H, F>(
    listener: TcpListener,
    limits: L,
    quota: Arc<Quota>,
    stop: CancellationToken,
    handle: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_connections(listener, limits, Peers::Others(quota), stop, handle).await;
}

/// What a server of callers needs beyond that of other peers.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Rules for pipelined requests that start before their turn, on connections
    /// that accept only HTTP/1.1.
    pub early: Arc<Early>,
    /// Limits of all connections together.
    pub intake: Arc<Intake>,
}

/// Serves callers as [`serve`] does, with the limits and rules of `callers`.
pub async fn serve_callers<L, H, F>(
    listener: TcpListener,
    limits: L,
    callers: Callers,
    stop: CancellationToken,
    handle: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_connections(listener, limits, Peers::Callers(callers), stop, handle).await;
}

async fn serve_connections<L, H, F>(
    listener: TcpListener,
    limits: L,
    peers: Peers,
    stop: CancellationToken,
    handle: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    // A window that was advertised cannot be taken back, so that a connection
    // starts with the smallest one. It is widened when it is accepted.
    if let Some(bytes) = peers.first_receive_bytes() {
        set_receive_bytes(SockRef::from(&listener), bytes);
    }
    let early = match &peers {
        Peers::Callers(callers) => Some(Arc::clone(&callers.early)),
        Peers::Others(_) => None,
    };
    let open = Open::default();
    let accept = |stream: TcpStream, peer: SocketAddr| {
        let limits = limits();
        let Some(permit) = Permit::acquire(&open, peer.ip(), limits.max_connections) else {
            log::warn!(
                "refused a connection from {}: limit of open connections from one address reached",
                peer.ip()
            );
            return;
        };
        let Some(guard) = peers.open(peer.ip()) else {
            return;
        };
        let limits = guard.limits(limits);
        let _ = stream.set_nodelay(true);
        if let Some(bytes) = guard.receive_bytes() {
            set_receive_bytes(SockRef::from(&stream), bytes);
        }
        let early = match limits.protocol {
            Protocol::Any => None,
            Protocol::Http1 => early.clone(),
        };
        let starter = early.map(|early| Starter::new(early, peer, stop.clone(), handle.clone()));
        let pipeline = Pipeline::new(stream, starter, guard.reader());
        let served = serve_connection(pipeline, peer, limits, guard, stop.clone(), handle.clone());
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
                    peers.close_one();
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

/// Limits the bytes that the operating system receives for a socket before they
/// are read.
fn set_receive_bytes(socket: SockRef<'_>, bytes: usize) {
    if let Err(error) = socket.set_recv_buffer_size(bytes) {
        log::warn!("cannot limit what is received for a connection: {error}");
    }
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
    pipeline: Pipeline,
    peer: SocketAddr,
    limits: Limits,
    guard: Guard,
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
    let turns = pipeline.clone();
    let flow = guard.flow();
    let unsent = pipeline.unsent();
    let service = service_fn(move |request: Request<Incoming>| {
        seen.store(true, Ordering::Relaxed);
        let version = request.version();
        http2.store(version == Version::HTTP_2, Ordering::Relaxed);
        let started = turns.begin(&request);
        let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
        let (answer, exchange) = match flow.begin(request) {
            Admission::Admitted(request, exchange) => {
                let request = request.map(|body| match version {
                    Version::HTTP_2 => body,
                    _ => Packed::wrap(Drained::wrap(body, turns.body_ended())),
                });
                let answer = match started {
                    Some(answer) => answer,
                    None => handle(request, peer).boxed(),
                };
                (answer, Some(exchange))
            }
            Admission::Refused(refusal) => (std::future::ready(refusal).boxed(), None),
        };
        let stop = stopped.clone();
        // The streams of HTTP/2 run in tasks of their own, which must not keep
        // the connection open.
        let turns = (version != Version::HTTP_2).then(|| turns.clone());
        let unsent = unsent.clone();
        async move {
            let mut answer = answer.await;
            if let Some(turns) = turns {
                let is_last = stop.is_cancelled() && !turns.has_started();
                if is_last && version == Version::HTTP_11 {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(CONNECTION, close);
                }
                turns.end(&answer);
            }
            if let Some(exchange) = exchange {
                answer = exchange.answer(answer, &unsent);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = limits::builder(&limits);
    let mut connection = pin!(builder.serve_connection(pipeline.stream(), service));
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
    let ended = tokio::select! {
        ended = drive(connection.as_mut(), &pipeline) => ended,
        idle = guard.closed() => {
            if idle && request_seen.load(Ordering::Relaxed) {
                connection.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(FLUSH_TIMEOUT, drive(connection, &pipeline)).await;
            } else {
                pipeline.reset();
            }
            return;
        }
        () = no_request => {
            log::debug!("closed a connection from {peer}: no request arrived within the head timeout");
            return;
        }
        () = closing => {
            // The library closes the connection after the current answer.
            tokio::select! {
                ended = drive(connection.as_mut(), &pipeline) => ended,
                () = pipeline.begun() => {
                    connection.as_mut().graceful_shutdown();
                    drive(connection, &pipeline).await
                }
            }
        }
    };
    let is_http2 = is_http2.load(Ordering::Relaxed);
    match ended {
        // A peer closes the connection after GOAWAY or an answer that says so.
        // One of HTTP/1.1 may keep an idle connection that the server has ended.
        Ok(()) if is_http2 || pipeline.has_ended() => {
            let _ = tokio::time::timeout(LINGER_TIMEOUT, pipeline.linger()).await;
        }
        Ok(()) => {}
        Err(error) => log_connection_error(peer, error.as_ref(), is_http2),
    }
}

/// Drives a connection and the requests that were started before their turn.
/// Returns when the connection ends, also if the caller closes it while the
/// library does not read.
async fn drive<C>(mut connection: Pin<&mut C>, pipeline: &Pipeline) -> C::Output
where
    C: Future<Output = Result<(), Box<dyn Error + Send + Sync>>>,
{
    poll_fn(|cx| {
        loop {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            match pipeline.poll(cx) {
                Step::Wait => return Poll::Pending,
                Step::Again => {}
                Step::End => return Poll::Ready(Ok(())),
            }
        }
    })
    .await
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
