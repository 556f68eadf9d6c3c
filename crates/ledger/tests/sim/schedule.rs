//! Random schedules of requests and faults.

use proptest::prelude::*;

use super::HOSTS;

/// Information that a key and its attempts carry: none, attempt numbers, or the
/// creation time of the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Plain,
    Numbered,
    Timestamped,
}

/// One step of a schedule. Schedules pair it with the milliseconds to wait
/// before it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// An attempt reaches an entry after `delay_ms`. It belongs to a new key if
    /// `back` is 0, otherwise to the `back`-th newest key.
    Send {
        kind: Kind,
        back: u8,
        entry: u8,
        delay_ms: u16,
    },
    /// The platform publishes a list with these members (one bit per host).
    Publish(u8),
    /// The platform publishes such a list, but nobody receives it yet.
    PublishUnannounced(u8),
    /// A host or entry adopts the list that is `back` lists before the newest.
    Adopt { host: u8, back: u8 },
    /// The host pauses; if `frozen`, its clock stops as well.
    Pause { host: u8, ms: u16, frozen: bool },
    /// The host loses its state and starts with an old list.
    Restart { host: u8, back: u8 },
    /// Hosts and entries whose bits differ cannot reach each other.
    Partition(u8),
}

/// Part of the protocol that the faults of a schedule exercise.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Aim {
    /// The ring: list changes, partitions, restarts and pauses.
    Ring,
    /// The handling of messages: many keys and attempts.
    Messages,
}

pub(crate) fn ops(aim: Aim, length: usize) -> BoxedStrategy<Vec<(u16, Op)>> {
    let kind = prop::sample::select(match aim {
        Aim::Ring => vec![Kind::Plain, Kind::Timestamped, Kind::Timestamped],
        Aim::Messages => vec![Kind::Plain, Kind::Numbered, Kind::Timestamped],
    });
    let back = prop_oneof![3 => Just(0), 4 => 1..3u8, 2 => 3..12u8];
    let delay_ms = prop_oneof![6 => Just(0), 1 => 0..12_000u16];
    let send = (kind, back, 0..2u8, delay_ms).prop_map(|(kind, back, entry, delay_ms)| Op::Send {
        kind,
        back,
        entry,
        delay_ms,
    });
    // Mostly three members; other sizes at the end, with and without members in
    // common.
    let rings = vec![
        0b111, 0b11100, 0b1101, 0b11001, 0b10110, 0b1011, 0b11, 0b11111, 0b1000,
    ];
    let publish = prop::sample::select(rings).prop_map(Op::Publish);
    let adopt = (0..7u8, prop_oneof![3 => Just(0u8), 1 => 0..4u8])
        .prop_map(|(host, back)| Op::Adopt { host, back });
    let pause = (0..5u8, 500..20_000u16, any::<bool>()).prop_map(|(host, ms, frozen)| Op::Pause {
        host,
        ms,
        frozen,
    });
    let restart = (0..5u8, 0..4u8).prop_map(|(host, back)| Op::Restart { host, back });
    let partition = prop_oneof![1 => Just(0), 2 => 0..128u8].prop_map(Op::Partition);
    let (op, wait) = match aim {
        Aim::Ring => (
            prop_oneof![
                16 => send, 3 => publish, 4 => adopt, 1 => pause, 2 => restart, 2 => partition
            ]
            .boxed(),
            prop_oneof![3 => 0..400u16, 3 => 400..2500u16, 1 => 2500..9000u16].boxed(),
        ),
        Aim::Messages => (
            prop_oneof![60 => send, 1 => publish, 1 => pause, 4 => restart, 1 => partition].boxed(),
            prop_oneof![6 => 0..300u16, 2 => 300..1500u16, 1 => 1500..5000u16].boxed(),
        ),
    };
    prop::collection::vec((wait, op), 1..length).boxed()
}

