//! Roles of a daemon, and the order of preference among readers.

use std::sync::Arc;
use std::time::Duration;

/// Maximum difference between the reading times of two readers that count as
/// reading for equally long.
const READING_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// Time after the last poll that needed a reader after which the reader counts
/// as unneeded. Followers poll again sooner.
const UNNEEDED_AFTER: Duration = Duration::from_millis(1_600);

/// Role of a daemon in the distribution.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// The daemon has no role yet: its first read of the host list has not
    /// ended, and it knows no other host.
    Starting,
    /// The daemon polls a reader.
    Follower(Follower),
    /// The daemon answers followers.
    Reader(Reader),
}

/// Whether a polled host is a reader, as far as the polling daemon knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Readership {
    /// The host may or may not be a reader.
    Unknown,
    /// The host must become a reader if it is none; it may be unreachable.
    Required,
    /// The host has answered as a reader.
    Confirmed,
}

/// State of a daemon that polls a reader.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    /// Host that is polled.
    pub(super) host: Arc<str>,
    /// Whether the host is a reader, as far as this daemon knows.
    pub(super) readership: Readership,
    /// Number of polls in a row that did not lead to a reader: redirects and
    /// polls of a host that has just started.
    pub(super) fruitless_polls: u8,
    /// Earliest time of the next poll.
    pub(super) not_before: Duration,
}

/// State of a daemon that answers followers. It reads the store itself unless
/// there is a primary.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    /// Time since which the store has answered; `None` while it does not.
    pub(super) reading_since: Option<Duration>,
    /// Time since which the store has not answered; `None` while it does.
    pub(super) lost_since: Option<Duration>,
    /// Time at which a follower last needed this reader. Initially the time at
    /// which this daemon became a reader, because the followers that need it
    /// may only have begun to search for a reader.
    pub(super) needed_at: Duration,
    /// Time of the next check for a better reader.
    pub(super) better_check_at: Duration,
    /// Host to ask in the next check for a better reader; `None` for the
    /// rendezvous.
    pub(super) better_check_host: Option<Arc<str>>,
    /// A better reader, to which followers are redirected.
    pub(super) better: Option<Arc<str>>,
    /// Host that is polled for news while the store does not answer.
    pub(super) fallback: Option<Arc<str>>,
    /// Whether the fallback is a reader, as far as this daemon knows.
    pub(super) fallback_readership: Readership,
    /// Reader that calls the store in place of this reader.
    pub(super) primary: Option<Primary>,
    /// Host that is being asked whether it is the primary.
    pub(super) primary_candidate: Option<Arc<str>>,
    /// Time of the next check for a primary.
    pub(super) primary_check_at: Duration,
}

/// Primary, as another reader knows it: the reader of another data centre that
/// calls the store in place of this reader.
#[derive(Clone, Debug)]
pub(super) struct Primary {
    /// Host of the primary.
    pub(super) host: Arc<str>,
    /// Whether the host is a reader, as far as this daemon knows.
    pub(super) readership: Readership,
    /// Number of redirects in a row.
    pub(super) redirects: u8,
}

impl Reader {
    /// Creates the state of a daemon that becomes a reader at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            reading_since: None,
            lost_since: Some(now),
            needed_at: now,
            better_check_at: now,
            better_check_host: None,
            better: None,
            fallback: None,
            fallback_readership: Readership::Unknown,
            primary: None,
            primary_candidate: None,
            primary_check_at: Duration::ZERO,
        }
    }

    /// Returns the time at which this reader becomes unneeded unless a follower
    /// polls it before.
    pub(super) fn needed_until(&self) -> Duration {
        self.needed_at + UNNEEDED_AFTER
    }

    /// Returns how long, at `now`, the store has not answered; `None` while it
    /// answers.
    pub(super) fn store_outage(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.lost_since?))
    }
}

/// Rank of a reader, which decides which of two readers is the better one.
///
/// The criteria, in descending order of importance:
///
/// * whether the store answers the reader
/// * the faster link
/// * the longer reading time, unless both read for about equally long
/// * the first name
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rank {
    rate: u32,
    reading_time: Option<Duration>,
    name: Box<str>,
}

impl Rank {
    /// Returns the rank of the reader on the host `name`, whose link has the
    /// `rate` and which has read the store for `reading_time`.
    pub fn new(rate: u32, reading_time: Option<Duration>, name: &str) -> Self {
        Self {
            rate,
            reading_time,
            name: name.into(),
        }
    }

    /// Returns whether this reader is better than `other`.
    ///
    /// The result for two readers stays the same while both keep reading.
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
