//! Precedence of records, and the effect of single events on one view.

mod fleet;

use std::collections::HashSet;
use std::time::Duration;

use fleet::{host, host_list, ms};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorylane_intent::hosts::State as ListState;
use savorylane_intent::{Hash, Version};
use savorylane_membership::backoff::{Delay, MAX_DELAY};
use savorylane_membership::view::{MAX_RECORDS, NOTICE_FANOUT, PUSH_FANOUT};
use savorylane_membership::{Action, Purpose, Record, Token, View};
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Heartbeat, Notice, Record as Encoded, Sender, State};

const RUN_START_MS: u64 = 1_733_300_000_000;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        started_ms,
        nonce: 1,
    }
}

fn version(number: u64) -> Version {
    let hash = Hash([number as u8; 32]);
    Version { number, hash }
}

fn heartbeat(records: Vec<Encoded>) -> Heartbeat {
    Heartbeat {
        own: encoded(1, RUN_START_MS, 0, State::Alive),
        hosts: 1,
        start: false,
        versions: (0..4).map(version).collect(),
        records,
        unlisted: Vec::new(),
    }
}

fn encoded(number: usize, started: u64, sequence: u32, state: State) -> Encoded {
    Encoded {
        host: host(0, number).name,
        incarnation: incarnation(started),
        sequence,
        state,
        version: None,
    }
}

fn view(centres: usize, per_centre: usize) -> View {
    let list = host_list(centres, per_centre).into();
    View::new(ms(0), &host(0, 0), incarnation(RUN_START_MS), list, 1)
}

/// Generates records of one other host, of several incarnations and in every
/// state, as the host itself and the peers that suspect it send them.
fn records() -> impl Strategy<Value = Vec<Encoded>> {
    let states = [State::Alive, State::Suspect, State::Gone, State::Leaving];
    let one = (
        1..4_u64,
        0..4_u32,
        prop::sample::select(states.to_vec()),
        0..4_u8,
    );
    let one = one.prop_map(|(run, sequence, state, version)| Encoded {
        version: Some(version),
        ..encoded(2, RUN_START_MS + run, sequence, state)
    });
    prop::collection::vec(one, 1..24)
}

