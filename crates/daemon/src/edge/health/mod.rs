//! Edge towards the upstream's health report, watched for draining only: a
//! report that all is well proves nothing.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::kernel::{Context, Plugin};

/// Time between two reads. With two reads that say the same, new work ends
/// within 2 s of the drain's start, below the promised 3 s.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for a report to be read.
const LIMIT: Duration = Duration::from_millis(500);
/// Reports in a row that count, since a report can mislead for a moment.
const REPORTS: u32 = 2;

inventory::submit! {
    Plugin { name: "health", order: 20, builtin: true, port: None, run }
}

fn run(
    context: Arc<Context>,
    _listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(path) = &context.settings.health else {
            return;
        };
        tokio::select! {
            () = watch(&context, path) => {}
            () = stop.cancelled() => {}
        }
    })
}

async fn watch(context: &Context, path: &str) {
    let mut told = false;
    let mut different = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let report = context.gatekeeper.upstream().draining(path);
        let Ok(Some(draining)) = tokio::time::timeout(LIMIT, report).await else {
            different = 0;
            continue;
        };
        different = if draining == told { 0 } else { different + 1 };
        if different == REPORTS {
            told = draining;
            different = 0;
            log::info!("the upstream drains: {draining}");
            context.gatekeeper.set_draining(draining);
        }
    }
}
