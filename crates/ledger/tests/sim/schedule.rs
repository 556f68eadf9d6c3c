//! Random schedules of requests and faults.

use proptest::prelude::*;

use super::HOSTS;

/// How the attempts of a key are told apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Plain,
    Marked,
    Timed,
}

/// One step of a schedule, taken some milliseconds after the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// An attempt reaches an entry `late` ms later: of a new key if `back` is
    /// 0, else of the key that is that far back.
    Send {
        kind: Kind,
        back: u8,
        entry: u8,
        late: u16,
    },
    /// The platform publishes the list with these members (bits).
    Publish(u8),
    /// A host or entry takes on a published list, counted from the newest.
    Adopt { host: u8, back: u8 },
    /// The host stands still; `frozen`: its clock does, too.
    Pause { host: u8, ms: u16, frozen: bool },
    /// The host loses its memory and starts with an old list.
    Restart { host: u8, back: u8 },
    /// Hosts and entries whose bits differ cannot reach each other.
    Partition(u8),
}

/// What the faults of a schedule aim at.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Aim {
    /// The ring: list changes, partitions, restarts and pauses.
    Ring,
    /// The book: many keys and attempts.
    Book,
}

pub(crate) fn ops(aim: Aim, length: usize) -> BoxedStrategy<Vec<(u16, Op)>> {
    let kind = prop::sample::select(match aim {
        Aim::Ring => vec![Kind::Plain, Kind::Timed, Kind::Timed],
        Aim::Book => vec![Kind::Plain, Kind::Marked, Kind::Timed],
    });
    let back = prop_oneof![3 => Just(0), 4 => 1..3u8, 2 => 3..12u8];
    let late = prop_oneof![6 => Just(0), 1 => 0..12_000u16];
    let send = (kind, back, 0..2u8, late).prop_map(|(kind, back, entry, late)| Op::Send {
        kind,
        back,
        entry,
        late,
    });
    // Three members most of the time; the last ones share members or not.
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
    let sides = prop_oneof![1 => Just(0), 2 => 0..128u8].prop_map(Op::Partition);
    let (op, wait) = match aim {
        Aim::Ring => (
            prop_oneof![
                16 => send, 3 => publish, 4 => adopt, 1 => pause, 2 => restart, 2 => sides
            ]
            .boxed(),
            prop_oneof![3 => 0..400u16, 3 => 400..2500u16, 1 => 2500..9000u16].boxed(),
        ),
        Aim::Book => (
            prop_oneof![60 => send, 1 => publish, 1 => pause, 4 => restart, 1 => sides].boxed(),
            prop_oneof![6 => 0..300u16, 2 => 300..1500u16, 1 => 1500..5000u16].boxed(),
        ),
    };
    prop::collection::vec((wait, op), 1..length).boxed()
}

/// Schedules in which a holder stands still or is cut off with an entry while
/// the list changes, and the same new keys reach both entries afterwards.
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
            kind: Kind::Timed,
            back,
            entry,
            late: 0,
        };
        vec![(first, send(0, entry)), (second, send(1, 1 - entry))]
    });
    let fault = prop_oneof![pause, cut];
    let pairs = prop::collection::vec(pair, 10..40);
    let parts = (0..2000u16, fault, 0..1000u16, publish, 0..11_000u16, pairs);
    let build = |(before, fault, after, publish, wait, pairs): (_, _, _, _, u16, Vec<Vec<_>>)| {
        let mut ops = vec![(before, fault), (after, publish)];
        // Entry 1 takes on the list; the other may or may not hear of it.
        ops.push((wait, Op::Adopt { host: 6, back: 0 }));
        ops.extend(pairs.into_iter().flatten());
        ops
    };
    parts.prop_map(build).boxed()
}
