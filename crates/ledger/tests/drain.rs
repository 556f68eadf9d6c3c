//! Refusals of keys without attempt numbers while a ring member drains, in
//! virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use savorylane_intent::hosts::{Host, List, State};
use savorylane_ledger::dedup::{Claim, Request};
use savorylane_ledger::{Lease, Settings, Table, ring};
use savorylane_wire::control::ring::Confirmation;
use savorylane_wire::control::{Scope, Sender};
use savorylane_wire::{Incarnation, Verdict};

/// Time between two steps of the simulation.
const STEP_MS: u64 = 100;
/// Number of new keys in each step.
const KEYS_PER_STEP: u64 = 210;
/// Start of the drain, after the first start and several rounds of questions.
const DRAIN_START_MS: u64 = 20_000;
/// End of the simulation.
const END_MS: u64 = 90_000;

fn scope() -> Scope {
    Scope {
        service: "utlan".into(),
        home: None,
    }
}

/// Returns a list of `count` hosts in which the host `draining` is in state
/// `state`, or is missing if that is `None`.
fn list(number: u64, count: usize, draining: &str, state: Option<State>) -> List {
    let address = "127.0.0.1:1".parse().unwrap();
    let host = |index: usize| Host {
        name: format!("host-{index}"),
        region: "svealand".into(),
        data_centre: "sv-a".into(),
        service: "utlan".into(),
        entry: address,
        data: address,
        control: address,
        operator: address,
        state: State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    };
    let mut list = List {
        number,
        hosts: (0..count).map(host).collect(),
    };
    match state {
        None => list.hosts.retain(|host| host.name != draining),
        Some(state) => {
            for host in &mut list.hosts {
                if host.name == draining {
                    host.state = state;
                }
            }
        }
    }
    list
}

/// Ledger of one host.
struct Daemon {
    lease: Lease,
    table: Table,
}

/// Refused share of the new keys in each step from the start of the drain.
struct Refusals {
    shares: Vec<f64>,
}

impl Refusals {
    /// Returns the length in seconds of an outage of all keys with the same
    /// number of refusals.
    fn equivalent_outage_s(&self) -> f64 {
        self.shares.iter().sum::<f64>() * STEP_MS as f64 / 1000.0
    }

    /// Returns the highest refused share later than `from` seconds after the
    /// start of the drain.
    fn peak_share(&self, from: f64) -> f64 {
        let first = (from * 1000.0) as usize / STEP_MS as usize;
        self.shares[first..].iter().copied().fold(0.0, f64::max)
    }

    /// Returns the seconds from the start of the drain until most keys run
    /// again.
    fn majority_refused_until_s(&self) -> f64 {
        let last = self.shares.iter().rposition(|share| *share > 0.5);
        last.map_or(0.0, |last| (last + 1) as f64 * STEP_MS as f64 / 1000.0)
    }

    /// Returns the seconds from the start of the drain until no key is refused
    /// any more.
    fn last_refusal_s(&self) -> f64 {
        let last = self.shares.iter().rposition(|share| *share > 0.0);
        last.map_or(0.0, |last| (last + 1) as f64 * STEP_MS as f64 / 1000.0)
    }
}

