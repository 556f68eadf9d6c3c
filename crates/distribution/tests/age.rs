//! How old knowledge is, and the pauses between large values.

use std::time::Duration;

use savorylane_distribution::Age;
use savorylane_distribution::age::{Numbers, STALE_AFTER, leases_may_have_lapsed};
use savorylane_distribution::pace::{PAUSE_MAX, PAUSE_MIN, Pace, adoption_pause};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn numbers(version: u64, list: u64) -> Numbers {
    Numbers { version, list }
}

/// Guards against an answer that arrives late and makes knowledge look older,
/// and against a daemon that trusts what it never knew whole.
#[test]
fn confirmations_never_go_back() {
    let age = Age::default();
    assert_eq!(age.at(at(500)), None);
    assert!(age.is_stale(at(500), 0));
    age.confirm(at(1_000));
    age.confirm(at(700));
    assert_eq!(age.at(at(1_500)), Some(at(500)));
    assert!(!age.is_stale(at(1_000) + STALE_AFTER, 4));
    assert!(age.is_stale(at(1_001) + STALE_AFTER, 4));
}

/// Guards against numbers that are heard of and forgotten, or held against a
/// daemon that has caught up.
#[test]
fn a_greater_number_counts_until_it_is_reached() {
    let age = Age::default();
    age.confirm(at(1_000));
    assert!(!age.on_numbers(at(1_000), numbers(4, 9), numbers(4, 9)));
    assert!(age.on_numbers(at(1_000), numbers(5, 9), numbers(4, 9)));
    assert!(age.on_numbers(at(1_200), numbers(5, 9), numbers(4, 9)));
    assert_eq!(age.lag(at(1_300), numbers(4, 9)), Some(at(300)));
    assert!(age.is_stale(at(1_300), 4));
    assert_eq!(age.lag(at(1_300), numbers(5, 9)), None);
    assert!(!age.is_stale(at(1_300), 5));
    // A later number counts from when it was named.
    assert!(age.on_numbers(at(2_000), numbers(6, 9), numbers(5, 9)));
    assert_eq!(age.lag(at(2_100), numbers(5, 9)), Some(at(100)));
}

/// Load pattern: large versions in a fast series. Guards against readings that
/// fill a slow link, and against pauses that make versions late.
#[test]
fn pauses_follow_the_time_that_a_value_takes() {
    let cases = [
        (at(0), PAUSE_MIN, false),
        (at(30), PAUSE_MIN, false),
        (at(100), at(300), true),
        (at(2_000), PAUSE_MAX, true),
    ];
    for (taken, pause, slow) in cases {
        let mut pace = Pace::default();
        pace.on_transfer(taken);
        assert_eq!(pace.pause(), pause, "{taken:?}");
        assert_eq!(pace.is_slow(), slow, "{taken:?}");
    }
    assert_eq!(adoption_pause(at(4)), at(60));
    assert_eq!(adoption_pause(at(400)), at(500));
}

/// Guards against hosts that have left and are kept by a reader that was turned
/// away by a store that served others, and against hosts that are dropped after
/// an outage for all.
#[test]
fn leases_may_have_lapsed_unless_another_daemon_read_the_store() {
    let lost = at(3_000);
    assert!(
        !leases_may_have_lapsed(Some(at(1_000)), lost),
        "others read it"
    );
    assert!(leases_may_have_lapsed(Some(lost), lost), "nobody read it");
    assert!(leases_may_have_lapsed(Some(at(2_500)), lost), "all lost it");
    assert!(leases_may_have_lapsed(None, lost), "nothing was ever known");
}
