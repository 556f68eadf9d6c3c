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

use futures::future::Either;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{Body, Packed};
use crate::intake::{Connection, Intake};
use drain::Drained;
use permit::{Open, Permit};
use pipeline::{Pipeline, Starter, Step};

mod drain;
mod limits;
mod permit;
mod pipeline;

pub use limits::{Limits, Protocol, STREAM_WINDOW_BYTES, bodies_can_saturate, stream_window};
pub use pipeline::{Early, Event, MAX_STARTED};

/// Time after `stop` for which a connection still accepts requests, so that
/// requests in transit are served. The library closes an idle connection
/// without reading what has arrived on it.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time for which a connection that is closed to make room may still send the
/// rest of an answer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

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
    serve_connections(listener, limits, None, stop, handle).await;
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
    serve_connections(listener, limits, Some(callers), stop, handle).await;
}

async fn serve_connections<L, H, F>(
    listener: TcpListener,
    limits: L,
    callers: Option<Callers>,
    stop: CancellationToken,
    handle: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let (early, intake) = match callers {
        Some(Callers { early, intake }) => (Some(early), Some(intake)),
        None => (None, None),
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
        let connection = match &intake {
            Some(intake) => match intake.open(peer.ip()) {
                Some(connection) => Some(connection),
                None => return,
            },
            None => None,
        };
        let _ = stream.set_nodelay(true);
        let early = match limits.protocol {
            Protocol::Any => None,
            Protocol::Http1 => early.clone(),
        };
        let starter = early.map(|early| Starter::new(early, peer, stop.clone(), handle.clone()));
        let pipeline = Pipeline::new(stream, starter);
        let served = serve_connection(
            pipeline,
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
    pipeline: Pipeline,
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
    let turns = pipeline.clone();
    let flow = connection_limit.as_ref().map(|limit| limit.flow().clone());
    let service = service_fn(move |request: Request<Incoming>| {
        seen.store(true, Ordering::Relaxed);
        let version = request.version();
        http2.store(version == Version::HTTP_2, Ordering::Relaxed);
        let started = turns.begin(&request);
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
            _ => Packed::wrap(Drained::wrap(body, turns.body_ended())),
        });
        let answer = match started {
            Some(answer) => Either::Left(answer),
            None => Either::Right(handle(request, peer)),
        };
        let stop = stopped.clone();
        let turns = turns.clone();
        async move {
            let mut answer = answer.await;
            if stop.is_cancelled() && version == Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            turns.end(&answer);
            if let Some(exchange) = exchange {
                answer = exchange.answer(answer);
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
    let no_room = async {
        match &connection_limit {
            Some(limit) => limit.closed().await,
            None => std::future::pending().await,
        }
    };
    let ended = tokio::select! {
        ended = drive(connection.as_mut(), &pipeline) => ended,
        idle = no_room => {
            if idle && request_seen.load(Ordering::Relaxed) {
                connection.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(FLUSH_TIMEOUT, drive(connection, &pipeline)).await;
            }
            return;
        }
        () = no_request => {
            log::debug!("closed a connection from {peer}: no request arrived within the head timeout");
            return;
        }
        () = closing => {
            connection.as_mut().graceful_shutdown();
            drive(connection, &pipeline).await
        }
    };
    if let Err(error) = ended {
        log_connection_error(peer, error.as_ref(), is_http2.load(Ordering::Relaxed));
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
