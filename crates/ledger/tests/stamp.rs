//! Age of a request as the holder reckons it.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use savorylane_ledger::book::age;
use savorylane_ledger::entry::stamp;

/// Guards against a request that looks younger than it is, so that the memory
/// of a new holder seems to cover it: whenever the clock was asked for, and
/// however long question, answer and request took.
#[test]
fn a_request_never_looks_younger_than_it_is() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ms = Duration::from_millis;
    let times = (
        0..20_000_u64,
        0..20_000_u64,
        0..500_u64,
        0..500_u64,
        0..9_000_u64,
        0..5_000_u64,
    );
    runner
        .run(
            &times,
            |(received, asked, question, answer, request, offset)| {
                // The holder's clock is `offset` ahead of the entry's.
                let read = asked + question;
                let answered = read + answer;
                let stamp = stamp(ms(read + offset), ms(answered), ms(received));
                let arrived = received.max(answered) + request;
                let reckoned = age(ms(arrived + offset), stamp).expect("the stamp is in the past");
                prop_assert!(reckoned >= ms(arrived - received));
                Ok(())
            },
        )
        .unwrap();
}
