//! Tests of the order of service between classes.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Request};

const SLOTS: u64 = 6;
/// Service time of a call of running work.
const CALL_MS: u64 = 22;
/// Service time of other requests.
const WORK_MS: u64 = 120;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a request with a target of 500 ms and a deadline of 1.2 s.
fn work(id: u64, now: u64) -> Request {
    Request {
        id,
        class: 1,
        length: Work::Short,
        shed_order: 1,
        deadline: ms(now + 1_200),
        target: ms(now + 500),
        caller: id,
        exclusive: false,
        late: false,
        nested: false,
    }
}

/// Returns a call of running work with the shed order of less urgent work, a
/// target of 100 ms and a deadline of 250 ms.
fn call(id: u64, now: u64) -> Request {
    Request {
        class: 2,
        shed_order: 2,
        deadline: ms(now + 250),
        target: ms(now + 100),
        nested: true,
        ..work(id, now)
    }
}

/// Arrivals, and how many of them were served, by whether they are calls.
#[derive(Debug, Default)]
struct Counts {
    offered: [u64; 2],
    served: [u64; 2],
}

/// Offers a call each `call_gap` and other work each `work_gap` milliseconds
/// for 20 s, and counts from 2 s on.
fn run(call_gap: u64, work_gap: u64) -> Counts {
    let mut gate = Gate::new(SLOTS as usize);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut counts = Counts::default();
    let (mut next_id, mut first_counted) = (0, u64::MAX);
    for now in 0..20_000 {
        let ended = running.iter().filter(|(end, _)| *end <= now);
        let ended = ended.copied().collect::<Vec<_>>();
        running.retain(|(end, _)| *end > now);
        for (_, id) in ended {
            gate.finish(ms(now), id, Outcome::Answered);
        }
        let mut started = Vec::new();
        for (gap, is_call) in [(call_gap, true), (work_gap, false)] {
            if now % gap != 0 {
                continue;
            }
            // Ids of calls are odd.
            let id = next_id + u64::from(is_call);
            next_id += 2;
            if now >= 2_000 {
                first_counted = first_counted.min(id);
            }
            let request = if is_call {
                call(id, now)
            } else {
                work(id, now)
            };
            counts.offered[usize::from(is_call)] += u64::from(id >= first_counted);
            if gate.arrive(ms(now), request) == Decision::Run {
                started.push(id);
            }
        }
        while let Some(action) = gate.next_action(ms(now)) {
            if let Action::Start(id) = action {
                started.push(id);
            }
        }
        for id in started {
            let is_call = id % 2 == 1;
            let service = if is_call { CALL_MS } else { WORK_MS };
            running.push((now + service, id));
            counts.served[usize::from(is_call)] += u64::from(id >= first_counted);
        }
    }
    counts
}

/// Load pattern: overload of work, beside short calls that work of other hosts
/// waits for. Guards against refused calls, each of which wastes the work of
/// its parent.
#[test]
fn calls_of_running_work_are_served_under_overload() {
    // Calls use 0.37 of the slots, other work 1.33.
    let counts = run(10, 15);
    assert_eq!(counts.served[1], counts.offered[1], "{counts:?}");
    // The other work still gets a quarter of the share of all requests.
    let all = counts.served.iter().sum::<u64>() as f64 / counts.offered.iter().sum::<u64>() as f64;
    let share = counts.served[0] as f64 / counts.offered[0] as f64;
    assert!(share >= all / 4.0, "{counts:?}");
}

/// Load pattern: a flood of calls that alone is more than the slots can run.
/// Guards against the starvation of all other work.
#[test]
fn a_flood_of_calls_leaves_half_of_the_slots() {
    let counts = run(2, 40);
    let share = |index: usize| counts.served[index] as f64 / counts.offered[index] as f64;
    // Half of the slots can run all of the other work.
    assert!(share(0) >= 0.9, "{counts:?}");
    assert!(share(1) >= share(0) / 4.0, "{counts:?}");
}

/// Load pattern: calls with as much work as the other requests. Guards against
/// an order other than the operator's where it saves no work.
#[test]
fn long_calls_go_by_their_shed_order() {
    let mut gate = Gate::new(2);
    for (id, class) in [(1, 1), (2, 2)] {
        let request = Request {
            class,
            nested: class == 2,
            ..work(id, 0)
        };
        assert_eq!(gate.arrive(ms(0), request), Decision::Run);
    }
    for id in [1, 2] {
        gate.finish(ms(WORK_MS), id, Outcome::Answered);
    }
    for id in [3, 4] {
        assert_eq!(gate.arrive(ms(130), work(id, 130)), Decision::Run);
    }
    let long_call = Request {
        deadline: ms(1_330),
        target: ms(630),
        ..call(5, 130)
    };
    assert_eq!(gate.arrive(ms(130), long_call), Decision::Wait);
    assert_eq!(gate.arrive(ms(131), work(6, 131)), Decision::Wait);
    gate.finish(ms(250), 3, Outcome::Answered);
    assert_eq!(gate.next_action(ms(250)), Some(Action::Start(6)));
}
