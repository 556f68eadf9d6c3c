//! Individual rules of the table of keys. The random schedules of
//! `at_most_once.rs` check only their combined effect.

use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::Hash;
use savorylane_ledger::dedup::{Answer, Claim, Reason, Request, key_time};
use savorylane_ledger::entry::{Delivery, Fallback, fallback};
use savorylane_ledger::{Lease, Settings, Table, ring};
use savorylane_wire::control::{Scope, Sender};
use savorylane_wire::{Incarnation, Verdict};

const SECOND: Duration = Duration::from_secs(1);
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Table and lease of a holder that is the only member of its ring.
struct Holder {
    table: Table,
    lease: Lease,
    now: Duration,
}

impl Holder {
    fn new(settings: Settings) -> Self {
        let scope = Scope {
            service: "utlan".into(),
            home: None,
        };
        let ring = ring::build(scope, 1, vec!["a".into()]);
        let me = Sender {
            host: "a".into(),
            incarnation: Incarnation::default(),
        };
        let first = Settings {
            first_start: true,
            ..settings
        };
        Self {
            table: Table::new(settings, me.incarnation),
            lease: Lease::new(first, me, Duration::ZERO, EPOCH_MS, ring),
            now: Duration::ZERO,
        }
    }

    fn wall(&self) -> u64 {
        EPOCH_MS + self.now.as_millis() as u64
    }

    /// Claims `key` for a request that its entry received at `sent`.
    fn claim(&mut self, key: &str, attempt: Option<u32>, sent: Duration) -> Claim {
        self.lease.on_tick(self.now, self.wall());
        let request = Request {
            key,
            attempt,
            key_ms: key_time(key),
            age: self.now.checked_sub(sent),
            incarnation: Incarnation::default(),
            ring_hash: self.lease.ring().hash,
        };
        self.table
            .claim(&self.lease, self.now, self.wall(), &request)
    }

    fn finish(&mut self, key: &str, verdict: Verdict, answer: Option<Answer>) {
        self.table.finish(self.now, key, verdict, answer);
    }
}

/// Returns an answer of `bytes` bytes, headers and body together.
fn answer(bytes: usize) -> Answer {
    Answer {
        status: 201,
        headers: vec![("a".into(), "b".into())],
        body: vec![0; bytes - 2].into(),
    }
}

/// Guards against dropping an answer that fits the limits of size, and against
/// storing answers beyond these limits.
#[test]
fn answers_are_stored_within_the_size_limits() {
    let settings = Settings {
        max_answer_bytes: 100,
        max_total_answer_bytes: 250,
        ..Settings::default()
    };
    let mut holder = Holder::new(settings);
    for (key, bytes, kept) in [
        ("a", 100, true),
        ("b", 101, false),
        ("c", 100, true),
        ("d", 60, false),
    ] {
        assert_eq!(holder.claim(key, None, Duration::ZERO), Claim::Run);
        assert_eq!(holder.claim(key, None, Duration::ZERO), Claim::Wait);
        holder.finish(key, Verdict::Ran, Some(answer(bytes)));
        let stored = kept.then(|| Arc::new(answer(bytes)));
        assert_eq!(
            holder.claim(key, None, Duration::ZERO),
            Claim::Replay(stored)
        );
    }
    assert_eq!(holder.table.answer_bytes(), 200);
    for _ in 0..41 {
        holder.now += SECOND;
        holder.lease.on_tick(holder.now, 0);
    }
    holder.claim("e", None, holder.now);
    assert_eq!((holder.table.len(), holder.table.answer_bytes()), (1, 0));
}

/// Guards against a full table that removes a key too early, and against a
/// request that runs after it was refused because the table was full.
#[test]
fn a_full_table_keeps_its_records_and_its_refusals() {
    let mut holder = Holder::new(Settings {
        max_keys: 1,
        ..Settings::default()
    });
    assert_eq!(holder.claim("a", None, Duration::ZERO), Claim::Run);
    holder.finish("a", Verdict::Ran, None);
    holder.now = 38 * SECOND;
    let refused = Claim::Refuse(Verdict::NotRun, Reason::Full);
    assert_eq!(holder.claim("b", Some(1), 37 * SECOND), refused);
    holder.now = 41 * SECOND;
    let refused = Claim::Refuse(Verdict::NotRun, Reason::Stale);
    assert_eq!(holder.claim("b", Some(1), 37 * SECOND), refused);
}

