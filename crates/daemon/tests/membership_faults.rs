//! Hosts that crash, restart together, or are partitioned.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{document, get_until_ok, list};
use fleet::caller::{Caller, End};
use fleet::process::{Process, publish_and_wait, wait_for_document};
use fleet::{Fleet, IN_FORCE_TIMEOUT, Member, open_loop, tally};
use http::Method;
use savorylane_intent::hosts::Host;
use savorylane_standin::link;
use savorylane_standin::upstream::{self, Record};

/// Factor that makes a request at an upstream take longer than the round trip
/// to another data centre: 60 ms instead of 5 ms.
const SLOW_FACTOR: f64 = 12.0;
/// Time between two requests at one entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Sends reads to the entries of `hosts` in turn for `length`, and returns the
/// start, the host and the outcome of each.
async fn send_reads(hosts: &[&Host], length: Duration) -> Vec<(Duration, String, End)> {
    let caller = Caller::new(true);
    let hosts: Vec<Host> = hosts.iter().map(|&host| host.clone()).collect();
    let sent = open_loop(REQUEST_INTERVAL / hosts.len() as u32, length, |n| {
        let (caller, host) = (caller.clone(), hosts[n % hosts.len()].clone());
        async move {
            let path = format!("/stock/{}-{n}", host.name);
            let end = caller.send_and_check(Method::GET, host.entry, &path).await;
            (host.name, end)
        }
    });
    let ends = sent.await.into_iter();
    ends.map(|(began, _, (host, end))| (began, host, end))
        .collect()
}

/// Starts three daemons. The upstream of the host `name` has the record `own`
/// and is faster than the others, so that the other daemons route to it.
fn spawn_with_records(fleet: &Fleet, own: &Arc<Record>, name: &str) -> [Process; 3] {
    ["a1", "a2", "b1"].map(|host| {
        let fast = host == name;
        let record = if fast { own } else { &fleet.record };
        let settings = upstream::Settings::default();
        let upstream = upstream::spawn(settings, record, &fleet.cancel).unwrap();
        if !fast {
            upstream.update_mode(|mode| mode.slow_factor = SLOW_FACTOR);
        }
        Process::spawn_with_upstream(fleet, host, upstream, &[])
    })
}

/// Guards against errors for callers, and against endless attempts, after a
/// daemon was killed that the host list still shows as live.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_costs_few_attempts_and_no_errors() {
    let fleet = Fleet::open();
    let own = Arc::new(Record::default());
    let mut processes = spawn_with_records(&fleet, &own, "a1");
    publish_and_wait(&fleet, &processes, &document(1)).await;
    let [killed, a2, b1] = &mut processes;
    let entries = [a2.list_entry.clone(), b1.list_entry.clone()];
    let load = tokio::spawn(async move {
        let entries: Vec<&Host> = entries.iter().collect();
        send_reads(&entries, Duration::from_secs(4)).await
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let before = [a2.retry_count().await, b1.retry_count().await];
    let received = own.counts().received;
    assert!(
        received > 50,
        "the killed host had {received} requests only"
    );
    killed.daemon.child.kill().unwrap();
    let ends = load.await.unwrap();
    let ends = tally(ends.into_iter().map(|(_, host, end)| (host, end)));
    let after = [a2.retry_count().await, b1.retry_count().await];
    println!("{ends:?}; retries {before:?} then {after:?}");
    assert!(
        ends.keys().all(|(_, end)| *end == End::Complete),
        "{ends:?}"
    );
    // Requests in flight at the crash, and one for each probe of the backoff.
    // Without the backoff, there were 12.
    for (before, after) in before.iter().zip(after) {
        assert!(after - before <= 6.0, "{} failed attempts", after - before);
    }
    fleet.cancel.cancel();
}

/// Guards against a data centre whose daemons crash and restart together and
/// are mistaken for their earlier runs, or avoided for too long.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_data_centre_is_back_in_service() {
    const RECOVERY_TIMEOUT: Duration = Duration::from_secs(4);
    const KILL_AT: Duration = Duration::from_millis(500);
    let fleet = Fleet::open();
    // The daemon of the other data centre runs another service, so it sends
    // all requests to the two that crash.
    let mut processes = ["a1", "a2", "b1"].map(|host| {
        let settings = upstream::Settings::default();
        let upstream = upstream::spawn(settings, &fleet.record, &fleet.cancel).unwrap();
        let other = (host == "b1").then(|| "--service=other".to_owned());
        let more: Vec<String> = other.into_iter().collect();
        Process::spawn_with_upstream(&fleet, host, upstream, &more)
    });
    processes[2].list_entry.service = "other".into();
    publish_and_wait(&fleet, &processes, &document(1)).await;
    let mut incarnations = Vec::new();
    for process in &processes {
        incarnations.push(process.status().await.unwrap().incarnation);
    }
    let entry = processes[2].list_entry.clone();
    let load =
        tokio::spawn(async move { send_reads(&[&entry], KILL_AT + RECOVERY_TIMEOUT * 2).await });
    tokio::time::sleep(KILL_AT).await;
    // Both are down at the same time before either restarts.
    for process in &mut processes[..2] {
        process.daemon.child.kill().unwrap();
    }
    let began = Instant::now();
    for process in &mut processes[..2] {
        process.restart(&fleet).await;
    }
    let all: Vec<&Process> = processes.iter().collect();
    wait_for_document(&all, 1, RECOVERY_TIMEOUT.saturating_sub(began.elapsed())).await;
    println!("in force {:?} after the kill", began.elapsed());
    for (process, before) in processes.iter().zip(&incarnations).take(2) {
        assert!(process.status().await.unwrap().incarnation > *before);
        get_until_ok(process.entry(), "/stock/back").await;
    }
    let ends = load.await.unwrap();
    let failed = ends.iter().filter(|(_, _, end)| *end != End::Complete);
    let times: Vec<Duration> = failed.map(|(at, ..)| *at).collect();
    println!(
        "{} requests of the other data centre failed, {times:?}",
        times.len()
    );
    let last = times.last().copied().unwrap_or_default();
    assert!(
        last < KILL_AT + RECOVERY_TIMEOUT,
        "still out of service at {last:?}"
    );
    fleet.cancel.cancel();
}

