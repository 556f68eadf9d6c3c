//! Tests of the recognition of callers that come back.

use std::time::Duration;

use savorylane_policy::patience::Patience;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Load pattern: refused callers come back with less time left. Guards against
/// requests that are treated as new ones, and so take the places of those that
/// can still be in time.
#[test]
fn a_caller_that_comes_back_has_its_age() {
    let mut patience = Patience::default();
    for step in 0..20 {
        assert_eq!(patience.observe(ms(step * 40), ms(4_000)), ms(0));
    }
    assert_eq!(patience.observe(ms(900), ms(2_700)), ms(1_300));
    assert_eq!(patience.observe(ms(901), ms(3_990)), ms(0));
    // The age is known over the change of a period, and while most requests
    // come back.
    for step in 0..30 {
        patience.observe(ms(11_000 + step), ms(3_000));
        assert_eq!(patience.observe(ms(11_000 + step), ms(4_000)), ms(0));
    }
    assert_eq!(patience.observe(ms(11_500), ms(1_000)), ms(3_000));
}

/// Guards against callers that only have less patience than others, and are
/// treated as late.
#[test]
fn callers_that_differ_have_no_age() {
    let mut patience = Patience::default();
    for step in 0..200 {
        let limit = ms(500 + step * 37 % 3_500);
        assert_eq!(patience.observe(ms(step), limit), ms(0), "step {step}");
    }
    // A single caller with a long limit does not make the others late.
    let mut patience = Patience::default();
    for step in 0..100 {
        patience.observe(ms(step), ms(4_000));
    }
    patience.observe(ms(100), ms(60_000));
    assert_eq!(patience.observe(ms(101), ms(4_000)), ms(0));
}

/// Guards against the limits of callers of long ago, after which all callers
/// would be late for good.
#[test]
fn a_longest_limit_expires() {
    let mut patience = Patience::default();
    for step in 0..100 {
        patience.observe(ms(step), ms(4_000));
    }
    for step in 0..100 {
        patience.observe(ms(11_000 + step), ms(2_000));
    }
    assert_eq!(patience.observe(ms(21_200), ms(2_000)), ms(0));
    assert_eq!(patience.longest(), ms(2_000));
}
