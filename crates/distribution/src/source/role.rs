//! Roles of a daemon, and which of two readers is the better one.

use std::sync::Arc;
use std::time::Duration;

/// Difference of the times as readers within which two readers count as
/// equally old.
const READING_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// Time without a poll after which nobody needs a reader; a follower polls
/// again sooner.
const UNNEEDED_AFTER: Duration = Duration::from_millis(1_600);

/// What a daemon does for its knowledge.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// It knows no other host yet.
    Starting,
    /// It polls a reader.
    Follower(Follower),
    /// It answers followers.
    Reader(Reader),
}

/// What a daemon knows of the host that it polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trust {
    /// It may not be a reader.
    Unknown,
    /// It is to become a reader if it is none; it may be away.
    Needed,
    /// It answers as a reader.
    Proven,
}

/// A daemon that polls a reader.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    /// The reader.
    pub(super) host: Arc<str>,
    /// What is known of it.
    pub(super) trust: Trust,
    /// Polls in a row that led to no reader.
    pub(super) redirects: u8,
    /// When the host is polled next, at the earliest.
    pub(super) not_before: Duration,
}

/// A daemon that answers followers. It reads the store unless a primary does.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    /// When the store began to answer; `None` while it does not.
    pub(super) reading_since: Option<Duration>,
    /// Since when the store does not answer; `None` while it does.
    pub(super) lost_since: Option<Duration>,
    /// When a follower last needed this reader; at first, when it became one.
    /// Who needs it may just have begun to look for a reader.
    pub(super) needed_at: Duration,
    /// When this reader looks for a better one.
    pub(super) better_check_at: Duration,
    /// Host at which it looks next.
    pub(super) check_host: Option<Arc<str>>,
    /// A better reader, to which followers are sent.
    pub(super) better: Option<Arc<str>>,
    /// Reader from which it learns while the store does not answer.
    pub(super) fallback: Option<Arc<str>>,
    /// What is known of that one.
    pub(super) fallback_trust: Trust,
    /// Reader that calls the store in place of this one.
    pub(super) primary: Option<Primary>,
    /// Host that is asked whether it is the primary.
    pub(super) primary_candidate: Option<Arc<str>>,
    /// When this reader looks for a primary.
    pub(super) primary_check_at: Duration,
}

/// A reader of another data centre that calls the store for this one.
#[derive(Clone, Debug)]
pub(super) struct Primary {
    /// The reader.
    pub(super) host: Arc<str>,
    /// What is known of it.
    pub(super) trust: Trust,
    /// Times in a row that this reader was sent on.
    pub(super) redirects: u8,
}

impl Reader {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            reading_since: None,
            lost_since: Some(now),
            needed_at: now,
            better_check_at: now,
            check_host: None,
            better: None,
            fallback: None,
            fallback_trust: Trust::Unknown,
            primary: None,
            primary_candidate: None,
            primary_check_at: Duration::ZERO,
        }
    }

    /// Returns the moment from which on nobody needs this reader.
    pub(super) fn needed_until(&self) -> Duration {
        self.needed_at + UNNEEDED_AFTER
    }

    /// Returns the time for which the store has not answered.
    pub(super) fn store_outage(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.lost_since?))
    }
}

/// What decides which of two readers is the better one.
///
/// One to which the store answers precedes one to which it does not, then the
/// faster link, then the longer time as a reader, then the first name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rank {
    rate: u32,
    reading_time: Option<Duration>,
    name: Box<str>,
}

impl Rank {
    /// Returns the rank of a reader.
    pub fn new(rate: u32, reading_time: Option<Duration>, name: &str) -> Self {
        Self {
            rate,
            reading_time,
            name: name.into(),
        }
    }

    /// Returns whether this reader is better than `other`. The answer for two
    /// readers does not change while both go on reading.
    pub fn precedes(&self, other: &Self) -> bool {
        let key = |rank: &Self| (rank.reading_time.is_some(), rank.rate);
        if key(self) != key(other) {
            return key(self) > key(other);
        }
        let time = |rank: &Self| rank.reading_time.unwrap_or_default();
        let (own, others) = (time(self), time(other));
        if own.abs_diff(others) > READING_TIME_TOLERANCE {
            return own > others;
        }
        self.name < other.name
    }
}
