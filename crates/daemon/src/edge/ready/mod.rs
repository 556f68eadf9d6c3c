//! Edge to a platform's readiness probe: whether this daemon accepts callers.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use savorylane_platform::READY_PATH;
use savorylane_policy::quota::Listener;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body};
use crate::edge::server;
use crate::kernel::{Context, Plugin, Port};
use crate::quota::{self, Quota, Sizes};

inventory::submit! {
    Plugin {
        name: "ready",
        order: 5,
        builtin: true,
        port: Some(Port {
            flag: "ready",
            address: |settings| Some(settings.adapter.as_ref()?.ready),
        }),
        run,
    }
}

fn run(
    context: Arc<Context>,
    listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(listener) = listener else { return };
        // Bodies are not read.
        let sizes = Sizes {
            request: 0,
            answer: 0,
            receive: Some(quota::STRANGER_RECEIVE_BYTES),
        };
        let quota = Quota::for_listener(&context, "ready", Listener::Ready, sizes);
        let answer = move |request: Request<Body>, _peer: SocketAddr| {
            let status = status(&context, request.uri().path());
            async move { answer(status) }
        };
        server::serve(listener, || server::Limits::CALLERS, quota, stop, answer).await;
    })
}

/// Returns the status of a probe of `path`. The daemon is ready while a
/// configuration is in force and the host is not leaving.
fn status(context: &Context, path: &str) -> StatusCode {
    if path != READY_PATH {
        return StatusCode::NOT_FOUND;
    }
    if context.leaving.is_cancelled() || context.config.snapshot().is_none() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

fn answer(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(body::empty());
    *answer.status_mut() = status;
    answer
}
