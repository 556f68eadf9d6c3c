//! Whether an upstream is cold, and how many requests it may get meanwhile.
//!
//! An upstream that has just started, or that got no requests for a while,
//! tolerates few requests a second and may crash under more. The gatekeeper
//! beside it sees all its requests and is the only one to limit them.
//!
//! A [`Sign`] that the upstream may be cold puts the limit in force at once. If
//! the limit then delays a request, the upstream is asked for how long it stays
//! cold; a warm upstream is limited only until it has answered. An upstream
//! whose requests are not held back is not asked, but for one case: if it gets
//! more than a cold upstream tolerates and its answers become slower, it may
//! have become cold, and one question shows whether it did.

mod limiter;
mod periods;
mod slowdown;

use std::time::Duration;

use savorylane_intent::document::ColdStart;

pub use limiter::Limiter;
pub use periods::Periods;
pub use slowdown::Slowdown;

/// Time without an answer after which the upstream may have become cold.
pub const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Maximum ratio of a stated time to the time for which an upstream is cold
/// after a start. A longer one is not credible.
const MAX_STATED_RATIO: u32 = 4;
/// Time between two questions if the first gets no answer.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which an upstream usually answers a question.
pub const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Maximum number of questions for one sign.
const MAX_QUESTIONS: u32 = 3;

/// Minimum time between two questions because answers became slower. Load and
/// faults also make answers slower.
const SLOWER_INTERVAL: Duration = Duration::from_secs(5);

/// Limits of a cold upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time after a start for which an upstream is cold.
    pub duration: Duration,
    /// Number of requests that a cold upstream tolerates in one second, at
    /// least 1.
    pub requests_per_s: usize,
    /// Whether the upstream can be asked how long it stays cold.
    pub may_ask: bool,
}

impl From<&ColdStart> for Limits {
    fn from(cold_start: &ColdStart) -> Self {
        Self {
            duration: Duration::from_millis(cold_start.duration_ms.into()),
            requests_per_s: (cold_start.requests_per_s as usize).max(1),
            may_ask: cold_start.health_path.is_some(),
        }
    }
}

impl Limits {
    /// Returns the time for which an upstream that stated `left` counts as
    /// cold. A time that is not credible counts as a whole cold start.
    pub fn bound(&self, left: Duration) -> Duration {
        match self.is_credible(left) {
            true => left,
            false => self.duration,
        }
    }

    /// Returns whether an upstream can stay cold for the time `left`.
    pub fn is_credible(&self, left: Duration) -> bool {
        left <= self.duration.saturating_mul(MAX_STATED_RATIO)
    }
}

/// Reason to assume that the upstream is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// The daemon does not know since when the upstream runs, because it
    /// started itself or has just learned the limits.
    Unknown,
    /// Requests name an instance that the daemon has not seen before.
    Instance,
    /// The upstream is reachable again.
    Reopened,
    /// The upstream gave no answer for [`MAX_SILENCE`].
    Silence,
}

impl Sign {
    /// Returns the name of the sign in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Instance => "instance",
            Self::Reopened => "reopened",
            Self::Silence => "silence",
        }
    }
}

/// Why the time until which the upstream counts as cold changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The upstream's entry in the host list.
    Entry,
    /// The upstream's answer to a question.
    Report,
    /// A sign, without a statement of the upstream.
    Sign(Sign),
}

impl Source {
    /// Returns the name of the source in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Report => "report",
            Self::Sign(sign) => sign.name(),
        }
    }
}

/// Change of the time until which the upstream counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Why it changed.
    pub source: Source,
    /// Time for which the upstream counts as cold from the change on.
    pub left: Duration,
}

/// Effects of the limit so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that waited for the limit.
    pub delayed: u64,
    /// Requests that were refused because of the limit.
    pub refused: u64,
    /// Questions sent to the upstream.
    pub questions: u64,
}

/// Belief about one upstream. Without [`Limits`] it never limits anything.
#[derive(Clone, Debug, Default)]
pub struct State {
    limits: Option<Limits>,
    limiter: Limiter,
    /// Time until which the upstream counts as cold.
    until: Duration,
    /// Whether the upstream itself stated `until`.
    stated: bool,
    /// Whether the limit delayed or refused a request since the last sign.
    binding: bool,
    /// Number of questions since the last sign.
    questions: u32,
    /// Time before which no further question is sent.
    question_at: Duration,
    /// Time of the last answer to a request.
    answered_at: Duration,
    slowdown: Slowdown,
    /// Whether a question is due because answers became slower.
    slower: bool,
    /// Time before which slower answers cause no further question.
    slower_at: Duration,
    /// Latest change that [`State::take_change`] has yet to return.
    change: Option<Change>,
    counts: Counts,
}

impl State {
    /// Sets the limits of a cold upstream; `None` if there are none.
    pub fn set_limits(&mut self, now: Duration, limits: Option<Limits>) {
        let known = std::mem::replace(&mut self.limits, limits);
        if known.is_none() {
            self.on_sign(now, Sign::Unknown);
        }
    }

    /// Returns the limits of a cold upstream, if there are any.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Records a sign that the upstream is cold since `now`.
    pub fn on_sign(&mut self, now: Duration, sign: Sign) {
        let Some(limits) = self.limits else { return };
        self.stated = false;
        self.binding = false;
        self.questions = 0;
        self.question_at = now;
        self.slower = false;
        // Counts as an answer, so that the sign is not followed by silence at
        // once.
        self.answered_at = self.answered_at.max(now);
        let until = self.until.max(now + limits.duration);
        self.set_until(now, until, Source::Sign(sign));
    }

