//! Edge towards the host's upstream.

mod abort;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, Uri, uri};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_platform::header as platform;
use savorylane_wire::header;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body, Packed};
use crate::call::Call;
use crate::kernel::{Context, Plugin};
use abort::{Connector, Guard};

/// Idle connections are not reused after this time: they may have gone silent,
/// and a new one costs about 1 ms.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a connection to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that a connection reads at once, at most. The library would keep room
/// for ten times as much on each connection.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Why no answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    Connect,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The upstream sent bytes that are no answer to a request that may have
    /// been sent.
    Malformed,
}

/// Says whether an answer or its body failed because of the bytes that came,
/// on a connection that the upstream had not closed.
pub fn is_malformed(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let head = error.downcast_ref::<hyper::Error>();
        let body = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if head.is_some_and(hyper::Error::is_parse)
            || matches!(
                body,
                Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
            )
        {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Client of the host's upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    address: SocketAddr,
    client: Client<Connector, Body>,
}

impl Upstream {
    /// Returns a client of the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(Connector(connector));
        Self { address, client }
    }

    /// Sends a call and returns the answer's head with a streamed body.
    ///
    /// # Errors
    ///
    /// Returns whether the request was certainly not sent.
    pub async fn send(&self, call: &Call, body: Body) -> Result<Response<Body>, Failure> {
        let mut request = Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = absolute_uri(self.address, &call.uri);
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        let remaining = call.remaining(Instant::now());
        if let Some(path) = &call.path {
            platform::write_request(headers, remaining, &path.origin, &path.instance);
            return self.exchange(request).await;
        }
        let remaining = remaining.as_millis() as u64;
        headers.insert(header::TIMEOUT_MS, HeaderValue::from(remaining.max(1)));
        headers.insert(header::DEPTH, HeaderValue::from(call.depth + 1));
        if let Some(attempts_left) = call.attempts_left {
            headers.insert(header::ATTEMPTS_LEFT, HeaderValue::from(attempts_left));
        }
        self.exchange(request).await
    }

    async fn exchange(&self, mut request: Request<Body>) -> Result<Response<Body>, Failure> {
        let connection = capture_connection(&mut request);
        let guard = Guard::new(connection.clone());
        match self.client.request(request).await {
            Ok(mut answer) => {
                answer.extensions_mut().insert(connection);
                let wrap = |body| Packed::wrap(guard.watch(body));
                Ok(answer.map(|body| wrap(body.map_err(Into::into).boxed_unsync())))
            }
            Err(error) if error.is_connect() => Err(Failure::Connect),
            Err(error) => {
                log::debug!("request to the upstream failed: {error}");
                match is_malformed(&error) {
                    true => Err(Failure::Malformed),
                    false => Err(Failure::Broken),
                }
            }
        }
    }
}

impl Upstream {
    /// Says whether the health report at `path` tells that the upstream
    /// drains; `None` if there is no report.
    pub async fn fetch_draining(&self, path: &str) -> Option<bool> {
        let uri = format!("http://{}{path}", self.address).parse().ok()?;
        let mut request = Request::new(body::empty());
        *request.uri_mut() = uri;
        let answer = self.client.request(request).await.ok()?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE => Some(true),
            status if status.is_success() => Some(false),
            _ => None,
        }
    }

    /// Says whether the upstream takes a connection.
    pub async fn is_reachable(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.address);
        matches!(
            tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
            Ok(Ok(_))
        )
    }
}

/// Sees to it that the connection of an answer is not used again.
pub fn discard_connection(answer: &Response<Body>) {
    let connection = answer.extensions().get::<CaptureConnection>();
    if let Some(connection) = connection
        && let Some(connected) = connection.connection_metadata().as_ref()
    {
        connected.poison();
    }
}

inventory::submit! {
    Plugin { name: "upstream", order: 20, builtin: true, port: None, run }
}

fn run(
    context: Arc<Context>,
    _listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move { context.gatekeeper.tend(stop).await })
}

/// Returns the absolute form of `uri` at `address`.
///
/// # Panics
///
/// Never: an address and a path that was parsed make a valid URI.
pub fn absolute_uri(address: SocketAddr, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", uri::PathAndQuery::as_str);
    uri::Builder::new()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .expect("an address and a parsed path make a URI")
}