/// Returns `host` with relays in front of its data and control ports.
fn relayed(host: &Host, fleet: &Fleet) -> (Host, [link::Handle; 2]) {
    let relay = |target| {
        let settings = link::Settings {
            target,
            delay: Duration::from_micros(1500),
            bandwidth: None,
        };
        link::spawn(settings, &fleet.cancel).unwrap()
    };
    let relays = [relay(host.data), relay(host.control)];
    let [data, control] = [relays[0].addr, relays[1].addr];
    let host = Host {
        data,
        control,
        ..host.clone()
    };
    (host, relays)
}

/// Guards against a partition that interrupts service on either side, and
/// against sides that keep different versions after it has healed. Each side
/// reads its own platform, whose host list contains the relays of the other
/// side.
#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_serve_and_converge_again() {
    let (mut left, mut right) = (Fleet::open(), Fleet::open());
    for (fleet, hosts) in [(&mut left, ["a1", "a2"]), (&mut right, ["b1", "b2"])] {
        for host in hosts {
            let member = Member::spawn(fleet, host, |_| ()).await;
            if host.starts_with('a') {
                // The left side cannot meet its target of 200 ms by itself,
                // so it sends requests to the right one.
                member.upstream.update_mode(|mode| mode.slow_factor = 60.0);
            }
            fleet.members.push(member);
        }
    }
    let mut relays = Vec::new();
    for (near, far) in [(&left, &right), (&right, &left)] {
        let mut hosts: Vec<Host> = near.members.iter().map(|m| m.list_entry.clone()).collect();
        for member in &far.members {
            let (host, pair) = relayed(&member.list_entry, near);
            hosts.push(host);
            relays.extend(pair);
        }
        near.platform.publish_hosts(&list(1, hosts));
        near.platform.publish_document(&document(1));
    }
    for fleet in [&left, &right] {
        fleet.wait_for_document(1, Duration::from_secs(10)).await;
        fleet.wait_for_peer_count(4).await;
    }
    let all = [
        &left.members[0],
        &left.members[1],
        &right.members[0],
        &right.members[1],
    ];
    let entries: Vec<Host> = all.iter().map(|member| member.list_entry.clone()).collect();
    let load = tokio::spawn(async move {
        let entries: Vec<&Host> = entries.iter().collect();
        send_reads(&entries, Duration::from_secs(7)).await
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let runs = right.record.counts().runs;
    let crossed = runs.keys().filter(|id| id.starts_with("/stock/a")).count();
    println!("{crossed} requests of the left side ran on the right one");
    assert!(crossed > 10, "the partition affects too few requests");
    relays.iter().for_each(link::Handle::cut);
    for member in &left.members {
        member.upstream.update_mode(|mode| mode.slow_factor = 1.0);
    }
    left.platform.publish_document(&document(2));
    right.platform.publish_document(&document(3));
    left.wait_for_document(2, IN_FORCE_TIMEOUT).await;
    right.wait_for_document(3, IN_FORCE_TIMEOUT).await;
    // Longer than the detection of an unreachable host.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    left.wait_for_document(2, Duration::from_millis(100)).await;
    relays.iter().for_each(link::Handle::heal);
    let taken = left.wait_for_document(3, IN_FORCE_TIMEOUT).await;
    println!("one version {taken:?} after the partition healed");
    right.wait_for_document(3, Duration::from_millis(100)).await;
    let ends = load.await.unwrap();
    let ends = tally(ends.into_iter().map(|(_, host, end)| (host, end)));
    println!("{ends:?}");
    assert!(
        ends.keys().all(|(_, end)| *end == End::Complete),
        "{ends:?}"
    );
    left.stop();
    right.stop();
}
