//! Steps and role changes of the source of a single daemon.

use std::time::Duration;

use savorylane_distribution::Source;
use savorylane_distribution::source::{Answer, Candidate, Location, Poll, Rank, Step};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Transit time of a poll and its answer.
const TRANSIT: Duration = at(1);

fn location(name: &str, data_centre: &str) -> Location {
    Location {
        name: name.into(),
        data_centre: data_centre.into(),
        region: "r".into(),
    }
}

/// Returns the source of a started daemon on host `b`, which knows the hosts
/// `a` to `d` of its data centre and `x` of another one.
fn started_source(rate: u32) -> Source {
    let mut source = Source::new(location("b", "here"), rate);
    let near = ["a", "b", "c", "d"].map(|name| location(name, "here"));
    let hosts: Vec<Location> = near.into_iter().chain([location("x", "there")]).collect();
    source.on_hosts(&hosts);
    source.start(at(0));
    source
}

/// Returns the host that is polled next and whether the daemon relies on it, or
/// `None` if the next step is no poll.
fn next_poll(source: &mut Source, now: Duration) -> Option<(String, bool)> {
    match source.next(now) {
        Step::Poll(request) => Some((request.host.to_string(), request.needs)),
        Step::Idle(_) => None,
    }
}

/// Returns the answer of a reader with fresh knowledge.
fn reader_answer(rate: u32, candidates: &[&str]) -> Answer {
    let candidate = |name: &&str| Candidate {
        name: (*name).into(),
        rate: 7,
    };
    Answer {
        reader: true,
        rate,
        reading_time: Some(at(5_000)),
        age: Some(at(100)),
        candidates: candidates.iter().map(candidate).collect(),
        ..Answer::default()
    }
}

/// Returns a poll by a host of the data centre `here`.
fn poll(from: &str, rate: u32, needs: bool, reading_time: Option<Duration>) -> Poll {
    Poll {
        from: Candidate {
            name: from.into(),
            rate,
        },
        data_centre: "here".into(),
        needs,
        reading_time,
    }
}

/// Returns the result of [`next_poll`] for a host that the daemon relies on.
fn relied_on(name: &str) -> Option<(String, bool)> {
    Some((name.into(), true))
}

/// Guards against a follower that makes a host a reader although there is one
/// already, and against a follower that ignores a redirect.
#[test]
fn a_follower_obeys_the_redirect_of_the_rendezvous() {
    let mut source = started_source(7);
    assert_eq!(next_poll(&mut source, at(0)), Some(("a".into(), false)));
    let redirect = Answer {
        source: Some("d".into()),
        age: Some(at(0)),
        ..Answer::default()
    };
    source.on_answer(at(10), "a", &redirect, TRANSIT);
    assert_eq!(next_poll(&mut source, at(10)), Some(("d".into(), false)));
    source.on_answer(at(20), "d", &reader_answer(140, &["c", "b"]), TRANSIT);
    assert_eq!(next_poll(&mut source, at(20)), relied_on("d"));
    assert!(!source.reads_store());
}

/// Guards against followers of a lost reader that move to different hosts, and
/// against a follower that waits for successors which are unreachable too.
#[test]
fn named_successors_take_over_from_a_lost_reader() {
    let mut source = started_source(7);
    source.on_answer(at(10), "a", &reader_answer(140, &["c", "b"]), TRANSIT);
    source.on_failure(at(1_000), "a");
    assert_eq!(next_poll(&mut source, at(1_000)), relied_on("c"));
    source.on_failure(at(1_300), "c");
    assert!(source.reads_store(), "this daemon is the next successor");
    assert_eq!(
        next_poll(&mut source, at(1_300)),
        None,
        "a new reader awaits the store's answer before it polls others"
    );
}

/// Guards against a follower that alternates between two hosts for ever because
/// each of them redirects to the other.
#[test]
fn mutual_redirects_do_not_trap_a_follower() {
    let mut source = started_source(7);
    let mut now = at(0);
    while now < at(1_000) {
        now += at(5);
        match next_poll(&mut source, now) {
            Some((host, false)) => {
                let redirect = Answer {
                    source: Some(if host == "a" { "c" } else { "a" }.into()),
                    age: Some(at(0)),
                    ..Answer::default()
                };
                source.on_answer(now, &host, &redirect, TRANSIT);
            }
            Some((_, true)) => return,
            None if source.reads_store() => return,
            None => {}
        }
    }
    panic!("the follower still alternates between the two hosts after 1 s");
}

/// Guards against the first host of a data centre that reads the store right
/// after a restart, although other hosts may know more than the store returns.
#[test]
fn a_first_host_that_restarts_asks_others_before_it_reads() {
    let start = || {
        let mut source = Source::new(location("a", "here"), 7);
        source.on_hosts(&["a", "b", "c"].map(|name| location(name, "here")));
        source.start(at(0));
        assert_eq!(next_poll(&mut source, at(0)), Some(("b".into(), false)));
        source
    };
    // The polled host follows another host and redirects the daemon there.
    let mut source = start();
    let follower = Answer {
        source: Some("c".into()),
        ..Answer::default()
    };
    source.on_answer(at(1), "b", &follower, at(1));
    assert_eq!(next_poll(&mut source, at(1)), Some(("c".into(), false)));
    assert!(!source.reads_store());
    // Both hosts have just started: the daemon becomes the reader.
    let mut source = start();
    let started = Answer {
        source: Some("a".into()),
        ..Answer::default()
    };
    source.on_answer(at(1), "b", &started, at(1));
    assert!(source.reads_store());
    // No host answers: the daemon becomes the reader, too.
    let mut source = start();
    source.on_failure(at(300), "b");
    source.on_failure(at(600), "c");
    assert!(source.reads_store());
}

