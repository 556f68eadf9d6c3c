//! Tests of evacuations that a store lists.

use std::time::Duration;

use savorylane_intent::evacuation::{Evacuations, REWRITE_GRACE};
use savorylane_intent::revision;

const SECOND: Duration = Duration::from_secs(1);

fn data_centres(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.data_centres().collect()
}

/// Guards against an evacuation that a delayed answer ends or begins again, and
/// against one that ends with another data centre's.
#[test]
fn evacuations_follow_the_latest_change() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.record(5, "a", true));
    assert!(evacuations.record(6, "b", true));
    assert!(!evacuations.record(4, "a", false));
    assert!(evacuations.record(8, "a", false));
    assert!(!evacuations.record(5, "a", true));
    assert_eq!(data_centres(&evacuations), ["b"]);
    assert_eq!(evacuations.changed_at(), 8);
}

/// Guards against a reader that resumes its watch before its complete read, and
/// undoes or misses what the read says.
#[test]
fn complete_read_and_watch_agree_in_any_order() {
    let read = |evacuations: &mut Evacuations| {
        evacuations.reconcile(SECOND, 10, &[(9, "b")]);
    };
    let watch = |evacuations: &mut Evacuations| {
        for (at, name, active) in [
            (7, "a", true),
            (8, "a", false),
            (9, "b", true),
            (12, "c", true),
        ] {
            evacuations.record(at, name, active);
        }
    };
    let (mut read_first, mut watch_first) = (Evacuations::default(), Evacuations::default());
    read(&mut read_first);
    watch(&mut read_first);
    watch(&mut watch_first);
    read(&mut watch_first);
    assert_eq!(data_centres(&read_first), ["b", "c"]);
    assert_eq!(data_centres(&watch_first), ["b", "c"]);
}

/// Guards against a new reader that keeps an evacuation which ended before it
/// became one.
#[test]
fn first_read_ends_what_the_list_showed() {
    let mut evacuations = Evacuations::seeded(10, ["a"]);
    assert_eq!(data_centres(&evacuations), ["a"]);
    assert!(evacuations.reconcile(SECOND, 11, &[]));
    assert_eq!(data_centres(&evacuations), Vec::<&str>::new());
}

/// Guards against requests into an evacuated data centre because the store came
/// back from a copy that is older than the evacuation, and against an evacuation
/// without end that the operators did not write again.
#[test]
fn evacuation_that_the_store_lost_holds_until_it_is_written_again() {
    let at = |era, own| revision::compose(era, own).expect("a small revision");
    for seeded in [false, true] {
        let mut evacuations = match seeded {
            true => Evacuations::seeded(at(1, 101), ["a", "b"]),
            false => {
                let mut known = Evacuations::default();
                known.reconcile(SECOND, at(1, 101), &[(at(1, 100), "a"), (at(1, 101), "b")]);
                known
            }
        };
        evacuations.reconcile(10 * SECOND, at(2, 90), &[]);
        // A second read before the operators have written again.
        evacuations.reconcile(11 * SECOND, at(2, 91), &[]);
        assert_eq!(data_centres(&evacuations), ["a", "b"]);
        evacuations.record(at(2, 92), "a", true);
        assert!(evacuations.expire(10 * SECOND + REWRITE_GRACE));
        assert_eq!(data_centres(&evacuations), ["a"]);
    }
}
