//! Steps of a reader.
//!
//! A reader regularly checks for a better reader of its data centre and for the
//! primary among the data centres, and polls other readers while the store is
//! unavailable.

use std::sync::Arc;
use std::time::Duration;

use super::role::{Primary, Rank, Readership, Role};
use super::{Answer, MAX_RENDEZVOUS_HOSTS, Source, Step};

/// Time between two checks for a better reader, and for a primary.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer of the store after which a reader polls other
/// readers.
const FALLBACK_AFTER: Duration = Duration::from_millis(300);
/// Maximum age of a primary's knowledge at which other readers rely on it.
/// While the store answers, the knowledge is confirmed whenever the wait of a
/// watch ends.
const MAX_PRIMARY_AGE: Duration = Duration::from_millis(1_400);
/// Maximum number of redirects in a row that a reader follows from one primary
/// to another.
const MAX_REDIRECTS: u8 = 2;

impl Answer {
    /// Returns whether the sender may be the primary: it reads the store itself
    /// and its knowledge is recent.
    fn is_primary(&self) -> bool {
        let fresh = self.age.is_some_and(|age| age <= MAX_PRIMARY_AGE);
        let reads = self.reader && self.reading_time.is_some() && self.source.is_none();
        reads && fresh && !self.leaving
    }
}

impl Source {
    /// Returns the next step of a reader.
    pub(super) fn next_reader_step(&mut self, now: Duration) -> Step {
        let outage = match &self.role {
            Role::Reader(reader) => reader.store_outage(now),
            _ => None,
        };
        match outage {
            Some(outage) if outage >= FALLBACK_AFTER => self.poll_fallback(now),
            Some(outage) => Step::Idle(FALLBACK_AFTER - outage),
            None => self.next_check_step(now),
        }
    }

    /// Becomes a follower of a better reader, if there is one, once no follower
    /// needs this reader any more.
    pub(super) fn step_down(&mut self, now: Duration) {
        let Role::Reader(reader) = &self.role else {
            return;
        };
        let Some(better) = reader.better.clone() else {
            return;
        };
        if now >= reader.needed_until() {
            self.follow(better, Readership::Required);
        }
    }

    /// Returns the next step of a reader that the store or a primary answers: a
    /// check for a better reader if one is due, a poll of the primary if there
    /// is one, and otherwise a check for a primary if one is due.
    fn next_check_step(&mut self, now: Duration) -> Step {
        if let Some(host) = self.due_better_check(now) {
            return Step::Poll(self.latency.discovery_poll(host));
        }
        if let Role::Reader(reader) = &self.role
            && let Some(primary) = &reader.primary
        {
            return Step::Poll(
                self.latency
                    .next_poll(Arc::clone(&primary.host), primary.readership),
            );
        }
        if let Some(host) = self.due_primary_check(now) {
            return Step::Poll(self.latency.discovery_poll(host));
        }
        let Role::Reader(reader) = &self.role else {
            return Step::Idle(CHECK_INTERVAL);
        };
        let other = match reader.better {
            Some(_) => reader.needed_until(),
            None => reader.primary_check_at,
        };
        let until = reader.better_check_at.min(other);
        let min_wait = Duration::from_millis(1);
        Step::Idle(until.saturating_sub(now).max(min_wait))
    }

    /// Returns the host to ask for a better reader, if a check is due.
    fn due_better_check(&mut self, now: Duration) -> Option<Arc<str>> {
        let rendezvous = self.rendezvous(now);
        let Role::Reader(reader) = &mut self.role else {
            return None;
        };
        let requested = reader.better_check_host.take();
        if requested.is_none() && now < reader.better_check_at {
            return None;
        }
        reader.better_check_at = now + CHECK_INTERVAL;
        requested.or(rendezvous)
    }

    /// Returns the host to ask whether it is the primary, if a check is due: a
    /// host of the first reachable data centre that precedes the own one.
    fn due_primary_check(&mut self, now: Duration) -> Option<Arc<str>> {
        let Role::Reader(reader) = &mut self.role else {
            return None;
        };
        if reader.better.is_some() || now < reader.primary_check_at {
            return None;
        }
        let backoff = &self.backoff;
        let usable = |host: &&Arc<str>| !backoff.is_active(now, host);
        let named = reader.primary_candidate.take();
        let host = named.or_else(|| {
            let mut centres = self.preceding.iter();
            let first =
                centres.find_map(|hosts| hosts.iter().take(MAX_RENDEZVOUS_HOSTS).find(usable));
            first.cloned()
        });
        reader.primary_candidate.clone_from(&host);
        if host.is_none() {
            reader.primary_check_at = now + CHECK_INTERVAL;
        }
        host
    }

