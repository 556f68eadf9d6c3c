//! Age of a request by the holder's clock.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use savorylane_ledger::dedup::age;
use savorylane_ledger::entry::receipt_timestamp;

/// Guards against a request that appears younger than it is, so that the
/// coverage of a new holder seems to include it. The time of the question for
/// the clock and the latencies of question, answer and request are random.
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
            |(received_at, asked_at, question, answer, request, offset)| {
                // The holder's clock is `offset` ahead of the entry's.
                let read_at = asked_at + question;
                let answered_at = read_at + answer;
                let timestamp =
                    receipt_timestamp(ms(read_at + offset), ms(answered_at), ms(received_at));
                let arrived_at = received_at.max(answered_at) + request;
                let measured =
                    age(ms(arrived_at + offset), timestamp).expect("the timestamp is in the past");
                prop_assert!(measured >= ms(arrived_at - received_at));
                Ok(())
            },
        )
        .unwrap();
}
