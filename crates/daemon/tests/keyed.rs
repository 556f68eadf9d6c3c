//! Requests with idempotency keys on running daemons: each key runs once and
//! has one answer.

mod in_process;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use in_process::{Answer, Call, Fleet, send, wait_until};
use savorylane_standin::upstream::{Distribution, Service, Settings, answer};

/// Size of an answer that is too large to keep; the limit is 64 KB.
const LARGE_ANSWER_BYTES: usize = 100_000;

fn upstream() -> Settings {
    let service = |path: &str, ms, fill| Service {
        path_prefix: path.into(),
        service_time: Distribution::Fixed(Duration::from_millis(ms)),
        fill,
    };
    Settings {
        services: vec![
            service("/", 5, 256),
            service("/orders/slow", 500, 256),
            service("/orders/big", 5, LARGE_ANSWER_BYTES),
        ],
        crash_period: Duration::from_millis(1_500),
        ..Settings::default()
    }
}

/// Returns an order with an idempotency key, whose attempts are not numbered.
fn order<'a>(path: &'a str, key: &'a str) -> Call<'a> {
    Call {
        method: "POST",
        path,
        key: Some(key),
        attempt: None,
        body: "one batch",
    }
}

/// Returns attempt `number` of an order with an idempotency key.
fn attempt<'a>(key: &'a str, number: u32) -> Call<'a> {
    Call {
        attempt: Some(number),
        ..order("/orders/new", key)
    }
}

/// Asserts that the upstream ran the order with `key` and that its answer is
/// complete.
fn assert_ran(answer: &Answer, key: &str) {
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.verdict, "ran");
    let checked = answer::check(key, b"one batch", &answer.body);
    assert_eq!(checked, Ok(()));
}

async fn fleet() -> Fleet {
    Fleet::spawn(4, upstream()).await
}

/// Guards against a resend through another entry that runs again, or that gets
/// another answer than the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_gets_the_first_answer() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    let first = send(fleet.members[0].entry, &order("/orders/new", "k")).await;
    let first = first.unwrap();
    assert_ran(&first, "k");
    for member in &fleet.members {
        let again = send(member.entry, &order("/orders/new", "k")).await;
        assert_eq!(again.unwrap(), first);
    }
    assert_eq!(fleet.record.runs("k"), 1);
}

/// Guards against a resend that runs, or is refused, while the first attempt is
/// running.
#[tokio::test(flavor = "multi_thread")]
async fn resends_wait_for_the_running_attempt() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    let entry = fleet.members[0].entry;
    let call = order("/orders/slow", "k");
    let first = tokio::spawn(async move { send(entry, &order("/orders/slow", "k")).await });
    wait_until("the first run", || fleet.record.runs("k") == 1).await;
    assert_eq!(fleet.record.counts().completed, 0);
    let again = send(fleet.members[1].entry, &call).await.unwrap();
    let first = first.await.unwrap().unwrap();
    assert_ran(&first, "k");
    assert_eq!(again, first);
    assert_eq!(fleet.record.runs("k"), 1);
}

/// Guards against a request that is aborted, and run again by a resend, because
/// its caller's connection broke.
#[tokio::test(flavor = "multi_thread")]
async fn a_reconnecting_caller_gets_the_outcome() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    for (number, member) in fleet.members.iter().enumerate() {
        let key = format!("k{number}");
        let (entry, own) = (member.entry, key.clone());
        let first = tokio::spawn(async move { send(entry, &order("/orders/slow", &own)).await });
        wait_until("the first run", || fleet.record.runs(&key) == 1).await;
        first.abort();
        let other = &fleet.members[(number + 1) % fleet.members.len()];
        let again = send(other.entry, &order("/orders/slow", &key)).await;
        assert_ran(&again.unwrap(), &key);
        assert_eq!(fleet.record.runs(&key), 1);
    }
}

/// Guards against concurrent claims of one key through several entries and
/// connections.
#[tokio::test(flavor = "multi_thread")]
async fn twenty_concurrent_resends_run_once() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    let call = order("/orders/new", "k");
    let sent = (0..20).map(|number| {
        let member = &fleet.members[number % fleet.members.len()];
        send(member.entry, &call)
    });
    let answers = futures::future::join_all(sent).await;
    for answer in answers {
        assert_ran(&answer.unwrap(), "k");
    }
    assert_eq!(fleet.record.runs("k"), 1);
}

/// Guards against a second run after the record of a key was lost: while the
/// holder is down, and after it restarted without any records.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_holder_never_leads_to_a_second_run() {
    let mut fleet = fleet().await;
    fleet.wait_for_leases().await;
    let key = fleet.key_held_by("k", 2);
    let (entry, own) = (fleet.members[0].entry, key.clone());
    let first = tokio::spawn(async move { send(entry, &order("/orders/slow", &own)).await });
    wait_until("the first run", || fleet.record.runs(&key) == 1).await;
    fleet.kill(2);
    let refused = first.await.unwrap().unwrap();
    assert_eq!(refused.verdict, "may-have-run", "{refused:?}");

    let call = order("/orders/slow", &key);
    for member in [0, 1, 3] {
        let refused = send(fleet.members[member].entry, &call).await.unwrap();
        assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    }
    fleet.restart(2).await;
    for confirmed in [false, true] {
        if confirmed {
            fleet.wait_for_leases().await;
        }
        for member in &fleet.members {
            let refused = send(member.entry, &call).await.unwrap();
            assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
        }
    }
    assert_eq!(fleet.record.runs(&key), 1);
}

