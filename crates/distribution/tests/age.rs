//! Age of a daemon's knowledge, and pauses between transfers of large values.

use std::time::Duration;

use savorylane_distribution::Age;
use savorylane_distribution::age::{Numbers, STALE_AFTER, leases_may_have_lapsed};
use savorylane_distribution::pace::{MAX_PAUSE, MIN_PAUSE, Pace, adoption_pause};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn numbers(version: u64, list: u64) -> Numbers {
    Numbers { version, list }
}

/// Guards against a late answer that makes knowledge look older than it is, and
/// against a daemon that trusts its knowledge although it never was complete.
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

/// Guards against reported numbers that are lost, and against a daemon that
/// counts as behind although it has caught up.
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
    // The lag behind a later number starts when that number is reported.
    assert!(age.on_numbers(at(2_000), numbers(6, 9), numbers(5, 9)));
    assert_eq!(age.lag(at(2_100), numbers(5, 9)), Some(at(100)));
}

/// Load pattern: large versions in a fast series. Guards against reads that
/// saturate a slow link, and against pauses that make versions late.
#[test]
fn pauses_follow_the_time_that_a_value_takes() {
    let cases = [
        (at(0), MIN_PAUSE, false),
        (at(30), MIN_PAUSE, false),
        (at(100), at(300), true),
        (at(2_000), MAX_PAUSE, true),
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

/// Guards against a reader that keeps hosts that have left because the store
/// refused this reader while it served others, and against hosts that are
/// dropped after an outage of the store for all daemons.
#[test]
fn leases_may_have_lapsed_unless_another_daemon_read_the_store() {
    let lost = at(3_000);
    assert!(
        !leases_may_have_lapsed(Some(at(1_000)), lost),
        "another daemon read the store during the outage"
    );
    assert!(
        leases_may_have_lapsed(Some(lost), lost),
        "no daemon read the store during the outage"
    );
    assert!(
        leases_may_have_lapsed(Some(at(2_500)), lost),
        "the age is above the limit for stale knowledge"
    );
    assert!(
        leases_may_have_lapsed(None, lost),
        "the daemon has never known all changes"
    );
}
