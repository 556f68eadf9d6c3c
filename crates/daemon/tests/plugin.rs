//! Replacement of an edge by another plug-in with the same name.

#[allow(dead_code)] // Each test file uses a part.
mod common;
#[allow(dead_code)] // Each test file uses a part.
mod fleet;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::get;
use fleet::{Fleet, IN_FORCE_TIMEOUT, Member};
use http::StatusCode;
use savorylane_daemon::kernel::Plugin;

static STARTED: AtomicUsize = AtomicUsize::new(0);

inventory::submit! {
    Plugin {
        name: "health",
        order: 20,
        builtin: false,
        port: None,
        run: |_, _, _| Box::pin(async { STARTED.fetch_add(1, Ordering::Relaxed); }),
    }
}

/// Guards against an edge that cannot be replaced, or that runs in addition to
/// its replacement.
#[tokio::test(flavor = "multi_thread")]
async fn a_plugin_replaces_the_edge_of_its_name() {
    let mut fleet = Fleet::open();
    let member = Member::spawn(&fleet, "a1", |settings| {
        settings.health_path = Some("/health".into());
    });
    let member = member.await;
    fleet.members.push(member);
    fleet.publish_hosts(1);
    fleet
        .platform
        .publish_document(&fleet::document_with_version_path(1));
    fleet.wait_for_document(1, IN_FORCE_TIMEOUT).await;
    // The health edge of this crate would stop new work within 2 s.
    fleet.members[0].upstream.drain();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = get(fleet.members[0].entry(), "/stock/1").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(STARTED.load(Ordering::Relaxed), 1);
    fleet.stop();
}
