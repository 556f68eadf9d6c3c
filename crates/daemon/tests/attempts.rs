//! Verdicts of requests that an entry tried at several hosts.

mod in_process;

use in_process::{BREAK_MARKER, Fleet, breaking_proxy, get_request, send};
use savorylane_standin::upstream::Settings;

/// Guards against the verdict `not-run` for a request that may have run at one
/// host, because the next host refused it (P5). The connection to each upstream
/// breaks under the request, and the second host takes no new work.
#[tokio::test(flavor = "multi_thread")]
async fn the_verdict_covers_all_attempts() {
    let fleet = Fleet::spawn_with_proxies(2, Settings::default(), breaking_proxy).await;
    fleet.members[1].context.gatekeeper.leave();
    let path = format!("/stock/{BREAK_MARKER}");
    for _ in 0..5 {
        let answer = send(fleet.members[0].entry, &get_request(&path))
            .await
            .unwrap();
        assert_eq!(answer.verdict, "may-have-run", "{answer:?}");
    }
}
