//! Property tests of deltas, adoption, validation and routing, with a fixed
//! seed.

use proptest::prelude::*;
use proptest::sample::Index;

use savorylane_intent::adopt::{Outcome, Store};
use savorylane_intent::hosts::List;
use savorylane_intent::transfer::{self, Content};
use savorylane_intent::{Delta, Document, Manifest, Snapshot, document};

use crate::sample;

fn slices(values: &[Vec<u8>]) -> Vec<&[u8]> {
    values.iter().map(Vec::as_slice).collect()
}

/// Offers `document` over one of the four channels by which documents arrive:
/// as such, as the parts of a manifest, as a complete document from a peer, or
/// as a peer's update of the document in force.
fn offer(store: &mut Store, document: &Document, channel: usize) -> Outcome {
    match channel % 4 {
        0 => store.offer_document(document.clone()),
        1 => {
            let (manifest, values) = sample::split(document, 64);
            store.offer_parts(&manifest, &slices(&values))
        }
        2 => {
            let content = Content::Document(document.clone().into());
            store.offer_transfer(&transfer::encode(&content))
        }
        _ => {
            let mut peer = Store::default();
            if let Some(current) = &store.current {
                peer.offer_document((*current.document).clone());
            }
            peer.offer_document(document.clone());
            let base = store.version().map(|version| version.hash);
            let content = peer.content_since(base).expect("the peer holds a document");
            store.offer_transfer(&transfer::encode(&content))
        }
    }
}

/// Damage to a list of values.
#[derive(Clone, Debug)]
enum Damage {
    Flip(Index, Index, u8),
    Truncate(Index, Index),
    Drop(Index),
    Swap(Index, Index),
    Replace(Index),
}

fn damage() -> impl Strategy<Value = Damage> {
    let index = any::<Index>;
    prop_oneof![
        (index(), index(), 1..=255_u8).prop_map(|(a, b, bits)| Damage::Flip(a, b, bits)),
        (index(), index()).prop_map(|(a, b)| Damage::Truncate(a, b)),
        index().prop_map(Damage::Drop),
        (index(), index()).prop_map(|(a, b)| Damage::Swap(a, b)),
        index().prop_map(Damage::Replace),
    ]
}

impl Damage {
    /// Damages `values`; `other` contains the values of another document.
    fn apply(&self, values: &mut Vec<Vec<u8>>, other: &[Vec<u8>]) {
        let count = values.len();
        match self {
            Self::Flip(value, byte, bits) => {
                let value = value.get_mut(values);
                let at = byte.index(value.len());
                value[at] ^= bits;
            }
            Self::Truncate(value, byte) => {
                let value = value.get_mut(values);
                let length = byte.index(value.len());
                value.truncate(length);
            }
            Self::Drop(value) => {
                values.remove(value.index(count));
            }
            Self::Swap(a, b) => values.swap(a.index(count), b.index(count)),
            Self::Replace(value) => {
                let at = value.index(count);
                values[at] = other[at % other.len()].clone();
            }
        }
    }
}

