//! An upstream whose health report states that it is draining.

#[allow(dead_code)] // Each test file uses a part.
mod common;
#[allow(dead_code)] // Each test file uses a part.
mod fleet;

use std::time::Duration;

use common::get;
use fleet::{Fleet, IN_FORCE_TIMEOUT, Member};
use http::StatusCode;

/// Promised time after which a draining upstream receives no new work.
const DRAIN_DETECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against new work at an upstream that is draining while the host list
/// still states that it is live, and against an upstream that receives no work
/// after it stopped draining.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_upstream_gets_no_new_work() {
    let mut fleet = Fleet::open();
    for host in ["a1", "a2"] {
        let member = Member::spawn(&fleet, host, |settings| {
            settings.health_path = Some("/health".into());
        });
        let member = member.await;
        fleet.members.push(member);
    }
    fleet.publish_hosts(1);
    fleet
        .platform
        .publish_document(&fleet::document_with_version_path(1));
    fleet.wait_for_document(1, IN_FORCE_TIMEOUT).await;

    fleet.members[0].upstream.drain();
    tokio::time::sleep(DRAIN_DETECTION_TIMEOUT).await;
    let late = fleet.record.counts().late.len();
    for number in 0..40 {
        let path = format!("/stock/{number}");
        let entry = fleet.members[number % 2].entry();
        let answer = get(entry, &path).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(fleet.record.counts().late.len(), late);

    fleet.members[0]
        .upstream
        .update_mode(|mode| mode.draining_since = None);
    tokio::time::sleep(DRAIN_DETECTION_TIMEOUT).await;
    fleet.members[1].upstream.crash();
    let answer = get(fleet.members[0].entry(), "/stock/again").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    fleet.stop();
}
