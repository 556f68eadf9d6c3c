//! Records of idempotency keys at their holder.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::Hash;
use savorylane_wire::{Incarnation, Verdict};

use crate::ring::Coverage;
use crate::{Lease, Settings};

mod record;

use record::{Attempts, Record, State};

/// Keyed request as it reached the holder.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Idempotency key, made unique over callers and services.
    pub key: &'a str,
    /// Number of the attempt, from 1; `None` for an unmarked key.
    pub attempt: Option<u32>,
    /// Time at which the key was made, from [`key_time`].
    pub key_ms: Option<u64>,
    /// Upper bound of the time since the entry received the request, from
    /// [`age`]; `None` when the entry was paused in between.
    pub age: Option<Duration>,
    /// Run of the holder that the entry addressed.
    pub incarnation: Incarnation,
    /// Hash of the key's ring by the entry's host list.
    pub ring_hash: Hash,
}

/// Answer kept for resends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to replay: name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Answer {
    fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        self.body.len() + headers.map(|(n, v)| n.len() + v.len()).sum::<usize>()
    }
}

/// Decision about a keyed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Run it and report the outcome to [`Book::finish`].
    Run,
    /// An earlier attempt is running; pass on its outcome.
    Wait,
    /// The key ran; `None` when its answer was too large to keep.
    Replay(Option<Arc<Answer>>),
    /// Do not run it.
    Refuse(Verdict, Reason),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The request was addressed to another run of this host.
    Incarnation,
    /// The age is unknown or above the limit.
    Age,
    /// Entry and holder follow different host lists, or the key belongs to
    /// another member.
    Ring,
    /// The holder could not confirm its ring.
    Unconfirmed,
    /// The holder's memory does not cover the first sending of the key.
    Uncovered,
    /// The key is older than keys are remembered for.
    Expired,
    /// An earlier attempt was not seen here, or the marks are inconsistent.
    UnseenAttempt,
    /// An earlier attempt may have run.
    Indeterminate,
    /// The key was refused after this request was sent; send again.
    Stale,
    /// No memory is left for another key.
    Full,
}

/// Records of the keys of one daemon, for all scopes.
///
/// A record is dropped [`Settings::retention`] after its last change. A
/// request that comes later is refused without the record: it was received
/// by the entry more than [`Settings::max_age`] ago, or it is an attempt that
/// came past the horizon. When no record is old enough, new keys are refused.
///
/// Invariant: a key is in state running at most once between two outcomes, and
/// never again after an outcome other than `not-run`.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    incarnation: Incarnation,
    records: HashMap<[u8; 32], Record>,
    /// Time of the last outcome and key, for all keys that are not running.
    outcomes: BTreeSet<(Duration, [u8; 32])>,
    answer_bytes: usize,
    /// Time of the last `not-run` that was given without a record. Requests
    /// for unknown keys that entries received before do not run.
    last_unrecorded_refusal: Option<Duration>,
}

/// Returns the time at which a key of the form `<unix-ms>-…` was made.
pub fn key_time(key: &str) -> Option<u64> {
    let (digits, _) = key.split_once('-')?;
    // 13 digits reach from 2001 to 2286; other numbers are not such times.
    let plain = digits.len() == 13 && digits.bytes().all(|byte| byte.is_ascii_digit());
    if plain { digits.parse().ok() } else { None }
}

/// Returns an upper bound of a request's age. `stamp` is the time of the
/// holder's own clock that the entry had last heard when it received the
/// request, so that delays in the network and pauses of the entry count.
pub fn age(now: Duration, receipt_timestamp: Duration) -> Option<Duration> {
    now.checked_sub(receipt_timestamp)
}