proptest! {
    #![proptest_config(sample::config(1))]

    /// Guards against a delta whose result differs from the sender's document.
    #[test]
    fn delta_yields_the_document_of_the_sender(old in sample::document(), new in sample::document()) {
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        let content = Content::Delta(Box::new(delta));
        prop_assert_eq!(transfer::decode(&transfer::encode(&content)), Ok(content));
    }

    /// Guards against applying a delta to a document other than its base.
    #[test]
    fn delta_refuses_another_base(
        old in sample::document(),
        new in sample::document(),
        other in sample::document(),
    ) {
        prop_assume!(old != other);
        prop_assert!(Delta::between(&old, &new).apply(&other).is_err());
    }

    /// Guards against accepting a delta whose result does not have the version
    /// that the delta states.
    #[test]
    fn altered_delta_is_refused(
        old in sample::document(),
        new in sample::document(),
        other in sample::document(),
    ) {
        prop_assume!(new != other);
        let mut delta = Delta::between(&old, &new);
        delta.version = other.version();
        prop_assert!(delta.apply(&old).is_err());
    }

    /// Guards against an order of versions that is not total, with which two
    /// daemons could each prefer their own document.
    #[test]
    fn version_order_is_total(a in sample::document(), b in sample::document(), c in sample::document()) {
        let (x, y, z) = (a.version(), b.version(), c.version());
        prop_assert_eq!(x.cmp(&y), y.cmp(&x).reverse());
        prop_assert_eq!(x == y, a == b);
        prop_assert!(!(x <= y && y <= z) || x <= z);
        prop_assert!(x.number >= y.number || x < y);
    }

    /// Guards against a version in force that decreases (P1), and against
    /// daemons that end with different documents after the same offers in
    /// another order (P9).
    #[test]
    fn adopted_version_never_decreases(
        documents in prop::collection::vec(sample::document(), 1..6),
        offers in prop::collection::vec((any::<Index>(), any::<usize>()), 0..24),
        shuffled in any::<[usize; 6]>(),
    ) {
        let mut store = Store::default();
        let mut order: Vec<usize> = (0..documents.len()).collect();
        order.sort_by_key(|&at| shuffled[at]);
        let early = offers.into_iter().map(|(at, channel)| (at.index(documents.len()), channel));
        for (at, channel) in early.chain(order.into_iter().map(|at| (at, shuffled[at]))) {
            let before = store.version();
            let wanted = store.should_fetch(documents[at].version());
            let outcome = offer(&mut store, &documents[at], channel);
            prop_assert!(store.version() >= before);
            let adopted = matches!(outcome, Outcome::Adopted { .. });
            prop_assert_eq!(adopted, store.version() > before);
            prop_assert_eq!(adopted, wanted);
        }
        let greatest = documents.iter().map(Document::version).max();
        prop_assert_eq!(store.version(), greatest);
    }

    /// Guards against a torn read that is partly applied (P3), and against one
    /// that prevents the later adoption of the intact version.
    #[test]
    fn damaged_parts_are_never_applied(
        old in sample::document(),
        new in sample::document(),
        bytes in 16..200_usize,
        damage in damage(),
    ) {
        prop_assume!(old.version() < new.version());
        let mut store = Store::default();
        store.offer_document(old.clone());
        let (manifest, intact) = sample::split(&new, bytes);
        let mut values = intact.clone();
        damage.apply(&mut values, &sample::split(&old, bytes).1);
        let outcome = store.offer_parts(&manifest, &slices(&values));
        if values != intact {
            prop_assert!(matches!(outcome, Outcome::Torn { .. }), "{:?}", outcome);
            prop_assert_eq!(store.version(), Some(old.version()));
        }
        prop_assert_eq!(store.should_fetch_manifest(&manifest), values != intact);
        store.offer_parts(&manifest, &slices(&intact));
        prop_assert_eq!(store.version(), Some(new.version()));
    }

    /// Guards against a damaged transfer that is applied, and against one that
    /// prevents the later adoption of the intact version. Deflate ignores a few
    /// bits, so that a damaged transfer may still have the intact content.
    #[test]
    fn damaged_transfers_are_never_applied(
        old in sample::document(),
        new in sample::document(),
        whole in any::<bool>(),
        damage in damage(),
    ) {
        prop_assume!(old.version() < new.version());
        let mut store = Store::default();
        store.offer_document(old.clone());
        let content = match whole {
            true => Content::Document(new.clone().into()),
            false => Content::Delta(Box::new(Delta::between(&old, &new))),
        };
        let intact = vec![transfer::encode(&content)];
        let mut values = intact.clone();
        damage.apply(&mut values, &[transfer::encode(&Content::Document(old.clone().into()))]);
        store.offer_transfer(&values.concat());
        let current = store.version();
        prop_assert!(current == Some(old.version()) || current == Some(new.version()));
        store.offer_transfer(&intact[0]);
        prop_assert_eq!(store.version(), Some(new.version()));
    }

    /// Guards against daemons that disagree on a document. The result of a
    /// validation must depend only on the bytes, and the canonical and the
    /// indented JSON of an accepted document must be accepted with the same
    /// version.
    #[test]
    fn validation_depends_on_the_bytes_only(
        document in sample::document(),
        flips in prop::collection::vec((any::<Index>(), 32..127_u8), 0..3),
    ) {
        let mut bytes = document.canonical();
        for (at, byte) in flips {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let here = document::validate(&bytes);
        let copy = bytes.clone();
        let there = std::thread::spawn(move || document::validate(&copy)).join().expect("no panic");
        prop_assert_eq!(&here, &there);
        if let Ok(accepted) = here {
            let pretty = serde_json::to_vec_pretty(&accepted).expect("valid JSON");
            for form in [accepted.canonical(), pretty] {
                let again = document::validate(&form).map(|again| again.version());
                prop_assert_eq!(again, Ok(accepted.version()));
            }
        }
    }

    /// Guards against a share that changes when a document is read and written
    /// again, which would change the document's hash.
    #[test]
    fn shares_survive_a_round_trip(text in "(0|1)\\.[0-9]{1,24}(e-?[0-9])?") {
        let document = sample::sized(1, 1, 1);
        let json = String::from_utf8(document.canonical()).expect("UTF-8");
        let json = json.replace("0.999", &text);
        if let Ok(accepted) = document::validate(json.as_bytes()) {
            let again = document::validate(&accepted.canonical());
            prop_assert_eq!(again.map(|again| again.version()), Ok(accepted.version()));
        }
    }

    /// Guards against a parser that panics on arbitrary bytes or accepts them.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(document::validate(&bytes).is_err());
        prop_assert!(Manifest::parse(&bytes).is_err());
        prop_assert!(transfer::decode(&bytes).is_err());
    }

    /// Guards against a lookup that misses the class with the longest prefix
    /// among those with the request's method, by comparison with a scan of all
    /// classes.
    #[test]
    fn class_lookup_finds_the_longest_prefix(
        mut document in sample::document(),
        path in "/[ab]{0,2}(/[abc]{0,2}){0,2}",
        only in any::<[bool; 6]>(),
        method in prop::sample::select(vec!["GET", "POST", "PUT"]),
    ) {
        for (class, only) in document.classes.iter_mut().zip(only) {
            class.methods.truncate(2 - usize::from(only));
        }
        let expected = document
            .classes
            .iter()
            .filter(|class| path.starts_with(&class.path_prefix))
            .filter(|class| class.methods.iter().any(|m| m == method))
            .max_by_key(|class| class.path_prefix.len());
        let snapshot = Snapshot::build(document.clone(), List::default());
        prop_assert_eq!(snapshot.class(None, method, &path), expected);
    }
}