/// Guards against a second run of a key when numbered attempts arrive late,
/// twice or out of order, or when only some attempts are numbered.
#[test]
fn numbered_attempts_out_of_order_run_once() {
    let mut holder = Holder::new(Settings::default());
    let unseen_attempt = Claim::Refuse(Verdict::MayHaveRun, Reason::UnseenAttempt);
    let stale = Claim::Refuse(Verdict::NotRun, Reason::Stale);
    assert_eq!(holder.claim("a", Some(2), Duration::ZERO), unseen_attempt);
    holder.now = SECOND;
    // The delayed attempt 1 may run, because attempt 2 did not run.
    assert_eq!(holder.claim("a", Some(1), Duration::ZERO), Claim::Run);
    holder.finish("a", Verdict::NotRun, None);
    assert_eq!(holder.claim("a", Some(1), Duration::ZERO), stale);
    assert_eq!(holder.claim("a", Some(3), 2 * SECOND), unseen_attempt);
    holder.now = 3 * SECOND;
    assert_eq!(
        holder.claim("a", None, 2 * SECOND),
        unseen_attempt,
        "attempts with and without numbers"
    );
    assert_eq!(holder.claim("a", Some(2), 2 * SECOND), Claim::Run);
    holder.finish("a", Verdict::Ran, None);
    // Attempt 1 must not run after attempt 2 ran.
    assert_eq!(
        holder.claim("a", Some(1), Duration::ZERO),
        Claim::Replay(None)
    );
    assert_eq!(holder.claim("b", Some(1), 2 * SECOND), Claim::Run);
    holder.finish("b", Verdict::MayHaveRun, None);
    holder.now = 9 * SECOND;
    let indeterminate = Claim::Refuse(Verdict::MayHaveRun, Reason::Indeterminate);
    assert_eq!(holder.claim("b", Some(2), 8 * SECOND), indeterminate);
}

/// Guards against a wrong creation time, and so wrong coverage, from keys that
/// only resemble the form with a timestamp.
#[test]
fn key_time_format() {
    assert_eq!(key_time("1700000000000-kit"), Some(1_700_000_000_000));
    for key in [
        "1700000000000",
        "170000000000-kit",
        "+170000000000-kit",
        "17000000000000-kit",
        "kit-1",
    ] {
        assert_eq!(key_time(key), None, "{key}");
    }
}

/// Guards against running a request elsewhere that the holder may have
/// received, or whose earlier attempts may have run.
#[test]
fn fallback_without_answer() {
    let refuse = Fallback::Refuse(Verdict::MayHaveRun);
    assert_eq!(fallback(Some(1), Delivery::Never), Fallback::RunElsewhere);
    assert_eq!(fallback(Some(1), Delivery::Unknown), refuse);
    assert_eq!(fallback(Some(2), Delivery::Never), refuse);
    assert_eq!(fallback(None, Delivery::Never), refuse);
}

/// Guards against a second run of a key whose entry computed another ring, so
/// that another member may hold the key, or addressed another incarnation of
/// the holder, whose records this one does not have.
#[test]
fn a_request_for_another_ring_or_incarnation_is_refused() {
    let mut holder = Holder::new(Settings::default());
    let mut request = Request {
        key: "a",
        attempt: None,
        key_ms: None,
        age: Some(Duration::ZERO),
        incarnation: Incarnation {
            started_ms: 0,
            nonce: 7,
        },
        ring_hash: holder.lease.ring().hash,
    };
    let refuse = |reason| Claim::Refuse(Verdict::MayHaveRun, reason);
    let claim = holder.table.claim(&holder.lease, holder.now, 0, &request);
    assert_eq!(claim, refuse(Reason::Incarnation));
    request.incarnation = Incarnation::default();
    request.ring_hash = Hash::of(b"another list");
    let claim = holder.table.claim(&holder.lease, holder.now, 0, &request);
    assert_eq!(claim, refuse(Reason::Ring));
}

/// Guards against running a key that another holder may have run while this
/// holder was paused, even if the key is known as `not-run` here. Also guards
/// against ignoring the clock skew in the creation time of a key.
#[test]
fn keys_are_refused_until_coverage_begins() {
    let mut holder = Holder::new(Settings::default());
    assert_eq!(holder.claim("a", None, Duration::ZERO), Claim::Run);
    holder.finish("a", Verdict::NotRun, None);
    holder.now = 20 * SECOND;
    holder.lease.on_pause(holder.now, holder.wall());
    let uncovered = Claim::Refuse(Verdict::MayHaveRun, Reason::Uncovered);
    assert_eq!(holder.claim("a", None, 20 * SECOND), uncovered);
    // Coverage begins 5 s after the pause (lease and undetected pause), and the
    // clock skew adds 2 s.
    for second in 21..28 {
        holder.now = SECOND * second;
        holder.claim("b", None, holder.now);
    }
    assert_eq!(holder.claim("1700000027000-a", None, holder.now), uncovered);
    assert_eq!(
        holder.claim("1700000027001-a", None, holder.now),
        Claim::Run
    );
    while holder.now < 55 * SECOND {
        holder.now += SECOND;
        assert_eq!(holder.claim("c", None, holder.now), uncovered);
    }
    holder.now += SECOND;
    assert_eq!(holder.claim("c", None, holder.now), Claim::Run);
}
