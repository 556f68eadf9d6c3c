//! Edge to other daemons for control messages: the RPC server and its clients.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::future::BoxFuture;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use savorylane_intent::{hosts, transfer};
use savorylane_policy::quota::Listener;
use savorylane_wire::Incarnation;
use savorylane_wire::control::{
    Heartbeat,
    Notice,
    Poll,
    Suspicion,
    poll,
    ring, //
};
use savorylane_wire::operator::{Scope, Summary};
use savorylane_wire::rpc::{Clock, ControlClient, ControlServer, Fetch, Payload};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::distribution::long_poll;
use crate::edge::rpc;
use crate::holder::rings;
use crate::kernel::{Context, Plugin, Port};
use crate::quota::Quota;
use crate::{peers, summary};

/// Timeout of a control message. Most senders set a shorter timeout.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin {
        name: "control",
        order: 15,
        builtin: true,
        port: Some(Port { flag: "control", address: |settings| Some(settings.control) }),
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
        let quota = Quota::for_listener(&context, "control", Listener::Control, rpc::SIZES);
        let methods = Handler(Arc::clone(&context)).into_rpc();
        let serve = rpc::serve(listener, quota, stop.clone(), methods, |_| None);
        // An adapted platform lists the hosts itself, and none of its classes
        // uses idempotency keys.
        if context.settings.adapter.is_some() {
            return serve.await;
        }
        let rings = rings::run(Arc::clone(&context), stop.clone());
        tokio::join!(serve, rings, peers::run(context, stop));
    })
}

/// Clients by control address. A client reuses its connections, and opens a new
/// connection after a failed message.
#[derive(Debug, Default)]
pub struct Clients(Mutex<HashMap<SocketAddr, HttpClient>>);

/// Returns the client for the daemon with the control address `address`.
///
/// # Panics
///
/// Never: an address always forms a valid URL.
pub fn client(context: &Context, address: SocketAddr) -> HttpClient {
    let mut clients = context
        .control_clients
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let open = || {
        HttpClientBuilder::default()
            .request_timeout(MESSAGE_TIMEOUT)
            .build(format!("http://{address}"))
            .expect("an address forms a valid URL")
    };
    clients.entry(address).or_insert_with(open).clone()
}

/// Fetches the incarnation and the clock of the daemon at `address`. Returns
/// `None` if the daemon did not answer.
pub async fn fetch_clock(
    context: &Context,
    address: SocketAddr,
) -> Option<(Incarnation, Duration)> {
    let answer = client(context, address).clock().await.ok()?;
    Some((answer.run, Duration::from_micros(answer.now_us)))
}

/// Implements the RPC methods for other daemons.
struct Handler(Arc<Context>);

#[async_trait]
impl ControlServer for Handler {
    async fn heartbeat(&self, message: Heartbeat) -> RpcResult<Heartbeat> {
        let now = self.0.now();
        let (answer, actions) = self.0.peers.view().on_heartbeat(now, &message);
        peers::perform(&self.0, actions);
        Ok(answer)
    }

    async fn probe(&self, host: String) -> RpcResult<bool> {
        Ok(peers::probe_for(&self.0, &host).await)
    }

    async fn notice(&self, message: Notice) -> RpcResult<()> {
        let actions = self.0.peers.view().on_notice(self.0.now(), &message);
        peers::perform(&self.0, actions);
        Ok(())
    }

    async fn poll(&self, message: Poll) -> RpcResult<poll::Answer> {
        Ok(long_poll::answer(&self.0, message).await)
    }

    async fn fetch(&self, message: Fetch) -> RpcResult<Option<Payload>> {
        let content = self.0.config.content_since(message.base);
        Ok(content.map(|(version, content)| Payload {
            version: Some(version),
            content: STANDARD.encode(transfer::encode(&content)),
        }))
    }

    async fn hosts(&self, after: u64) -> RpcResult<Option<Payload>> {
        let listed = self.0.config.platform_list();
        let newer = listed.filter(|listed| listed.list.number > after);
        Ok(newer.map(|listed| Payload {
            version: None,
            content: STANDARD.encode(hosts::pack(&listed.list)),
        }))
    }

    async fn ring(&self, message: ring::Query) -> RpcResult<Vec<ring::Confirmation>> {
        Ok(self.0.rings.answer_query(self.0.now(), &message))
    }

    async fn confirm(&self, digests: Vec<String>) -> RpcResult<Vec<bool>> {
        Ok(self.0.rings.confirm_digests(self.0.now(), &digests))
    }

    async fn clock(&self) -> RpcResult<Clock> {
        Ok(Clock {
            run: self.0.key_incarnation,
            now_us: self.0.now().as_micros() as u64,
        })
    }

    async fn suspect(&self, message: Suspicion) -> RpcResult<Suspicion> {
        Ok(self.0.suspects.on_suspicion(&self.0, &message))
    }

    async fn summary(&self, scope: Scope) -> RpcResult<Summary> {
        Ok(summary::collect(&self.0, scope).await)
    }
}
