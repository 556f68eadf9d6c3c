//! Selection of the source from which a daemon gets configurations and host
//! lists.
//!
//! A daemon is either a *reader*, which reads the store, or a *follower*, which
//! polls a reader of its data centre. The roles need no consensus:
//!
//! * A daemon becomes a reader when another daemon needs it.
//! * A reader that discovers a better reader redirects its followers there, and
//!   becomes a follower itself once no follower needs it any more.
//! * A wrong assumption about roles costs no more than an additional reader.
//!
//! Readers discover each other through the *rendezvous*, the host of the data
//! centre with the first name, which redirects to the reader that it follows.
//! Of two readers the one on the faster link is better, since the store sends
//! large values in full. A reader that the store does not serve polls readers
//! of other data centres and keeps answering its followers.
//!
//! Among the readers of all data centres only the *primary* calls the store:
//! the reader of the first data centre by name that has one. The other readers
//! poll the primary, and call the store themselves whenever the primary is lost
//! or its knowledge is old.

mod backoff;
mod follower;
mod latency;
mod message;
mod reader;
mod role;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use backoff::Backoff;
use latency::Latency;
pub use message::{Answer, Candidate, Location, Poll, Request, Step};
pub use role::Rank;
use role::{Follower, Reader, Readership, Role};

/// Time between two steps of a daemon that has no role yet.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum age of a reader's knowledge at which the reader is worth following.
const MAX_FRESH_AGE: Duration = Duration::from_secs(3);
/// Maximum age of its knowledge at which a new reader resumes from the revision
/// that it knows.
///
/// A reader with older knowledge, such as one that replaces a lost reader,
/// would have to read all versions published since, and reads the newest one
/// instead.
pub const MAX_RESUME_AGE: Duration = Duration::from_secs(1);
/// Time after which a host that was promoted to a reader may be promoted again.
const PROMOTION_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a poll after which a poller is dropped.
const POLLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of followers that an answer names as successors.
const MAX_SUCCESSORS: usize = 3;
/// Maximum number of hosts of a data centre that are tried as the rendezvous.
const MAX_RENDEZVOUS_HOSTS: usize = 3;

/// Host of the own data centre that polled this daemon.
#[derive(Clone, Debug)]
struct Poller {
    rate: u32,
    polled_at: Duration,
    /// Earliest time at which the host may be promoted to a reader again.
    promotable_at: Duration,
}

/// State machine that selects the host that a daemon polls, or the store.
///
/// The driver reports events through the `on_*` methods and carries out the
/// steps that [`next`](Self::next) returns.
#[derive(Clone, Debug)]
pub struct Source {
    own: Location,
    rate: u32,
    role: Role,
    /// Other hosts of the own data centre, sorted by name.
    local: Vec<Arc<str>>,
    /// Hosts of each other data centre. Both levels are sorted by name, but
    /// data centres of the own region come first.
    remote: Vec<Vec<Arc<str>>>,
    /// Hosts of each data centre whose name precedes that of the own one. Both
    /// levels are sorted by name. A reader searches for the primary there.
    preceding: Vec<Vec<Arc<str>>>,
    backoff: Backoff,
    latency: Latency,
    /// Followers that take over when the followed reader is lost, in order.
    successors: Vec<Candidate>,
    /// Hosts of the own data centre that polled this daemon, by name.
    pollers: BTreeMap<Arc<str>, Poller>,
    leaving: bool,
    /// Number of readers that were abandoned since a reader last had news.
    abandoned_readers: u8,
}

impl Source {
    /// Returns the source of the daemon at `own`, which has no role until
    /// [`start`](Self::start). `rate` is the rate of its link in megabits per
    /// second; 0 if it is not known.
    pub fn new(own: Location, rate: u32) -> Self {
        Self {
            own,
            rate,
            role: Role::Starting,
            local: Vec::new(),
            remote: Vec::new(),
            preceding: Vec::new(),
            backoff: Backoff::default(),
            latency: Latency::default(),
            successors: Vec::new(),
            pollers: BTreeMap::new(),
            leaving: false,
            abandoned_readers: 0,
        }
    }

