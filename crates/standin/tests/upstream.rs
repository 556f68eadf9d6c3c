//! Tests of the slots and faults of the simulated upstream.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{send, until};
use savorylane_standin::upstream::{self, Record, Settings, answer};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

fn spawn(settings: Settings) -> (upstream::Handle, CancellationToken) {
    let cancel = CancellationToken::new();
    let record = Arc::new(Record::default());
    let upstream = upstream::spawn(settings, &record, &cancel).unwrap();
    (upstream, cancel)
}

/// Guards against an upstream that reorders its queue or runs more requests
/// than it has slots, which would hide head-of-line blocking.
#[tokio::test]
async fn slots_are_first_come_first_served() {
    let (upstream, cancel) = spawn(Settings {
        slots: 1,
        ..Settings::default()
    });
    upstream.update_mode(|mode| mode.hang = true);
    let addr = upstream.addr;
    let mut callers = Vec::new();
    for n in 0..6 {
        callers.push(tokio::spawn(async move {
            send(addr, n % 2 == 0, "/", &n.to_string(), "body").await
        }));
        until("a request in the queue", || {
            let health = upstream.health();
            health.running + health.queued == n + 1
        })
        .await;
    }
    upstream.update_mode(|mode| mode.hang = false);
    for (n, caller) in callers.into_iter().enumerate() {
        let body = caller.await.unwrap().unwrap().into_body();
        assert_eq!(answer::check(&n.to_string(), b"body", &body), Ok(()));
        assert!(answer::check("other", b"body", &body).is_err());
        assert!(answer::check(&n.to_string(), b"body", &body[..body.len() - 1]).is_err());
    }
    let counts = upstream.record.counts();
    assert_eq!(counts.order, ["0", "1", "2", "3", "4", "5"]);
    assert_eq!(counts.max_running, 1);
    cancel.cancel();
}

/// Guards against a crash that leaves other requests running or that their
/// callers do not notice, over both protocols: tests could not check verdicts
/// about such requests.
#[tokio::test]
async fn crash_marker_stops_all_work() {
    let (upstream, cancel) = spawn(Settings::default());
    let addr = upstream.addr;
    upstream.update_mode(|mode| mode.hang = true);
    let others = [false, true].map(|http2| {
        tokio::spawn(async move {
            send(addr, http2, "/", &http2.to_string(), "")
                .await
                .is_err()
        })
    });
    until("running work", || upstream.health().running == 2).await;
    assert!(
        send(addr, false, "/", "bad", "a crash-marker")
            .await
            .is_err()
    );
    for other in others {
        assert!(other.await.unwrap());
    }
    until("stopped work", || upstream.record.counts().stopped == 3).await;
    let counts = upstream.record.counts();
    assert_eq!((counts.crashes, counts.completed), (1, 0));
    assert_eq!(upstream.record.runs("bad"), 1);
    upstream.update_mode(|mode| mode.hang = false);
    until("an accepted connection", || {
        std::net::TcpStream::connect(addr).is_ok()
    })
    .await;
    assert_eq!(
        send(addr, false, "/", "next", "").await.unwrap().status(),
        200
    );
    cancel.cancel();
}

/// Guards against silencing that also closes the connection or blocks new ones.
#[tokio::test]
async fn connection_goes_silent_while_new_ones_work() {
    let (upstream, cancel) = spawn(Settings::default());
    let addr = upstream.addr;
    upstream.update_mode(|mode| mode.hang = true);
    let mut silent =
        tokio::spawn(async move { send(addr, false, "/", "silent", "").await.is_ok() });
    until("running work", || upstream.health().running == 1).await;
    assert_eq!(upstream.silence(usize::MAX), 1);
    upstream.update_mode(|mode| mode.hang = false);
    assert_eq!(
        send(addr, false, "/", "new", "").await.unwrap().status(),
        200
    );
    until("completed work", || upstream.record.counts().completed == 2).await;
    let waited = timeout(Duration::from_millis(50), &mut silent).await;
    assert!(
        waited.is_err(),
        "a silenced connection must neither answer nor close"
    );

    cancel.cancel();
}

/// Guards against requests that keep running after their caller disconnected,
/// over both protocols: they would occupy slots that a real upstream frees.
#[tokio::test]
async fn work_stops_when_its_caller_disconnects() {
    let (upstream, cancel) = spawn(Settings::default());
    let addr = upstream.addr;
    upstream.update_mode(|mode| mode.hang = true);
    for (n, http2) in [(1, false), (2, true)] {
        let caller = tokio::spawn(async move { send(addr, http2, "/", "", "").await.is_ok() });
        until("running work", || upstream.health().running == 1).await;
        caller.abort();
        until("stopped work", || upstream.record.counts().stopped == n).await;
        until("a free slot", || upstream.health().running == 0).await;
    }
    cancel.cancel();
}

/// Guards against modes without effect: load shedding, timeouts, drain, false
/// health reports, and a slow factor set while requests run.
#[tokio::test]
async fn modes_take_effect() {
    let (upstream, cancel) = spawn(Settings {
        slots: 1,
        services: vec![upstream::Service {
            path_prefix: "/work".into(),
            service_time: upstream::Distribution::Fixed(Duration::from_secs(600)),
            fill: 0,
        }],
        ..Settings::default()
    });
    let addr = upstream.addr;
    let status = async |path| send(addr, false, path, "late", "").await.unwrap().status();
    assert_eq!(status("/other").await, 404);
    let running = tokio::spawn(async move { send(addr, false, "/work", "", "").await.is_ok() });
    until("running work", || upstream.health().running == 1).await;
    upstream.update_mode(|mode| mode.max_queued = 0);
    assert_eq!(status("/work").await, 503);
    upstream.drain();
    assert_eq!(status("/health").await, 503);
    upstream.update_mode(|mode| (mode.report_healthy, mode.hang) = (true, true));
    assert_eq!(status("/health").await, 200);
    assert_eq!(status("/work").await, 503);
    // The 600 s of work complete in a millionth of the time.
    upstream.update_mode(|mode| (mode.slow_factor, mode.hang) = (1e-6, false));
    assert!(running.await.unwrap());
    let counts = upstream.record.counts();
    assert_eq!((counts.shed, counts.completed, counts.received), (2, 1, 3));
    assert_eq!(counts.late.len(), 1);
    assert_eq!(counts.late[0].request, "late");
    upstream.update_mode(|mode| mode.hang = true);
    let request = http::Request::builder()
        .uri(format!("http://{addr}/work"))
        .header(savorylane_wire::header::TIMEOUT_MS, "20")
        .body(http_body_util::Empty::<bytes::Bytes>::new())
        .unwrap();
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new());
    let answer = client.build_http().request(request).await.unwrap();
    assert_eq!(answer.status(), 504);
    assert_eq!(answer.headers()[upstream::DRAINING], "true");
    assert_eq!(upstream.record.counts().stopped, 1);
    cancel.cancel();
}
