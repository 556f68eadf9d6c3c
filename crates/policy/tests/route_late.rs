//! Tests of estimates of hosts to which requests of the late lane are sent.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::route::{Estimate, Outcome};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Load pattern: answers that waited in the late lane of a host. Guards against
/// a host that is taken for slow or full because of them.
#[test]
fn late_requests_do_not_make_a_host_slow() {
    let estimate = Estimate::default();
    let ticket = estimate.begin(ms(50), Work::Short);
    estimate.end(ms(150), ticket, Outcome::Answered);
    for outcome in [Outcome::Answered, Outcome::Cancelled, Outcome::Refused] {
        let ticket = estimate.begin_late(ms(200));
        assert_eq!(estimate.in_flight(), 0);
        assert_eq!(estimate.oldest_age(ms(1_700)), None);
        estimate.end(ms(1_700), ticket, outcome);
        assert_eq!(estimate.in_flight(), 0);
        assert_eq!(estimate.response_time(Work::Short), Some(ms(100)));
    }
    // A connection that fails is no question of waiting.
    let ticket = estimate.begin_late(ms(1_800));
    estimate.end(ms(1_810), ticket, Outcome::Failed);
    assert!(estimate.backed_off(ms(1_820)));
}