    /// Returns whether this daemon reads the store.
    pub fn reads_store(&self) -> bool {
        matches!(&self.role, Role::Reader(reader) if reader.primary.is_none())
    }

    /// Returns whether this daemon is a reader, which answers followers.
    pub fn is_reader(&self) -> bool {
        matches!(self.role, Role::Reader(_))
    }

    /// Returns the host that this daemon polls for news, if any.
    pub fn followed(&self) -> Option<&Arc<str>> {
        match &self.role {
            Role::Starting => None,
            Role::Follower(follower) => Some(&follower.host),
            Role::Reader(reader) => {
                let primary = reader.primary.as_ref().map(|primary| &primary.host);
                primary.or(reader.fallback.as_ref())
            }
        }
    }

    /// Handles a new host list.
    pub fn on_hosts(&mut self, hosts: &[Location]) {
        let old_first = self.local.first().cloned();
        let others = hosts.iter().filter(|host| host.name != self.own.name);
        let mut centres: BTreeMap<(bool, &str), Vec<Arc<str>>> = BTreeMap::new();
        self.local.clear();
        for host in others {
            if host.data_centre == self.own.data_centre {
                self.local.push(Arc::clone(&host.name));
                continue;
            }
            let key = (host.region != self.own.region, &*host.data_centre);
            centres.entry(key).or_default().push(Arc::clone(&host.name));
        }
        self.local.sort();
        centres.values_mut().for_each(|hosts| hosts.sort());
        let mut preceding: Vec<(&str, Vec<Arc<str>>)> = centres
            .iter()
            .filter(|((_, centre), _)| **centre < *self.own.data_centre)
            .map(|((_, centre), hosts)| (*centre, hosts.clone()))
            .collect();
        preceding.sort();
        self.preceding = preceding.into_iter().map(|(_, hosts)| hosts).collect();
        self.remote = centres.into_values().collect();
        if let Role::Reader(reader) = &mut self.role
            && self.local.first() != old_first.as_ref()
        {
            reader.better_check_at = Duration::ZERO;
        }
    }

    /// Selects the first role, after the first read of the host list succeeded
    /// or failed. A daemon that knows no other host of its data centre becomes
    /// a reader.
    pub fn start(&mut self, now: Duration) {
        if !matches!(self.role, Role::Starting) {
            return;
        }
        // Even the first host of the data centre asks another host: after a
        // restart, running hosts may know more than the store returns.
        match self.rendezvous(now) {
            Some(host) => self.follow(host, Readership::Unknown),
            None => self.become_reader(now),
        }
    }

    /// Handles the discovery of a running host. Has an effect only if this
    /// daemon polls no host, and either has no role yet or knows no other host
    /// of its data centre.
    pub fn on_peer(&mut self, name: &str) {
        let alone = matches!(&self.role, Role::Starting) || self.local.is_empty();
        if alone && *name != *self.own.name && self.followed().is_none() {
            match &mut self.role {
                Role::Reader(reader) => reader.fallback = Some(name.into()),
                _ => self.follow(name.into(), Readership::Unknown),
            }
        }
    }

    /// Records whether the store answered a call of this reader.
    pub fn on_store_call(&mut self, now: Duration, answered: bool) {
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        // The call was in flight when the primary was found.
        if reader.primary.is_some() {
            return;
        }
        match answered {
            true => {
                reader.reading_since.get_or_insert(now);
                reader.lost_since = None;
                reader.fallback = None;
            }
            false => {
                reader.reading_since = None;
                reader.lost_since.get_or_insert(now);
            }
        }
    }

    /// Records that this daemon is about to shut down. All further answers
    /// announce this.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the time for which this daemon, as a reader, has known the
    /// content of the store without a gap.
    pub fn reading_time(&self, now: Duration) -> Option<Duration> {
        match &self.role {
            Role::Reader(reader) if !self.leaving => {
                Some(now.saturating_sub(reader.reading_since?))
            }
            _ => None,
        }
    }

