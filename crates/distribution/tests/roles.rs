//! Steps of one daemon's source.

use std::time::Duration;

use savorylane_distribution::Source;
use savorylane_distribution::source::{Answer, Candidate, Place, Poll, Rank, Step};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time that an answer is on its way.
const TRANSIT: Duration = at(1);

fn place(name: &str, data_centre: &str) -> Place {
    Place {
        name: name.into(),
        data_centre: data_centre.into(),
        region: "r".into(),
    }
}

/// Returns a daemon on host `b` that knows the hosts `a` to `d`, and `x` of
/// another data centre.
fn started_source(rate: u32) -> Source {
    let mut source = Source::new(place("b", "here"), rate);
    let near = ["a", "b", "c", "d"].map(|name| place(name, "here"));
    let hosts: Vec<Place> = near.into_iter().chain([place("x", "there")]).collect();
    source.on_hosts(&hosts);
    source.start(at(0));
    source
}

/// Returns the host that is polled next and whether it is relied on.
fn next_poll(source: &mut Source, now: Duration) -> Option<(String, bool)> {
    match source.next(now) {
        Step::Poll(request) => Some((request.host.to_string(), request.needs)),
        Step::Idle(_) => None,
    }
}

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

fn relied_on(name: &str) -> Option<(String, bool)> {
    Some((name.into(), true))
}

/// Guards against a follower that asks a host to read although another one
/// does, and against one that does not follow where it is sent.
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

/// Guards against followers of a lost reader that go to different hosts, and
/// against one that waits for hosts which are away too.
#[test]
fn named_successors_take_over_from_a_lost_reader() {
    let mut source = started_source(7);
    source.on_answer(at(10), "a", &reader_answer(140, &["c", "b"]), TRANSIT);
    source.on_failure(at(1_000), "a");
    assert_eq!(next_poll(&mut source, at(1_000)), relied_on("c"));
    source.on_failure(at(1_300), "c");
    assert!(source.reads_store(), "this daemon is the next one");
    assert_eq!(
        next_poll(&mut source, at(1_300)),
        None,
        "the store answers first"
    );
}

/// Guards against hosts that name each other as the reader and a follower that
/// goes back and forth for ever.
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
    panic!("it goes back and forth");
}

/// Guards against the first host of a data centre that reads the store after a
/// restart, which may tell it less than other hosts know.
#[test]
fn a_first_host_that_restarts_asks_others_before_it_reads() {
    let start = || {
        let mut source = Source::new(place("a", "here"), 7);
        source.on_hosts(&["a", "b", "c"].map(|name| place(name, "here")));
        source.start(at(0));
        assert_eq!(next_poll(&mut source, at(0)), Some(("b".into(), false)));
        source
    };
    // One that follows another host sends it there.
    let mut source = start();
    let follower = Answer {
        source: Some("c".into()),
        ..Answer::default()
    };
    source.on_answer(at(1), "b", &follower, at(1));
    assert_eq!(next_poll(&mut source, at(1)), Some(("c".into(), false)));
    assert!(!source.reads_store());
    // Where both have just started, it becomes the reader.
    let mut source = start();
    let started = Answer {
        source: Some("a".into()),
        ..Answer::default()
    };
    source.on_answer(at(1), "b", &started, at(1));
    assert!(source.reads_store());
    // And also if nobody answers.
    let mut source = start();
    source.on_failure(at(300), "b");
    source.on_failure(at(600), "c");
    assert!(source.reads_store());
}

/// Guards against a reader on a slow link that keeps followers although one of
/// them has a fast link, and against one that gives way while it is needed.
#[test]
fn a_reader_on_a_slow_link_steps_down_for_a_fast_follower() {
    let mut source = Source::new(place("a", "here"), 7);
    source.start(at(0));
    source.on_hosts(&["a", "b", "c"].map(|name| place(name, "here")));
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
    assert!(source.reads_store(), "one still needs it");
    source.next(at(3_200));
    assert!(!source.reads_store());
    assert_eq!(next_poll(&mut source, at(3_200)), relied_on("b"));
}

/// Guards against a reader that learns nothing because the store turns it away.
#[test]
fn a_reader_without_the_store_asks_other_readers() {
    let mut source = Source::new(place("a", "here"), 140);
    source.on_hosts(&[place("a", "here"), place("x", "there")]);
    source.start(at(0));
    source.on_store_call(at(10), true);
    source.on_store_call(at(1_000), false);
    assert_eq!(next_poll(&mut source, at(1_100)), None, "it may be short");
    assert_eq!(next_poll(&mut source, at(1_400)), Some(("x".into(), false)));
    source.on_answer(at(1_440), "x", &reader_answer(140, &[]), TRANSIT);
    assert_eq!(next_poll(&mut source, at(1_440)), relied_on("x"));
    assert!(source.reads_store(), "its followers stay");
    source.on_store_call(at(1_500), true);
    assert_eq!(source.followed(), None);
}

/// Guards against followers that stay with a daemon until it is gone.
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

/// Load pattern: bodies of requests fill the link of a host. Guards against a
/// host on a full link that takes its reader for lost, and has one host after
/// the other read the store.
#[test]
fn a_slow_answer_is_no_lost_reader() {
    let mut source = started_source(7);
    source.on_answer(at(10), "a", &reader_answer(140, &["c", "d"]), TRANSIT);
    let limit = |source: &mut Source, now| match source.next(now) {
        Step::Poll(request) => request.timeout - request.wait,
        Step::Idle(_) => panic!("a follower polls"),
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

/// Guards against two readers that each take the other one for better at
/// different moments, so that neither gives way for good.
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

/// Guards against a reader that looks for its next step again and again while
/// it waits for the moment from which on nobody needs it.
#[test]
fn a_reader_that_steps_down_idles_while_it_is_needed() {
    let mut source = Source::new(place("b", "here"), 7);
    source.start(at(0));
    source.on_hosts(&[place("b", "here"), place("c", "here"), place("a", "ahead")]);
    source.on_store_call(at(10), true);
    source.on_poll(at(20), &poll("c", 140, false, Some(at(500))), Some(at(0)));
    // It asks the other host of its data centre once.
    assert_eq!(next_poll(&mut source, at(20)), Some(("c".into(), false)));
    match source.next(at(30)) {
        Step::Idle(wait) => assert!(wait > at(1_000), "{wait:?}"),
        step => panic!("{step:?}"),
    }
}
