//! Encoding of the attributes that an entry attaches to a request.

use savorylane_wire::Hop;

fn hop(instance: &str) -> Hop {
    Hop {
        class: "r-1".into(),
        service: "stock".into(),
        origin: "front".into(),
        slots: 6,
        idempotent: true,
        shed_order: 2,
        timeout_ms: 1_200,
        slack_ms: 400,
        version: 9_007_199_254_740_991,
        list: 1_152,
        late: true,
        instance: instance.into(),
    }
}

/// Guards against an attribute that the gatekeeper reads as another one.
#[test]
fn a_hop_is_read_as_it_was_written() {
    for instance in ["i-1", "an id with spaces", ""] {
        let hop = hop(instance);
        assert_eq!(hop.to_string().parse(), Ok(hop));
    }
}

/// Guards against a request that runs with attributes that were not sent.
#[test]
fn a_malformed_hop_is_refused() {
    let text = hop("i-1").to_string();
    let short = text.rsplit_once(' ').unwrap().0.rsplit_once(' ').unwrap().0;
    let negative = text.replace(" 400 ", " -400 ");
    let wide = text.replace(" 2 1200 ", " 256 1200 ");
    for malformed in ["", "r-1", short, &negative, &wide] {
        assert!(malformed.parse::<Hop>().is_err(), "{malformed}");
    }
}
