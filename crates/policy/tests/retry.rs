//! Tests of the budgets for retries and hedges.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use savorylane_intent::document::Work;
use savorylane_policy::retry::{
    Budget, HEDGE_BURST, Latency, MAX_ATTEMPTS, RETRY_BURST, Settings, attempts_allowed, may_hedge,
    may_retry,
};
use savorylane_wire::Verdict;

/// Guards against retries and hedges beyond their budgets, which would multiply
/// the load. Checks random sequences of first attempts and repeats.
#[test]
fn budgets_are_never_exceeded() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = prop::collection::vec(any::<bool>(), 0..2_000);
    let result = runner.run(&histories, |history| {
        let budgets = [
            (Budget::retry(&Settings::default()), RETRY_BURST, 10),
            (Budget::hedge(&Settings::default()), HEDGE_BURST, 5),
        ];
        for (budget, burst, percent) in budgets {
            let (mut fresh, mut spent) = (0, 0);
            for request in &history {
                if *request {
                    budget.record_first_attempt();
                    fresh += 1;
                } else {
                    spent += u64::from(budget.try_spend());
                }
                prop_assert!(spent * 100 <= u64::from(burst) * 100 + fresh * percent);
            }
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against running a non-idempotent request twice (requirement P6 in
/// docs/design.md), as a retry or hedge after an attempt that may have run.
#[test]
fn only_idempotent_or_unrun_requests_are_sent_again() {
    assert!(may_retry(false, Verdict::NotRun));
    assert!(!may_retry(false, Verdict::MayHaveRun));
    assert!(!may_retry(false, Verdict::Ran));
    assert!(may_retry(true, Verdict::MayHaveRun));
    assert!(may_hedge(true, Work::Short));
    assert!(!may_hedge(false, Work::Short));
    assert!(!may_hedge(true, Work::Long));
}

/// Guards against retries that multiply along a chain of calls.
#[test]
fn attempts_do_not_multiply_along_a_chain() {
    assert_eq!(attempts_allowed(None, 0), MAX_ATTEMPTS);
    assert_eq!(attempts_allowed(None, 3), 1);
    assert_eq!(attempts_allowed(Some(2), 3), 2);
    assert_eq!(attempts_allowed(Some(0), 3), 1);
    assert_eq!(attempts_allowed(Some(1_000), 3), MAX_ATTEMPTS);
}

/// Guards against a hedge delay that stays at an outdated percentile after the
/// response times changed.
#[test]
fn the_hedge_delay_follows_recent_answers() {
    let mut latency = Latency::new();
    assert_eq!(latency.hedge_delay(), None);
    let mut after = |from: u64, scale: u64| {
        for ms in from..from + 12_000 {
            let response = Duration::from_millis(scale * (1 + ms % 100));
            latency.record(Duration::from_millis(ms), response);
        }
        latency
            .hedge_delay()
            .expect("there are answers")
            .as_millis()
    };
    assert!((94..=97).contains(&after(0, 1)));
    assert!((940..=970).contains(&after(12_000, 10)));
}