/// Simulates the drain of a member of the ring of `count` hosts. The host stops
/// 10 s after the start of the drain and is removed from the list 1 s later. If
/// `leaving_is_member`, the host remains a member until that removal.
fn simulate(count: usize, leaving_is_member: bool) -> Refusals {
    let any = ring::compute(&list(1, count, "", None), &scope());
    let draining = any.members[0].as_str();
    let leaving = if leaving_is_member {
        State::Live
    } else {
        State::Leaving
    };
    let lists = [
        (0, list(1, count, draining, Some(State::Live))),
        (DRAIN_START_MS, list(2, count, draining, Some(leaving))),
        (DRAIN_START_MS + 11_000, list(3, count, draining, None)),
    ];
    let stop = DRAIN_START_MS + 10_000;
    let settings = Settings {
        first_start: true,
        ..Settings::default()
    };
    let initial = ring::compute(&lists[0].1, &scope());
    let mut daemons: BTreeMap<String, Daemon> = BTreeMap::new();
    for host in &lists[0].1.hosts {
        let me = Sender {
            host: host.name.clone(),
            incarnation: Incarnation::default(),
        };
        let daemon = Daemon {
            lease: Lease::new(settings, me, Duration::ZERO, 0, initial.clone()),
            table: Table::new(settings, Incarnation::default()),
        };
        daemons.insert(host.name.clone(), daemon);
    }
    let names: Vec<String> = daemons.keys().cloned().collect();
    let mut shares = Vec::new();
    for at in (0..END_MS).step_by(STEP_MS as usize) {
        let now = Duration::from_millis(at);
        let up = |name: &str| name != draining || at < stop;
        for (index, name) in names.iter().enumerate().filter(|(_, name)| up(name)) {
            // All hosts adopt a list within 0.7 s.
            let due = |published: u64| published + 100 * index as u64 <= at;
            let newest = lists.iter().rev().find(|(published, _)| due(*published));
            let daemon = daemons.get_mut(name).unwrap();
            let before = daemon.lease.ring().hash;
            if let Some((_, list)) = newest {
                let ring = ring::compute(list, &scope());
                daemon.lease.on_ring(now, at, ring);
            }
            daemon.lease.on_tick(now, at);
            let changed = daemon.lease.ring().hash != before;
            let round = (at / STEP_MS + index as u64).is_multiple_of(10);
            let member = daemon.lease.ring().members.contains(name);
            if member && (changed || round) {
                let peers: BTreeSet<String> =
                    daemon.lease.peers().iter().map(|p| (*p).into()).collect();
                for peer in peers.iter().filter(|peer| up(peer)) {
                    let answer: Confirmation = daemons[peer].lease.confirmation(now);
                    let lease = &mut daemons.get_mut(name).unwrap().lease;
                    lease.on_confirmation(now, at, &answer, now);
                }
            }
        }
        if at < DRAIN_START_MS {
            continue;
        }
        // The entry adopts a list no earlier than the slowest host.
        let due = |published: u64| published + 100 * count as u64 <= at;
        let (_, list) = lists.iter().rev().find(|(time, _)| due(*time)).unwrap();
        let ring = ring::compute(list, &scope());
        let mut refused = 0;
        for number in 0..KEYS_PER_STEP {
            let key = format!("{at}/{number}");
            let holder = ring::holder(&ring, &key).unwrap();
            let daemon = daemons.get_mut(holder).unwrap();
            let request = Request {
                key: &key,
                attempt: None,
                key_ms: None,
                age: Some(Duration::ZERO),
                incarnation: Incarnation::default(),
                ring_hash: ring.hash,
            };
            if up(holder) && daemon.table.claim(&daemon.lease, now, at, &request) == Claim::Run {
                daemon.table.finish(now, &key, Verdict::Ran, None);
            } else {
                refused += 1;
            }
        }
        shares.push(f64::from(refused) / KEYS_PER_STEP as f64);
    }
    Refusals { shares }
}

fn print(name: &str, refusals: &Refusals) {
    println!(
        "{name}: refusals equal {:.2} s of outage; most keys run after {:.1} s; refused share after 3 s at most {:.2}, none after {:.1} s",
        refusals.equivalent_outage_s(),
        refusals.majority_refused_until_s(),
        refusals.peak_share(3.0),
        refusals.last_refusal_s()
    );
}

/// Guards against a drain that makes holders refuse keys whose holder does not
/// change. The keys of the draining host move, and as many keys move to the
/// host that replaces it: two sevenths of the keys in both cases.
#[test]
fn drain_of_one_member_in_seven() {
    // Of 7 hosts, 5 members remain, so that a second host leaves the ring.
    for hosts in [8, 7] {
        let refusals = simulate(hosts, false);
        print(&format!("{hosts} hosts"), &refusals);
        // All hosts and the entry adopt a list within 0.8 s, and a round of
        // questions takes 1 s.
        assert!(
            refusals.majority_refused_until_s() < 2.0,
            "one round of questions"
        );
        assert!(refusals.peak_share(3.0) < 0.4, "share of keys refused");
        assert!(
            refusals.equivalent_outage_s() < 12.0,
            "two sevenths for 35 s, and 2 s"
        );
        assert!(refusals.last_refusal_s() < 38.0);
    }
}

/// Guards the rule that a draining host is no member. As a member it would stop
/// before the ring changes, and a ring of two could then never be retired: no
/// majority of its members could confirm the new ring.
#[test]
fn leaving_host_as_member() {
    for hosts in [8, 7, 3, 2] {
        let (left, stayed) = (simulate(hosts, false), simulate(hosts, true));
        print(&format!("{hosts} hosts, member until the drain"), &left);
        print(&format!("{hosts} hosts, member until the removal"), &stayed);
        assert!(left.last_refusal_s() < 38.0);
        assert!(left.peak_share(3.0) < 1.0 || hosts == 2);
        // The simulation ends 70 s after the start of the drain.
        assert!(hosts > 2 || stayed.last_refusal_s() >= 70.0);
    }
}
