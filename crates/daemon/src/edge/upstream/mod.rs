//! Edge to the host's upstream: the HTTP client, and the task that runs the
//! gatekeeper's timers.

mod abort;
mod cut;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, Uri, uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_platform::header as platform;
use savorylane_wire::header;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body, Packed};
use crate::call::Call;
use crate::gatekeeper::cold;
use crate::kernel::{Context, Plugin};
use abort::{Connector, Guard};
use cut::{Cut, Monitor};

/// Time after which an idle connection is not reused. The connection may have
/// failed silently, and opening a new one takes about 1 ms.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a connection must be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of the read buffer of a connection in bytes. The library's default is
/// ten times as large.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of bytes that the operating system receives for a connection
/// before they are read. An answer whose caller does not read it is held there.
const RECEIVE_BYTES: usize = 64 << 10;
/// Maximum number of bytes read of the body of a health report.
const MAX_REPORT_BYTES: usize = 4096;

/// Reason why the upstream gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so the request was not sent.
    Connect,
    /// The connection failed, and the request may have been sent.
    Broken,
    /// The body of the request broke off, and a part may have been sent.
    Cut,
    /// The upstream sent malformed HTTP, and the request may have been sent.
    Malformed,
}

/// Returns whether an answer or its body failed because the upstream sent
/// malformed HTTP, rather than because the connection failed.
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

/// Returns whether an answer's body failed because the body of its request
/// broke off.
pub fn is_cut(error: &(dyn Error + 'static)) -> bool {
    error.is::<Cut>()
}

/// Client of the host's upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    address: SocketAddr,
    /// Client for idempotent requests and health reports.
    idempotent: Client<Connector, Body>,
    /// Client for requests that must run at most once. Its connections carry
    /// nothing else, and end with a refusal.
    once: Client<Connector, Body>,
}

impl Upstream {
    /// Returns a client of the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idempotent: build_client(),
            once: build_client(),
        }
    }

    /// Sends a call and returns the head of the answer with a streamed body.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Connect`] if the request was not sent, and another
    /// [`Failure`] if it may have been sent.
    pub async fn send(&self, call: &Call, body: Body) -> Result<Response<Body>, Failure> {
        let mut request = Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = absolute_uri(self.address, &call.uri);
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        let remaining = call.remaining(Instant::now());
        if let Some(route) = &call.route {
            platform::write_request(headers, remaining, &route.origin, &route.instance);
            return self.exchange(request, call.class.idempotent).await;
        }
        let remaining = remaining.as_millis() as u64;
        headers.insert(header::TIMEOUT_MS, HeaderValue::from(remaining.max(1)));
        headers.insert(header::DEPTH, HeaderValue::from(call.depth + 1));
        if let Some(attempts_left) = call.attempts_left {
            headers.insert(header::ATTEMPTS_LEFT, HeaderValue::from(attempts_left));
        }
        self.exchange(request, call.class.idempotent).await
    }

    async fn exchange(
        &self,
        mut request: Request<Body>,
        idempotent: bool,
    ) -> Result<Response<Body>, Failure> {
        let connection = capture_connection(&mut request);
        let guard = Guard::new(connection.clone());
        let monitor = Monitor::default();
        let request = request.map(|body| monitor.watch(body));
        let sent = match idempotent {
            true => self.request(request, connection).await,
            false => self.request_once(request, connection).await,
        };
        match sent {
            Ok(answer) => {
                let wrap = |body| Packed::wrap(guard.wrap(body));
                let classify = move |error: hyper::Error| monitor.classify(error.into());
                Ok(answer.map(|body| wrap(body.map_err(classify).boxed_unsync())))
            }
            Err(error) if error.is_connect() => Err(Failure::Connect),
            Err(error) => {
                log::debug!("request to the upstream failed: {error}");
                if monitor.is_cut() {
                    return Err(Failure::Cut);
                }
                match is_malformed(&error) {
                    true => Err(Failure::Malformed),
                    false => Err(Failure::Broken),
                }
            }
        }
    }

    /// Sends an idempotent request on `connection`.
    async fn request(
        &self,
        request: Request<Body>,
        connection: CaptureConnection,
    ) -> Result<Response<Incoming>, legacy::Error> {
        let mut answer = self.idempotent.request(request).await?;
        answer.extensions_mut().insert(connection);
        Ok(answer)
    }

    /// Sends a request that must run at most once on `connection`, which is not
    /// reused after a refusal.
    ///
    /// An upstream can repeat an answer where the next one is expected. A
    /// repeated refusal would be taken for the answer to another attempt of the
    /// same request, which has the same id and may run.
    async fn request_once(
        &self,
        request: Request<Body>,
        connection: CaptureConnection,
    ) -> Result<Response<Incoming>, legacy::Error> {
        let mut answer = self.once.request(request).await?;
        answer.extensions_mut().insert(connection);
        if platform::is_refusal(&answer) {
            discard_connection(&answer);
        }
        Ok(answer)
    }
}

impl Upstream {
    /// Returns whether the upstream's health report at `path` states that the
    /// upstream is draining. Returns `None` if no report could be read.
    pub async fn fetch_draining(&self, path: &str) -> Option<bool> {
        match self.fetch(path).await?.status() {
            StatusCode::SERVICE_UNAVAILABLE => Some(true),
            status if status.is_success() => Some(false),
            _ => None,
        }
    }

    /// Asks the upstream at `path` how long it stays cold. Returns `None` if it
    /// does not say.
    pub async fn fetch_cold_left(&self, path: &str) -> Option<Duration> {
        let answer = self.fetch(path).await?;
        let left = platform::cold_left(&answer);
        // A connection is reused only after the body was read.
        let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
        if let Err(error) = body.collect().await {
            log::debug!("cannot read the body of the health report: {error}");
        }
        left
    }

    /// Fetches the upstream's health report at `path`.
    async fn fetch(&self, path: &str) -> Option<Response<Incoming>> {
        let uri = format!("http://{}{path}", self.address).parse().ok()?;
        let mut request = Request::new(body::empty());
        *request.uri_mut() = uri;
        let connection = capture_connection(&mut request);
        match self.request(request, connection).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("cannot read the upstream's health report: {error}");
                None
            }
        }
    }

    /// Returns whether the upstream accepts a connection.
    pub async fn is_reachable(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.address);
        matches!(
            tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
            Ok(Ok(_))
        )
    }
}

fn build_client() -> Client<Connector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_recv_buffer_size(Some(RECEIVE_BYTES));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(Connector(connector))
}

/// Excludes the connection of an answer from reuse.
pub fn discard_connection<Body>(answer: &Response<Body>) {
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
    Box::pin(async move {
        let gatekeeper = &context.gatekeeper;
        tokio::join!(
            gatekeeper.drive(stop.clone()),
            cold::run(&context, stop.clone())
        );
    })
}

/// Returns `uri` in absolute form with the authority `address`.
///
/// # Panics
///
/// Never: an address and a parsed path always form a valid URI.
pub fn absolute_uri(address: SocketAddr, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", uri::PathAndQuery::as_str);
    uri::Builder::new()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .expect("an address and a parsed path form a valid URI")
}
