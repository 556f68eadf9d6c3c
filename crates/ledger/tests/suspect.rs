//! Number of upstreams that one request crashes over all resends.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use savorylane_intent::Hash;
use savorylane_ledger::suspect::{
    Admission, List, MAX_SUSPECTS, OWNER_TIMEOUT, RETENTION, Reason, fingerprint,
};
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Sender, Suspicion, suspicion};

const SECOND: Duration = Duration::from_secs(1);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn list(host: &str) -> List {
    let me = Sender {
        host: host.into(),
        incarnation: Incarnation::default(),
    };
    List::new(me, "grafica".into())
}

fn peers(of: usize) -> Vec<&'static str> {
    let others = NAMES.iter().enumerate().filter(|(index, _)| *index != of);
    others.map(|(_, name)| *name).collect()
}

fn request(number: u64) -> Hash {
    fingerprint("POST", "/grafica", "10.0.0.1", Some(number), b"")
}

/// Gatekeepers of one service and their upstreams. Request 0 crashes every
/// upstream that runs it.
struct Service {
    lists: Vec<List>,
    running: Vec<Vec<u64>>,
    /// Undelivered messages, each with the index of its receiver.
    pushes: Vec<(usize, Suspicion)>,
    crashes: u32,
    now: Duration,
}

impl Service {
    /// Queues a message of gatekeeper `from` for all others.
    fn push(&mut self, from: usize, message: &Suspicion) {
        let others = (0..NAMES.len()).filter(|to| *to != from);
        self.pushes.extend(others.map(|to| (to, message.clone())));
    }

    /// Delivers one of the queued messages and its acknowledgement.
    fn deliver(&mut self, pick: usize) {
        if self.pushes.is_empty() {
            return;
        }
        let (to, message) = self.pushes.swap_remove(pick % self.pushes.len());
        let from = NAMES
            .iter()
            .position(|name| *name == message.from.host)
            .unwrap();
        let reply = self.lists[to].on_suspicion(self.now, &message);
        self.lists[from].on_acknowledgement(self.now, &message, &reply);
    }

    /// Sends request `number` to gatekeeper `to`; returns `None` if a trial has
    /// to wait for an idle upstream.
    fn send(&mut self, to: usize, number: u64) -> Option<Admission> {
        // The gatekeeper runs a suspect only while its upstream is idle.
        let admission = self.lists[to].admit(self.now, &request(number));
        match admission {
            Admission::Run => self.running[to].push(number),
            Admission::RunAlone if !self.running[to].is_empty() => {
                self.lists[to].cancel_trial(self.now, &request(number));
                return None;
            }
            Admission::RunAlone => self.running[to].push(number),
            Admission::Refuse(_) => {}
        }
        Some(admission)
    }

    /// Completes all requests at an upstream, or crashes the upstream if
    /// request 0 is among them.
    fn complete(&mut self, host: usize) {
        let numbers = std::mem::take(&mut self.running[host]);
        if numbers.contains(&0) {
            self.crashes += 1;
            let in_flight: Vec<Hash> = numbers.iter().map(|number| request(*number)).collect();
            let peers = peers(host);
            let message = self.lists[host].on_upstream_crash(self.now, &in_flight, &peers);
            self.push(host, &message);
            return;
        }
        for number in numbers {
            if let Some(message) = self.lists[host].on_completed(self.now, &request(number)) {
                self.push(host, &message);
            }
        }
    }
}