    /// Returns the next step for the driver. Before that, a reader that no
    /// follower needs any more becomes a follower if it knows a better reader.
    pub fn next(&mut self, now: Duration) -> Step {
        self.step_down(now);
        match &mut self.role {
            Role::Starting => Step::Idle(IDLE_INTERVAL),
            Role::Follower(follower) if now < follower.not_before => {
                Step::Idle(follower.not_before - now)
            }
            Role::Follower(follower) => Step::Poll(
                self.latency
                    .next_poll(Arc::clone(&follower.host), follower.readership),
            ),
            Role::Reader(_) => self.next_reader_step(now),
        }
    }

    /// Handles an answer of `host` that arrived after its poll had timed out,
    /// with the transit time `transit`. Such an answer shows that the own link
    /// is slow, rather than that the host failed.
    pub fn on_late_answer(
        &mut self,
        now: Duration,
        host: &str,
        answer: &Answer,
        transit: Duration,
    ) {
        if let Role::Follower(follower) = &self.role
            && follower.readership != Readership::Confirmed
            && answer.reader
            && !answer.leaving
        {
            self.follow(host.into(), Readership::Confirmed);
        }
        self.on_answer(now, host, answer, transit);
    }

    /// Handles the answer to a poll of `host`. `transit` is the transit time of
    /// the poll and the answer together.
    pub fn on_answer(&mut self, now: Duration, host: &str, answer: &Answer, transit: Duration) {
        self.latency.observe(transit);
        let fresh = answer.age.is_some_and(|age| age <= MAX_FRESH_AGE) && !answer.leaving;
        if answer.leaving {
            self.backoff.start(now, host);
        } else if fresh {
            self.backoff.clear(host);
        }
        match &self.role {
            Role::Starting => {}
            Role::Follower(follower) if *follower.host == *host => {
                self.on_answer_as_follower(now, host, answer, fresh);
            }
            Role::Follower(_) => {}
            Role::Reader(_) => self.on_answer_as_reader(now, host, answer, fresh),
        }
    }

    /// Handles a failed poll of `host`.
    pub fn on_failure(&mut self, now: Duration, host: &str) {
        self.backoff.start(now, host);
        match &self.role {
            Role::Follower(follower) if *follower.host == *host => {}
            Role::Reader(_) => return self.on_failure_as_reader(now, host),
            _ => return,
        }
        let mut names = self.successors.iter().map(|candidate| &candidate.name);
        let usable = |name: &Arc<str>| *name == self.own.name || !self.backoff.is_active(now, name);
        let next = names.find(|name| usable(name)).cloned();
        match next {
            Some(name) if name == self.own.name => self.become_reader(now),
            Some(name) => self.follow(name, Readership::Required),
            None => match self.rendezvous(now) {
                Some(name) => self.follow(name, Readership::Unknown),
                None => self.become_reader(now),
            },
        }
    }

    /// Handles a poll of another daemon and returns the answer, where `age` is
    /// the age of this daemon's knowledge. [`Answer::may_hold`] tells the
    /// driver whether to hold the poll until there is news, which only a reader
    /// does.
    pub fn on_poll(&mut self, now: Duration, poll: &Poll, age: Option<Duration>) -> Answer {
        let local = poll.data_centre == self.own.data_centre;
        if local {
            self.on_local_poll(now, poll);
        }
        let promote = local && self.try_promote(now, &poll.from);
        let reader = self.is_reader();
        let (mut source, mut may_hold) = match &self.role {
            Role::Starting => (None, false),
            Role::Follower(follower) => (Some(Arc::clone(&follower.host)), false),
            Role::Reader(reader) => (reader.better.clone(), reader.better.is_none()),
        };
        // Redirects daemons of other data centres to the primary. A sender that
        // relies on this daemon regardless may be unable to reach the primary.
        if let Role::Reader(reader) = &self.role
            && let Some(primary) = &reader.primary
            && source.is_none()
            && !local
        {
            source = Some(Arc::clone(&primary.host));
            may_hold = poll.needs;
        }
        Answer {
            reader,
            may_hold: may_hold && !promote && !self.leaving,
            rate: self.rate,
            reading_time: self.reading_time(now),
            age,
            source: source.filter(|source| *source != poll.from.name || !reader),
            promote,
            leaving: self.leaving,
            candidates: self.nominated_successors(now),
        }
    }

