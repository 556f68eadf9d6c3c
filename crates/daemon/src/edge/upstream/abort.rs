//! Connections to the upstream that can be aborted by the owner of a request.
//!
//! While bytes are available, the library keeps reading in its own loop and
//! notices late that the answer was dropped. An upstream that sends an endless
//! answer would occupy its connection, and the processor, beyond the deadline
//! of the request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::task::AtomicWaker;
use http::{Extensions, Uri};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection,
    Connected,
    Connection,
    HttpConnector, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower::Service;

use crate::body::{Body, Error};

/// Size of a body in bytes up to which the library reads the rest of a dropped
/// answer and keeps the connection.
const MAX_DRAINED_BYTES: u64 = 64 << 10;

/// Shared flag that aborts a connection.
#[derive(Clone, Debug, Default)]
struct Signal(Arc<State>);

/// State of a [`Signal`].
#[derive(Debug, Default)]
struct State {
    aborted: AtomicBool,
    /// Waker of the task that reads from the connection.
    reader: AtomicWaker,
}

impl Signal {
    fn abort(&self) {
        self.0.aborted.store(true, Ordering::Release);
        self.0.reader.wake();
    }

    fn is_aborted(&self) -> bool {
        self.0.aborted.load(Ordering::Acquire)
    }
}

/// Aborts the connection of a request if it is dropped before the end of the
/// answer.
#[derive(Debug)]
pub(super) struct Guard {
    connection: CaptureConnection,
    ended: bool,
}

impl Guard {
    /// Returns a guard for the connection on which a request is sent.
    pub(super) fn new(connection: CaptureConnection) -> Self {
        Self {
            connection,
            ended: false,
        }
    }

    /// Moves the guard into the body of an answer. Bodies of at most
    /// [`MAX_DRAINED_BYTES`] need no guard.
    pub(super) fn wrap(mut self, body: Body) -> Body {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size <= MAX_DRAINED_BYTES) {
            self.ended = true;
            return body;
        }
        let inner = body;
        Guarded { inner, guard: self }.boxed_unsync()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let connected = self.connection.connection_metadata();
        let Some(connected) = connected.as_ref() else {
            return;
        };
        let mut extensions = Extensions::new();
        connected.get_extras(&mut extensions);
        if let Some(signal) = extensions.remove::<Signal>() {
            signal.abort();
        }
    }
}

/// Body of an answer with the guard of its connection.
struct Guarded {
    inner: Body,
    guard: Guard,
}

impl http_body::Body for Guarded {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.inner.is_end_stream() {
            self.guard.ended = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Opens connections that can be aborted.
#[derive(Clone, Debug)]
pub(super) struct Connector(pub(super) HttpConnector);

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Stream, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<Uri>::poll_ready(&mut self.0, cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            Ok(Stream {
                stream: connecting.await?,
                signal: Signal::default(),
            })
        })
    }
}

/// A connection whose reads fail once it is aborted.
#[derive(Debug)]
pub(super) struct Stream {
    stream: TokioIo<TcpStream>,
    signal: Signal,
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.signal.clone())
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.signal.0.reader.register(cx.waker());
        if self.signal.is_aborted() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }
}
