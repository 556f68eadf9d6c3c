//! Property test that compares a gate with a model of the running and waiting
//! requests, over random sequences of events.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use savorylane_intent::document::Work as Length;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Request, max_long_slots};

/// Event of a random sequence. The index of `Finish` and `Cancel` selects one
/// of the running or waiting requests; `Advance` is in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: u64,
        caller: u64,
        timeout_ms: u64,
        exclusive: bool,
        late: bool,
        stranger: bool,
    },
    /// One of the running requests waits for its peer, or no longer does.
    Stall(usize, bool),
    Finish(usize, Outcome),
    Cancel(usize),
    Leave,
    Reopen,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        40 => (0..4u64, 0..3u64, 1..2_000u64, flags()).prop_map(
            |(class, caller, timeout_ms, (exclusive, late, stranger))| {
                Step::Arrive { class, caller, timeout_ms, exclusive, late, stranger }
            }
        ),
        10 => (any::<usize>(), any::<bool>()).prop_map(|(at, waits)| Step::Stall(at, waits)),
        25 => any::<usize>().prop_map(|at| Step::Finish(at, Outcome::Answered)),
        3 => any::<usize>().prop_map(|at| Step::Finish(at, Outcome::Cancelled)),
        1 => any::<usize>().prop_map(|at| Step::Finish(at, Outcome::UpstreamDown)),
        5 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Leave),
        4 => Just(Step::Reopen),
        20 => (0..200u64).prop_map(Step::Advance),
    ]
}

/// Returns whether a request is exclusive, may be late, and is a stranger's.
fn flags() -> impl Strategy<Value = (bool, bool, bool)> {
    let stranger = prop::bool::weighted(0.2);
    (prop::bool::weighted(0.05), any::<bool>(), stranger)
}

/// Expected running and waiting requests.
#[derive(Default)]
struct Model {
    running: BTreeMap<u64, Request>,
    waiting: BTreeMap<u64, Request>,
}

/// Applies an action of the gate to the model, which must expect it.
fn apply(model: &mut Model, action: Action) {
    match action {
        Action::Start(id) => {
            let request = model
                .waiting
                .remove(&id)
                .expect("only a waiting request starts");
            model.running.insert(id, request);
        }
        Action::Refuse(id, _) => {
            model
                .waiting
                .remove(&id)
                .expect("only a waiting request is refused");
        }
    }
}

/// Removes a request that lost its slot from the model, which must expect it to
/// be one of a stranger.
fn remove_displaced(model: &mut Model, displaced: Option<u64>) {
    if let Some(id) = displaced {
        let request = model.running.remove(&id);
        assert!(request.is_some_and(|request| request.stranger));
    }
}

/// Applies what the gate decides at `now` to the model.
fn perform(gate: &mut Gate, model: &mut Model, now: Duration) {
    while let Some(id) = gate.next_displaced(now) {
        remove_displaced(model, Some(id));
    }
    while let Some(action) = gate.next_action(now) {
        apply(model, action);
    }
}

/// Compares the gate's load with the model and checks the limits.
fn compare(gate: &Gate, model: &Model, slots: usize) {
    let load = gate.load();
    assert_eq!(load.running as usize, model.running.len());
    assert_eq!((load.queued + load.late) as usize, model.waiting.len());
    assert!(load.running <= load.limit && load.limit as usize <= slots);
    let running = model.running.values();
    let strangers = running.chain(model.waiting.values());
    let strangers = strangers.filter(|request| request.stranger).count();
    assert!(strangers <= slots.div_ceil(4), "strangers have a part only");
    let long = |request: &&Request| request.length == Length::Long;
    assert!(model.running.values().filter(long).count() <= max_long_slots(slots));
    if model.running.values().any(|request| request.exclusive) {
        assert_eq!(model.running.len(), 1, "an exclusive request runs alone");
    }
}

/// Guards against leaked slots, requests that are lost or ended twice, and
/// queued requests that never end.
#[test]
fn every_request_ends_once() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = (2..10usize, prop::collection::vec(step(), 1..400));
    let result = runner.run(&histories, |(slots, steps)| {
        let mut gate = Gate::new(slots);
        let mut model = Model::default();
        let (mut now, mut next_id) = (Duration::ZERO, 0);
        for step in steps {
            match step {
                Step::Arrive {
                    class,
                    caller,
                    timeout_ms,
                    exclusive,
                    late,
                    stranger,
                } => {
                    let request = Request {
                        id: next_id,
                        class,
                        length: if class == 3 {
                            Length::Long
                        } else {
                            Length::Short
                        },
                        shed_order: (class % 3) as u8,
                        deadline: now + Duration::from_millis(timeout_ms),
                        target: now
                            + Duration::from_millis(if late { timeout_ms / 4 } else { timeout_ms }),
                        caller,
                        exclusive,
                        late,
                        stranger,
                    };
                    next_id += 1;
                    if !stranger {
                        let displaced = gate.displace_stranger(now);
                        remove_displaced(&mut model, displaced);
                    }
                    match gate.arrive(now, request) {
                        Decision::Run => drop(model.running.insert(request.id, request)),
                        Decision::Wait => drop(model.waiting.insert(request.id, request)),
                        Decision::Refuse(_) => {}
                    }
                }
                Step::Stall(at, waits) if !model.running.is_empty() => {
                    let id = *model.running.keys().nth(at % model.running.len()).unwrap();
                    match waits {
                        true => gate.stall(now, id),
                        false => gate.resume(now, id),
                    }
                }
                Step::Finish(at, outcome) if !model.running.is_empty() => {
                    let id = *model.running.keys().nth(at % model.running.len()).unwrap();
                    model.running.remove(&id);
                    gate.finish(now, id, outcome);
                }
                Step::Cancel(at) if !model.waiting.is_empty() => {
                    let id = *model.waiting.keys().nth(at % model.waiting.len()).unwrap();
                    // The user of a gate has to drop a refusal that
                    // `next_action` has not returned yet. None is pending
                    // here, because `next_action` ran after every event.
                    model.waiting.remove(&id);
                    gate.finish(now, id, Outcome::Cancelled);
                }
                Step::Leave if next_id > 300 => gate.leave(),
                Step::Reopen => gate.reopen(now),
                Step::Advance(ms) => now += Duration::from_millis(ms),
                _ => {}
            }
            perform(&mut gate, &mut model, now);
            compare(&gate, &model, slots);
            let overdue = model
                .waiting
                .values()
                .any(|request| request.deadline <= now);
            prop_assert!(!overdue, "requests past their deadline are refused");
        }
        // Without further arrivals, every request ends.
        for _ in 0..2_000 {
            let Some(id) = model.running.keys().next().copied() else {
                break;
            };
            model.running.remove(&id);
            now += Duration::from_millis(1);
            gate.finish(now, id, Outcome::Answered);
            perform(&mut gate, &mut model, now);
            if let (true, Some(wake)) = (model.running.is_empty(), gate.wake_at()) {
                now = now.max(wake);
                perform(&mut gate, &mut model, now);
            }
        }
        prop_assert!(model.waiting.is_empty(), "every waiting request ends");
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
