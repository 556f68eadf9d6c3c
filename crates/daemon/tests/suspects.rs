//! Requests that crash upstreams, on running daemons.

mod in_process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use in_process::{
    Answer, BREAK_MARKER, Call, Fleet, Member, breaking_proxy, get_request, send, wait_until,
};
use savorylane_daemon::audit::Event;
use savorylane_standin::upstream::{Distribution, Service, Settings};

/// Maximum time until a suspect is confirmed or cleared: two crash periods, and
/// the time until each gatekeeper detects that its upstream is reachable again.
const DECISION_TIMEOUT: Duration = Duration::from_secs(15);

fn upstream() -> Settings {
    let service = |path: &str, ms| Service {
        path_prefix: path.into(),
        service_time: Distribution::Fixed(Duration::from_millis(ms)),
        fill: 256,
    };
    Settings {
        services: vec![service("/", 5), service("/stock/slow", 400)],
        ..Settings::default()
    }
}

fn put<'a>(path: &'a str, body: &'a str) -> Call<'a> {
    Call {
        method: "PUT",
        path,
        body,
        ..Call::default()
    }
}

/// Returns the bans in the audit trail of `member`.
fn banned_fingerprints(member: &Member) -> Vec<String> {
    let entries = member.context.trail.entries_after(0, usize::MAX);
    let banned = entries.into_iter().filter_map(|entry| match entry.event {
        Event::Banned { fingerprint, .. } => Some(fingerprint),
        _ => None,
    });
    banned.collect()
}

