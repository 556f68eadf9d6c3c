//! What a reader does: it looks for a better reader of its data centre and for
//! the primary of the mesh, and learns from others while the store is away.

use std::sync::Arc;
use std::time::Duration;

use super::role::{Primary, Rank, Role, Trust};
use super::{Answer, RENDEZVOUS, Source, Step};

/// Time between two looks of a reader for a better one, and for a primary.
const CHECK: Duration = Duration::from_secs(2);
/// Time without the store after which a reader asks other readers.
const LOST: Duration = Duration::from_millis(300);
/// Age up to which the knowledge of a primary is worth relying on. A store that
/// answers confirms it once in the time that a watch waits.
const PRIMARY_AGE_MAX: Duration = Duration::from_millis(1_400);
/// Times in a row that a reader is sent on to another primary.
const REDIRECTS: u8 = 2;

impl Answer {
    /// Returns whether the sender reads the store itself and knows what it
    /// says.
    fn is_primary(&self) -> bool {
        let fresh = self.age.is_some_and(|age| age <= PRIMARY_AGE_MAX);
        let reads = self.reader && self.reading.is_some() && self.source.is_none();
        reads && fresh && !self.leaving
    }
}

impl Source {
    /// Returns what a reader does next.
    pub(super) fn next_of_reader(&mut self, now: Duration) -> Step {
        let lost = match &self.role {
            Role::Reader(reader) => reader.lost(now),
            _ => None,
        };
        match lost {
            Some(lost) if lost >= LOST => self.ask_elsewhere(now),
            Some(lost) => Step::Idle(LOST - lost),
            None => self.check(now),
        }
    }

    /// Becomes a follower of a better reader once none needs this one.
    pub(super) fn give_way(&mut self, now: Duration) {
        let Role::Reader(reader) = &self.role else {
            return;
        };
        let Some(better) = reader.better.clone() else {
            return;
        };
        if now >= reader.needed_until() {
            self.follow(better, Trust::Needed);
        }
    }

    /// Looks for a better reader and for a primary from time to time, and polls
    /// the primary if there is one.
    fn check(&mut self, now: Duration) -> Step {
        if let Some(host) = self.better_to_ask(now) {
            return Step::Poll(self.delay.look(host));
        }
        if let Role::Reader(reader) = &self.role
            && let Some(primary) = &reader.primary
        {
            return Step::Poll(self.delay.poll(Arc::clone(&primary.host), primary.trust));
        }
        if let Some(host) = self.primary_to_ask(now) {
            return Step::Poll(self.delay.look(host));
        }
        let Role::Reader(reader) = &self.role else {
            return Step::Idle(CHECK);
        };
        let other = match reader.better {
            Some(_) => reader.needed_until(),
            None => reader.primary_at,
        };
        let until = reader.check_at.min(other);
        let least = Duration::from_millis(1);
        Step::Idle(until.saturating_sub(now).max(least))
    }

    /// Returns the host that is asked for a better reader, if it is time.
    fn better_to_ask(&mut self, now: Duration) -> Option<Arc<str>> {
        let rendezvous = self.rendezvous(now);
        let Role::Reader(reader) = &mut self.role else {
            return None;
        };
        let told = reader.look.take();
        if told.is_none() && now < reader.check_at {
            return None;
        }
        reader.check_at = now + CHECK;
        told.or(rendezvous)
    }

    /// Returns the host that is asked whether it is the primary, if it is time:
    /// one of the first data centre that answers, of those before the own one.
    fn primary_to_ask(&mut self, now: Duration) -> Option<Arc<str>> {
        let Role::Reader(reader) = &mut self.role else {
            return None;
        };
        if reader.better.is_some() || now < reader.primary_at {
            return None;
        }
        let outages = &self.outages;
        let usable = |host: &&Arc<str>| !outages.lasts(now, host);
        let named = reader.candidate.take();
        let host = named.or_else(|| {
            let mut centres = self.ahead.iter();
            let first = centres.find_map(|hosts| hosts.iter().take(RENDEZVOUS).find(usable));
            first.cloned()
        });
        reader.candidate.clone_from(&host);
        if host.is_none() {
            reader.primary_at = now + CHECK;
        }
        host
    }

