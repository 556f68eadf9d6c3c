//! Lease of a daemon to act as a holder, granted by a majority of its ring.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use savorylane_wire::Incarnation;
use savorylane_wire::control::ring::Confirmation;
use savorylane_wire::control::{Ring, Sender};

use super::coverage::{Coverage, History, Map};
use super::majority;
use super::restore::{Activation, Saved};
use crate::Settings;

/// Lease of one daemon to act as a holder in the ring of one scope.
///
/// A daemon is **recovered** when it knows which rings its earlier incarnations
/// confirmed. It is **active** when it may run keys without attempt numbers:
///
/// - A majority of its ring confirmed the ring, in answer to questions not
///   older than [`Settings::lease_duration`].
/// - For each former ring there was one moment at which a majority of its
///   members followed the new ring.
///
/// Invariant: while a daemon is active, no daemon is active under another ring
/// of the scope, except by a lease that ends before the [`Coverage::since`] of
/// the keys whose holder differs between the rings. The invariant holds for
/// these reasons:
///
/// - The two majorities share a member.
/// - A member never returns to an older list.
/// - A member that lost its state in a restart confirms nothing until enough
///   other members answered that one of them belongs to any majority that an
///   earlier incarnation was part of.
#[derive(Clone, Debug)]
pub struct Lease {
    pub(super) settings: Settings,
    pub(super) me: Sender,
    started: Duration,
    pub(super) ring: Ring,
    /// Time at which this daemon adopted the ring or recovered, whichever was
    /// later.
    followed_since: Duration,
    recovered: bool,
    /// Time until which [`Settings::first_start`] permits an activation with
    /// unlimited coverage. No ring that replaces the first one can have a
    /// holder before that time. Zero if an activation is not permitted.
    first_start_until: Duration,
    /// Former rings that are not known to be retired.
    former: Vec<Ring>,
    /// Votes by host, for the current ring only.
    votes: BTreeMap<String, Vote>,
    /// End of the lease: a majority confirmed the ring until this time.
    pub(super) confirmed_until: Duration,
    pub(super) active: Option<Activation>,
    pub(super) history: History,
    /// Coverage of an earlier activation that may still be restored.
    pub(super) saved: Option<Saved>,
}

/// Latest confirmation by a member that follows this daemon's ring.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vote {
    incarnation: Incarnation,
    /// Number of the member's host list.
    list_number: u64,
    /// Arrival of the first confirmation of this ring and number by this
    /// incarnation.
    first_received_at: Duration,
    /// Time of the question that the latest confirmation answered.
    asked_at: Duration,
    /// Latest possible start time of the incarnation.
    pub(super) started: Duration,
    /// Number of the newest ring that the member dropped from its history.
    pub(super) floor: u64,
}

impl Lease {
    /// Creates the lease of a daemon that has just started. `ring` is the ring
    /// according to its own host list; `wall_ms` is the wall clock in
    /// milliseconds since the Unix epoch, here and in the other methods.
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

    /// Returns the ring according to the daemon's own host list.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns the incarnation of the daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Returns whether this daemon holds `key` according to its own list.
    pub fn holds(&self, key: &str) -> bool {
        super::holder(&self.ring, key) == Some(self.me.host.as_str())
    }

    /// Returns the hosts to ask for confirmations periodically, at intervals
    /// that the daemon's `holder::rings` sets: the other members of the ring,
    /// of the former rings, and of the rings on which the saved coverage
    /// depends.
    pub fn peers(&self) -> BTreeSet<&str> {
        let saved = self.saved.iter();
        let rings = std::iter::once(&self.ring).chain(&self.former);
        rings
            .chain(saved.flat_map(|saved| self.rings_since(saved)))
            .flat_map(|ring| ring.members.iter().map(String::as_str))
            .filter(|member| *member != self.me.host)
            .collect()
    }

    /// Returns this daemon's answer to a question of another member.
    pub fn confirmation(&self, now: Duration) -> Confirmation {
        Confirmation {
            from: self.me.clone(),
            ring: self.ring.clone(),
            recovered: self.recovered,
            active: self.active.as_ref().map(|active| active.list_number),
            former: self.former.clone(),
            history: self.history.rings.clone(),
            floor: self.history.floor,
            uptime_ms: now.saturating_sub(self.started).as_millis() as u64,
        }
    }

    /// Returns the coverage of keys that had another holder before the
    /// activation, or `None` if the daemon may not act as holder now.
    pub fn activation(&self, now: Duration) -> Option<Coverage> {
        let active = self.active.as_ref();
        active
            .filter(|_| now < self.confirmed_until)
            .map(|active| active.initial)
    }

    /// Returns the coverage of a key that this daemon holds, or `None` if the
    /// daemon may not act as holder now.
    pub fn coverage(&self, now: Duration, key: &str) -> Option<Coverage> {
        let active = self.active.as_ref();
        active
            .filter(|_| now < self.confirmed_until)
            .map(|active| active.coverage.get(&self.me.host, key))
    }

