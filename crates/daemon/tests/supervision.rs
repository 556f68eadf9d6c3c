//! Restart of edges that panic.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::get;
use fleet::{Fleet, IN_FORCE_TIMEOUT, Member};
use http::StatusCode;
use savorylane_daemon::kernel::Plugin;

/// Number of starts in which the edge panics.
const PANIC_COUNT: usize = 2;
/// Time within which the edge must run without a panic.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);

static STARTED: AtomicUsize = AtomicUsize::new(0);

inventory::submit! {
    Plugin {
        name: "unsound",
        order: 20,
        builtin: false,
        port: None,
        run: |_, _, stop| Box::pin(async move {
            let started = STARTED.fetch_add(1, Ordering::Relaxed);
            assert!(started >= PANIC_COUNT, "an unexpected message");
            stop.cancelled().await;
        }),
    }
}

/// Guards against a panic, for example from an unexpected message, that stops
/// an edge permanently or ends the process. Without the edge, the daemon would
/// continue with an outdated configuration.
#[tokio::test(flavor = "multi_thread")]
async fn an_edge_that_panics_runs_again() {
    let mut fleet = Fleet::open();
    let member = Member::spawn(&fleet, "a1", |_| {}).await;
    fleet.members.push(member);
    fleet.publish_hosts(1);
    fleet
        .platform
        .publish_document(&fleet::document_with_version_path(1));
    fleet.wait_for_document(1, IN_FORCE_TIMEOUT).await;
    let start = Instant::now();
    while STARTED.load(Ordering::Relaxed) <= PANIC_COUNT {
        assert!(
            start.elapsed() < RESTART_TIMEOUT,
            "the edge was not started again"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let answer = get(fleet.members[0].entry(), "/stock/1").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    fleet.stop();
}
