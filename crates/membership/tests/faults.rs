//! Behaviour of a fleet of views under loss, crashes, pauses and partitions.

mod fleet;

use fleet::{Fleet, host, list, ms};
use savorylane_membership::Action;
use savorylane_wire::control::State;

/// Guards against work for a host that left while the host list still shows it
/// as live (P7, F8), with a fifth of all messages lost.
#[test]
fn leaving_host_is_unroutable_everywhere_within_3_s() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, list(6, 6));
        fleet.loss = 0.2;
        fleet.run(ms(20_000));
        let leaver = 7 + seed as usize % 20;
        let actions = fleet.views[leaver].leave(fleet.now);
        fleet.act(leaver, actions);
        fleet.run(ms(23_000));
        let still: Vec<usize> = (0..36).filter(|&v| fleet.routable(v, leaver)).collect();
        assert!(still.is_empty(), "seed {seed}: routable at {still:?}");
        fleet.run(ms(60_000));
        let again: Vec<usize> = (0..36).filter(|&v| fleet.routable(v, leaver)).collect();
        assert!(again.is_empty(), "seed {seed}: routable again at {again:?}");
    }
}

/// Guards against a leave that waits behind other changes, and against one that
/// spreads by heartbeat rounds alone, in a data centre of the design size. The
/// view may take half of the 3 s of P7 in calm and all of it with heavy loss.
#[test]
fn leaving_host_is_unroutable_in_a_large_data_centre_in_time() {
    for (loss, seeds, limit) in [(0.0, 5, 1_500), (0.2, 10, 3_000)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(seed, list(1, 220));
            fleet.loss = loss;
            fleet.run(ms(10_000));
            let actions = fleet.views[9].leave(fleet.now);
            fleet.act(9, actions);
            fleet.run(ms(10_000 + limit));
            let still = (0..220).filter(|&v| fleet.routable(v, 9)).count();
            assert_eq!(still, 0, "loss {loss}, seed {seed}");
        }
    }
}

/// Guards against a dead host that stays in the view, and against a data centre
/// without readers after one died.
#[test]
fn dead_reader_becomes_gone_and_the_next_rank_takes_over() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, list(3, 6));
        fleet.run(ms(15_000));
        for centre in 0..3 {
            assert_eq!(fleet.acting(centre).len(), 2, "seed {seed}");
        }
        let dead = fleet.acting(1)[0];
        let other = fleet.acting(1)[1];
        fleet.dead[dead] = true;
        fleet.run(ms(21_000));
        for viewer in (6..12).filter(|&v| v != dead) {
            assert_eq!(fleet.state(viewer, dead), Some(State::Gone), "seed {seed}");
        }
        let acting = fleet.acting(1);
        assert_eq!(acting.len(), 2, "seed {seed}: {acting:?}");
        assert!(acting.contains(&other), "seed {seed}");
        // The state crosses to the other data centres by gossip of readers.
        fleet.run(ms(35_000));
        for viewer in fleet.live() {
            assert!(!fleet.routable(viewer, dead), "seed {seed}: {viewer}");
        }
        // A new run is welcomed and takes its rank again.
        fleet.restart(dead);
        fleet.run(ms(60_000));
        assert_eq!(fleet.unroutable(), [], "seed {seed}");
        assert!(fleet.acting(1).contains(&dead), "seed {seed}");
        assert_eq!(fleet.acting(1).len(), 2, "seed {seed}");
    }
}

/// Guards against a process that wakes from a pause and declares healthy peers
/// dead by what it knew before, and against peers that keep it as gone (F4).
#[test]
fn paused_host_refutes_and_accuses_nobody() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, list(3, 6));
        fleet.run(ms(15_000));
        // Three hosts die shortly before the pause, so that the paused host
        // has open suspicions; they are back when it wakes.
        let sleeper = 0;
        for host in 1..4 {
            fleet.dead[host] = true;
        }
        fleet.run(ms(16_900));
        for host in 1..4 {
            fleet.dead[host] = false;
        }
        fleet.paused[sleeper] = ms(30_000);
        fleet.run(ms(29_900));
        assert_eq!(fleet.state(5, sleeper), Some(State::Gone), "seed {seed}");
        fleet.seen[sleeper].clear();
        fleet.run(ms(36_000));
        let seen = &fleet.seen[sleeper];
        assert!(seen.iter().any(|a| matches!(a, Action::Paused(_))));
        let asked = |a: &Action| matches!(a, Action::Asked { answers: 2, .. });
        assert!(seen.iter().any(asked), "seed {seed}: {seen:?}");
        let accused = |a: &&Action| {
            matches!(
                a,
                Action::State {
                    state: State::Gone,
                    ..
                }
            )
        };
        let accused: Vec<_> = seen.iter().filter(accused).collect();
        assert!(accused.is_empty(), "seed {seed}: {accused:?}");
        for viewer in 0..6 {
            assert!(fleet.routable(viewer, sleeper), "seed {seed}: {viewer}");
        }
        fleet.run(ms(50_000));
        assert_eq!(fleet.unroutable(), [], "seed {seed}");
    }
}