/// Guards against a caller that crashes one upstream after another by sending
/// the same request again. The caller sends the request again only after its
/// answer, that is, when all reachable gatekeepers have acknowledged the
/// suspicion. Before the first crash, a second attempt may be in flight.
#[test]
fn at_most_two_crashes() {
    let mut runner = TestRunner::new(Config {
        cases: 2000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    });
    let step = (0..6u8, 0..4usize, 0..64usize);
    let steps = prop::collection::vec(step, 1..120);
    let twice = std::cell::Cell::new(0);
    let result = runner.run(&steps, |steps| {
        let mut service = Service {
            lists: NAMES.iter().map(|name| list(name)).collect(),
            running: vec![Vec::new(); NAMES.len()],
            pushes: Vec::new(),
            crashes: 0,
            now: Duration::ZERO,
        };
        for (step, host, pick) in steps {
            service.now += Duration::from_millis(10);
            match step {
                // Request 0: before the first crash, up to 2 at a time.
                0 => {
                    let running = service
                        .running
                        .iter()
                        .flatten()
                        .filter(|n| **n == 0)
                        .count();
                    let limit = if service.crashes == 0 { 2 } else { 1 };
                    if running < limit && (service.crashes == 0 || service.pushes.is_empty()) {
                        service.send(host, 0);
                    }
                }
                1 | 2 => {
                    service.send(host, 1 + pick as u64 % 3);
                }
                3 => service.complete(host),
                _ => service.deliver(pick),
            }
        }
        prop_assert!(service.crashes <= 2, "{} crashes", service.crashes);
        twice.set(twice.get() + u32::from(service.crashes == 2));
        Ok(())
    });
    result.unwrap();
    assert!(
        twice.get() > 100,
        "{} schedules with two crashes",
        twice.get()
    );
}

/// Guards against confirming a suspect that was only in flight together with
/// the crashing request, and against a third crash after the trial.
#[test]
fn a_trial_clears_bystanders_and_confirms_the_culprit() {
    let now = Duration::ZERO;
    let (mut a, mut b) = (list("a"), list("b"));
    let suspicion = a.on_upstream_crash(now, &[request(0), request(1)], &["b"]);
    assert_eq!(
        a.admit(now, &request(0)),
        Admission::Refuse(Reason::Undecided),
        "not acknowledged"
    );
    let reply = b.on_suspicion(now, &suspicion);
    assert_eq!(
        b.admit(now, &request(0)),
        Admission::Refuse(Reason::Undecided),
        "b does not own the suspicion"
    );
    a.on_acknowledgement(now, &suspicion, &reply);
    assert_eq!(a.admit(now, &request(1)), Admission::RunAlone);
    let cleared = a.on_completed(now, &request(1)).unwrap();
    b.on_suspicion(now, &cleared);
    assert_eq!(b.admit(now, &request(1)), Admission::Run);
    assert_eq!(a.admit(now, &request(0)), Admission::RunAlone);
    assert_eq!(
        a.admit(now, &request(0)),
        Admission::Refuse(Reason::Undecided),
        "runs once"
    );
    let suspicion = a.on_upstream_crash(now, &[request(0)], &["b"]);
    assert_eq!(suspicion.suspects[0].state, suspicion::State::Confirmed);
    b.on_suspicion(now, &suspicion);
    for list in [&mut a, &mut b] {
        assert_eq!(
            list.admit(RETENTION / 2, &request(0)),
            Admission::Refuse(Reason::Confirmed)
        );
        assert_eq!(list.admit(RETENTION, &request(0)), Admission::Run);
    }
}

/// Guards against two gatekeepers that own the same suspicion and both run the
/// trial.
#[test]
fn a_suspect_with_two_owners_is_confirmed() {
    let now = Duration::ZERO;
    let (mut a, mut b) = (list("a"), list("b"));
    let from_a = a.on_upstream_crash(now, &[request(0)], &["b"]);
    let from_b = b.on_upstream_crash(now, &[request(0)], &["a"]);
    let reply = b.on_suspicion(now, &from_a);
    a.on_acknowledgement(now, &from_a, &reply);
    a.on_suspicion(now, &from_b);
    for list in [&mut a, &mut b] {
        assert_eq!(
            list.admit(now, &request(0)),
            Admission::Refuse(Reason::Confirmed)
        );
    }
}

