//! Whether a daemon may act as holder under its ring.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use savorylane_wire::Incarnation;
use savorylane_wire::control::{Confirmation, Ring, Sender};

use super::coverage::{Coverage, History, Map};
use super::majority;
use super::restore::{Activation, Saved};
use crate::Settings;

/// Part of one daemon in the ring of one scope.
///
/// A daemon is **recovered** when it knows what its earlier incarnations
/// confirmed. It is **active** when it may run unmarked keys: a majority of
/// its ring confirmed the ring in answer to questions not older than
/// [`Settings::evidence`], and a majority of each former ring had the new
/// ring at one moment.
///
/// Invariant: while a daemon is active, no daemon is active under another
/// ring of the scope, but for the evidence that ends before
/// [`Coverage::since`] of the keys whose holder differs between the rings. The
/// reasons: the two majorities share a member; a member never goes back to an
/// older list; and a member that lost its memory confirms nothing before it
/// heard from enough others to share one with any majority that its earlier
/// incarnation was part of.
#[derive(Clone, Debug)]
pub struct Lease {
    pub(super) settings: Settings,
    pub(super) me: Sender,
    started: Duration,
    pub(super) ring: Ring,
    /// When this daemon took on the ring or recovered, whichever was later.
    followed_since: Duration,
    recovered: bool,
    /// End of the time in which [`Settings::first_start`] holds. No ring that
    /// replaces the first can have a holder before.
    first_start_until: Duration,
    former: Vec<Ring>,
    votes: BTreeMap<String, Vote>,
    pub(super) confirmed_until: Duration,
    pub(super) active: Option<Activation>,
    pub(super) history: History,
    pub(super) saved: Option<Saved>,
}

/// Latest answer of a member that follows this daemon's ring.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vote {
    incarnation: Incarnation,
    /// Number of the member's host list.
    number: u64,
    /// Arrival of the incarnation's first answer with this ring and number.
    first_received_at: Duration,
    /// Time of the question to the latest answer with this ring.
    asked_at: Duration,
    /// Latest time at which the incarnation can have started.
    pub(super) started: Duration,
    /// Number of the newest ring that the member no longer remembers.
    pub(super) floor: u64,
}

impl Lease {
    /// Creates the state of a daemon that has just started.
    pub fn new(settings: Settings, me: Sender, now: Duration, wall_ms: u64, ring: Ring) -> Self {
        let mut lease = Self {
            settings,
            me,
            started: now,
            followed_since: now,
            recovered: settings.first_start,
            first_start_until: if settings.first_start {
                now + settings.lease_duration + settings.max_undetected_pause
            } else {
                Duration::ZERO
            },
            former: Vec::new(),
            votes: BTreeMap::new(),
            confirmed_until: Duration::ZERO,
            active: None,
            history: History::default(),
            saved: None,
            ring,
        };
        lease.evaluate(now, wall_ms);
        lease
    }

    /// Returns the ring by the daemon's own host list.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns the run of the daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Returns whether this daemon holds `key` by its own list.
    pub fn holds(&self, key: &str) -> bool {
        super::holder(&self.ring, key) == Some(self.me.host.as_str())
    }

    /// Returns the hosts to ask each second: members of the ring, of the
    /// former rings, and of those that the earlier coverage depends on.
    pub fn peers(&self) -> BTreeSet<&str> {
        let saved = self.saved.iter();
        let rings = std::iter::once(&self.ring).chain(&self.former);
        rings
            .chain(saved.flat_map(|saved| self.rings_since(saved)))
            .flat_map(|ring| ring.members.iter().map(String::as_str))
            .filter(|member| *member != self.me.host)
            .collect()
    }

    /// Returns the answer to a member's question.
    pub fn confirmation(&self, now: Duration) -> Confirmation {
        Confirmation {
            from: self.me.clone(),
            ring: self.ring.clone(),
            recovered: self.recovered,
            active: self.active.as_ref().map(|active| active.number),
            former: self.former.clone(),
            history: self.history.rings.clone(),
            floor: self.history.floor,
            uptime_ms: now.saturating_sub(self.started).as_millis() as u64,
        }
    }

    /// Returns the coverage of keys that had another holder before, if the
    /// daemon may act as holder now.
    pub fn activation(&self, now: Duration) -> Option<Coverage> {
        let active = self.active.as_ref();
        active
            .filter(|_| now < self.confirmed_until)
            .map(|active| active.initial)
    }

    /// Returns the coverage of a key that this daemon holds, if the daemon may
    /// act as holder now.
    pub fn coverage(&self, now: Duration, key: &str) -> Option<Coverage> {
        let active = self.active.as_ref();
        active
            .filter(|_| now < self.confirmed_until)
            .map(|active| active.coverage.get(&self.me.host, key))
    }