/// Sends a request through all entries in turn, one every 20 ms like a caller
/// with a short retry delay, until each entry refuses it as banned.
async fn resend_until_banned(fleet: &Fleet, call: &Call<'_>) {
    let start = Instant::now();
    let before = fleet.record.counts().crashes;
    loop {
        let mut refused = 0;
        for member in &fleet.members {
            let answer = send(member.entry, call).await.unwrap();
            assert_ne!(answer.status, StatusCode::OK, "{answer:?}");
            if answer.status == StatusCode::FORBIDDEN {
                assert_eq!(answer.verdict, "not-run");
                refused += 1;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if refused == fleet.members.len() {
            return;
        }
        let crashes = fleet.record.counts().crashes - before;
        assert!(crashes <= 2, "{crashes} crashes by one request");
        assert!(start.elapsed() < DECISION_TIMEOUT, "no ban in time");
    }
}

/// Sends a request to the gatekeeper of a daemon directly, like an entry.
async fn send_to_gatekeeper(data: SocketAddr, call: &Call<'_>) -> StatusCode {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(call.method)
        .uri(format!("http://{data}{}", call.path))
        .header("savorylane-from", "test/0-0")
        .header("savorylane-class", "check")
        .header("savorylane-caller", "127.0.0.1")
        .body(Full::new(Bytes::from(call.body.to_owned())));
    client.request(request.unwrap()).await.unwrap().status()
}

/// Guards against a request that crashes one upstream after another because its
/// caller sends it again through other entries (F6).
#[tokio::test(flavor = "multi_thread")]
async fn one_request_crashes_at_most_two_upstreams() {
    let fleet = Fleet::spawn(4, upstream()).await;
    for call in [
        get_request("/stock/crash-marker"),
        put("/stock/art", "a crash-marker"),
    ] {
        let before = fleet.record.counts().crashes;
        resend_until_banned(&fleet, &call).await;
        let crashes = fleet.record.counts().crashes - before;
        assert!((1..=2).contains(&crashes), "{crashes} crashes");
        for member in &fleet.members {
            let status = send_to_gatekeeper(member.data, &call).await;
            assert_eq!(status, StatusCode::FORBIDDEN, "at {}", member.name);
        }
        assert_eq!(fleet.record.counts().crashes - before, crashes);
    }
    let first = banned_fingerprints(&fleet.members[0]);
    assert_eq!(first.len(), 2, "{first:?}");
    for member in &fleet.members {
        assert_eq!(banned_fingerprints(member), first, "at {}", member.name);
    }
    let other = send(fleet.members[0].entry, &put("/stock/art", "a observation")).await;
    assert_eq!(other.unwrap().status, StatusCode::OK);
}

/// Guards against a third crash when many resends arrive concurrently.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_crash_at_most_two_upstreams() {
    let fleet = Fleet::spawn(4, upstream()).await;
    let call = get_request("/stock/crash-marker");
    let first = send(fleet.members[0].entry, &call).await.unwrap();
    assert_ne!(first.status, StatusCode::OK);
    let start = Instant::now();
    loop {
        let sent = (0..20).map(|number| send(fleet.members[number % 4].entry, &call));
        let answers: Vec<Answer> = futures::future::join_all(sent)
            .await
            .into_iter()
            .map(Result::unwrap)
            .collect();
        let crashes = fleet.record.counts().crashes;
        assert!(crashes <= 2, "{crashes} crashes by one request");
        if answers.iter().all(|a| a.status == StatusCode::FORBIDDEN) {
            return;
        }
        assert!(
            start.elapsed() < DECISION_TIMEOUT,
            "no ban in time: {answers:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a ban of harmless requests that ran at the same time as the
/// request that crashed the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_work_is_served_again() {
    let fleet = Fleet::spawn(4, upstream()).await;
    let paths: Vec<String> = (0..12).map(|n| format!("/stock/slow/{n}")).collect();
    let sent: Vec<_> = paths
        .iter()
        .enumerate()
        .map(|(number, path)| {
            let (entry, path) = (fleet.members[number % 4].entry, path.clone());
            tokio::spawn(async move { send(entry, &get_request(&path)).await.unwrap() })
        })
        .collect();
    wait_until("all slow work in flight", || {
        fleet.record.counts().started == 12
    })
    .await;
    let crasher = get_request("/stock/crash-marker");
    resend_until_banned(&fleet, &crasher).await;
    let mut broken = 0;
    for (path, answer) in paths.iter().zip(sent) {
        let answer = answer.await.unwrap();
        if answer.status != StatusCode::OK {
            assert_eq!(answer.verdict, "may-have-run", "{answer:?}");
            broken += 1;
        }
        let start = Instant::now();
        for member in fleet.members.iter().cycle() {
            let answer = send(member.entry, &get_request(path)).await.unwrap();
            if answer.status == StatusCode::OK {
                break;
            }
            assert_ne!(answer.status, StatusCode::FORBIDDEN, "{answer:?}");
            assert!(start.elapsed() < DECISION_TIMEOUT, "{path}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    assert!(broken > 0, "no other request was in flight at the crash");
    // Once cleared, a request runs at all gatekeepers again, not only at the
    // owner of the suspicion.
    for path in &paths {
        let call = get_request(path);
        let sent = fleet.members.iter();
        let sent = sent.map(|member| send_to_gatekeeper(member.data, &call));
        let statuses = futures::future::join_all(sent).await;
        assert_eq!(statuses, [StatusCode::OK; 4], "{path}");
    }
    assert_eq!(fleet.record.counts().crashes, 2);
    for member in &fleet.members {
        assert_eq!(banned_fingerprints(member).len(), 1, "at {}", member.name);
    }
}

/// Guards against suspects that stay blocked, however often their callers send
/// them again, because a permanently lost daemon does not acknowledge the
/// suspicion.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_daemon_does_not_block_innocent_work() {
    let mut fleet = Fleet::spawn(4, upstream()).await;
    fleet.kill(3);
    let paths: Vec<String> = (0..6).map(|n| format!("/stock/slow/{n}")).collect();
    let calls: Vec<Call<'_>> = paths.iter().map(|path| get_request(path)).collect();
    let sent = calls.iter().enumerate();
    let sent = sent.map(|(number, call)| send(fleet.members[number % 3].entry, call));
    let crash = async {
        let started = || fleet.record.counts().started == 6;
        wait_until("all slow work in flight", started).await;
        for member in &fleet.members {
            member.upstream.crash();
        }
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(sent), crash);
    for answer in answers {
        assert_eq!(answer.unwrap().verdict, "may-have-run");
    }
    let start = Instant::now();
    for call in &calls {
        for number in 0.. {
            let answer = send(fleet.members[number % 3].entry, call).await;
            let answer = answer.unwrap();
            if answer.status == StatusCode::OK {
                break;
            }
            assert!(
                start.elapsed() < DECISION_TIMEOUT,
                "{}: {answer:?}",
                call.path
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against a ban, or a closed gate, after a single broken connection of
/// a live upstream: with and without other requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_connection_bans_nothing() {
    let fleet = Fleet::spawn_with_proxies(2, upstream(), breaking_proxy).await;
    let path = format!("/stock/{BREAK_MARKER}");
    for beside in [0, 4] {
        let slow: Vec<_> = (0..beside)
            .map(|number| {
                let entry = fleet.members[number % 2].entry;
                let path = format!("/stock/slow/{number}");
                tokio::spawn(async move { send(entry, &get_request(&path)).await.unwrap() })
            })
            .collect();
        wait_until("slow work in flight", || {
            fleet.record.counts().started == beside as u64
        })
        .await;
        for number in 0..6 {
            let answer = send(fleet.members[number % 2].entry, &get_request(&path)).await;
            let answer = answer.unwrap();
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
            assert_eq!(answer.verdict, "may-have-run");
        }
        for answer in slow {
            assert_eq!(answer.await.unwrap().status, StatusCode::OK);
        }
    }
    for member in &fleet.members {
        let answer = send(member.entry, &get_request("/stock/other"))
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(banned_fingerprints(member), Vec::<String>::new());
    }
}
