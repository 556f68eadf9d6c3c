//! JSON-RPC over the HTTP server of this daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use jsonrpsee::Methods;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle, stop_channel};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::body::{self, Body};
use crate::edge::server::{self, Protocol};
use crate::quota::{self, Quota, Sizes};

/// Maximum size of a message in bytes. A compressed document with 1,100
/// targets, encoded as text, fits with a margin.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;
/// Maximum number of open connections from one address.
const MAX_CONNECTIONS: usize = 4096;

/// Memory of a message in bytes, and of its answer. A message takes twice its
/// size until it is decoded.
pub const SIZES: Sizes = Sizes {
    request: 2 * MAX_MESSAGE_BYTES as u64,
    answer: MAX_MESSAGE_BYTES as u64,
    receive: Some(quota::STRANGER_RECEIVE_BYTES),
};

/// Serves the RPC `methods` until `stop`. Requests for which `page` returns an
/// answer are not passed to the methods.
pub async fn serve<P>(
    listener: TcpListener,
    quota: Arc<Quota>,
    stop: CancellationToken,
    methods: impl Into<Methods>,
    page: P,
) where
    P: Fn(&Request<Body>) -> Option<Response<Body>> + Clone + Send + 'static,
{
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    // Dropping the handle stops the service, so the handle must live as long as
    // the server.
    let (stopped, handle): (_, ServerHandle) = stop_channel();
    let service = Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(methods, stopped);
    let answer = move |request: Request<Body>, _peer: SocketAddr| {
        let page_answer = page(&request);
        let mut service = service.clone();
        async move {
            if let Some(answer) = page_answer {
                return answer;
            }
            match service.call(request).await {
                Ok(answer) => answer.map(|body| body.map_err(Into::into).boxed_unsync()),
                Err(error) => {
                    log::warn!("cannot serve an RPC message: {error}");
                    let mut answer = Response::new(body::empty());
                    *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    answer
                }
            }
        }
    };
    server::serve(
        listener,
        || server::Limits {
            protocol: Protocol::Http1,
            ..server::Limits::with_connections(MAX_CONNECTIONS)
        },
        quota,
        stop,
        answer,
    )
    .await;
    drop(handle);
}

/// Returns an answer with `content` in the text format of Prometheus.
pub fn text(content: Vec<u8>) -> Response<Body> {
    let mut answer = Response::new(body::full(content));
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    answer
}
