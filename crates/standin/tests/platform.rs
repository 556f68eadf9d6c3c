//! Tests of the watches and faults of the simulated platform.

mod common;

use common::{send, until};
use savorylane_intent::{Document, Manifest};
use savorylane_standin::platform::{self, Clients, Outage, REVISION};
use tokio_util::sync::CancellationToken;

/// Guards against watches that miss a publication or return without one, which
/// would make all convergence figures wrong.
#[tokio::test]
async fn watch_wakes_on_publish() {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).unwrap();
    let addr = platform.addr();
    let revision = platform.publish("a/b", "one");

    let path = format!("/v1/values/a/b?after={revision}&wait_ms=20");
    let unchanged = send(addr, false, &path, "", "").await.unwrap();
    assert_eq!(unchanged.status(), 304);

    let path = format!("/v1/values/a/b?after={revision}&wait_ms=10000");
    let watch = tokio::spawn(async move { send(addr, false, &path, "", "").await.unwrap() });
    until("a waiting watch", || platform.counters().in_progress == 1).await;
    platform.publish("other", "x");
    let revision = platform.publish("a/b", "two");
    let answer = watch.await.unwrap();
    assert_eq!(answer.headers()[REVISION], revision.to_string());
    assert_eq!(answer.body(), "two");
    assert_eq!(platform.counters().calls(), 2);
    cancel.cancel();
}

/// Guards against waiting watches that are not counted in the calls per second,
/// which would hide that too many daemons watch the platform.
#[tokio::test]
async fn waiting_watch_counts_once_a_second() {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).unwrap();
    let addr = platform.addr();
    let path = "/v1/values/key?after=0&wait_ms=60000";
    let watch = tokio::spawn(async move { send(addr, false, path, "", "").await.unwrap() });
    until("a waiting watch", || platform.counters().in_progress == 1).await;
    until("a further second", || {
        platform.counters().calls_per_second.len() >= 3
    })
    .await;
    let seconds = platform.counters().calls_per_second;
    let first = seconds.iter().position(|&calls| calls > 0).unwrap();
    assert!(seconds[first..].iter().all(|&calls| calls == 1));
    assert!(seconds.len() - first >= 2);
    platform.publish("key", "value");
    assert_eq!(watch.await.unwrap().status(), 200);
    cancel.cancel();
}

/// Guards against faults that do not reach clients, which would let tests of
/// outages, stale reads and torn reads pass without testing anything.
#[tokio::test]
async fn faults_reach_clients() {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(2, &cancel).unwrap();
    let [first, second] = platform.addrs[..] else {
        panic!("the platform was started with two addresses");
    };
    let read =
        async |addr, key: &str| send(addr, false, &format!("/v1/values/{key}"), "", "").await;
    let mut document = Document {
        number: 1,
        deployment: "test".into(),
        services: Vec::new(),
        classes: Vec::new(),
        limits: None,
    };
    platform.publish_document(&document);
    platform.freeze(Clients::Address(second));
    document.number = 2;
    platform.publish_document(&document);
    let number = |bytes: &[u8]| Manifest::parse(bytes).unwrap().number;
    assert_eq!(number(read(first, "intent").await.unwrap().body()), 2);
    assert_eq!(number(read(second, "intent").await.unwrap().body()), 1);

    platform.update_faults(|faults| faults.torn = true);
    let manifest = Manifest::parse(read(first, "intent").await.unwrap().body()).unwrap();
    let part = read(first, &manifest.parts[0].key).await.unwrap();
    assert!(manifest.join(&[part.body()]).is_err());

    platform.update_faults(|faults| faults.oversized = Some(2_000_000));
    assert_eq!(read(first, "intent").await.unwrap().body().len(), 2_000_000);

    platform.update_faults(|faults| faults.outage = Outage::Unavailable);
    assert_eq!(read(first, "intent").await.unwrap().status(), 503);
    platform.update_faults(|faults| faults.outage = Outage::Refused);
    until("a refused connection", || {
        std::net::TcpStream::connect(first).is_err()
    })
    .await;
    platform.update_faults(|faults| *faults = platform::Faults::default());
    until("an accepted connection", || {
        std::net::TcpStream::connect(first).is_ok()
    })
    .await;
    let part = read(first, &manifest.parts[0].key).await.unwrap();
    assert_eq!(manifest.join(&[part.body()]).unwrap(), document);
    cancel.cancel();
}
