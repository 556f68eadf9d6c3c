//! Connections to other daemons, and the detection of silent ones.
//!
//! A connection that receives nothing while requests wait on it is treated as
//! silent, not as broken: on a slow link the answers to its pings queue behind
//! the bodies of requests. A silent connection gets no new requests, and the
//! requests on it continue.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{Extensions, Uri};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection,
    Connected,
    Connection,
    HttpConnector, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;
use tower::Service;

use crate::keepalive::{IDLE_TIMEOUT, PING_INTERVAL};

/// Time after which an unanswered ping makes a connection silent.
const PING_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte from the peer after which a connection is silent. A peer
/// that answers pings sends something at least once per [`PING_INTERVAL`].
pub const SILENCE_TIMEOUT: Duration = PING_INTERVAL.saturating_add(PING_ANSWER_TIMEOUT);
/// Time without a byte after which a connection without requests is closed. The
/// pool no longer hands out a connection this long after its last request.
const UNUSED_TIMEOUT: Duration = SILENCE_TIMEOUT.saturating_add(IDLE_TIMEOUT);
/// Minimum rate, in bytes per second, at which written bytes are assumed to
/// reach the peer: an eighth of a 7 Mbit/s link. The answer to a ping is late
/// only after the bytes written since the last read could have passed.
const MIN_BYTES_PER_SECOND: u64 = 109_000;
/// Interval between two checks of a silent connection.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When one connection last received bytes, and what was sent since.
#[derive(Clone, Debug)]
struct Activity(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    peer: Uri,
    start: Instant,
    /// When bytes were last received from the peer, microseconds since `start`.
    read_us: AtomicU64,
    /// When the connection last began to have waiting requests, microseconds
    /// since `start`. Without requests the peer has nothing to answer.
    waiting_since_us: AtomicU64,
    /// Bytes written since the last read.
    written_bytes: AtomicU64,
    /// Number of requests that wait for the head of their answer.
    waiting: AtomicUsize,
    /// Whether the silence was logged.
    logged: AtomicBool,
    /// When the newest connection to the peer that received bytes was opened.
    newest_opened_us: Timestamp,
}

/// Shared time at which a connection was opened, microseconds since the start
/// of the [`Connector`].
type Timestamp = Arc<AtomicU64>;

impl Activity {
    /// Records that this connection, which was opened at `opened_us`, received
    /// bytes.
    fn record_read(&self, opened_us: u64) {
        let now_us = self.0.start.elapsed().as_micros() as u64;
        self.0.read_us.store(now_us, Ordering::Relaxed);
        self.0.written_bytes.store(0, Ordering::Relaxed);
        self.0
            .newest_opened_us
            .fetch_max(opened_us, Ordering::Relaxed);
    }

