//! Tests of the late lane: requests that miss their target but not their
//! deadline.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Reason, Request, has_late_lane};

const SLOTS: u64 = 13;
const SERVICE_MS: u64 = 160;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a request with a target of 600 ms whose caller waits for 2 s.
fn request(id: u64, now: u64) -> Request {
    Request {
        id,
        class: 1,
        length: Work::Short,
        shed_order: 2,
        deadline: ms(now + 2_000),
        target: ms(now + 600),
        caller: id,
        exclusive: false,
        late: true,
        stranger: false,
    }
}

/// Returns a gate that has measured the service time, and whose slots are all
/// in use at the returned time. The ids of the running requests start at 0.
fn busy() -> (Gate, u64) {
    let mut gate = Gate::new(SLOTS as usize);
    let mut now = 0;
    for id in 1_000_000..1_000_050 {
        assert_eq!(gate.arrive(ms(now), request(id, now)), Decision::Run);
        now += SERVICE_MS;
        gate.finish(ms(now), id, Outcome::Answered);
    }
    now += 10_000;
    for id in 0..SLOTS {
        assert_eq!(gate.arrive(ms(now), request(id, now)), Decision::Run);
    }
    (gate, now)
}

/// Returns all actions that are due at `now`, which is in milliseconds.
fn actions(gate: &mut Gate, now: u64) -> Vec<Action> {
    std::iter::from_fn(|| gate.next_action(ms(now))).collect()
}

/// Queues requests with ids from `first` until one takes a late place, and
/// returns its id.
fn first_late(gate: &mut Gate, now: u64, first: u64) -> u64 {
    (first..first + 100)
        .find(|id| {
            assert_eq!(gate.arrive(ms(now), request(*id, now)), Decision::Wait);
            gate.load().late == 1
        })
        .expect("the place on time is bounded")
}

/// Load pattern: a burst at callers that wait for three times the target.
/// Guards against refusals of requests that would be served before their
/// deadline.
#[test]
fn a_burst_is_served_late_instead_of_refused() {
    let (mut gate, mut now) = busy();
    let burst = 3 * SLOTS;
    for id in 100..100 + burst {
        assert_eq!(gate.arrive(ms(now), request(id, now)), Decision::Wait);
    }
    assert!(gate.load().late > 0);
    let mut running = (0..SLOTS).collect::<Vec<_>>();
    let mut served = 0;
    while !running.is_empty() {
        now += SERVICE_MS;
        for id in std::mem::take(&mut running) {
            gate.finish(ms(now), id, Outcome::Answered);
        }
        for action in actions(&mut gate, now) {
            match action {
                Action::Start(id) => running.push(id),
                Action::Refuse(id, reason) => panic!("{id} was refused: {reason:?}"),
            }
        }
        served += running.len() as u64;
    }
    assert_eq!(served, burst);
}

/// Load pattern: requests that can be in time arrive behind late ones. Guards
/// against late requests that delay them, in the queue and in the report by
/// which entries choose hosts.
#[test]
fn a_late_request_waits_behind_all_that_can_be_in_time() {
    let (mut gate, now) = busy();
    let late = first_late(&mut gate, now, 100);
    let queued = gate.load().queued;
    gate.finish(ms(now + 50), 0, Outcome::Answered);
    assert_eq!(actions(&mut gate, now + 50), [Action::Start(100)]);
    assert_eq!(gate.load().queued, queued - 1);
    let on_time = request(900, now + 50);
    assert_eq!(gate.arrive(ms(now + 50), on_time), Decision::Wait);
    assert_eq!((gate.load().queued, gate.load().late), (queued, 1));
    let (mut running, mut started) = ((1..SLOTS).collect::<Vec<_>>(), Vec::new());
    while let Some(id) = running.pop() {
        gate.finish(ms(now + 100), id, Outcome::Answered);
        for action in actions(&mut gate, now + 100) {
            if let Action::Start(id) = action {
                running.push(id);
            }
            started.push(action);
        }
    }
    let place = |id| {
        started
            .iter()
            .position(|action| *action == Action::Start(id))
    };
    assert!(
        place(900).is_some() && place(900) < place(late),
        "{started:?}"
    );
}

