//! Behaviour of a fleet of views under message loss, crashes, pauses and
//! partitions.

mod fleet;

use fleet::{Fleet, host, host_list, ms};
use savorylane_membership::Action;
use savorylane_wire::control::State;

/// Guards against routing to a host that left while the host list still shows
/// it as live (requirement P7 and failure F8 in docs/design.md). A fifth of all
/// messages is lost.
#[test]
fn leaving_host_is_unroutable_everywhere_within_3_s() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, host_list(6, 6));
        fleet.loss_rate = 0.2;
        fleet.run_until(ms(20_000));
        let leaver = 7 + seed as usize % 20;
        let actions = fleet.views[leaver].leave(fleet.now);
        fleet.perform(leaver, actions);
        fleet.run_until(ms(23_000));
        let routable_at: Vec<usize> = (0..36).filter(|&v| fleet.routable(v, leaver)).collect();
        assert!(
            routable_at.is_empty(),
            "seed {seed}: routable at {routable_at:?}"
        );
        fleet.run_until(ms(60_000));
        let routable_at: Vec<usize> = (0..36).filter(|&v| fleet.routable(v, leaver)).collect();
        assert!(
            routable_at.is_empty(),
            "seed {seed}: routable again at {routable_at:?}"
        );
    }
}

/// Guards against a leave that spreads too slowly in a data centre of the
/// design size, because it is queued behind other changes or disseminated by
/// heartbeat rounds alone. Of the 3 s that requirement P7 in docs/design.md
/// allows, the test allows half without message loss, and all if a fifth of the
/// messages is lost.
#[test]
fn leaving_host_is_unroutable_in_a_large_data_centre_in_time() {
    for (loss, seeds, limit) in [(0.0, 5, 1_500), (0.2, 10, 3_000)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(seed, host_list(1, 220));
            fleet.loss_rate = loss;
            fleet.run_until(ms(10_000));
            let actions = fleet.views[9].leave(fleet.now);
            fleet.perform(9, actions);
            fleet.run_until(ms(10_000 + limit));
            let routable_at = (0..220).filter(|&v| fleet.routable(v, 9)).count();
            assert_eq!(routable_at, 0, "loss {loss}, seed {seed}");
        }
    }
}

/// Guards against a dead host that stays routable, and against a data centre
/// that is short of a reader after one died.
#[test]
fn dead_reader_becomes_gone_and_the_next_rank_takes_over() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, host_list(3, 6));
        fleet.run_until(ms(15_000));
        for centre in 0..3 {
            assert_eq!(fleet.acting_readers(centre).len(), 2, "seed {seed}");
        }
        let dead = fleet.acting_readers(1)[0];
        let other = fleet.acting_readers(1)[1];
        fleet.dead[dead] = true;
        fleet.run_until(ms(21_000));
        for viewer in (6..12).filter(|&v| v != dead) {
            assert_eq!(fleet.state(viewer, dead), Some(State::Gone), "seed {seed}");
        }
        let acting = fleet.acting_readers(1);
        assert_eq!(acting.len(), 2, "seed {seed}: {acting:?}");
        assert!(acting.contains(&other), "seed {seed}");
        // The state reaches the other data centres by gossip between readers.
        fleet.run_until(ms(35_000));
        for viewer in fleet.live() {
            assert!(!fleet.routable(viewer, dead), "seed {seed}: {viewer}");
        }
        // A new incarnation of the host is routable and regains its rank as a
        // reader.
        fleet.restart(dead);
        fleet.run_until(ms(60_000));
        assert_eq!(fleet.unroutable_pairs(), [], "seed {seed}");
        assert!(fleet.acting_readers(1).contains(&dead), "seed {seed}");
        assert_eq!(fleet.acting_readers(1).len(), 2, "seed {seed}");
    }
}

/// Guards against a process that resumes after a pause and declares healthy
/// peers gone because of suspicions from before the pause, and against peers
/// that keep regarding the resumed host as gone (failure F4 in docs/design.md).
#[test]
fn paused_host_refutes_and_declares_no_host_gone() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, host_list(3, 6));
        fleet.run_until(ms(15_000));
        // Three hosts are dead shortly before the pause, so that the paused
        // host has open suspicions; they are alive when it resumes.
        let paused_host = 0;
        for host in 1..4 {
            fleet.dead[host] = true;
        }
        fleet.run_until(ms(16_900));
        for host in 1..4 {
            fleet.dead[host] = false;
        }
        fleet.paused_until[paused_host] = ms(30_000);
        fleet.run_until(ms(29_900));
        assert_eq!(
            fleet.state(5, paused_host),
            Some(State::Gone),
            "seed {seed}"
        );
        fleet.recorded[paused_host].clear();
        fleet.run_until(ms(36_000));
        let recorded = &fleet.recorded[paused_host];
        assert!(recorded.iter().any(|a| matches!(a, Action::Paused(_))));
        let queried = |a: &Action| matches!(a, Action::Queried { answers: 2, .. });
        assert!(recorded.iter().any(queried), "seed {seed}: {recorded:?}");
        let declared_gone = |a: &&Action| {
            matches!(
                a,
                Action::State {
                    state: State::Gone,
                    ..
                }
            )
        };
        let declared_gone: Vec<_> = recorded.iter().filter(declared_gone).collect();
        assert!(declared_gone.is_empty(), "seed {seed}: {declared_gone:?}");
        for viewer in 0..6 {
            assert!(fleet.routable(viewer, paused_host), "seed {seed}: {viewer}");
        }
        fleet.run_until(ms(50_000));
        assert_eq!(fleet.unroutable_pairs(), [], "seed {seed}");
    }
}