    /// Returns the next poll of another reader while the store does not answer.
    fn poll_fallback(&mut self, now: Duration) -> Step {
        let fallback = match &self.role {
            Role::Reader(reader) => reader.fallback.clone(),
            _ => None,
        };
        if let Some(host) = fallback.filter(|host| !self.backoff.is_active(now, host)) {
            let readership = match &self.role {
                Role::Reader(reader) => reader.fallback_readership,
                _ => Readership::Unknown,
            };
            return Step::Poll(self.latency.next_poll(host, readership));
        }
        let centres = std::iter::once(&self.local).chain(&self.remote);
        let usable = |host: &&Arc<str>| !self.backoff.is_active(now, host);
        let next = centres
            .filter_map(|hosts| hosts.iter().take(MAX_RENDEZVOUS_HOSTS).find(usable))
            .next()
            .cloned();
        let Role::Reader(reader) = &mut self.role else {
            return Step::Idle(CHECK_INTERVAL);
        };
        reader.fallback_readership = Readership::Unknown;
        reader.fallback.clone_from(&next);
        match next {
            Some(host) => Step::Poll(self.latency.discovery_poll(host)),
            None => Step::Idle(FALLBACK_AFTER),
        }
    }

    /// Handles an answer; `fresh` is whether the sender's knowledge is recent
    /// and the sender is not about to shut down.
    pub(super) fn on_answer_as_reader(
        &mut self,
        now: Duration,
        host: &str,
        answer: &Answer,
        fresh: bool,
    ) {
        let Role::Reader(reader) = &self.role else {
            return;
        };
        if reader.fallback.as_deref() == Some(host) {
            self.on_fallback_answer(now, host, answer, fresh);
        } else if reader
            .primary
            .as_ref()
            .is_some_and(|primary| *primary.host == *host)
        {
            self.on_primary_answer(now, host, answer);
        } else if reader.primary_candidate.as_deref() == Some(host) {
            self.on_primary_candidate_answer(now, host, answer);
        }
        if self.is_local(host) {
            self.on_local_answer(now, host, answer, fresh);
        }
    }

    /// Handles an answer of a host of the own data centre.
    fn on_local_answer(&mut self, now: Duration, host: &str, answer: &Answer, fresh: bool) {
        let rank = Rank::new(answer.rate, answer.reading_time, host);
        let own = self.rank(now);
        let source = self.redirect_target(answer);
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        if answer.reader && fresh && answer.reading_time.is_some() && rank.precedes(&own) {
            reader.better = Some(host.into());
            return;
        }
        if reader.better.as_deref() == Some(host) {
            reader.better = None;
        }
        if reader.fallback.as_deref() != Some(host)
            && let Some(source) = source
        {
            reader.better_check_host = (*source != *host).then_some(source);
        }
    }

    /// Handles an answer of the host that is polled while the store is
    /// unavailable.
    fn on_fallback_answer(&mut self, now: Duration, host: &str, answer: &Answer, fresh: bool) {
        let source = self.redirect_target(answer);
        let source = source.filter(|source| !self.backoff.is_active(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        match source {
            Some(source) => {
                reader.fallback_readership = Readership::Unknown;
                reader.fallback = Some(source);
            }
            None if fresh && answer.reader => reader.fallback_readership = Readership::Confirmed,
            None => self.on_failure(now, host),
        }
    }

    /// Handles an answer of the host that was asked whether it is the primary.
    fn on_primary_candidate_answer(&mut self, now: Duration, host: &str, answer: &Answer) {
        let source = self.redirect_target(answer);
        let source = source.filter(|source| !self.backoff.is_active(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        reader.primary_candidate = None;
        if answer.is_primary() {
            reader.primary = Some(Primary {
                host: host.into(),
                readership: Readership::Confirmed,
                redirects: 0,
            });
        } else {
            // The next check asks the host that the answer names, or else
            // another one.
            self.backoff.start(now, host);
            reader.primary_candidate = source;
        }
    }

    /// Handles an answer of the primary.
    fn on_primary_answer(&mut self, now: Duration, host: &str, answer: &Answer) {
        let source = self.redirect_target(answer);
        let source = source.filter(|source| !self.backoff.is_active(now, source));
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        let Some(primary) = &mut reader.primary else {
            return;
        };
        if answer.is_primary() {
            primary.readership = Readership::Confirmed;
            primary.redirects = 0;
            return;
        }
        match source {
            Some(source) if primary.redirects < MAX_REDIRECTS => {
                primary.host = source;
                primary.readership = Readership::Unknown;
                primary.redirects += 1;
            }
            _ => self.on_failure(now, host),
        }
    }

    /// Returns the host that an answer redirects to, unless it is the own host.
    fn redirect_target(&self, answer: &Answer) -> Option<Arc<str>> {
        let source = answer.source.clone();
        source.filter(|source| *source != self.own.name)
    }

    /// Handles a failed poll of `host` by a reader.
    pub(super) fn on_failure_as_reader(&mut self, now: Duration, host: &str) {
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        let is_host = |name: &Option<Arc<str>>| name.as_deref() == Some(host);
        if is_host(&reader.fallback) {
            reader.fallback = None;
        }
        if is_host(&reader.better) {
            reader.better = None;
        }
        if is_host(&reader.primary_candidate) {
            reader.primary_candidate = None;
        }
        if reader
            .primary
            .as_ref()
            .is_some_and(|primary| *primary.host == *host)
        {
            reader.primary = None;
            reader.primary_check_at = now + CHECK_INTERVAL;
            // This reader calls the store again, which counts as lost until it
            // answers. The outage starts now because the primary has confirmed
            // the knowledge until now.
            reader.lost_since = Some(now);
        }
    }
}