/// Load pattern: overload that lasts longer than the callers wait. Guards
/// against requests that are held for long and then refused.
#[test]
fn lasting_overload_is_refused_on_arrival() {
    let (mut gate, start) = busy();
    let mut running = (0..SLOTS)
        .map(|id| (start + SERVICE_MS, id))
        .collect::<Vec<_>>();
    let (mut id, mut on_arrival, mut held) = (100, 0, 0);
    // Twice as many requests as the slots can run.
    for now in start..start + 10_000 {
        let ended = running
            .iter()
            .filter(|(end, _)| *end <= now)
            .copied()
            .collect::<Vec<_>>();
        running.retain(|(end, _)| *end > now);
        for (_, id) in ended {
            gate.finish(ms(now), id, Outcome::Answered);
        }
        if now % (SERVICE_MS / SLOTS / 2) == 0 {
            id += 1;
            match gate.arrive(ms(now), request(id, now)) {
                Decision::Run => running.push((now + SERVICE_MS, id)),
                Decision::Wait => {}
                Decision::Refuse(_) => on_arrival += 1,
            }
        }
        for action in actions(&mut gate, now) {
            match action {
                Action::Start(id) => running.push((now + SERVICE_MS, id)),
                Action::Refuse(..) => held += 1,
            }
        }
    }
    // Only requests that were accepted before the overload showed are held.
    assert!(
        on_arrival > 300 && held < on_arrival / 10,
        "{on_arrival} {held}"
    );
}

/// Load pattern: on-time work takes the room that late requests were promised.
/// Guards against callers that learn only at the deadline that they are
/// refused.
#[test]
fn a_displaced_request_is_refused_before_its_deadline() {
    let (mut gate, now) = busy();
    let late = first_late(&mut gate, now, 100);
    // More urgent work keeps all slots in use for a second.
    let mut refused_at = None;
    let (mut id, mut running) = (1_000, (0..SLOTS).map(|id| (now, id)).collect::<Vec<_>>());
    for step in 1..2_000 {
        let now = now + step;
        let urgent = Request {
            shed_order: 0,
            class: 2,
            late: false,
            ..request(id, now)
        };
        if step % 10 == 0 {
            id += 1;
            if gate.arrive(ms(now), urgent) == Decision::Run {
                running.push((now, urgent.id));
            }
        }
        let ended = running
            .iter()
            .filter(|(start, _)| now >= start + SERVICE_MS);
        let ended = ended.copied().collect::<Vec<_>>();
        running.retain(|(start, _)| now < start + SERVICE_MS);
        for (_, id) in ended {
            gate.finish(ms(now), id, Outcome::Answered);
        }
        for action in actions(&mut gate, now) {
            match action {
                Action::Start(id) => running.push((now, id)),
                Action::Refuse(id, reason) if id == late => {
                    assert_eq!(reason, Reason::Shed);
                    refused_at.get_or_insert(step);
                }
                Action::Refuse(..) => {}
            }
        }
    }
    assert!(
        refused_at.is_some_and(|at| at < 2_000 - SERVICE_MS),
        "{refused_at:?}"
    );
    assert_eq!(gate.late_counts().displaced, gate.late_counts().admitted);
}

/// Guards against callers that were refused together and return together, and
/// against hints beyond their bound.
#[test]
fn refused_callers_return_at_different_times() {
    let (mut gate, now) = busy();
    let refused = (100..400)
        .map(|id| request(id, now))
        .filter(|request| matches!(gate.arrive(ms(now), *request), Decision::Refuse(_)))
        .collect::<Vec<_>>();
    let hints = refused.iter().map(|request| gate.retry_after_ms(request));
    let hints = hints.collect::<std::collections::BTreeSet<_>>();
    assert!(hints.len() > 20, "{} different hints", hints.len());
    assert!(hints.iter().all(|hint| (1..=1_500).contains(hint)));
}

/// Guards against a late lane of a deployment whose time limits leave little
/// room behind the targets.
#[test]
fn only_limits_far_behind_the_target_open_the_late_lane() {
    assert!(has_late_lane(ms(600), ms(2_000)));
    assert!(!has_late_lane(ms(400), ms(1_000)));
    let (mut gate, now) = busy();
    let near = |id| Request {
        late: false,
        ..request(id, now)
    };
    while gate.arrive(ms(now), near(100 + u64::from(gate.load().queued))) == Decision::Wait {}
    assert_eq!(gate.load().late, 0);
}
