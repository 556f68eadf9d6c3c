//! Polls other daemons for versions and host lists, and passes new host lists
//! to the other parts of this daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use savorylane_distribution::source::{Location, Request, Step};
use savorylane_wire::rpc::ControlClient;
use tokio_util::sync::CancellationToken;

use super::long_poll::Arrival;
use super::{control_address, location, long_poll};
use crate::edge::control::client;
use crate::kernel::Context;

/// Time for which the answer to a poll is awaited after the poll has timed out.
/// On a congested link, a late answer still delivers a version or list.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum time between two polls, so that immediate answers do not cause a
/// busy loop.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Performs the steps of the source until `stop` is cancelled.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let work = async {
        tokio::join!(
            run_steps(&context),
            watch_host_lists(&context),
            leave(&context)
        )
    };
    tokio::select! {
        _ = work => {}
        () = stop.cancelled() => {}
    }
}

async fn run_steps(context: &Arc<Context>) {
    let distribution = &context.distribution;
    loop {
        let step = distribution.update(|source| source.next(context.now()));
        match step {
            Step::Idle(wait) => {
                let _ = tokio::time::timeout(wait, distribution.changed.notified()).await;
            }
            Step::Poll(request) => {
                poll(context, &request).await;
                tokio::time::sleep(MIN_POLL_INTERVAL).await;
            }
        }
    }
}

/// Sends a poll to a host and handles the answer.
async fn poll(context: &Arc<Context>, request: &Request) {
    let host = &*request.host;
    let failed = |reason: &str| {
        log::info!(
            target: "distribution", event = "poll", of = host, outcome = "failed",
            needs = request.needs;
            "{reason}"
        );
        let now = context.now();
        context
            .distribution
            .update(|source| source.on_failure(now, host));
    };
    let Some(address) = control_address(context, host) else {
        return failed("the address of the polled host is not known");
    };
    let sent_at = context.now();
    context
        .distribution
        .polls_sent
        .fetch_add(1, Ordering::Relaxed);
    let message = long_poll::compose_poll(context, request);
    let client = client(context, address);
    let mut answer = Box::pin(async move { client.poll(message).await });
    match tokio::time::timeout(request.timeout, &mut answer).await {
        Ok(Ok(answer)) => {
            long_poll::on_answer(context, host, answer, sent_at, Arrival::InTime).await
        }
        Ok(Err(error)) => failed(&error.to_string()),
        Err(_) => {
            failed("the polled host did not answer in time");
            let (context, host) = (Arc::clone(context), Arc::clone(&request.host));
            tokio::spawn(async move {
                if let Ok(Ok(answer)) = tokio::time::timeout(LATE_ANSWER_TIMEOUT, answer).await {
                    long_poll::on_answer(&context, &host, answer, sent_at, Arrival::Late).await;
                }
            });
        }
    }
}

/// Calls [`on_host_list`] for each host list that comes into force.
async fn watch_host_lists(context: &Arc<Context>) {
    let mut current = context.config.subscribe();
    let mut known = None;
    loop {
        current.borrow_and_update();
        let list = context.config.list();
        if list.as_ref().map(Arc::as_ptr) != known.as_ref().map(Arc::as_ptr) {
            known = list;
            on_host_list(context);
        }
        if current.changed().await.is_err() {
            return;
        }
    }
}

/// Passes the host list in force to the source, the detection of a cut-off host
/// and the table of estimates.
pub fn on_host_list(context: &Context) {
    let Some(list) = context.config.list() else {
        return;
    };
    let locations: Vec<Location> = list.hosts.iter().map(location).collect();
    context
        .distribution
        .update(|source| source.on_hosts(&locations));
    context.distribution.changed.notify_one();
    let cut_off = &context.distribution.cut_off;
    cut_off.on_host_list(context.now(), &context.settings.host, &list);
    let is_listed = |name: &str| {
        let mut instances = list.hosts.iter().map(|host| host.instance.as_deref());
        instances.any(|instance| instance == Some(name))
    };
    context.dispatcher.table.retain(is_listed, |_| true);
}

/// Makes the source leave once this host has announced that it is leaving.
async fn leave(context: &Arc<Context>) {
    context.leaving.cancelled().await;
    context.distribution.update(|source| source.leave());
}