/// Guards against a burst of messages when all daemons start at the same time
/// (failure F1 in docs/design.md), and against views that are still incomplete
/// after such a start.
#[test]
fn simultaneous_start_stays_within_message_bounds() {
    let mut fleet = Fleet::new(1, host_list(5, 20));
    fleet.run_until(ms(1_000));
    // One tick sends at most three queries, two heartbeats of the round, one
    // heartbeat to another data centre, three pushes, one trial, and probes
    // after timeouts.
    assert!(
        fleet.peak_messages(ms(0)) <= 6,
        "{}",
        fleet.peak_messages(ms(0))
    );
    let rounds: Vec<u64> = (2..10)
        .map(|slice| {
            (0..100)
                .filter_map(|h| fleet.counts.begun_by_slice.get(&(h, slice)))
                .sum()
        })
        .collect();
    let (fewest, most) = (rounds.iter().min().unwrap(), rounds.iter().max().unwrap());
    assert!(
        *fewest > 0 && *most <= 60,
        "heartbeat rounds are not spread over time: {rounds:?}"
    );
    let before = fleet.counts.messages;
    fleet.run_until(ms(11_000));
    // Two heartbeats per host and one more per reader, each with an answer.
    let per_second = (fleet.counts.messages - before) / 10;
    assert!(per_second <= 2 * (2 * 100 + 10) + 20, "{per_second}");
    let unroutable = fleet.unroutable_pairs();
    assert!(unroutable.is_empty(), "{} pairs", unroutable.len());
}

/// Guards against a network cut that makes a data centre stop or changes the
/// state of the hosts beyond the cut, and against a message storm when the cut
/// heals (failure F5 in docs/design.md).
#[test]
fn cut_off_data_centre_keeps_running_and_heals_without_a_message_storm() {
    let mut fleet = Fleet::new(3, host_list(4, 10));
    fleet.run_until(ms(20_000));
    for host in 0..10 {
        fleet.partition[host] = 1;
    }
    fleet.run_until(ms(25_000));
    // Requests across the cut fail for two viewers, one on each side of it.
    for (viewer, failed) in [(0, 10..20), (39, 0..10)] {
        for host in failed {
            let name = fleet.name(host).to_owned();
            let actions = fleet.views[viewer].on_connect_failed(fleet.now, &name);
            fleet.perform(viewer, actions);
            assert!(!fleet.routable(viewer, host));
        }
    }
    fleet.run_until(ms(320_000));
    for viewer in 0..40 {
        for host in 0..40 {
            let failed = (viewer == 0 && (10..20).contains(&host)) || (viewer == 39 && host < 10);
            assert_eq!(fleet.routable(viewer, host), !failed, "{viewer} of {host}");
        }
    }
    for centre in 0..4 {
        assert_eq!(fleet.acting_readers(centre).len(), 2);
    }
    fleet.partition.fill(0);
    let healed = fleet.now;
    fleet.run_until(ms(380_000));
    assert_eq!(fleet.unroutable_pairs(), []);
    assert!(
        fleet.peak_messages(healed) <= 8,
        "{}",
        fleet.peak_messages(healed)
    );
}

/// Guards against two halves of a data centre that regard each other as gone
/// for ever after a partition between them heals, and against a message storm
/// when all hosts refute this at the same time (failure F5 in docs/design.md).
#[test]
fn partition_inside_a_data_centre_heals() {
    // There is only one data centre, since the readers of another one would
    // carry records between the halves.
    let mut fleet = Fleet::new(4, host_list(1, 20));
    fleet.run_until(ms(15_000));
    for host in 0..10 {
        fleet.partition[host] = 1;
    }
    fleet.run_until(ms(60_000));
    assert_eq!(fleet.state(0, 15), Some(State::Gone));
    assert_eq!(fleet.state(15, 0), Some(State::Gone));
    fleet.partition.fill(0);
    let healed = fleet.now;
    fleet.run_until(ms(100_000));
    assert_eq!(fleet.unroutable_pairs(), []);
    assert!(
        fleet.peak_messages(healed) <= 8,
        "{}",
        fleet.peak_messages(healed)
    );
}

/// Guards against a new host that is not routable because the host list lags
/// and does not contain the host yet (failure F8 in docs/design.md).
#[test]
fn unlisted_host_is_learned_by_gossip() {
    let mut all = host_list(2, 6);
    let newcomer = all.hosts.len();
    all.hosts.push(host(1, 99));
    let mut fleet = Fleet::new(5, all);
    // All views get a newer host list that does not contain the new host.
    let mut lagging = host_list(2, 6);
    lagging.number = 2;
    for viewer in 0..=newcomer {
        fleet.dead[newcomer] = true;
        let actions = fleet.views[viewer].on_host_list(fleet.now, lagging.clone().into());
        fleet.perform(viewer, actions);
    }
    fleet.run_until(ms(10_000));
    assert!(!fleet.routable(8, newcomer));
    fleet.dead[newcomer] = false;
    fleet.run_until(ms(30_000));
    let unaware: Vec<usize> = (0..12).filter(|&v| !fleet.routable(v, newcomer)).collect();
    assert!(unaware.is_empty(), "{unaware:?}");
    let described = fleet.views[0]
        .unlisted()
        .next()
        .map(|host| host.name.clone());
    assert_eq!(described.as_deref(), Some(fleet.name(newcomer)));
}