/// Guards against a burst of messages when all daemons start at once (F1), and
/// against a start that does not reach a full view.
#[test]
fn herd_start_stays_within_message_bounds() {
    let mut fleet = Fleet::new(1, list(5, 20));
    fleet.run(ms(1_000));
    // Three questions, two heartbeats, one cross heartbeat, three pushes, one
    // trial, and probes after timeouts are all that one tick may hold.
    assert!(fleet.peak(ms(0)) <= 6, "{}", fleet.peak(ms(0)));
    let rounds: Vec<u64> = (2..10)
        .map(|slice| {
            (0..100)
                .filter_map(|h| fleet.counts.slices.get(&(h, slice)))
                .sum()
        })
        .collect();
    let (least, most) = (rounds.iter().min().unwrap(), rounds.iter().max().unwrap());
    assert!(
        *least > 0 && *most <= 60,
        "rounds are not spread: {rounds:?}"
    );
    let before = fleet.counts.messages;
    fleet.run(ms(11_000));
    // Two heartbeats a host and one more a reader, each with an answer.
    let per_second = (fleet.counts.messages - before) / 10;
    assert!(per_second <= 2 * (2 * 100 + 10) + 20, "{per_second}");
    let unroutable = fleet.unroutable();
    assert!(unroutable.is_empty(), "{} pairs", unroutable.len());
}

/// Guards against a cut that makes a data centre stop, and against a storm of
/// messages when it heals (F5).
#[test]
fn cut_data_centre_goes_on_and_heals_without_a_storm() {
    let mut fleet = Fleet::new(3, list(4, 10));
    fleet.run(ms(20_000));
    for host in 0..10 {
        fleet.side[host] = 1;
    }
    fleet.run(ms(25_000));
    // Requests across the cut fail for two viewers, one on each side.
    for (viewer, failed) in [(0, 10..20), (39, 0..10)] {
        for host in failed {
            let name = fleet.name(host).to_owned();
            let actions = fleet.views[viewer].on_connect_failed(fleet.now, &name);
            fleet.act(viewer, actions);
            assert!(!fleet.routable(viewer, host));
        }
    }
    fleet.run(ms(320_000));
    for viewer in 0..40 {
        for host in 0..40 {
            let failed = (viewer == 0 && (10..20).contains(&host)) || (viewer == 39 && host < 10);
            assert_eq!(fleet.routable(viewer, host), !failed, "{viewer} of {host}");
        }
    }
    for centre in 0..4 {
        assert_eq!(fleet.acting(centre).len(), 2);
    }
    fleet.side.fill(0);
    let healed = fleet.now;
    fleet.run(ms(380_000));
    assert_eq!(fleet.unroutable(), []);
    assert!(fleet.peak(healed) <= 8, "{}", fleet.peak(healed));
}

/// Guards against two halves of a data centre that hold each other as gone for
/// ever, and against a storm when all of them refute at once (F5).
#[test]
fn partition_inside_a_data_centre_heals() {
    // One data centre: readers of another would otherwise carry news across.
    let mut fleet = Fleet::new(4, list(1, 20));
    fleet.run(ms(15_000));
    for host in 0..10 {
        fleet.side[host] = 1;
    }
    fleet.run(ms(60_000));
    assert_eq!(fleet.state(0, 15), Some(State::Gone));
    assert_eq!(fleet.state(15, 0), Some(State::Gone));
    fleet.side.fill(0);
    let healed = fleet.now;
    fleet.run(ms(100_000));
    assert_eq!(fleet.unroutable(), []);
    assert!(fleet.peak(healed) <= 8, "{}", fleet.peak(healed));
}

/// Guards against a new host that nobody uses because the host list lags (F8).
#[test]
fn unlisted_host_is_learned_by_gossip() {
    let mut all = list(2, 6);
    let newcomer = all.hosts.len();
    all.hosts.push(host(1, 99));
    let mut fleet = Fleet::new(5, all);
    // All views get a list without the newcomer.
    let mut lagging = list(2, 6);
    lagging.number = 2;
    for viewer in 0..=newcomer {
        fleet.dead[newcomer] = true;
        let actions = fleet.views[viewer].on_host_list(fleet.now, lagging.clone().into());
        fleet.act(viewer, actions);
    }
    fleet.run(ms(10_000));
    assert!(!fleet.routable(8, newcomer));
    fleet.dead[newcomer] = false;
    fleet.run(ms(30_000));
    let blind: Vec<usize> = (0..12).filter(|&v| !fleet.routable(v, newcomer)).collect();
    assert!(blind.is_empty(), "{blind:?}");
    let described = fleet.views[0]
        .unlisted()
        .next()
        .map(|host| host.name.clone());
    assert_eq!(described.as_deref(), Some(fleet.name(newcomer)));
}