    /// Takes on the ring of a newer host list; an older or equal one is
    /// ignored. Confirmations of the former ring count no longer.
    pub fn on_ring(&mut self, now: Duration, wall_ms: u64, ring: Ring) {
        assert_eq!(ring.scope, self.ring.scope, "a lease has one scope");
        if ring.number <= self.ring.number {
            return;
        }
        if ring.hash == self.ring.hash {
            self.ring.number = ring.number;
            return;
        }
        self.save_coverage(now);
        let former = std::mem::replace(&mut self.ring, ring);
        self.add_former(now, former);
        self.followed_since = now;
        self.votes.clear();
        self.evaluate(now, wall_ms);
    }

    /// Drops all evidence after a pause: the clock may have stood still, so
    /// that evidence looks fresh although another ring has become active.
    pub fn on_pause(&mut self, now: Duration, wall_ms: u64) {
        self.deactivate();
        // The ages of members and of the earlier coverage are reckoned by a
        // clock that may have stood still.
        self.saved = None;
        self.first_start_until = Duration::ZERO;
        self.votes.clear();
        self.followed_since = now;
        self.evaluate(now, wall_ms);
    }

    /// Takes a member's answer to the question that this daemon asked at
    /// `asked_at`.
    pub fn on_confirmation(
        &mut self,
        now: Duration,
        wall_ms: u64,
        confirmation: &Confirmation,
        asked_at: Duration,
    ) {
        let host = confirmation.from.host.as_str();
        if asked_at > now || host == self.me.host || confirmation.ring.scope != self.ring.scope {
            return;
        }
        if !confirmation.recovered || confirmation.ring.hash != self.ring.hash {
            // A member that follows another ring confirms nothing, and one
            // that lost its memory may have promised otherwise before.
            self.votes.remove(host);
            self.evaluate(now, wall_ms);
            return;
        }
        let incarnation = confirmation.from.incarnation;
        let number = confirmation.ring.number;
        let fresh = Vote {
            incarnation,
            number,
            first_received_at: now,
            asked_at,
            started: now.saturating_sub(Duration::from_millis(confirmation.uptime_ms)),
            floor: confirmation.floor,
        };
        let vote = match self.votes.get(host) {
            // An answer that was overtaken by a later one.
            Some(known) if (known.incarnation, known.number) > (incarnation, number) => return,
            Some(known) if (known.incarnation, known.number) == (incarnation, number) => Vote {
                first_received_at: known.first_received_at,
                asked_at: known.asked_at.max(asked_at),
                started: known.started.min(fresh.started),
                floor: known.floor.max(fresh.floor),
                ..fresh
            },
            _ => fresh,
        };
        self.votes.insert(host.to_string(), vote);
        for ring in &confirmation.former {
            self.add_former(now, ring.clone());
        }
        for ring in &confirmation.history {
            let new = self.history.add(ring) && ring.hash != self.ring.hash;
            let active = self.active.as_ref();
            if new && active.is_some_and(|active| ring.number >= active.number) {
                // Its holder was active after this daemon was.
                self.save_coverage(now);
            } else if new {
                self.limit_coverage(ring);
            }
        }
        if let Some(number) = confirmation.active {
            // The sender's activation retired all rings of older lists.
            self.former.retain(|ring| ring.number >= number);
        }
        self.evaluate(now, wall_ms);
    }

    /// Evaluates the evidence as time passes; to be called every 100 ms.
    pub fn on_tick(&mut self, now: Duration, wall_ms: u64) {
        self.evaluate(now, wall_ms);
    }

    fn deactivate(&mut self) {
        self.active = None;
        self.confirmed_until = Duration::ZERO;
    }

    /// Remembers a ring whose holder may still be active.
    fn add_former(&mut self, now: Duration, ring: Ring) {
        self.history.add(&ring);
        if ring.hash == self.ring.hash || ring.members.is_empty() {
            return;
        }
        if let Some(active) = &self.active {
            if ring.number < active.number {
                self.limit_coverage(&ring);
                return;
            }
            // The members followed another ring in between and came back to
            // this one; its holder may be active.
            self.save_coverage(now);
        }
        self.first_start_until = Duration::ZERO;
        match self.former.iter_mut().find(|known| known.hash == ring.hash) {
            Some(known) => known.number = known.number.max(ring.number),
            None => self.former.push(ring),
        }
    }