    /// Adopts the ring of a newer host list and ignores that of an older or
    /// equal one. Discards all confirmations of the former ring.
    ///
    /// # Panics
    ///
    /// Panics if `ring` belongs to another scope.
    pub fn on_ring(&mut self, now: Duration, wall_ms: u64, ring: Ring) {
        assert_eq!(
            ring.scope, self.ring.scope,
            "the scope of a lease never changes"
        );
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

    /// Drops the lease and all confirmations after a pause of the process. The
    /// clock may have stopped meanwhile, so that the confirmations appear
    /// recent although another ring has become active.
    pub fn on_pause(&mut self, now: Duration, wall_ms: u64) {
        self.deactivate();
        // The ages of members and of the saved coverage are measured by a clock
        // that may have stopped.
        self.saved = None;
        self.first_start_until = Duration::ZERO;
        self.votes.clear();
        self.followed_since = now;
        self.evaluate(now, wall_ms);
    }

    /// Processes a member's answer to the question that this daemon asked at
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
            // A member that follows another ring does not confirm this one. A
            // member that has not recovered may have confirmed another ring
            // before its restart.
            self.votes.remove(host);
            self.evaluate(now, wall_ms);
            return;
        }
        let incarnation = confirmation.from.incarnation;
        let list_number = confirmation.ring.number;
        let fresh = Vote {
            incarnation,
            list_number,
            first_received_at: now,
            asked_at,
            started: now.saturating_sub(Duration::from_millis(confirmation.uptime_ms)),
            floor: confirmation.floor,
        };
        let vote = match self.votes.get(host) {
            // This answer was overtaken by a later one of the same member.
            Some(known) if (known.incarnation, known.list_number) > (incarnation, list_number) => {
                return;
            }
            Some(known) if (known.incarnation, known.list_number) == (incarnation, list_number) => {
                Vote {
                    first_received_at: known.first_received_at,
                    asked_at: known.asked_at.max(asked_at),
                    started: known.started.min(fresh.started),
                    floor: known.floor.max(fresh.floor),
                    ..fresh
                }
            }
            _ => fresh,
        };
        self.votes.insert(host.to_string(), vote);
        for ring in &confirmation.former {
            self.add_former(now, ring.clone());
        }
        for ring in &confirmation.history {
            let new = self.history.add(ring) && ring.hash != self.ring.hash;
            let active = self.active.as_ref();
            if new && active.is_some_and(|active| ring.number >= active.list_number) {
                // A holder of that ring may have become active after this
                // daemon did.
                self.save_coverage(now);
            } else if new {
                self.limit_coverage(ring);
            }
        }
        if let Some(number) = confirmation.active {
            // At the sender's activation all rings of older lists were retired.
            self.former.retain(|ring| ring.number >= number);
        }
        self.evaluate(now, wall_ms);
    }

    /// Updates the lease as time passes. Must be called every 100 ms.
    pub fn on_tick(&mut self, now: Duration, wall_ms: u64) {
        self.evaluate(now, wall_ms);
    }

    /// Ends the activation and the lease.
    fn deactivate(&mut self) {
        self.active = None;
        self.confirmed_until = Duration::ZERO;
    }

    /// Adds a former ring, of which a holder may still be active.
    fn add_former(&mut self, now: Duration, ring: Ring) {
        self.history.add(&ring);
        if ring.hash == self.ring.hash || ring.members.is_empty() {
            return;
        }
        if let Some(active) = &self.active {
            if ring.number < active.list_number {
                self.limit_coverage(&ring);
                return;
            }
            // The members followed this other ring in between and then returned
            // to the current one. A holder of the other ring may be active.
            self.save_coverage(now);
        }
        self.first_start_until = Duration::ZERO;
        match self.former.iter_mut().find(|known| known.hash == ring.hash) {
            Some(known) => known.number = known.number.max(ring.number),
            None => self.former.push(ring),
        }
    }

    /// Updates recovery, the lease and the activation from the votes.
    fn evaluate(&mut self, now: Duration, wall_ms: u64) {
        if now >= self.confirmed_until {
            if self.active.is_some() {
                self.saved = None;
            }
            self.deactivate();
        }
        // After the horizon, the coverage of a new activation reaches as far
        // back as the saved one.
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
            // A lease that an earlier holder obtained until now ends by then,
            // including its extension by an undetected pause of that holder.
            Coverage {
                since: Some(now + wait),
                since_ms: wall_ms + wait.as_millis() as u64,
            }
        };
        self.first_start_until = Duration::ZERO;
        self.former.clear();
        let list_number = self.lowest_list_number(*oldest);
        self.active = Some(Activation {
            list_number,
            initial: coverage,
            coverage: Map::new(list_number, coverage),
        });
        self.restore_coverage(now);
    }

    /// Returns the list number that all members asked at `oldest` or later have
    /// reached. A member that has not reached a list may still adopt the ring
    /// of that list, which can differ from this ring.
    fn lowest_list_number(&self, oldest: Duration) -> u64 {
        self.ring
            .members
            .iter()
            .filter_map(|member| self.votes.get(member))
            .filter(|vote| vote.asked_at >= oldest)
            .map(|vote| vote.list_number)
            .fold(self.ring.number, u64::min)
    }

    /// Marks this daemon as recovered if enough members confirmed the ring to
    /// know what its earlier incarnations confirmed.
    ///
    /// A majority that included an earlier incarnation had majority - 1 of the
    /// other n - 1 members, so any n - majority + 1 of these members include
    /// one of that majority. The earlier incarnation may also have counted in a
    /// former ring, so the condition must hold for each former ring, too.
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

    /// Returns the span in which `member` is known to follow this ring by a
    /// list above `number`: from the arrival of its first confirmation to the
    /// latest question that it answered. Only votes that pass `counts` count.
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
        let follows = vote.list_number > number && counts(vote);
        follows.then_some((vote.first_received_at, vote.asked_at))
    }

    /// Returns whether a majority of `ring` followed the current ring at one
    /// moment, so that no holder of `ring` can obtain or extend a lease any
    /// more.
    ///
    /// Confirmations at different moments are not enough: the member that
    /// answered first may lose its state and recover from a member that has not
    /// answered yet.
    fn is_retired(&self, now: Duration, ring: &Ring) -> bool {
        self.majority_followed(now, ring, ring.number, |_| true)
    }

    /// Returns whether a majority of `ring` followed the current ring at one
    /// moment, by lists above `number`. Only votes that pass `counts` count.
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