/// Guards against a record that falls back to an older one when updates arrive
/// out of order or twice (failure F3 in docs/design.md), against views that do
/// not converge, and against an incarnation that returns from `leaving`.
#[test]
fn reordered_updates_never_move_a_record_back() {
    let name = host(0, 2).name;
    let strategy = (records(), any::<u64>());
    let outcome = runner(512).run(&strategy, |(sent, seed)| {
        let mut final_records = Vec::new();
        for order in 0..2 {
            let mut sent = sent.clone();
            if order == 1 {
                use rand::seq::SliceRandom;
                sent.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
                sent.extend_from_within(..);
            }
            let mut view = view(1, 6);
            let mut before: Option<Record> = None;
            let mut left = HashSet::new();
            for record in sent {
                view.on_heartbeat(ms(10), &heartbeat(vec![record]));
                let after = view.record(&name).expect("a record was sent");
                if let Some(before) = before {
                    prop_assert!(after.precedence() >= before.precedence());
                    prop_assert!(
                        after.incarnation > before.incarnation || after.version >= before.version
                    );
                }
                if after.state == State::Leaving {
                    left.insert(after.incarnation);
                }
                prop_assert!(!left.contains(&after.incarnation) || !view.routable(&name));
                prop_assert_eq!(view.routable(&name), after.state == State::Alive);
                before = Some(after);
            }
            final_records.push(before);
        }
        prop_assert_eq!(final_records[0], final_records[1]);
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against a record that is changed by serialization, and against a
/// malformed text of a record that makes the receiver panic.
#[test]
fn records_round_trip_and_malformed_text_does_not_panic() {
    let outcome = runner(256).run(&(records(), ".{0,40}"), |(sent, text)| {
        let message = heartbeat(sent);
        let bytes = serde_json::to_vec(&message).unwrap();
        prop_assert_eq!(
            serde_json::from_slice::<Heartbeat>(&bytes).unwrap(),
            message
        );
        let _ = text.parse::<Encoded>();
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against a host that stays suspect although it is alive, because it
/// does not refute the suspicion or does so late.
#[test]
fn a_suspected_host_refutes_with_a_greater_sequence() {
    let mut view = view(1, 6);
    view.on_tick(ms(0));
    let accusation = encoded(0, RUN_START_MS, 0, State::Suspect);
    let (answer, _) = view.on_heartbeat(ms(50), &heartbeat(vec![accusation]));
    assert_eq!((answer.own.sequence, answer.own.state), (1, State::Alive));
    // The refutation is pushed without waiting for the next round.
    let pushed = view.on_tick(ms(100)).into_iter().filter(|action| {
        matches!(action, Action::Heartbeat { purpose: Purpose::Push, message, .. }
            if message.own.sequence == 1)
    });
    assert_eq!(pushed.count(), PUSH_FANOUT);
}

/// Guards against a replaced host with a slow clock whose records all lose to
/// those of the earlier incarnation, and against two incarnations that outrank
/// each other for ever.
#[test]
fn a_later_start_time_is_outranked_at_start_and_accepted_later() {
    let mut view = view(1, 6);
    view.on_tick(ms(0));
    let former = encoded(0, RUN_START_MS + 500, 9, State::Leaving);
    let (answer, actions) = view.on_heartbeat(ms(10), &heartbeat(vec![former]));
    assert_eq!(answer.own.incarnation, incarnation(RUN_START_MS + 501));
    assert!(actions.contains(&Action::Incarnation(incarnation(RUN_START_MS + 501))));

    for tick in 1..200 {
        view.on_tick(ms(100 * tick));
    }
    let newer = encoded(0, RUN_START_MS + 900, 0, State::Alive);
    let (answer, actions) = view.on_heartbeat(ms(19_950), &heartbeat(vec![newer]));
    assert_eq!(answer.own.incarnation, incarnation(RUN_START_MS + 501));
    assert!(actions.contains(&Action::Replaced(incarnation(RUN_START_MS + 900))));
}

/// Guards against heartbeats that grow with the number of queued changes, as
/// after a partition heals, and against changes that are never sent.
#[test]
fn heartbeats_stay_bounded_after_1000_changes() {
    let mut view = view(5, 220);
    let all = host_list(5, 220).hosts;
    for chunk in all[2..].chunks(MAX_RECORDS) {
        let records = chunk.iter().map(|host| Encoded {
            host: host.name.clone(),
            state: if host.data_centre == "dc-0" {
                State::Alive
            } else {
                State::Gone
            },
            ..encoded(0, RUN_START_MS, 0, State::Alive)
        });
        // The records come in an answer: a heartbeat would be answered, which
        // would take changes from the queue.
        view.on_heartbeat_answer(ms(0), Token(u64::MAX), &heartbeat(records.collect()));
    }
    let (answer, _) = view.on_heartbeat(ms(0), &heartbeat(Vec::new()));
    assert!(
        answer.records.len() <= MAX_RECORDS,
        "{}",
        answer.records.len()
    );
    let mut sent = HashSet::new();
    for tick in 0..12_000 {
        let actions = view.on_tick(ms(100 * tick));
        assert!(actions.len() <= 12, "{} actions", actions.len());
        for action in actions {
            if let Action::Heartbeat { message, token, .. } = action {
                assert!(message.records.len() <= MAX_RECORDS);
                sent.extend(message.records.iter().map(|r| r.host.clone()));
                view.on_heartbeat_answer(ms(100 * tick), token, &heartbeat(Vec::new()));
            }
        }
    }
    assert!(sent.len() >= 1_090, "{} of 1,098 records sent", sent.len());
}

/// Guards against a host with a broken data port and a working control port
/// that becomes routable again with every answered heartbeat.
#[test]
fn repeated_connection_failures_back_off() {
    let mut view = view(1, 3);
    let peer = host(0, 1).name;
    let mut failures = 0;
    for tick in 0..600 {
        let now = ms(100 * tick);
        for action in view.on_tick(now) {
            if let Action::Heartbeat { token, to, .. } = action {
                let number = if *to == *peer { 1 } else { 2 };
                let mut answer = heartbeat(Vec::new());
                answer.own = encoded(number, RUN_START_MS, 0, State::Alive);
                view.on_heartbeat_answer(now, token, &answer);
            }
        }
        if view.routable(&peer) {
            failures += 1;
            let actions = view.on_connect_failed(now, &peer);
            assert!(actions.contains(&Action::Unroutable(peer.as_str().into())));
            assert!(!view.routable(&peer));
        }
    }
    // A bound that doubles from 50 ms to 30 s allows few attempts per minute.
    assert!((3..=20).contains(&failures), "{failures}");
    view.on_request_answered(ms(60_000), &peer);
    assert!(view.routable(&peer));
}

/// Guards against routing to a host that the host list shows as leaving while
/// its daemon has not yet learned about the drain, and against a lagging list
/// that keeps the next incarnation of the host unroutable.
#[test]
fn a_host_listed_as_leaving_is_unroutable_until_its_next_run() {
    let mut view = view(1, 6);
    let name = host(0, 2).name;
    view.on_heartbeat(
        ms(0),
        &heartbeat(vec![encoded(2, RUN_START_MS, 0, State::Alive)]),
    );
    assert!(view.routable(&name));
    let mut next = host_list(1, 6);
    next.number = 2;
    next.hosts[2].state = ListState::Leaving;
    view.on_host_list(ms(10), next.into());
    assert!(!view.routable(&name));
    view.on_heartbeat(
        ms(20),
        &heartbeat(vec![encoded(2, RUN_START_MS, 1, State::Alive)]),
    );
    assert!(!view.routable(&name));
    view.on_heartbeat(
        ms(30),
        &heartbeat(vec![encoded(2, RUN_START_MS + 1, 0, State::Alive)]),
    );
    assert!(view.routable(&name));
}

/// Guards against a late record that revives a host which left and was then
/// removed from the host list.
#[test]
fn a_removed_host_is_not_revived_by_an_older_record() {
    let mut view = view(1, 6);
    let name = host(0, 2).name;
    view.on_heartbeat(
        ms(0),
        &heartbeat(vec![encoded(2, RUN_START_MS, 1, State::Leaving)]),
    );
    let mut next = host_list(1, 6);
    next.number = 2;
    next.hosts.remove(2);
    view.on_host_list(ms(10), next.into());
    let mut late = heartbeat(vec![encoded(2, RUN_START_MS, 0, State::Alive)]);
    late.unlisted.push(host(0, 2));
    view.on_heartbeat(ms(20), &late);
    assert!(!view.routable(&name));
}

/// Guards against notices sent to too many hosts, and against a host that
/// missed a notice and does not learn of the version by a heartbeat.
#[test]
fn new_versions_are_announced_and_missed_notices_are_repaired() {
    let mut view = view(5, 8);
    view.on_tick(ms(0));
    let actions = view.on_version(ms(10), version(2), true);
    let notices = actions
        .iter()
        .filter(|a| matches!(a, Action::Notice { .. }))
        .count();
    let others = if view.is_reader() { 4 } else { 0 };
    assert_eq!(notices, NOTICE_FANOUT + others);
    assert!(view.on_version(ms(20), version(1), true).is_empty());
    let newer_version = |actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::NewerVersion { .. }))
    };
    let mut message = heartbeat(Vec::new());
    for (index, expected) in [(1, false), (2, false), (3, true)] {
        message.own.version = Some(index);
        assert_eq!(
            newer_version(&view.on_heartbeat(ms(30), &message).1),
            expected
        );
    }
    let from = Sender {
        host: host(0, 1).name,
        incarnation: incarnation(RUN_START_MS),
    };
    let notice = Notice {
        from,
        version: Some(version(3)),
        hosts: 1,
    };
    assert!(newer_version(&view.on_notice(ms(40), &notice)));
}

/// Guards against a version that is announced across the links between data
/// centres once per reader: only a reader that read it from the platform sends
/// notices to other data centres.
#[test]
fn versions_from_peers_are_announced_only_in_the_own_data_centre() {
    let list = host_list(5, 8);
    let mut readers = 0;
    for own in &list.hosts {
        for (read, others) in [(true, 4), (false, 0)] {
            let mut view = View::new(
                ms(0),
                own,
                incarnation(RUN_START_MS),
                list.clone().into(),
                1,
            );
            view.on_tick(ms(0));
            if !view.is_reader() {
                continue;
            }
            readers += 1;
            let actions = view.on_version(ms(10), version(2), read);
            assert_eq!(actions.len(), NOTICE_FANOUT + others, "{}", own.name);
        }
    }
    assert_eq!(readers, 2 * 2 * 5);
}

/// Guards against readers that all read a new version at the same time: the
/// ranks over all readers must be distinct and without gaps.
#[test]
fn reader_ranks_are_distinct() {
    let list = host_list(5, 6);
    let mut ranks = Vec::new();
    for own in &list.hosts {
        let mut view = View::new(
            ms(0),
            own,
            incarnation(RUN_START_MS),
            list.clone().into(),
            1,
        );
        view.on_tick(ms(0));
        assert_eq!(view.reader_rank(&version(1)).is_some(), view.is_reader());
        ranks.extend(view.reader_rank(&version(1)));
    }
    ranks.sort_unstable();
    assert_eq!(ranks, (0..10).collect::<Vec<_>>());
}

/// Guards against synchronised retries after a common failure, and against
/// delays beyond the cap.
#[test]
fn delays_are_jittered_and_capped() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut first_delays = HashSet::new();
    for _ in 0..100 {
        let mut delay = Delay::default();
        first_delays.insert(delay.next(&mut rng));
        let mut sum = Duration::ZERO;
        for _ in 0..300 {
            let next = delay.next(&mut rng);
            assert!(next <= MAX_DELAY);
            sum += next;
        }
        assert!(
            sum > 100 * MAX_DELAY,
            "mean delay is not near half the cap: sum of 300 is {sum:?}"
        );
    }
    assert!(
        first_delays.len() > 90,
        "only {} of 100 first delays are distinct",
        first_delays.len()
    );
}

/// Guards against routing to a listed host of the own data centre that has not
/// started, and against a cut-off data centre whose hosts are not routable for
/// lack of a record.
#[test]
fn unknown_hosts_are_routable_only_in_other_data_centres() {
    let mut view = view(2, 3);
    let (local, remote) = (host(0, 1).name, host(1, 1).name);
    assert!(!view.routable(&local) && view.routable(&remote));
    view.on_connect_failed(ms(10), &remote);
    assert!(!view.routable(&remote));
    view.on_request_answered(ms(20), &remote);
    assert!(view.routable(&remote));
    view.on_heartbeat(ms(30), &heartbeat(Vec::new()));
    assert!(view.routable(&local));
}

/// Guards against a starting daemon that gets no answer and does not query its
/// peers again, or queries them again without a delay.
#[test]
fn start_query_is_repeated_with_a_growing_delay() {
    let mut view = view(1, 6);
    let (mut queries, mut completed) = (0, 0);
    for tick in 0..300 {
        let now = ms(100 * tick);
        for action in view.on_tick(now) {
            if let Action::Heartbeat { token, purpose, .. } = action {
                queries += usize::from(purpose == Purpose::Start);
                let actions = view.on_timeout(now, token);
                completed += actions
                    .iter()
                    .filter(|a| matches!(a, Action::Queried { .. }))
                    .count();
            }
        }
    }
    assert_eq!(queries, 3 * completed);
    assert!(
        (3..=20).contains(&completed),
        "{completed} queries completed in 30 s"
    );
}

/// Guards against a view that changes on the result of an unknown token.
#[test]
fn unknown_tokens_are_ignored() {
    let mut view = view(1, 6);
    view.on_tick(ms(0));
    assert!(view.on_timeout(ms(10), Token(u64::MAX)).is_empty());
    assert!(
        view.on_probe_result(ms(10), Token(u64::MAX), false)
            .is_empty()
    );
}
