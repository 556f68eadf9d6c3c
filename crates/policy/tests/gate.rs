//! Tests of the gate: slots, refusals, fairness between callers and shedding.

use std::time::Duration;

use savorylane_intent::document::Work as Length;
use savorylane_policy::gate::{
    Action, Decision, Gate, MAX_CLASS_QUEUE, Outcome, Reason, Request, max_long_slots,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn short(id: u64, deadline_ms: u64) -> Request {
    Request {
        id,
        class: 1,
        length: Length::Short,
        shed_order: 0,
        deadline: ms(deadline_ms),
        target: ms(deadline_ms),
        caller: 1,
        exclusive: false,
        late: false,
        stranger: false,
    }
}

fn long(id: u64) -> Request {
    Request {
        class: 2,
        length: Length::Long,
        ..short(id, 60_000)
    }
}

/// Runs `count` requests of `service_ms` each, so that the gate has measured
/// the service time. Returns the time in milliseconds after the last one.
fn train(gate: &mut Gate, mut now: u64, count: u64, service_ms: u64) -> u64 {
    for id in 1_000_000..1_000_000 + count {
        assert_eq!(gate.arrive(ms(now), short(id, now + 60_000)), Decision::Run);
        now += service_ms;
        gate.finish(ms(now), id, Outcome::Answered);
    }
    now
}

/// Returns all actions that are due at `now`, which is in milliseconds.
fn actions(gate: &mut Gate, now: u64) -> Vec<Action> {
    std::iter::from_fn(|| gate.next_action(ms(now))).collect()
}

/// Guards against uploads that occupy every slot and block short work.
#[test]
fn long_work_leaves_slots_for_short_work() {
    for slots in 2..=18 {
        let mut gate = Gate::new(slots);
        let started = (0..40)
            .filter(|id| gate.arrive(ms(0), long(*id)) == Decision::Run)
            .count();
        assert_eq!(started, max_long_slots(slots));
        assert_eq!(gate.arrive(ms(0), short(99, 1_000)), Decision::Run);
    }
}

/// Guards against the starvation of uploads while short work keeps arriving.
#[test]
fn long_work_progresses_beside_a_flood_of_short_work() {
    let mut gate = Gate::new(6);
    let mut running = (0..6).collect::<Vec<_>>();
    for id in 0..6 {
        assert_eq!(gate.arrive(ms(0), short(id, 60_000)), Decision::Run);
    }
    for id in 6..100 {
        gate.arrive(ms(0), short(id, 60_000));
    }
    assert_eq!(gate.arrive(ms(0), long(500)), Decision::Wait);
    gate.finish(ms(10), running.remove(0), Outcome::Answered);
    assert_eq!(actions(&mut gate, 10), [Action::Start(500)]);
}

/// Guards against a request that is queued although its deadline cannot be
/// met.
#[test]
fn refuses_on_arrival_a_request_that_cannot_meet_its_deadline() {
    let mut gate = Gate::new(2);
    let now = train(&mut gate, 0, 50, 100);
    // Two run and four are queued. The last of these is expected to end after
    // 4 * 100 ms / 2 slots + 100 ms, just before its deadline.
    for id in 0..6 {
        assert!(!matches!(
            gate.arrive(ms(now), short(id, now + 301)),
            Decision::Refuse(_)
        ));
    }
    let late = short(50, now + 301);
    assert_eq!(
        gate.arrive(ms(now), late),
        Decision::Refuse(Reason::Deadline)
    );
    assert!(gate.retry_after_ms(&late) >= 50);
    let past = short(51, now);
    assert_eq!(
        gate.arrive(ms(now), past),
        Decision::Refuse(Reason::Deadline)
    );
}

/// Guards against a caller whose flood of requests starves another caller.
#[test]
fn callers_share_a_queue_fairly() {
    let mut gate = Gate::new(2);
    for id in 0..200 {
        gate.arrive(ms(0), short(id, 50_000));
    }
    for id in 1_000..1_020 {
        let request = Request {
            caller: 2,
            ..short(id, 60_000)
        };
        assert_eq!(gate.arrive(ms(0), request), Decision::Wait);
    }
    let (mut running, mut served) = (vec![0, 1], [0, 0]);
    for step in 1..=20 {
        let id = running.remove(0);
        gate.finish(ms(step * 10), id, Outcome::Answered);
        for action in actions(&mut gate, step * 10) {
            if let Action::Start(id) = action {
                running.push(id);
                served[usize::from(id >= 1_000)] += 1;
            }
        }
    }
    assert_eq!(served, [10, 10]);
}

/// Guards against a full queue that shuts out callers with few requests.
#[test]
fn a_full_queue_evicts_from_the_caller_with_the_longest_backlog() {
    let mut gate = Gate::new(2);
    for id in 0..2 + MAX_CLASS_QUEUE as u64 {
        gate.arrive(ms(0), short(id, 50_000));
    }
    assert_eq!(
        gate.arrive(ms(0), short(5_000, 50_000)),
        Decision::Refuse(Reason::Full)
    );
    let other = Request {
        caller: 2,
        ..short(5_001, 50_000)
    };
    assert_eq!(gate.arrive(ms(0), other), Decision::Wait);
    let refused = actions(&mut gate, 0);
    assert!(matches!(refused[..], [Action::Refuse(id, Reason::Full)] if id != 5_001));
}

/// Guards against shedding, under overload, from a class with a lower shed
/// order than another one.
#[test]
fn sheds_the_highest_shed_order_first() {
    let mut gate = Gate::new(2);
    let mut now = train(&mut gate, 0, 50, 100);
    let mut refused = [0, 0];
    let mut running = std::collections::VecDeque::new();
    for step in 0..600 {
        now += 25;
        if step % 4 == 0 && running.len() >= 2 {
            for _ in 0..2 {
                let id = running.pop_front().expect("two requests run");
                gate.finish(ms(now), id, Outcome::Answered);
            }
        }
        let order = step % 2;
        let request = Request {
            class: 10 + order,
            shed_order: order as u8,
            ..short(step, now + 2_000)
        };
        match gate.arrive(ms(now), request) {
            Decision::Run => running.push_back(step),
            Decision::Wait => {}
            Decision::Refuse(_) => refused[order as usize] += 1,
        }
        for action in actions(&mut gate, now) {
            match action {
                Action::Start(id) => running.push_back(id),
                Action::Refuse(id, _) => refused[(id % 2) as usize] += 1,
            }
        }
    }
    assert_eq!(refused[0], 0);
    assert!(refused[1] > 200, "refused {refused:?}");
}

/// Guards against a gate that still starts requests at an upstream that died,
/// and against a burst at an upstream that has just become reachable again.
#[test]
fn closes_when_the_upstream_dies_and_starts_slowly() {
    let mut gate = Gate::new(6);
    for id in 0..8 {
        gate.arrive(ms(0), short(id, 60_000));
    }
    gate.finish(ms(1), 0, Outcome::UpstreamDown);
    let refused = actions(&mut gate, 1);
    assert_eq!(refused, [6, 7].map(|id| Action::Refuse(id, Reason::Closed)));
    for id in 1..6 {
        gate.finish(ms(2), id, Outcome::UpstreamDown);
    }
    assert_eq!(
        gate.arrive(ms(3), short(20, 60_000)),
        Decision::Refuse(Reason::Closed)
    );
    gate.reopen(ms(100));
    assert_eq!(gate.load().limit, 2);
    for id in 30..36 {
        gate.arrive(ms(100), short(id, 60_000));
    }
    assert_eq!(gate.load().running, 2);
    let wake = gate.wake_at().expect("a slot is added later");
    assert!(matches!(gate.next_action(wake), Some(Action::Start(_))));
    assert_eq!(actions(&mut gate, 5_100).len(), 3);
}

/// Guards against other requests that run beside an exclusive one, and against
/// exclusive requests that hold back others again and again.
#[test]
fn an_exclusive_request_runs_alone_and_then_yields() {
    let exclusive = |id| Request {
        exclusive: true,
        ..short(id, 5_000)
    };
    let mut gate = Gate::new(6);
    assert_eq!(gate.arrive(ms(0), long(1)), Decision::Run);
    assert_eq!(gate.arrive(ms(0), exclusive(2)), Decision::Wait);
    // While an upload runs, short work is not held back.
    assert_eq!(gate.arrive(ms(1), short(3, 5_000)), Decision::Run);
    assert_eq!(gate.arrive(ms(1), long(4)), Decision::Wait);
    gate.finish(ms(10), 1, Outcome::Answered);
    assert_eq!(actions(&mut gate, 10), []);
    assert_eq!(gate.arrive(ms(11), short(5, 5_000)), Decision::Wait);
    assert_eq!(gate.arrive(ms(11), exclusive(6)), Decision::Wait);
    gate.finish(ms(20), 3, Outcome::Answered);
    assert_eq!(actions(&mut gate, 20), [Action::Start(2)]);
    gate.finish(ms(30), 2, Outcome::Answered);
    let started = actions(&mut gate, 30);
    assert!(!started.contains(&Action::Start(6)), "started {started:?}");
    assert_eq!(gate.arrive(ms(31), short(7, 5_000)), Decision::Run);
}

/// Guards against a limit that collapses on a host that is slow at any
/// concurrency, and against a limit that stays high although the host is
/// faster at a lower one.
#[test]
fn the_limit_follows_the_service_time() {
    let run = |service: fn(u64) -> u64| {
        let mut gate = Gate::new(6);
        let (mut now, mut id, mut least) = (0, 0, u32::MAX);
        while now < 60_000 {
            let count = u64::from(gate.load().limit);
            let loaded = now > 5_000;
            let batch = if loaded { count } else { 1 };
            for offset in 0..batch {
                assert_eq!(
                    gate.arrive(ms(now), short(id + offset, now + 60_000)),
                    Decision::Run
                );
            }
            now += if loaded { service(count) } else { 10 };
            for offset in 0..batch {
                gate.finish(ms(now), id + offset, Outcome::Answered);
            }
            id += batch;
            least = least.min(gate.load().limit);
        }
        least
    };
    assert!(
        run(|_| 100) >= 5,
        "a trial lowers the limit by at most one slot"
    );
    assert_eq!(run(|count| 10 * count * count), 2);
}

/// Guards against a refusal of a request that was cancelled before.
#[test]
fn a_cancelled_request_is_not_refused_later() {
    let mut gate = Gate::new(2);
    for id in 0..4 {
        gate.arrive(ms(0), short(id, 60_000));
    }
    gate.finish(ms(1), 0, Outcome::UpstreamDown);
    gate.finish(ms(1), 2, Outcome::Cancelled);
    assert_eq!(actions(&mut gate, 1), [Action::Refuse(3, Reason::Closed)]);
}

/// Load pattern: a burst at an upstream with many slots. Guards against a queue
/// that delays every answer beyond its target without raising the throughput.
#[test]
fn a_burst_does_not_wait_beyond_its_target_at_many_slots() {
    let mut gate = Gate::new(15);
    let now = train(&mut gate, 0, 50, 100);
    let request = |id| Request {
        target: ms(now + 150),
        ..short(id, now + 1_000)
    };
    let admitted = (0..100)
        .filter(|id| !matches!(gate.arrive(ms(now), request(*id)), Decision::Refuse(_)))
        .count();
    // The wait behind a queue of 7 is half a service time. Wait and service
    // then add up to the 150 ms until the target.
    assert!(
        (15..=15 + 7).contains(&admitted),
        "{admitted} were admitted"
    );
}

/// Load pattern: calls made by running requests, beside a queue of new requests
/// with later deadlines. Guards against refusals of calls because of requests
/// queued behind them, which would waste the work of the parent requests.
#[test]
fn a_request_with_a_near_deadline_is_not_refused_for_requests_behind_it() {
    let mut gate = Gate::new(6);
    let now = train(&mut gate, 0, 50, 100);
    for id in 0..14 {
        let decision = gate.arrive(ms(now), short(id, now + 2_000));
        assert!(!matches!(decision, Decision::Refuse(_)));
    }
    let call = Request {
        class: 3,
        ..short(100, now + 200)
    };
    assert_eq!(gate.arrive(ms(now), call), Decision::Wait);
    gate.finish(ms(now + 10), 0, Outcome::Answered);
    assert_eq!(actions(&mut gate, now + 10), [Action::Start(100)]);
}

/// Load pattern: full load at the start, before a service time was measured.
/// Guards against an unbounded queue whose requests start too late.
#[test]
fn a_gate_without_measured_service_times_bounds_its_queue_by_the_prior() {
    let mut gate = Gate::with_prior(6, 0.25);
    let admitted = (0..100)
        .filter(|id| !matches!(gate.arrive(ms(0), short(*id, 1_000)), Decision::Refuse(_)))
        .count();
    // Six run for 250 ms each; a request that waits 350 ms ends at 600 ms.
    assert!((6..=6 + 8).contains(&admitted), "{admitted} were admitted");
}