/// Guards against an unlimited number of suspects, and against removing
/// confirmed suspects before unconfirmed ones.
#[test]
fn the_number_of_suspects_is_bounded() {
    let now = Duration::ZERO;
    let mut a = list("a");
    for _ in 0..2 {
        a.on_upstream_crash(now, &[request(0)], &[]);
    }
    for number in 1..2 * MAX_SUSPECTS as u64 {
        a.on_upstream_crash(now, &[request(number)], &[]);
    }
    assert_eq!(a.len(), MAX_SUSPECTS);
    assert_eq!(
        a.admit(now, &request(0)),
        Admission::Refuse(Reason::Confirmed)
    );
}

/// Returns the lists of `b` and `c` after they learnt that `a` crashed with
/// request 0.
fn lists_with_owner_a() -> (Suspicion, [List; 2]) {
    let mut a = list("a");
    let suspicion = a.on_upstream_crash(Duration::ZERO, &[request(0)], &["b", "c"]);
    let mut others = [list("b"), list("c")];
    for other in &mut others {
        other.on_suspicion(Duration::ZERO, &suspicion);
    }
    (suspicion, others)
}

/// Returns which of `b` and `c` may run request 0, after each was asked.
fn owners(now: Duration, lists: &mut [List; 2], live: &[&str]) -> Vec<&'static str> {
    let mut owners = Vec::new();
    for (name, list) in ["b", "c"].into_iter().zip(lists) {
        list.replace_owner(now, &request(0), live);
        if list.admit(now, &request(0)) == Admission::RunAlone {
            owners.push(name);
        }
    }
    owners
}

/// Guards against a request that is refused until its suspicion expires, because
/// the gatekeeper that owns the suspicion is gone with its upstream.
#[test]
fn the_suspicion_of_a_gone_owner_is_taken_over_by_one_gatekeeper() {
    let (_, mut lists) = lists_with_owner_a();
    let owners = owners(Duration::ZERO, &mut lists, &["b", "c"]);
    let [owner] = owners[..] else {
        panic!("{owners:?} run the request");
    };
    let [b, c] = &mut lists;
    let (list, other) = if owner == "b" { (b, c) } else { (c, b) };
    assert_eq!(other.owner(&request(0)), Some(owner), "names the new owner");
    let cleared = list.on_completed(SECOND, &request(0)).unwrap();
    other.on_suspicion(SECOND, &cleared);
    for list in [list, other] {
        assert_eq!(list.admit(SECOND, &request(0)), Admission::Run);
    }
}

/// Guards against the same if the owner is listed but never answers: no event
/// ends the belief then, only time does.
#[test]
fn the_suspicion_of_a_silent_owner_is_taken_over_after_a_timeout() {
    let (_, mut lists) = lists_with_owner_a();
    let live = ["a", "b", "c"];
    for now in [10 * SECOND, 10 * SECOND + OWNER_TIMEOUT - SECOND / 100] {
        assert!(owners(now, &mut lists, &live).is_empty(), "{now:?}");
        assert_eq!(lists[0].owner(&request(0)), Some("a"));
    }
    let now = 10 * SECOND + OWNER_TIMEOUT;
    assert_eq!(owners(now, &mut lists, &live).len(), 1);
}

/// Guards against a third crash after a takeover, and against a ban because the
/// report of the first owner is delivered once more.
#[test]
fn a_crash_after_a_takeover_confirms_the_suspect() {
    let (suspicion, mut lists) = lists_with_owner_a();
    let owner = owners(Duration::ZERO, &mut lists, &["b", "c"])[0];
    let [b, c] = &mut lists;
    let (list, other) = if owner == "b" { (b, c) } else { (c, b) };
    for list in [&mut *list, &mut *other] {
        let reply = list.on_suspicion(SECOND, &suspicion);
        assert!(reply.suspects.is_empty(), "confirmed by a repeated report");
    }
    let crashed = list.on_upstream_crash(SECOND, &[request(0)], &["c"]);
    assert_eq!(crashed.suspects[0].state, suspicion::State::Confirmed);
    other.on_suspicion(SECOND, &crashed);
    other.replace_owner(SECOND, &request(0), &["b", "c"]);
    assert_eq!(
        other.admit(SECOND, &request(0)),
        Admission::Refuse(Reason::Confirmed)
    );
}
