//! Edge to the upstream's health report. The report is used only to detect that
//! the upstream is draining, because a report of good health proves nothing.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::kernel::{Context, Plugin};

/// Time between two reads of the report. With two equal reports required, new
/// work ends within 2 s of the start of a drain, less than the promised 3 s.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of reading one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of consecutive reports that must differ from the known state before
/// it changes, because a single report can be wrong.
const REQUIRED_REPORTS: u32 = 2;

inventory::submit! {
    Plugin { name: "health", order: 20, builtin: true, port: None, run }
}

fn run(
    context: Arc<Context>,
    _listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(path) = &context.settings.health_path else {
            return;
        };
        tokio::select! {
            () = poll_reports(&context, path) => {}
            () = stop.cancelled() => {}
        }
    })
}

/// Reads the report periodically and passes changes to the gatekeeper.
async fn poll_reports(context: &Context, path: &str) {
    let mut is_draining = false;
    let mut changed_reports = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let report = context.gatekeeper.upstream().fetch_draining(path);
        let Ok(Some(draining)) = tokio::time::timeout(REPORT_TIMEOUT, report).await else {
            changed_reports = 0;
            continue;
        };
        changed_reports = if draining == is_draining {
            0
        } else {
            changed_reports + 1
        };
        if changed_reports == REQUIRED_REPORTS {
            is_draining = draining;
            changed_reports = 0;
            log::info!("the upstream's health report changed: draining is {draining}");
            context.gatekeeper.set_draining(draining);
        }
    }
}
