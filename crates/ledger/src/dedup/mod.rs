//! Deduplication of requests by idempotency key, at the holder of the key.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::Hash;
use savorylane_wire::{Incarnation, Verdict};

use crate::ring::Coverage;
use crate::{Lease, Settings};

mod record;

use record::{Attempts, Record, State};

/// Request with an idempotency key, as the holder received it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Idempotency key, unique over callers and services.
    pub key: &'a str,
    /// Number of the attempt, from 1; `None` if the caller numbers none.
    pub attempt: Option<u32>,
    /// Creation time of the key in milliseconds since the Unix epoch, from
    /// [`key_time`].
    pub key_ms: Option<u64>,
    /// Upper bound of the time since the entry received the request, from
    /// [`age`]; `None` if no bound is known.
    pub age: Option<Duration>,
    /// Incarnation of the holder that the entry addressed.
    pub incarnation: Incarnation,
    /// Hash of the key's ring, as the entry computed it from its host list.
    pub ring_hash: Hash,
}

/// Answer stored for replay to later attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns the size that counts towards the limits: headers and body.
    fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        self.body.len() + headers.map(|(n, v)| n.len() + v.len()).sum::<usize>()
    }
}

/// Decision of the holder on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Run the request and report the outcome to [`Table::finish`].
    Run,
    /// Wait for the attempt that is running, and return its outcome.
    Wait,
    /// Return the answer of the attempt that ran; `None` if it was too large
    /// to store.
    Replay(Option<Arc<Answer>>),
    /// Refuse the request.
    Refuse(Verdict, Reason),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The request was addressed to another incarnation of this host.
    Incarnation,
    /// The age of the request is unknown or above [`Settings::max_age`].
    Age,
    /// Entry and holder computed different rings, or another member holds the
    /// key.
    Ring,
    /// The holder has no valid lease.
    Unconfirmed,
    /// Another holder may have run the key before this holder's coverage began.
    Uncovered,
    /// The key is older than the retention of records.
    Expired,
    /// The holder did not see an earlier attempt, or only some of the attempts
    /// are numbered.
    UnseenAttempt,
    /// An earlier attempt may have run.
    Indeterminate,
    /// The key was answered `not-run` after the entry received this request.
    /// A new attempt may run.
    Stale,
    /// The table has no room for another key.
    Full,
}

/// Records of the keys that one daemon holds, for all scopes.
///
/// A record is removed [`Settings::retention`] after its last outcome. A later
/// request is refused without the record: its entry received it more than
/// [`Settings::max_age`] ago, or it is an attempt after the horizon. If the
/// table is full and no record is old enough to remove, new keys are refused.
///
/// Invariants:
///
/// - At most one attempt of a key runs at a time.
/// - No attempt runs after an outcome other than `not-run`.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    incarnation: Incarnation,
    records: HashMap<[u8; 32], Record>,
    /// Time of the last outcome and hash of the key, for all keys that are not
    /// running.
    outcomes: BTreeSet<(Duration, [u8; 32])>,
    /// Size of all stored answers in bytes.
    answer_bytes: usize,
    /// Time of the last `not-run` answer for which no record was stored. A
    /// request for a key without a record that an entry received by then does
    /// not run.
    last_unrecorded_refusal: Option<Duration>,
}

/// Returns the creation time of a key of the form `<unix-ms>-<suffix>`, in
/// milliseconds since the Unix epoch.
pub fn key_time(key: &str) -> Option<u64> {
    let (digits, _) = key.split_once('-')?;
    // 13 digits span the years 2001 to 2286. Other lengths are not timestamps.
    let plain = digits.len() == 13 && digits.bytes().all(|byte| byte.is_ascii_digit());
    if plain { digits.parse().ok() } else { None }
}

/// Returns an upper bound of a request's age, or `None` if
/// `receipt_timestamp` is after `now`. Both are times of the holder's clock.
/// `receipt_timestamp` is a lower bound of the time at which the entry received
/// the request, so that network delays and pauses of the entry count towards
/// the age.
pub fn age(now: Duration, receipt_timestamp: Duration) -> Option<Duration> {
    now.checked_sub(receipt_timestamp)
}

impl Table {
    /// Creates the empty table of a daemon that has just started.
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

    /// Returns the number of keys with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of all stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides whether a request runs, and records the decision. `lease` is
    /// this daemon's lease for the scope of the key; `wall_ms` is the wall
    /// clock in milliseconds since the Unix epoch.
    ///
    /// # Panics
    ///
    /// Panics if `lease` belongs to another incarnation of the daemon.
    pub fn claim(
        &mut self,
        lease: &Lease,
        now: Duration,
        wall_ms: u64,
        request: &Request<'_>,
    ) -> Claim {
        assert_eq!(
            lease.incarnation(),
            self.incarnation,
            "table and lease belong to different incarnations"
        );
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

    /// Records the outcome of a run that [`Claim::Run`] started.
    ///
    /// `answer` is stored for replay if the verdict is `ran`. An abandoned run
    /// ends with [`Verdict::MayHaveRun`]. The caller of this method returns the
    /// same outcome to the requests that wait for the run.
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
        assert!(record.state == State::Running, "the key is not running");
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
            "stored answers exceed the size limit"
        );
    }

    /// Checks that a key without a record may run. `received` is the time at
    /// which the entry received the request, or `None` if that is unknown or
    /// longer ago than [`Settings::max_age`].
    ///
    /// # Errors
    ///
    /// Returns the verdict and the reason of the refusal.
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
            // Attempt 1 reaches an entry only once, so no other holder has run
            // it, and it needs no coverage.
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

    /// Checks that a key whose earlier attempts did not run may run now.
    /// `received` is the same as for [`Table::check_new_key`].
    ///
    /// # Errors
    ///
    /// Returns the verdict and the reason of the refusal.
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
            // The request was in flight when `not-run` was answered, or is a
            // duplicate.
            return Err((Verdict::NotRun, Reason::Stale));
        }
        Ok(())
    }

    /// Checks that a key without attempt numbers cannot have run at another
    /// holder.
    ///
    /// # Errors
    ///
    /// Returns [`Verdict::MayHaveRun`] and the reason of the refusal.
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
        // A creation time in the future is ignored.
        let key_ms = request.key_ms.filter(|key_ms| *key_ms <= wall_ms + skew);
        // If the caller's clock is ahead, the key is older than its creation
        // time indicates, and its record is removed earlier.
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
        // The wall clock may have been adjusted since then; the later of the
        // two readings counts.
        let elapsed = now.saturating_sub(since).as_millis() as u64;
        let since_ms = since_ms.max(wall_ms.saturating_sub(elapsed));
        if key_ms.is_some_and(|key_ms| key_ms > since_ms + skew) {
            return Ok(());
        }
        refuse(Reason::Uncovered)
    }

    /// Marks the key `id` as running.
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
            "number of keys exceeds the limit"
        );
    }

    /// Records a `not-run` answer, so that this request and all requests for
    /// the key that entries received until now never run.
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

    /// Removes records that are past the retention. A running key has no
    /// outcome and is kept.
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