    fn evaluate(&mut self, now: Duration, wall_ms: u64) {
        if now >= self.confirmed_until {
            if self.active.is_some() {
                self.saved = None;
            }
            self.deactivate();
        }
        // Later, the coverage of a new activation reaches as far back.
        let horizon = self.settings.horizon;
        self.saved.take_if(|saved| saved.last_asked + horizon < now);
        if !self.recovered {
            self.try_recover(now);
        }
        if !self.recovered || !self.ring.members.contains(&self.me.host) {
            return;
        }
        let quorum = majority(self.ring.members.len());
        let mut asked: Vec<Duration> = self
            .ring
            .members
            .iter()
            .filter_map(|member| self.followed_span(now, member, 0, |_| true))
            .map(|(_, asked_at)| asked_at)
            .collect();
        asked.sort_by(|a, b| b.cmp(a));
        let Some(oldest) = asked.get(quorum - 1) else {
            return;
        };
        self.confirmed_until = self
            .confirmed_until
            .max(*oldest + self.settings.lease_duration);
        if now >= self.confirmed_until {
            return;
        }
        if self.active.is_some() {
            self.restore_coverage(now);
            return;
        }
        if !self.former.iter().all(|ring| self.is_retired(now, ring)) {
            return;
        }
        let wait = self.settings.lease_duration + self.settings.max_undetected_pause;
        let first = now < self.first_start_until;
        let coverage = if first {
            Coverage {
                since: None,
                since_ms: 0,
            }
        } else {
            // Evidence that an earlier holder collected until now ends by
            // then; an unnoticed pause of that holder stretches it.
            Coverage {
                since: Some(now + wait),
                since_ms: wall_ms + wait.as_millis() as u64,
            }
        };
        self.first_start_until = Duration::ZERO;
        self.former.clear();
        let number = self.lowest_list_number(*oldest);
        self.active = Some(Activation {
            number,
            initial: coverage,
            coverage: Map::new(number, coverage),
        });
        self.restore_coverage(now);
    }

    /// Returns the list number that all members with evidence have reached.
    /// Members below a number may still follow another ring of that number.
    fn lowest_list_number(&self, oldest: Duration) -> u64 {
        self.ring
            .members
            .iter()
            .filter_map(|member| self.votes.get(member))
            .filter(|vote| vote.asked_at >= oldest)
            .map(|vote| vote.number)
            .fold(self.ring.number, u64::min)
    }

    /// Decides whether enough members answered to know what this daemon's
    /// earlier incarnations confirmed.
    ///
    /// Of the other n - 1 members of a ring, majority - 1 were in a majority
    /// that an earlier incarnation was part of, so n - majority + 1 answers
    /// meet one of them. The earlier incarnation may have been counted in a
    /// former ring, so the same holds for each of these.
    fn try_recover(&mut self, now: Duration) {
        let known = std::iter::once(&self.ring).chain(&self.former);
        for ring in known {
            let others = ring
                .members
                .iter()
                .filter(|member| **member != self.me.host);
            let answered = others
                .filter(|member| self.votes.contains_key(*member))
                .count();
            if answered < ring.members.len() + 1 - majority(ring.members.len()) {
                return;
            }
        }
        self.recovered = true;
        self.followed_since = now;
    }

    /// Returns since when `member` is known to follow this ring by a list
    /// above `number`, and when it was last asked.
    fn followed_span(
        &self,
        now: Duration,
        member: &str,
        number: u64,
        counts: impl Fn(&Vote) -> bool,
    ) -> Option<(Duration, Duration)> {
        if member == self.me.host {
            let follows = self.recovered && self.ring.number > number;
            return follows.then_some((self.followed_since, now));
        }
        let vote = self.votes.get(member)?;
        let follows = vote.number > number && counts(vote);
        follows.then_some((vote.first_received_at, vote.asked_at))
    }

    /// Returns whether at one moment a majority of `ring` followed the current
    /// ring. Answers at different moments do not suffice: a member that
    /// answered first may lose its memory and recover from one that has not
    /// yet answered.
    fn is_retired(&self, now: Duration, ring: &Ring) -> bool {
        self.majority_followed(now, ring, ring.number, |_| true)
    }

    /// The same for lists above `number`, counting only members whose answer
    /// passes `counts`.
    pub(super) fn majority_followed(
        &self,
        now: Duration,
        ring: &Ring,
        number: u64,
        counts: impl Fn(&Vote) -> bool,
    ) -> bool {
        let spans: Vec<(Duration, Duration)> = ring
            .members
            .iter()
            .filter_map(|member| self.followed_span(now, member, number, &counts))
            .collect();
        spans.iter().any(|&(moment, _)| {
            let followers = spans
                .iter()
                .filter(|&&(first, last)| first <= moment && moment <= last)
                .count();
            followers >= majority(ring.members.len())
        })
    }
}
