//! An HTTP client and a helper that waits for a condition.
#![allow(dead_code)] // Each test file uses some of the helpers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use savorylane_standin::upstream::REQUEST_ID;

/// Sends one request on a new connection.
pub(crate) async fn send(
    addr: SocketAddr,
    http2: bool,
    path: &str,
    id: &str,
    body: &str,
) -> Result<Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
    let client = Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .retry_canceled_requests(false)
        .build_http();
    let request = Request::builder()
        .uri(format!("http://{addr}{path}"))
        .header(REQUEST_ID, id)
        .body(Full::new(Bytes::from(body.to_owned())))?;
    let (parts, body) = client.request(request).await?.into_parts();
    let bytes = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}

/// Waits until `done` returns `true`, and panics after 10 s.
pub(crate) async fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out after 10 s while waiting for {what}");
}