/// Returns schedules in which a holder pauses, or is partitioned together with
/// an entry, while the list changes. Afterwards new keys reach both entries.
pub(crate) fn takeover() -> BoxedStrategy<Vec<(u16, Op)>> {
    let pause = (0..3u8, 6000..16_000u16).prop_map(|(host, ms)| Op::Pause {
        host,
        ms,
        frozen: true,
    });
    let cut = (0..3u8).prop_map(|host| Op::Partition(1 << host | 1 << HOSTS));
    let rings = vec![0b11100, 0b1101, 0b11001, 0b10110, 0b1011, 0b11010];
    let publish = prop::sample::select(rings).prop_map(Op::Publish);
    let pair = (0..400u16, 0..400u16, 0..2u8).prop_map(|(first, second, entry)| {
        let send = |back, entry| Op::Send {
            kind: Kind::Timestamped,
            back,
            entry,
            delay_ms: 0,
        };
        vec![(first, send(0, entry)), (second, send(1, 1 - entry))]
    });
    let fault = prop_oneof![pause, cut];
    let pairs = prop::collection::vec(pair, 10..40);
    let parts = (0..2000u16, fault, 0..1000u16, publish, 0..11_000u16, pairs);
    let build = |(before, fault, after, publish, wait, pairs): (_, _, _, _, u16, Vec<Vec<_>>)| {
        let mut ops = vec![(before, fault), (after, publish)];
        // Entry 1 adopts the list. Entry 0 may or may not receive it.
        ops.push((wait, Op::Adopt { host: 6, back: 0 }));
        ops.extend(pairs.into_iter().flatten());
        ops
    };
    parts.prop_map(build).boxed()
}

/// Returns schedules of several successive list changes. Hosts and entries skip
/// some of them; members restart, pause or are partitioned in between; and keys
/// are sent before a change and again after it.
pub(crate) fn chain() -> BoxedStrategy<Vec<(u16, Op)>> {
    // Adjacent sets share one or two members. Some sets occur twice.
    let rings = vec![
        0b111, 0b111, 0b11100, 0b1101, 0b11001, 0b10110, 0b1011, 0b1011, 0b1110, 0b10101, 0b11111,
    ];
    let publish = prop::sample::select(rings).prop_map(Op::Publish);
    let adopt = (
        0..7u8,
        prop_oneof![4 => Just(0u8), 2 => Just(1), 1 => 2..4u8],
    )
        .prop_map(|(host, back)| Op::Adopt { host, back });
    let pause = (0..5u8, 500..9000u16, any::<bool>()).prop_map(|(host, ms, frozen)| Op::Pause {
        host,
        ms,
        frozen,
    });
    let restart = (0..5u8, 0..4u8).prop_map(|(host, back)| Op::Restart { host, back });
    let partition = prop_oneof![1 => Just(0), 1 => 0..128u8].prop_map(Op::Partition);
    let fault = prop_oneof![3 => restart, 2 => pause, 3 => partition];
    let kind = prop::sample::select(vec![Kind::Plain, Kind::Timestamped]);
    let back = prop_oneof![1 => Just(0), 2 => 1..6u8];
    let send = (kind, back, 0..2u8).prop_map(|(kind, back, entry)| Op::Send {
        kind,
        back,
        entry,
        delay_ms: 0,
    });
    let quick = prop_oneof![4 => 0..200u16, 1 => 200..1200u16];
    let wait = prop_oneof![2 => 0..500u16, 2 => 500..3000u16, 1 => 3000..8000u16];
    let round = (
        (wait, publish),
        prop::collection::vec((quick.clone(), adopt), 2..8),
        prop::option::weighted(0.4, (quick.clone(), fault)),
        prop::collection::vec((quick, send), 2..12),
    );
    let build = |(publish, adopts, fault, sends): (_, Vec<_>, Option<_>, Vec<_>)| {
        let mut ops = vec![publish];
        ops.extend(adopts);
        ops.extend(fault);
        ops.extend(sends);
        ops
    };
    let rounds = prop::collection::vec(round.prop_map(build), 2..9);
    rounds
        .prop_map(|rounds| with_warm_up(rounds.concat()))
        .boxed()
}