    /// Learns from another reader while the store does not answer.
    fn ask_elsewhere(&mut self, now: Duration) -> Step {
        let known = match &self.role {
            Role::Reader(reader) => reader.elsewhere.clone(),
            _ => None,
        };
        if let Some(host) = known.filter(|host| !self.outages.lasts(now, host)) {
            let trust = match &self.role {
                Role::Reader(reader) => reader.trust_elsewhere,
                _ => Trust::Unknown,
            };
            return Step::Poll(self.delay.poll(host, trust));
        }
        let centres = std::iter::once(&self.near).chain(&self.far);
        let usable = |host: &&Arc<str>| !self.outages.lasts(now, host);
        let next = centres
            .filter_map(|hosts| hosts.iter().take(RENDEZVOUS).find(usable))
            .next()
            .cloned();
        let Role::Reader(reader) = &mut self.role else {
            return Step::Idle(CHECK);
        };
        reader.trust_elsewhere = Trust::Unknown;
        reader.elsewhere.clone_from(&next);
        match next {
            Some(host) => Step::Poll(self.delay.look(host)),
            None => Step::Idle(LOST),
        }
    }

    pub(super) fn reader_answered(
        &mut self,
        now: Duration,
        host: &str,
        answer: &Answer,
        fresh: bool,
    ) {
        let Role::Reader(reader) = &self.role else {
            return;
        };
        if reader.elsewhere.as_deref() == Some(host) {
            self.elsewhere_answered(now, host, answer, fresh);
        } else if reader
            .primary
            .as_ref()
            .is_some_and(|primary| *primary.host == *host)
        {
            self.primary_answered(now, host, answer);
        } else if reader.candidate.as_deref() == Some(host) {
            self.candidate_answered(now, host, answer);
        }
        if self.is_near(host) {
            self.near_answered(now, host, answer, fresh);
        }
    }

    /// Takes what another reader of the data centre says of itself.
    fn near_answered(&mut self, now: Duration, host: &str, answer: &Answer, fresh: bool) {
        let rank = Rank::new(answer.rate, answer.reading, host);
        let own = self.rank(now);
        let source = self.other_source(answer);
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        if answer.reader && fresh && answer.reading.is_some() && rank.precedes(&own) {
            reader.better = Some(host.into());
            return;
        }
        if reader.better.as_deref() == Some(host) {
            reader.better = None;
        }
        if reader.elsewhere.as_deref() != Some(host)
            && let Some(source) = source
        {
            reader.look = (*source != *host).then_some(source);
        }
    }

    /// Takes an answer of the host that is asked while the store is away.
    fn elsewhere_answered(&mut self, now: Duration, host: &str, answer: &Answer, fresh: bool) {
        let source = self.other_source(answer);
        let source = source.filter(|source| !self.outages.lasts(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        match source {
            Some(source) => {
                reader.trust_elsewhere = Trust::Unknown;
                reader.elsewhere = Some(source);
            }
            None if fresh && answer.reader => reader.trust_elsewhere = Trust::Proven,
            None => self.on_failure(now, host),
        }
    }

    /// Takes an answer of the host that may be the primary.
    fn candidate_answered(&mut self, now: Duration, host: &str, answer: &Answer) {
        let source = self.other_source(answer);
        let source = source.filter(|source| !self.outages.lasts(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        reader.candidate = None;
        if answer.is_primary() {
            reader.primary = Some(Primary {
                host: host.into(),
                trust: Trust::Proven,
                redirects: 0,
            });
        } else {
            // The next look asks the host that it names, or another one.
            self.outages.begin(now, host);
            reader.candidate = source;
        }
    }

    /// Takes an answer of the primary.
    fn primary_answered(&mut self, now: Duration, host: &str, answer: &Answer) {
        let source = self.other_source(answer);
        let source = source.filter(|source| !self.outages.lasts(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        let Some(primary) = &mut reader.primary else {
            return;
        };
        if answer.is_primary() {
            primary.trust = Trust::Proven;
            primary.redirects = 0;
            return;
        }
        match source {
            Some(source) if primary.redirects < REDIRECTS => {
                primary.host = source;
                primary.trust = Trust::Unknown;
                primary.redirects += 1;
            }
            _ => self.on_failure(now, host),
        }
    }

    /// Returns the host that an answer names in place of its sender, unless it
    /// is this one.
    fn other_source(&self, answer: &Answer) -> Option<Arc<str>> {
        let source = answer.source.clone();
        source.filter(|source| *source != self.own.name)
    }

    /// Takes that a poll of `host` by a reader failed.
    pub(super) fn reader_failed(&mut self, now: Duration, host: &str) {
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        let is_host = |name: &Option<Arc<str>>| name.as_deref() == Some(host);
        if is_host(&reader.elsewhere) {
            reader.elsewhere = None;
        }
        if is_host(&reader.better) {
            reader.better = None;
        }
        if is_host(&reader.candidate) {
            reader.candidate = None;
        }
        if reader
            .primary
            .as_ref()
            .is_some_and(|primary| *primary.host == *host)
        {
            reader.primary = None;
            reader.primary_at = now + CHECK;
            // This reader calls the store again, which counts as lost until it
            // answers. What is known was confirmed until now.
            reader.lost_since = Some(now);
        }
    }
}