/// Guards against an outage of keys whose holder is down although the caller
/// numbers its attempts, so that the first one is known to be safe, and against
/// a second attempt that runs in that time.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_marked_attempt_runs_without_its_holder() {
    let mut fleet = fleet().await;
    fleet.wait_for_leases().await;
    let key = fleet.key_held_by("k", 2);
    fleet.kill(2);
    let first = send(fleet.members[0].entry, &attempt(&key, 1)).await;
    assert_ran(&first.unwrap(), &key);
    for member in [0, 1, 3] {
        let refused = send(fleet.members[member].entry, &attempt(&key, 2)).await;
        let refused = refused.unwrap();
        assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    }
    fleet.restart(2).await;
    fleet.wait_for_leases().await;
    for member in &fleet.members {
        let refused = send(member.entry, &attempt(&key, 2)).await.unwrap();
        assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    }
    assert_eq!(fleet.record.runs(&key), 1);
}

/// Guards against a restarted holder that runs keys which its earlier
/// incarnation may have run, and against one that never accepts new keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_holder_accepts_only_new_keys() {
    let mut fleet = fleet().await;
    fleet.wait_for_leases().await;
    let old = fleet.key_held_by("old", 2);
    fleet.kill(2);
    fleet.restart(2).await;
    let entry = fleet.members[0].entry;
    let call = order("/orders/new", &old);
    let refused = send(entry, &call).await.unwrap();
    assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    fleet.wait_for_leases().await;
    let refused = send(entry, &call).await.unwrap();
    assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    let start = Instant::now();
    loop {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let key = fleet.key_held_by(&now.as_millis().to_string(), 2);
        let answer = send(entry, &order("/orders/new", &key)).await.unwrap();
        if answer.status == StatusCode::OK {
            assert_ran(&answer, &key);
            assert_eq!(fleet.record.runs(&key), 1);
            break;
        }
        assert_eq!(answer.verdict, "may-have-run", "{answer:?}");
        assert_eq!(fleet.record.runs(&key), 0);
        assert!(start.elapsed() < Duration::from_secs(20), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let refused = send(entry, &call).await.unwrap();
    assert_eq!(refused.verdict, "may-have-run", "{refused:?}");
    assert_eq!(fleet.record.runs(&old), 0);
}

/// Guards against an answer that is truncated because it is too large to keep,
/// and against a second run to produce it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_complete_and_runs_once() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    for entry in 0..fleet.members.len() {
        let key = format!("k{entry}");
        let call = order("/orders/big", &key);
        let first = send(fleet.members[entry].entry, &call).await.unwrap();
        assert_ran(&first, &key);
        assert!(first.body.len() > LARGE_ANSWER_BYTES);
        for member in &fleet.members {
            let again = send(member.entry, &call).await.unwrap();
            assert_eq!(again.status, StatusCode::CONFLICT);
            assert_eq!(again.verdict, "ran");
        }
        assert_eq!(fleet.record.runs(&key), 1);
    }
}

/// Guards against a key that is blocked for later attempts after a correct
/// `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_key_runs_on_a_later_attempt() {
    let fleet = fleet().await;
    fleet.wait_for_leases().await;
    for member in &fleet.members {
        member.upstream.crash();
    }
    let entry = |number: usize| fleet.members[number % fleet.members.len()].entry;
    let unmarked = order("/orders/new", "plain");
    let refused = send(entry(0), &unmarked).await.unwrap();
    assert_eq!(refused.verdict, "not-run", "{refused:?}");
    let refused = send(entry(1), &attempt("marked", 1)).await.unwrap();
    assert_eq!(refused.verdict, "not-run", "{refused:?}");
    let mut number = 1;
    let ran = loop {
        number += 1;
        assert!(
            number < 100,
            "no attempt ran although the upstreams restarted long ago"
        );
        let answer = send(entry(number as usize), &attempt("marked", number)).await;
        let answer = answer.unwrap();
        if answer.status == StatusCode::OK {
            break answer;
        }
        assert_eq!(answer.verdict, "not-run", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_ran(&ran, "marked");
    let mut ran = send(entry(2), &unmarked).await.unwrap();
    for _ in 0..50 {
        if ran.verdict != "not-run" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        ran = send(entry(2), &unmarked).await.unwrap();
    }
    assert_ran(&ran, "plain");
    for key in ["marked", "plain"] {
        assert_eq!(fleet.record.runs(key), 1);
    }
}