impl Table {
    /// Creates the empty book of a daemon that has just started.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            records: HashMap::new(),
            outcomes: BTreeSet::new(),
            answer_bytes: 0,
            last_unrecorded_refusal: None,
        }
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides about a request. `tenure` is that of the key's scope.
    ///
    /// # Panics
    ///
    /// Panics if `tenure` belongs to another run of the daemon.
    pub fn claim(
        &mut self,
        lease: &Lease,
        now: Duration,
        wall_ms: u64,
        request: &Request<'_>,
    ) -> Claim {
        assert_eq!(lease.incarnation(), self.incarnation, "table and lease");
        if request.incarnation != self.incarnation {
            return Claim::Refuse(Verdict::MayHaveRun, Reason::Incarnation);
        }
        self.remove_expired(now);
        let id = *blake3::hash(request.key.as_bytes()).as_bytes();
        let received = request
            .age
            .filter(|age| *age <= self.settings.max_age)
            .map(|age| now.saturating_sub(age));
        let decision = match self.records.get(&id).map(|record| &record.state) {
            Some(State::Running) => return Claim::Wait,
            Some(State::Ran(answer)) => return Claim::Replay(answer.clone()),
            Some(State::MayHaveRun) => Err((Verdict::MayHaveRun, Reason::Indeterminate)),
            Some(State::NotRun { .. }) => {
                self.check_retry(lease, now, wall_ms, request, &id, received)
            }
            None => self.check_new_key(lease, now, wall_ms, request, received),
        };
        match decision {
            Ok(()) => {
                self.start_run(id, request);
                Claim::Run
            }
            Err((verdict, reason)) => {
                if verdict == Verdict::NotRun {
                    self.record_not_run(now, id, request, reason);
                }
                Claim::Refuse(verdict, reason)
            }
        }
    }

    /// Records the outcome of a run that [`Claim::Run`] started. `answer` is
    /// the answer to replay if the verdict is `ran`. A run that is given up
    /// ends with [`Verdict::MayHaveRun`]. Requests that wait for the run get
    /// the same outcome.
    ///
    /// # Panics
    ///
    /// Panics if the key is not running.
    pub fn finish(&mut self, now: Duration, key: &str, verdict: Verdict, answer: Option<Answer>) {
        self.remove_expired(now);
        let id = *blake3::hash(key.as_bytes()).as_bytes();
        let room = self.settings.max_total_answer_bytes - self.answer_bytes;
        let record = self
            .records
            .get_mut(&id)
            .expect("a running key has a record");
        assert!(record.state == State::Running, "a key runs once at a time");
        record.state = match verdict {
            Verdict::NotRun => State::NotRun { at: now },
            Verdict::MayHaveRun => State::MayHaveRun,
            Verdict::Ran => {
                let limit = room.min(self.settings.max_answer_bytes);
                let kept = answer.filter(|answer| answer.bytes() <= limit);
                self.answer_bytes += kept.as_ref().map_or(0, Answer::bytes);
                State::Ran(kept.map(Arc::new))
            }
        };
        record.outcome_at = now;
        self.outcomes.insert((now, id));
        assert!(
            self.answer_bytes <= self.settings.max_total_answer_bytes,
            "answers over the limit"
        );
    }

    fn check_new_key(
        &self,
        lease: &Lease,
        now: Duration,
        wall_ms: u64,
        request: &Request<'_>,
        received: Option<Duration>,
    ) -> Result<(), (Verdict, Reason)> {
        let received = received.ok_or((Verdict::MayHaveRun, Reason::Age))?;
        match request.attempt {
            // Attempt 1 arrives once, so it runs whatever the memory covers.
            Some(1) => {}
            Some(_) => return Err((Verdict::MayHaveRun, Reason::UnseenAttempt)),
            None => self.check_coverage(lease, now, wall_ms, request, received)?,
        }
        if self.records.len() >= self.settings.max_keys {
            return Err((Verdict::NotRun, Reason::Full));
        }
        if self
            .last_unrecorded_refusal
            .is_some_and(|refused| received <= refused)
        {
            return Err((Verdict::NotRun, Reason::Stale));
        }
        Ok(())
    }

    fn check_retry(
        &self,
        lease: &Lease,
        now: Duration,
        wall_ms: u64,
        request: &Request<'_>,
        id: &[u8; 32],
        received: Option<Duration>,
    ) -> Result<(), (Verdict, Reason)> {
        let record = &self.records[id];
        let State::NotRun { at } = record.state else {
            unreachable!("only keys that did not run are checked again");
        };
        match (record.attempts, request.attempt) {
            (Attempts::SeenThrough(seen), Some(attempt)) => {
                if attempt > seen + 1 || attempt == 0 {
                    return Err((Verdict::MayHaveRun, Reason::UnseenAttempt));
                }
                if attempt <= seen {
                    return Err((Verdict::NotRun, Reason::Stale));
                }
            }
            (Attempts::Unnumbered, None) => {
                // Another holder may have run the key after this one answered
                // `not-run`, so the coverage is checked again.
                let received = received.ok_or((Verdict::MayHaveRun, Reason::Age))?;
                self.check_coverage(lease, now, wall_ms, request, received)?;
            }
            _ => return Err((Verdict::MayHaveRun, Reason::UnseenAttempt)),
        }
        let received = received.ok_or((Verdict::NotRun, Reason::Age))?;
        if received <= at {
            // It was on its way when `not-run` was said, or is a duplicate.
            return Err((Verdict::NotRun, Reason::Stale));
        }
        Ok(())
    }

    /// Checks that an unmarked key without an outcome cannot have run.
    fn check_coverage(
        &self,
        lease: &Lease,
        now: Duration,
        wall_ms: u64,
        request: &Request<'_>,
        received: Duration,
    ) -> Result<(), (Verdict, Reason)> {
        let refuse = |reason| Err((Verdict::MayHaveRun, reason));
        if request.ring_hash != lease.ring().hash || !lease.holds(request.key) {
            return refuse(Reason::Ring);
        }
        let Some(coverage) = lease.coverage(now, request.key) else {
            return refuse(Reason::Unconfirmed);
        };
        let skew = self.settings.max_clock_skew.as_millis() as u64;
        // A time in the future tells nothing.
        let key_ms = request.key_ms.filter(|key_ms| *key_ms <= wall_ms + skew);
        // The caller's clock may be ahead, so that the key was sent earlier
        // than its time tells and its record is dropped earlier.
        let kept = (self.settings.retention().as_millis() as u64).saturating_sub(skew);
        if key_ms.is_some_and(|key_ms| key_ms + kept < wall_ms) {
            return refuse(Reason::Expired);
        }
        let Coverage {
            since: Some(since),
            since_ms,
        } = coverage
        else {
            return Ok(());
        };
        if received.saturating_sub(self.settings.horizon) > since {
            return Ok(());
        }
        // The wall clock may have been set since; the later reading counts.
        let elapsed = now.saturating_sub(since).as_millis() as u64;
        let since_ms = since_ms.max(wall_ms.saturating_sub(elapsed));
        if key_ms.is_some_and(|key_ms| key_ms > since_ms + skew) {
            return Ok(());
        }
        refuse(Reason::Uncovered)
    }

    fn start_run(&mut self, id: [u8; 32], request: &Request<'_>) {
        let attempts = request
            .attempt
            .map_or(Attempts::Unnumbered, Attempts::SeenThrough);
        let record = self
            .records
            .entry(id)
            .or_insert_with(|| Record::new(attempts));
        self.outcomes.remove(&(record.outcome_at, id));
        record.attempts = attempts;
        record.state = State::Running;
        assert!(
            self.records.len() <= self.settings.max_keys,
            "keys over the limit"
        );
    }

    /// Keeps a `not-run` true: this request and those that entries have
    /// received before now do not run later.
    fn record_not_run(
        &mut self,
        now: Duration,
        id: [u8; 32],
        request: &Request<'_>,
        reason: Reason,
    ) {
        if reason == Reason::Full {
            self.last_unrecorded_refusal = Some(now);
            return;
        }
        let attempts = request
            .attempt
            .map_or(Attempts::Unnumbered, Attempts::SeenThrough);
        let record = self
            .records
            .entry(id)
            .or_insert_with(|| Record::new(attempts));
        record.attempts = record.attempts.max(attempts);
        self.outcomes.remove(&(record.outcome_at, id));
        record.state = State::NotRun { at: now };
        record.outcome_at = now;
        self.outcomes.insert((now, id));
    }

    /// Drops records after the retention. Running keys have no outcome yet.
    fn remove_expired(&mut self, now: Duration) {
        while let Some((outcome_at, id)) = self.outcomes.first().copied() {
            if outcome_at + self.settings.retention() >= now {
                return;
            }
            self.outcomes.pop_first();
            let record = self.records.remove(&id).expect("an outcome has a record");
            assert!(record.state != State::Running, "a running key is kept");
            if let State::Ran(Some(answer)) = record.state {
                self.answer_bytes -= answer.bytes();
            }
        }
    }
}
