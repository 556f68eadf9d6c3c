//! Edge to other daemons for requests, which are passed to the gatekeeper.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode};
use savorylane_distribution::age::Numbers;
use savorylane_policy::quota::{Listener, Peer};
use savorylane_wire::{Hop, header};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body, Replay};
use crate::call::{self, Call, Cause, Refusal};
use crate::distribution::hint;
use crate::edge::server::{self, Limits};
use crate::holder::{self, Handoff};
use crate::kernel::{Context, Plugin, Port};
use crate::quota::{Quota, Sizes};
use crate::reservation;

mod route;

/// Maximum number of open connections from one address.
const MAX_CONNECTIONS: usize = 65_536;

inventory::submit! {
    Plugin {
        name: "data",
        order: 30,
        builtin: true,
        port: Some(Port { flag: "data", address: |settings| Some(settings.data) }),
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
        let limits = {
            let context = Arc::clone(&context);
            let link_mbps = context.settings.link_mbps;
            move || {
                let limits = Limits::current(&context, Limits::DAEMONS, MAX_CONNECTIONS);
                limits.for_daemons(link_mbps)
            }
        };
        let sizes = Sizes {
            request: server::stream_window(context.settings.link_mbps).into(),
            answer: server::SEND_BUFFER_BYTES as u64,
            receive: None,
        };
        let quota = Quota::for_listener(&context, "data", Listener::Data, sizes);
        let handle = move |request, peer| handle(Arc::clone(&context), request, peer);
        server::serve(listener, limits, quota, stop, handle).await;
    })
}

/// Serves one request of another daemon, and adds the load to the answer.
async fn handle(context: Arc<Context>, request: Request<Body>, peer: SocketAddr) -> Response<Body> {
    let mut answer = match serve(&context, request, peer).await {
        Ok(answer) => answer,
        Err(refusal) => {
            let mut answer = refusal.to_response();
            if refusal.reached_upstream {
                let headers = answer.headers_mut();
                headers.insert(header::ARRIVED, HeaderValue::from_static("1"));
            }
            answer
        }
    };
    if let Ok(value) = HeaderValue::from_str(&context.load().to_string()) {
        answer.headers_mut().insert(header::LOAD, value);
    }
    answer
}

/// Passes a request to the gatekeeper, or to the holder of its key.
///
/// # Errors
///
/// Returns a refusal in these cases:
///
/// - A header is malformed.
/// - The request is meant for another incarnation or service.
/// - The class of the request is not in force.
/// - The gatekeeper or the holder refuses the request.
async fn serve(
    context: &Arc<Context>,
    request: Request<Body>,
    peer: SocketAddr,
) -> Result<Response<Body>, Refusal> {
    let (head, body) = request.into_parts();
    if let Some(hop) = call::header_text(&head.headers, header::HOP)? {
        return serve_hop(context, &head, body, &hop, peer).await;
    }
    let Some(snapshot) = context.config.snapshot() else {
        return Err(Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force yet",
        ));
    };
    if call::header_text(&head.headers, header::FROM)?.is_none() {
        return Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "this port serves daemons only; callers connect to the entry port",
        ));
    }
    if let Some(to) = call::header_text(&head.headers, header::TO)? {
        let own = format!("{}/{}", context.settings.host, context.incarnation());
        if to != own {
            return Err(Refusal {
                cause: Cause::Away,
                ..Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the request is meant for another run of this host",
                )
            });
        }
    }
    let name = call::header_text(&head.headers, header::CLASS)?.unwrap_or_default();
    let classes = &snapshot.document.classes;
    let Some(class) = classes.iter().find(|class| class.name == name) else {
        return Err(Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("class {name} is not in force on this host"),
        ));
    };
    let handoff = match call::header_text(&head.headers, header::HOLD)? {
        None => None,
        Some(text) => Some(Handoff::decode(&text).ok_or_else(|| {
            Refusal::not_run(StatusCode::BAD_REQUEST, "malformed header savorylane-hold")
        })?),
    };
    let caller: IpAddr =
        call::parse_header(&head.headers, header::CALLER)?.unwrap_or(IpAddr::from([0, 0, 0, 0]));
    let call = Arc::new(Call {
        stranger: is_stranger(&head),
        ..Call::parse(&head, class, caller, Instant::now())?
    });
    if let Some(handoff) = handoff {
        let body = Replay::new(body, context.settings.max_body_bytes);
        return holder::serve_at_holder(context, &snapshot, &call, &body, &handoff).await;
    }
    if class.service != context.settings.service {
        return Err(Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "this host runs another service",
        ));
    }
    context.gatekeeper.run(context, &call, body).await
}

/// Runs a request whose attributes the entry sent in the hop header.
async fn serve_hop(
    context: &Arc<Context>,
    head: &http::request::Parts,
    body: Body,
    hop: &str,
    peer: SocketAddr,
) -> Result<Response<Body>, Refusal> {
    let Ok(hop) = hop.parse::<Hop>() else {
        let reason = "malformed header savorylane-hop";
        return Err(Refusal::not_run(StatusCode::BAD_REQUEST, reason));
    };
    let sender = Numbers {
        version: hop.version,
        list: hop.list,
    };
    hint::on_request(context, peer, sender);
    route::check(context, head, sender.version)?;
    let call = Call {
        stranger: is_stranger(head),
        ..Call::from_hop(head, hop, peer.ip(), Instant::now())
    };
    if head.headers.contains_key(header::RESERVE) {
        let reservation_id = reservation::reserve(context, &call).await?;
        let mut answer = Response::new(body::empty());
        let headers = answer.headers_mut();
        headers.insert(header::RESERVATION, HeaderValue::from(reservation_id));
        return Ok(answer);
    }
    let body = match call::parse_header(&head.headers, header::RESERVATION)? {
        Some(reservation_id) => context.reservations.track(reservation_id, body),
        None => body,
    };
    context.gatekeeper.run(context, &call, body).await
}

/// Returns whether a request comes from a peer that is no host of the
/// deployment.
fn is_stranger(head: &http::request::Parts) -> bool {
    head.extensions.get() == Some(&Peer::Stranger)
}
