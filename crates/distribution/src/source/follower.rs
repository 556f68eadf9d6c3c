//! Reactions of a follower to the answers of the host that it polls.

use std::sync::Arc;
use std::time::Duration;

use super::role::{Readership, Role};
use super::{Answer, Source};

/// Maximum age of its knowledge at which a reader that cannot reach the store
/// is still worth following. The age stays below this limit while the reader
/// learns from another reader.
const MAX_INDIRECT_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of readers that a follower abandons in a row because they
/// have no news.
const MAX_ABANDONED_READERS: u8 = 1;
/// Maximum number of polls in a row of a host that has just started. After
/// these, another host is tried.
const MAX_START_POLLS: u8 = 6;
/// Time between two polls of a host that has just started.
const START_POLL_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of redirects in a row that a follower obeys. It then backs
/// off from the host named last, because two hosts may redirect to each other.
const MAX_REDIRECTS: u8 = 4;

impl Source {
    /// Handles the answer of the followed host; `fresh` is whether the host's
    /// knowledge is recent and the host is not about to shut down.
    pub(super) fn on_answer_as_follower(
        &mut self,
        now: Duration,
        host: &str,
        answer: &Answer,
        fresh: bool,
    ) {
        if answer.reader {
            self.successors.clone_from(&answer.candidates);
        }
        if answer.promote {
            self.become_reader(now);
            if let Role::Reader(reader) = &mut self.role {
                reader.better_check_host = Some(host.into());
                reader.fallback = Some(host.into());
                reader.fallback_readership = Readership::Confirmed;
            }
            return;
        }
        match &answer.source {
            Some(source) if **source == *self.own.name => return self.become_reader(now),
            Some(source) if !self.backoff.is_active(now, source) => {
                return self.redirect(now, source);
            }
            _ => {}
        }
        // The host has just started as well: it is a reader without any
        // knowledge yet, or it has no role yet and may become the reader.
        let starting = match answer.reader {
            true => answer.age.is_none(),
            false => answer.source.is_none(),
        };
        if starting
            && !answer.leaving
            && let Role::Follower(follower) = &mut self.role
            && follower.fruitless_polls < MAX_START_POLLS
        {
            follower.fruitless_polls += 1;
            follower.not_before = now + START_POLL_PAUSE;
            return;
        }
        let has_news = match answer.reading_time {
            Some(_) => fresh,
            None => answer.age.is_some_and(|age| age <= MAX_INDIRECT_AGE),
        };
        if has_news && !answer.leaving {
            self.abandoned_readers = 0;
        }
        // Tries one other reader. If that reader has no news either, the store
        // is unavailable to all daemons, and additional readers would only add
        // calls to it.
        let keep_reader = has_news
            || self.abandoned_readers >= MAX_ABANDONED_READERS
            || !self.has_alternative(now, host);
        if answer.reader && keep_reader && !answer.leaving {
            if let Role::Follower(follower) = &mut self.role {
                follower.readership = Readership::Confirmed;
                follower.fruitless_polls = 0;
            }
            return;
        }
        // The host is no reader, is about to shut down or has no news.
        self.abandoned_readers = self
            .abandoned_readers
            .saturating_add(u8::from(answer.reader));
        self.on_failure(now, host);
    }

    /// Follows the host `to` that the polled host named as its reader, unless
    /// too many redirects in a row indicate that hosts name each other.
    fn redirect(&mut self, now: Duration, to: &Arc<str>) {
        let Role::Follower(follower) = &mut self.role else {
            return;
        };
        if follower.fruitless_polls >= MAX_REDIRECTS {
            follower.fruitless_polls = 0;
            self.backoff.start(now, to);
            return;
        }
        follower.fruitless_polls += 1;
        follower.host = Arc::clone(to);
        follower.readership = Readership::Unknown;
    }

    /// Returns whether a successor other than `host` may be followed.
    fn has_alternative(&self, now: Duration, host: &str) -> bool {
        let mut names = self.successors.iter().map(|candidate| &candidate.name);
        names.any(|name| **name != *host && !self.backoff.is_active(now, name))
    }
}
