//! What a follower does with the answers of the host that it polls.

use std::sync::Arc;
use std::time::Duration;

use super::role::{Role, Trust};
use super::{Answer, Source};

/// Age up to which the knowledge of a reader that the store does not answer is
/// worth following. It is younger where that one learns from another reader.
const FRESH_ELSEWHERE: Duration = Duration::from_millis(1_500);
/// Readers that a follower leaves for want of news, one after the other.
const CHANGES: u8 = 1;
/// Polls of a host that has just started before another one is tried.
const STARTS: u8 = 6;
/// Time between two of them.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Times in a row that a follower is sent elsewhere before it leaves the named
/// host alone: two hosts may name each other.
const REDIRECTS: u8 = 4;

impl Source {
    pub(super) fn follower_answered(
        &mut self,
        now: Duration,
        host: &str,
        answer: &Answer,
        fresh: bool,
    ) {
        if answer.reader {
            self.candidates.clone_from(&answer.candidates);
        }
        if answer.promote {
            self.read(now);
            if let Role::Reader(reader) = &mut self.role {
                reader.look = Some(host.into());
                reader.elsewhere = Some(host.into());
                reader.trust_elsewhere = Trust::Proven;
            }
            return;
        }
        match &answer.source {
            Some(source) if **source == *self.own.name => return self.read(now),
            Some(source) if !self.outages.lasts(now, source) => {
                return self.redirect(now, source);
            }
            _ => {}
        }
        // It has just started as well, and may become the reader or knows
        // nothing yet.
        let starts = match answer.reader {
            true => answer.age.is_none(),
            false => answer.source.is_none(),
        };
        if starts
            && !answer.leaving
            && let Role::Follower(follower) = &mut self.role
            && follower.redirects < STARTS
        {
            follower.redirects += 1;
            follower.not_before = now + START_PAUSE;
            return;
        }
        let news = match answer.reading {
            Some(_) => fresh,
            None => answer.age.is_some_and(|age| age <= FRESH_ELSEWHERE),
        };
        if news && !answer.leaving {
            self.changes = 0;
        }
        // One other reader is tried. Where that learns nothing either, the
        // store is away for all, and no more daemons are to call it.
        let stays = news || self.changes >= CHANGES || !self.has_other(now, host);
        if answer.reader && stays && !answer.leaving {
            if let Role::Follower(follower) = &mut self.role {
                follower.trust = Trust::Proven;
                follower.redirects = 0;
            }
            return;
        }
        // One that is about to end, or knows nothing new.
        self.changes = self.changes.saturating_add(u8::from(answer.reader));
        self.on_failure(now, host);
    }

    /// Follows a named reader, unless hosts name each other.
    fn redirect(&mut self, now: Duration, to: &Arc<str>) {
        let Role::Follower(follower) = &mut self.role else {
            return;
        };
        if follower.redirects >= REDIRECTS {
            follower.redirects = 0;
            self.outages.begin(now, to);
            return;
        }
        follower.redirects += 1;
        follower.of = Arc::clone(to);
        follower.trust = Trust::Unknown;
    }

    /// Returns whether a host beside `host` may be followed.
    fn has_other(&self, now: Duration, host: &str) -> bool {
        let mut names = self.candidates.iter().map(|candidate| &candidate.name);
        names.any(|name| **name != *host && !self.outages.lasts(now, name))
    }
}