/// Returns schedules in which one host skips one or two lists and adopts the
/// last one early. The other hosts follow the intermediate lists for several
/// seconds, and the keys that ran meanwhile are sent again under the last list.
/// The host may be partitioned until the others have retired the intermediate
/// rings.
pub(crate) fn skip() -> BoxedStrategy<Vec<(u16, Op)>> {
    type Ops = Vec<(u16, Op)>;
    let adopt = |host, back| Op::Adopt { host, back };
    let send = |back, entry| Op::Send {
        kind: Kind::Timestamped,
        back,
        entry,
        delay_ms: 0,
    };
    let rings = vec![
        0b111, 0b111, 0b110, 0b11100, 0b1101, 0b11001, 0b10110, 0b1011, 0b1110, 0b10101, 0b11111,
        0b11, 0b11000,
    ];
    let hide = prop::sample::select(rings).prop_map(Op::PublishUnannounced);
    let last = prop::sample::select(vec![0b111, 0b1011, 0b10011, 0b1101, 0b11001]);
    let last = (0..1500u16, last.prop_map(Op::PublishUnannounced));
    let restart = (0..5u8, 0..3u8).prop_map(|(host, back)| Op::Restart { host, back });
    let pause = (0..5u8, 1500..9000u16).prop_map(|(host, ms)| Op::Pause {
        host,
        ms,
        frozen: true,
    });
    let fault = (0..2000u16, prop_oneof![2 => restart, 1 => pause]);
    let fault = prop::option::weighted(0.4, fault);
    let middle = prop::collection::vec((0..1500u16, hide, 0..32u8), 1..3);
    // Other hosts that skip the intermediate lists and adopt the last early.
    let early = prop_oneof![2 => Just(0u8), 1 => 0..32u8];
    let change = (0..3u8, middle, last, early, fault.clone());
    let change = change.prop_map(move |(host, middle, last, early, fault)| {
        let mut ops: Ops = Vec::new();
        for (wait, hide, mask) in middle {
            ops.push((wait, hide));
            for other in (0..5).filter(|other| *other != host && mask >> other & 1 == 1) {
                ops.push((20, adopt(other, 0)));
            }
            ops.push((20, adopt(6, 0)));
        }
        ops.extend([last, (0, adopt(host, 0))]);
        ops.extend(fault);
        for other in (0..5).filter(|other| early >> other & 1 == 1) {
            ops.push((20, adopt(other, 0)));
        }
        (host, ops)
    });
    let first = (300..1600u16).prop_map(move |wait| (wait, send(0, 1)));
    let adopts = (0..500u16, 0..5u8).prop_map(move |(wait, other)| (wait, adopt(other, 0)));
    let work = (
        prop::collection::vec(first, 6..16),
        fault,
        prop::collection::vec(adopts, 5..14),
    );
    let work = work.prop_map(move |(mut ops, fault, adopts)| {
        ops.extend(fault);
        ops.push((0, adopt(5, 0)));
        ops.extend(adopts);
        ops
    });
    let cut = prop::option::weighted(0.6, 1500..6000u16);
    let again = (0..400u16, 1..10u8).prop_map(move |(wait, back)| (wait, send(back, 0)));
    let again = prop::collection::vec(again, 8..24);
    let build = |((host, mut ops), work, cut, again): ((u8, Ops), Ops, Option<u16>, Ops)| {
        ops.extend(cut.map(|_| (0, Op::Partition(1 << host))));
        ops.extend(work);
        ops.extend(cut.map(|wait| (wait, Op::Partition(0))));
        ops.extend(again);
        with_warm_up(ops)
    };
    (change, work, cut, again).prop_map(build).boxed()
}

/// Prepends a wait of 6 s, after which the uptimes of the hosts are long enough
/// for their histories to count.
fn with_warm_up(mut ops: Vec<(u16, Op)>) -> Vec<(u16, Op)> {
    ops.insert(0, (6000, Op::Partition(0)));
    ops
}