    /// Records a poll from the own data centre, and becomes a reader if the
    /// sender needs one.
    fn on_local_poll(&mut self, now: Duration, poll: &Poll) {
        let rank = Rank::new(poll.from.rate, poll.reading_time, &poll.from.name);
        let own = self.rank(now);
        let poller = self.pollers.entry(Arc::clone(&poll.from.name));
        let poller = poller.or_insert(Poller {
            rate: poll.from.rate,
            polled_at: now,
            promotable_at: Duration::ZERO,
        });
        poller.rate = poll.from.rate;
        poller.polled_at = now;
        self.pollers
            .retain(|_, poller| now.saturating_sub(poller.polled_at) < POLLER_TIMEOUT);
        if poll.needs && !self.is_reader() && !self.leaving {
            self.become_reader(now);
        }
        let Role::Reader(reader) = &mut self.role else {
            return;
        };
        if poll.needs {
            reader.needed_at = now;
        }
        if poll.reading_time.is_some() && rank.precedes(&own) {
            reader.better = Some(Arc::clone(&poll.from.name));
        } else if reader.better.as_ref() == Some(&poll.from.name) {
            reader.better = None;
        }
    }

    /// Returns whether `from` must become a reader in place of this daemon
    /// because its link is faster.
    ///
    /// This daemon redirects its followers there at once, since sending full
    /// values to starting followers would saturate a slow link.
    fn try_promote(&mut self, now: Duration, from: &Candidate) -> bool {
        let Role::Reader(reader) = &mut self.role else {
            return false;
        };
        if reader.better.is_some() || from.rate <= self.rate {
            return false;
        }
        let Some(poller) = self.pollers.get_mut(&from.name) else {
            return false;
        };
        if now < poller.promotable_at {
            return false;
        }
        poller.promotable_at = now + PROMOTION_INTERVAL;
        reader.better = Some(Arc::clone(&from.name));
        true
    }

    /// Returns the followers that take over when this daemon is lost, those on
    /// the fastest links first.
    fn nominated_successors(&self, now: Duration) -> Vec<Candidate> {
        let polls = |poller: &Poller| now.saturating_sub(poller.polled_at) < POLLER_TIMEOUT;
        let mut followers: Vec<Candidate> = self
            .pollers
            .iter()
            .filter(|(_, poller)| polls(poller))
            .map(|(name, poller)| Candidate {
                name: Arc::clone(name),
                rate: poller.rate,
            })
            .collect();
        followers.sort_by(|a, b| b.rate.cmp(&a.rate).then_with(|| a.name.cmp(&b.name)));
        followers.truncate(MAX_SUCCESSORS);
        followers
    }

    /// Returns the rank of this daemon as a reader.
    fn rank(&self, now: Duration) -> Rank {
        Rank::new(self.rate, self.reading_time(now), &self.own.name)
    }

    /// Returns whether `host` is another host of the own data centre.
    fn is_local(&self, host: &str) -> bool {
        self.local.iter().any(|name| **name == *host)
    }

    /// Returns the host through which readers of the data centre discover each
    /// other: the first usable one of [`MAX_RENDEZVOUS_HOSTS`] by name.
    fn rendezvous(&self, now: Duration) -> Option<Arc<str>> {
        let hosts = self.local.iter().take(MAX_RENDEZVOUS_HOSTS);
        let mut usable = hosts.filter(|host| !self.backoff.is_active(now, host));
        usable.next().cloned()
    }

    /// Becomes a follower of `host`.
    fn follow(&mut self, host: Arc<str>, readership: Readership) {
        self.role = Role::Follower(Follower {
            host,
            readership,
            fruitless_polls: 0,
            not_before: Duration::ZERO,
        });
    }

    /// Becomes a reader, unless this daemon is one already.
    fn become_reader(&mut self, now: Duration) {
        if !self.is_reader() {
            self.role = Role::Reader(Reader::new(now));
        }
    }
}
