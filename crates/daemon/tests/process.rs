//! Daemons that run as separate processes.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;

use std::sync::Arc;

use common::{Daemon, document, get, get_until_ok, list};
use http::StatusCode;
use savorylane_standin::upstream::{Record, answer};
use savorylane_standin::{platform, upstream};
use tokio_util::sync::CancellationToken;

/// Guards against a request path that works only within one process, and
/// against an entry that keeps sending requests to a killed host.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_does_not_stop_the_service() {
    let cancel = CancellationToken::new();
    let record = Arc::new(Record::default());
    let platform = platform::spawn(1, &cancel).unwrap();
    let mut daemons = Vec::new();
    let mut upstreams = Vec::new();
    for host in ["a1", "b1"] {
        let upstream = upstream::spawn(upstream::Settings::default(), &record, &cancel).unwrap();
        let arguments = [
            format!("--platform={}", platform.addr()),
            format!("--upstream={}", upstream.addr),
        ];
        daemons.push(Daemon::spawn(host, &host[..1], &arguments));
        upstreams.push(upstream);
    }
    let hosts = daemons
        .iter()
        .map(|daemon| daemon.list_entry(&daemon.host[..1]));
    platform.publish_hosts(&list(1, hosts.collect()));
    platform.publish_document(&document(1));

    let entry = daemons[0].addresses["entry"];
    let answer = get_until_ok(entry, "/stock/first").await;
    assert_eq!(answer.verdict, "ran");
    let other = get(entry, "/elsewhere").await.unwrap();
    assert_eq!(other.status, StatusCode::NOT_FOUND);
    assert_eq!(other.verdict, "not-run");
    let reason = String::from_utf8_lossy(&other.body);
    assert!(reason.contains("no class matches"), "{reason}");

    daemons.remove(1);
    for number in 0..50 {
        let path = format!("/stock/{number}");
        let answer = get(entry, &path).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer::check(&path, b"", &answer.body), Ok(()));
    }
}
