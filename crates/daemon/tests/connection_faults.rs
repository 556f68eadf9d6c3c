//! Connections that go silent without closing, and upstreams that hang.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::time::Duration;

use common::{document, get_until_ok, list};
use fleet::caller::{Caller, End};
use fleet::{Fleet, Member, open_loop};
use http::Method;
use savorylane_standin::link;

/// Promised maximum time until a silent connection between daemons is replaced.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the start of a fault from which short requests meet their target
/// again.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Maximum number of attempts to have open connections that can be silenced.
const MAX_PREPARATIONS: usize = 5;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Sends reads to the entry of `member` for `length`, and returns the start,
/// the duration, the path and the outcome of each.
async fn send_reads(
    member: &Member,
    length: Duration,
    name: &'static str,
) -> Vec<(Duration, Duration, (String, End))> {
    let caller = Caller::new(true);
    let entry = member.entry();
    open_loop(REQUEST_INTERVAL, length, |n| {
        let caller = caller.clone();
        async move {
            let path = format!("/stock/{name}-{n}");
            let end = caller.send_and_check(Method::GET, entry, &path).await;
            (path, end)
        }
    })
    .await
}

/// Guards against requests that wait forever on a silent connection, and
/// against a silent connection that is not replaced. All requests cross the
/// link between the daemons, whose relays stop forwarding without closing.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_between_daemons_is_replaced() {
    let mut fleet = Fleet::open();
    for (host, service) in [("a1", "other"), ("b1", "stock")] {
        let member = Member::spawn(&fleet, host, |settings| settings.service = service.into());
        fleet.members.push(member.await);
    }
    let [entry, serving] = [&fleet.members[0], &fleet.members[1]];
    let relay = |target| {
        let settings = link::Settings {
            target,
            delay: Duration::from_millis(1),
            bandwidth: None,
        };
        link::spawn(settings, &fleet.cancel).unwrap()
    };
    let (data, control) = (
        relay(serving.list_entry.data),
        relay(serving.list_entry.control),
    );
    let mut relayed = serving.list_entry.clone();
    (relayed.data, relayed.control) = (data.addr, control.addr);
    let hosts = vec![entry.list_entry.clone(), relayed];
    fleet.platform.publish_hosts(&list(1, hosts));
    fleet.platform.publish_document(&document(1));
    fleet.wait_for_document(1, Duration::from_secs(10)).await;
    get_until_ok(entry.entry(), "/stock/first").await;
    send_reads(entry, Duration::from_millis(300), "before").await;
    let opened = data.counters().connections;
    data.silence();
    control.silence();
    let ends = send_reads(entry, Duration::from_secs(3), "silent").await;
    assert!(data.counters().connections > opened);
    let mut last_refused = Duration::ZERO;
    let mut counts = [0, 0];
    for (began, taken, (id, end)) in &ends {
        match end {
            End::Complete => counts[0] += 1,
            End::Refused(verdict) => {
                counts[1] += 1;
                last_refused = last_refused.max(*began);
                assert!(*taken < REPLACE_TIMEOUT, "{id} was refused after {taken:?}");
                let runs = fleet.record.runs(id);
                let truthful = verdict.starts_with("may-have-run") || runs == 0;
                assert!(truthful, "{id} ran {runs} times and is answered {verdict}");
            }
            end => panic!("{id}: {end:?}"),
        }
    }
    println!(
        "{} complete, {} refused, the last sent after {last_refused:?}",
        counts[0], counts[1]
    );
    assert!(
        counts[1] > 0,
        "no request was lost on the silent connection"
    );
    assert!(
        last_refused < REPLACE_TIMEOUT,
        "a read sent after {last_refused:?} was still refused"
    );
    fleet.stop();
}

/// Asserts that reads at the entry of the first member meet the class's target
/// from [`RECOVERY_TIME`] on.
async fn assert_target_met(fleet: &Fleet, name: &'static str) {
    let target = &document(1).classes[0].target;
    let latency = Duration::from_millis(target.latency_ms.into());
    let ends = send_reads(&fleet.members[0], Duration::from_secs(4), name).await;
    let early = ends.iter().filter(|(began, ..)| *began < RECOVERY_TIME);
    let late: Vec<_> = early
        .filter(|(_, taken, (_, end))| *end != End::Complete || *taken > latency)
        .collect();
    println!(
        "{name}: {} missed in the first {RECOVERY_TIME:?}",
        late.len()
    );
    let settled: Vec<_> = ends
        .iter()
        .filter(|(began, ..)| *began >= RECOVERY_TIME)
        .collect();
    let missed: Vec<_> = settled
        .iter()
        .filter(|(_, taken, (_, end))| *end != End::Complete || *taken > latency)
        .collect();
    println!("{name}: {} of {} missed later", missed.len(), settled.len());
    let share = 1.0 - missed.len() as f64 / settled.len() as f64;
    assert!(share >= target.quantile, "{share} in time: {missed:?}");
}

/// Guards against connections to the upstream that go silent and occupy the
/// slots of the host, or are reused for further requests.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_connections_do_not_delay_short_work() {
    let fleet = Fleet::spawn(&["a1", "a2", "b1"]).await;
    for member in &fleet.members {
        // 30 ms of work every 10 ms keep several connections in use.
        member.upstream.update_mode(|mode| mode.slow_factor = 6.0);
    }
    // Connections that are idle for 1 s are closed. On a loaded machine, that
    // much time can pass between the last read and the silence.
    let mut silent = 0;
    for _ in 0..MAX_PREPARATIONS {
        send_reads(&fleet.members[0], Duration::from_secs(1), "before").await;
        silent += fleet.members[0].upstream.silence(usize::MAX);
        if silent >= 2 {
            break;
        }
    }
    println!("{silent} connections are silent");
    assert!(silent >= 2, "{silent} connections are silent");
    assert_target_met(&fleet, "silent").await;
    fleet.stop();
}

/// Guards against routing that trusts the health report of an upstream: the
/// upstream hangs while it reports that it is healthy.
#[tokio::test(flavor = "multi_thread")]
async fn a_hanging_upstream_that_reports_healthy_is_avoided() {
    let fleet = Fleet::spawn(&["a1", "a2", "b1"]).await;
    send_reads(&fleet.members[0], Duration::from_secs(1), "before").await;
    let hanging = &fleet.members[0].upstream;
    hanging.update_mode(|mode| {
        mode.hang = true;
        mode.report_healthy = true;
    });
    assert_target_met(&fleet, "hanging").await;
    fleet.stop();
}
