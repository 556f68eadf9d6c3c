//! Edge to operators: status, summaries, audit trail, drain command and
//! metrics.

use std::sync::Arc;

use futures::future::BoxFuture;
use jsonrpsee::core::{RpcResult, async_trait};
use savorylane_policy::quota::Listener;
use savorylane_wire::operator::{Entry, OperatorServer, Scope, Status, Summary};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::edge::rpc;
use crate::kernel::{Context, Plugin, Port};
use crate::quota::Quota;
use crate::{peers, summary};

/// Maximum number of audit entries in one answer.
const MAX_ENTRIES: usize = 1000;

inventory::submit! {
    Plugin {
        name: "operator",
        order: 5,
        builtin: true,
        port: Some(Port { flag: "operator", address: |settings| Some(settings.operator) }),
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
        let quota = Quota::for_listener(&context, "operator", Listener::Operator, rpc::SIZES);
        let methods = Handler(Arc::clone(&context)).into_rpc();
        let page = move |request: &http::Request<Body>| {
            let is_metrics =
                request.method() == http::Method::GET && request.uri().path() == "/metrics";
            is_metrics.then(|| {
                let version = context.config.version().map_or(0, |version| version.number);
                let load = context.gatekeeper.load();
                context.metrics.set_dropped_lines(&context.decisions);
                let counts = context.gatekeeper.late_counts();
                context.metrics.set_late_requests(counts);
                context.metrics.set_link(context.reservations.state());
                let list = context.config.list().unwrap_or_default();
                context.metrics.set_hosts(&list);
                let (counts, limited) = context.gatekeeper.cold_counts();
                context.metrics.set_cold(counts, limited);
                context.metrics.set_intake(context.intake.state());
                let distribution = &context.distribution;
                context
                    .metrics
                    .set_distribution(distribution, context.now());
                rpc::text(context.metrics.encode(&load, version))
            })
        };
        rpc::serve(listener, quota, stop, methods, page).await;
    })
}

/// Implements the operators' RPC methods.
struct Handler(Arc<Context>);

#[async_trait]
impl OperatorServer for Handler {
    async fn status(&self) -> RpcResult<Status> {
        Ok(status(&self.0))
    }

    async fn summary(&self, scope: Scope) -> RpcResult<Summary> {
        Ok(summary::collect(&self.0, scope).await)
    }

    async fn audit(&self, sequence: u64, limit: u64) -> RpcResult<Vec<Entry>> {
        let limit = usize::try_from(limit).map_or(MAX_ENTRIES, |limit| limit.min(MAX_ENTRIES));
        let entries = self.0.trail.entries_after(sequence, limit);
        let entries = entries.into_iter().map(|entry| Entry {
            sequence: entry.sequence,
            at: entry.at,
            event: serde_json::to_value(entry.event).unwrap_or_default(),
        });
        Ok(entries.collect())
    }

    async fn drain(&self) -> RpcResult<Status> {
        self.0.leave("operator");
        Ok(status(&self.0))
    }
}

fn status(context: &Context) -> Status {
    let hosts = peers::status(context);
    Status {
        host: context.settings.host.clone(),
        incarnation: context.incarnation(),
        version: context.config.version(),
        hosts_number: context.config.list().map_or(0, |list| list.number),
        reader: *context.peers.watch_reader().borrow(),
        load: context.load(),
        hosts,
    }
}