    /// Records that `bytes` bytes were written.
    fn record_write(&self, bytes: usize) {
        self.0
            .written_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the time until the connection is silent if no bytes are
    /// received; `None` if it is silent already.
    fn time_left(&self) -> Option<Duration> {
        let written = self.0.written_bytes.load(Ordering::Relaxed);
        let transfer_time = Duration::from_millis(written * 1_000 / MIN_BYTES_PER_SECOND);
        let remaining = (SILENCE_TIMEOUT + transfer_time).saturating_sub(self.silence());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns how long requests have waited without a byte from the peer.
    fn silence(&self) -> Duration {
        let read_us = self.0.read_us.load(Ordering::Relaxed);
        let since_us = read_us.max(self.0.waiting_since_us.load(Ordering::Relaxed));
        let since = Duration::from_micros(since_us);
        self.0.start.elapsed().saturating_sub(since)
    }

    /// Returns whether no request waits for an answer.
    fn is_idle(&self) -> bool {
        self.0.waiting.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the peer sent bytes over a connection that was opened
    /// after this one last received any.
    fn is_superseded(&self) -> bool {
        self.0.newest_opened_us.load(Ordering::Relaxed) > self.0.read_us.load(Ordering::Relaxed)
    }

    /// Logs, once per connection, that it is silent.
    fn log_silence(&self) {
        if !self.0.logged.swap(true, Ordering::Relaxed) {
            let silent_ms = self.silence().as_millis() as u64;
            log::warn!(
                target: "dependency", dependency = "peer", outcome = "silent",
                peer:display = self.0.peer, silent_ms = silent_ms;
                "connection to the peer is silent; new requests use another one"
            );
        }
    }
}

/// Watches the connection of one request for silence.
#[derive(Debug, Default)]
pub struct Monitor {
    /// Notified when the connection becomes silent.
    pub silent: Notify,
    /// Whether to cancel the request when its connection is silent while a
    /// newer one to the same daemon works. Only requests that can be retried
    /// gain from that.
    pub cancel_when_superseded: bool,
}

impl Monitor {
    /// Watches the connection of a request; returns when the request must be
    /// cancelled.
    pub(super) async fn cancelled(&self, mut connection: CaptureConnection) {
        let activity = {
            let connected = connection.wait_for_connection_metadata().await;
            connected.as_ref().and_then(activity_of)
        };
        let Some(activity) = activity else {
            return std::future::pending().await;
        };
        let _guard = Guard::begin(&activity);
        let (mut checks, mut silent) = (0, false);
        loop {
            if let Some(time_left) = activity.time_left() {
                checks = 0;
                tokio::time::sleep(time_left).await;
                continue;
            }
            checks += 1;
            // After a pause of this process, timers can fire before the bytes
            // that arrived meanwhile are read, so one check is not enough.
            if checks == 2 && !silent {
                silent = true;
                activity.log_silence();
                if let Some(connected) = connection.connection_metadata().as_ref() {
                    connected.poison();
                }
                self.silent.notify_one();
            }
            if silent && self.cancel_when_superseded && activity.is_superseded() {
                return;
            }
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }
}

/// Counts a request as waiting on a connection until dropped.
struct Guard(Activity);

impl Guard {
    fn begin(activity: &Activity) -> Self {
        if activity.0.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            let now_us = activity.0.start.elapsed().as_micros() as u64;
            activity.0.waiting_since_us.store(now_us, Ordering::Relaxed);
        }
        Self(activity.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the activity that [`Link`] attached to its connection.
fn activity_of(connected: &Connected) -> Option<Activity> {
    let mut extensions = Extensions::new();
    connected.get_extras(&mut extensions);
    extensions.remove::<Activity>()
}

/// Opens connections that record what they receive.
#[derive(Clone, Debug)]
pub(super) struct Connector {
    inner: HttpConnector,
    start: Instant,
    /// When the newest working connection to each peer was opened.
    peers: Arc<Mutex<HashMap<Uri, Timestamp>>>,
}

impl Connector {
    pub(super) fn new(inner: HttpConnector) -> Self {
        Self {
            inner,
            start: Instant::now(),
            peers: Arc::default(),
        }
    }

    /// Creates the record of a connection to `peer` that was opened at
    /// `opened_us`.
    fn new_activity(&self, peer: Uri, opened_us: u64) -> Activity {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        // An entry that no connection shares any more belongs to a peer without
        // connections.
        peers.retain(|_, newest_opened_us| Arc::strong_count(newest_opened_us) > 1);
        let newest_opened_us = Arc::clone(peers.entry(peer.clone()).or_default());
        Activity(Arc::new(Inner {
            peer,
            start: self.start,
            read_us: AtomicU64::new(opened_us),
            waiting_since_us: AtomicU64::new(opened_us),
            written_bytes: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            logged: AtomicBool::new(false),
            newest_opened_us,
        }))
    }
}

impl Service<Uri> for Connector {
    type Response = Link;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Link, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<Uri>::poll_ready(&mut self.inner, cx)
    }

    fn call(&mut self, peer: Uri) -> Self::Future {
        let connecting = self.inner.call(peer.clone());
        let connector = self.clone();
        Box::pin(async move {
            let stream = connecting.await?;
            let opened_us = connector.start.elapsed().as_micros() as u64;
            Ok(Link {
                stream,
                opened_us,
                activity: connector.new_activity(peer, opened_us),
                next_check: Box::pin(tokio::time::sleep(SILENCE_TIMEOUT)),
            })
        })
    }
}

/// A connection to another daemon.
#[derive(Debug)]
pub(super) struct Link {
    stream: TokioIo<TcpStream>,
    opened_us: u64,
    activity: Activity,
    /// Fires when the connection is checked next.
    next_check: Pin<Box<Sleep>>,
}

impl Link {
    /// Fails with `TimedOut` if no request waits on the connection and it has
    /// received nothing for [`UNUSED_TIMEOUT`].
    fn poll_unused(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.next_check.as_mut().poll(cx));
        let remaining = UNUSED_TIMEOUT.saturating_sub(self.activity.silence());
        if remaining.is_zero() && self.activity.is_idle() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let next = Instant::now() + remaining.max(PING_INTERVAL);
        self.next_check.as_mut().reset(next.into());
        // Polling registers the waker with the reset timer.
        let _ = self.next_check.as_mut().poll(cx);
        Poll::Pending
    }
}

impl Connection for Link {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.activity.clone())
    }
}

impl Read for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if Pin::new(&mut self.stream)
            .poll_read(cx, buffer)?
            .is_pending()
        {
            return self.poll_unused(cx);
        }
        self.activity.record_read(self.opened_us);
        Poll::Ready(Ok(()))
    }
}

impl Write for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.activity.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        self.activity.record_write(written);
        Poll::Ready(Ok(written))
    }
}