/// Guards against a reader on a slow link that keeps its followers although one
/// of them has a fast link, and against a reader that steps down while a
/// follower still needs it.
#[test]
fn a_reader_on_a_slow_link_steps_down_for_a_fast_follower() {
    let mut source = Source::new(location("a", "here"), 7);
    source.start(at(0));
    source.on_hosts(&["a", "b", "c"].map(|name| location(name, "here")));
    source.on_store_call(at(10), true);
    assert!(source.reads_store());
    let answer = source.on_poll(at(20), &poll("b", 140, true, None), Some(at(0)));
    assert!(answer.promote);
    let answer = source.on_poll(at(30), &poll("c", 7, true, None), Some(at(0)));
    assert!(!answer.promote);
    assert_eq!(answer.source.as_deref(), Some("b"));
    source.on_poll(at(900), &poll("b", 140, false, Some(at(500))), Some(at(0)));
    source.on_poll(at(1_500), &poll("c", 7, true, None), Some(at(0)));
    source.next(at(2_000));
    assert!(source.reads_store(), "a follower still needs this reader");
    source.next(at(3_200));
    assert!(!source.reads_store());
    assert_eq!(next_poll(&mut source, at(3_200)), relied_on("b"));
}

/// Guards against a reader whose knowledge becomes stale because the store
/// refuses its calls.
#[test]
fn a_reader_without_the_store_asks_other_readers() {
    let mut source = Source::new(location("a", "here"), 140);
    source.on_hosts(&[location("a", "here"), location("x", "there")]);
    source.start(at(0));
    source.on_store_call(at(10), true);
    source.on_store_call(at(1_000), false);
    assert_eq!(
        next_poll(&mut source, at(1_100)),
        None,
        "the outage may be a short one"
    );
    assert_eq!(next_poll(&mut source, at(1_400)), Some(("x".into(), false)));
    source.on_answer(at(1_440), "x", &reader_answer(140, &[]), TRANSIT);
    assert_eq!(next_poll(&mut source, at(1_440)), relied_on("x"));
    assert!(
        source.reads_store(),
        "the daemon stays a reader for its followers"
    );
    source.on_store_call(at(1_500), true);
    assert_eq!(source.followed(), None);
}

/// Guards against followers that keep polling a leaving daemon until it stops
/// answering.
#[test]
fn followers_of_a_leaving_daemon_move_to_its_successor() {
    let mut source = started_source(7);
    source.on_answer(at(10), "a", &reader_answer(140, &["c"]), TRANSIT);
    let leaving = Answer {
        leaving: true,
        ..reader_answer(140, &["c"])
    };
    source.on_answer(at(600), "a", &leaving, TRANSIT);
    assert_eq!(next_poll(&mut source, at(600)), relied_on("c"));
}

/// Load pattern: request bodies saturate the link of a host. Guards against a
/// daemon on a saturated link that takes slow answers for a lost reader, and
/// makes one host after another read the store.
#[test]
fn a_slow_answer_is_no_lost_reader() {
    let mut source = started_source(7);
    source.on_answer(at(10), "a", &reader_answer(140, &["c", "d"]), TRANSIT);
    let limit = |source: &mut Source, now| match source.next(now) {
        Step::Poll(request) => request.timeout - request.wait,
        Step::Idle(_) => panic!("a follower must poll its reader"),
    };
    assert_eq!(limit(&mut source, at(10)), at(600));
    source.on_answer(at(700), "a", &reader_answer(140, &["c", "d"]), at(500));
    assert_eq!(limit(&mut source, at(700)), at(1_000));
    source.on_failure(at(2_300), "a");
    assert_eq!(next_poll(&mut source, at(2_300)), relied_on("c"));
    source.on_late_answer(at(2_500), "a", &reader_answer(140, &["c", "d"]), at(1_200));
    assert_eq!(next_poll(&mut source, at(2_500)), relied_on("a"));
    assert_eq!(limit(&mut source, at(2_500)), at(2_000));
}

/// Guards against two readers whose order changes over time, so that neither of
/// them steps down for good.
#[test]
fn of_two_readers_the_same_one_is_better_at_all_times() {
    for apart in (0..3_000).step_by(150) {
        let better = |millis: u64| {
            let older = Rank::new(7, Some(at(millis + apart)), "b");
            let younger = Rank::new(7, Some(at(millis)), "a");
            assert_ne!(older.precedes(&younger), younger.precedes(&older));
            older.precedes(&younger)
        };
        let first = better(5_000);
        for millis in (5_000..8_000).step_by(70) {
            assert_eq!(better(millis), first, "{apart} ms apart, after {millis} ms");
        }
    }
}

/// Guards against a reader whose steps make the driver spin in a busy loop
/// while the reader waits until no follower needs it any more.
#[test]
fn a_reader_that_steps_down_idles_while_it_is_needed() {
    let mut source = Source::new(location("b", "here"), 7);
    source.start(at(0));
    source.on_hosts(&[
        location("b", "here"),
        location("c", "here"),
        location("a", "ahead"),
    ]);
    source.on_store_call(at(10), true);
    source.on_poll(at(20), &poll("c", 140, false, Some(at(500))), Some(at(0)));
    // The daemon asks the other host of its data centre once.
    assert_eq!(next_poll(&mut source, at(20)), Some(("c".into(), false)));
    match source.next(at(30)) {
        Step::Idle(wait) => assert!(wait > at(1_000), "{wait:?}"),
        step => panic!("{step:?}"),
    }
}