    /// Records that the upstream's entry states that it stays cold for `left`
    /// from `now` on.
    ///
    /// An entry can be older than a sign, so it never ends the limit. After a
    /// sign it does not spare the question either.
    pub fn on_entry(&mut self, now: Duration, left: Duration) {
        let Some(limits) = self.limits else { return };
        let until = now + limits.bound(left);
        if left.is_zero() || until <= self.until {
            return;
        }
        // The list arrives later than the upstream wrote the entry, so that a
        // statement about a cold start that is known would prolong it.
        let limited = self.is_limited(now);
        if limited && self.stated {
            return;
        }
        self.stated = !limited;
        self.set_until(now, until, Source::Entry);
    }

    /// Records the answer to a question: the time for which the upstream stays
    /// cold from `now` on, or `None` if it did not say.
    pub fn on_report(&mut self, now: Duration, left: Option<Duration>) {
        let (Some(limits), Some(left)) = (self.limits, left) else {
            return;
        };
        let known_warm = left.is_zero() && !self.is_limited(now);
        self.stated = true;
        if !known_warm {
            self.set_until(now, now + limits.bound(left), Source::Report);
        }
    }

    /// Returns whether the upstream should be asked at `now` how long it stays
    /// cold.
    pub fn should_ask(&self, now: Duration) -> bool {
        let may_ask = self.limits.is_some_and(|limits| limits.may_ask);
        if !may_ask || now < self.question_at {
            return false;
        }
        match self.is_limited(now) {
            true => !self.stated && self.binding && self.questions < MAX_QUESTIONS,
            false => self.slower,
        }
    }

    /// Returns whether the upstream counts as cold by a sign alone, and its
    /// statement is expected within [`ANSWER_TIME`].
    pub fn is_statement_due(&self, now: Duration) -> bool {
        let may_ask = self.limits.is_some_and(|limits| limits.may_ask);
        let first_asked_at = self.question_at.saturating_sub(QUESTION_INTERVAL);
        let expected = match self.questions {
            0 => true,
            1 => now < first_asked_at + ANSWER_TIME,
            _ => false,
        };
        may_ask && self.is_limited(now) && !self.stated && expected
    }

    /// Returns the time of the next question while the last one has no answer.
    pub fn next_question_at(&self, now: Duration) -> Option<Duration> {
        let later = now < self.question_at;
        (later && self.should_ask(self.question_at)).then_some(self.question_at)
    }

    /// Records that the upstream is asked at `now`, which is a request too.
    pub fn on_question(&mut self, now: Duration) {
        self.questions += 1;
        self.slower = false;
        self.question_at = now + QUESTION_INTERVAL;
        self.counts.questions += 1;
        self.on_start(now);
    }

    /// Records that a request arrives, before it is admitted.
    pub fn on_arrival(&mut self, now: Duration) {
        let silent = now.saturating_sub(self.answered_at) >= MAX_SILENCE;
        if silent && !self.is_limited(now) {
            self.on_sign(now, Sign::Silence);
        }
    }

    /// Records that a request is sent to the upstream.
    pub fn on_start(&mut self, now: Duration) {
        if let Some(limits) = self.limits {
            self.limiter.record(now, limits.requests_per_s);
        }
    }

    /// Records that the upstream answered a request of `class` after the time
    /// `service`.
    pub fn on_answer(&mut self, now: Duration, class: u64, service: Duration) {
        self.answered_at = self.answered_at.max(now);
        let Some(limits) = self.limits else { return };
        let slower = self.slowdown.record(class, service);
        let harmful = self.limiter.is_exceeded(now, limits.requests_per_s);
        if slower && harmful && !self.is_limited(now) && now >= self.slower_at {
            self.slower = true;
            self.slower_at = now + SLOWER_INTERVAL;
        }
    }

    /// Records that the limit delays a request.
    pub fn on_delayed(&mut self) {
        self.binding = true;
        self.counts.delayed += 1;
    }

    /// Records that a request was refused because of the limit.
    pub fn on_refused(&mut self) {
        self.binding = true;
        self.counts.refused += 1;
    }

    /// Returns whether the upstream counts as cold at `now`.
    pub fn is_limited(&self, now: Duration) -> bool {
        self.limits.is_some() && now < self.until
    }

    /// Returns the time from which the limit lets the next request start, if
    /// that is after `now`.
    pub fn free_at(&self, now: Duration) -> Option<Duration> {
        if !self.is_limited(now) {
            return None;
        }
        let per_s = self.limits?.requests_per_s;
        let free_at = self.limiter.next_start_at(per_s).min(self.until);
        (free_at > now).then_some(free_at)
    }

    /// Returns the time until which the upstream counts as cold.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Returns the latest change that was not returned yet.
    pub fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Returns whether there is a change to report or a question to ask.
    pub fn is_due(&self, now: Duration) -> bool {
        self.change.is_some() || self.should_ask(now)
    }

    /// Returns the effects of the limit so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn set_until(&mut self, now: Duration, until: Duration, source: Source) {
        self.until = until;
        let left = until.saturating_sub(now);
        self.change = Some(Change { source, left });
    }
}
