//! Membership of all hosts, as one daemon knows it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::Version;
use savorylane_intent::hosts::{Host, List};
use savorylane_wire::Incarnation;
use savorylane_wire::control::State;

use crate::action::{Action, Purpose, Token};
use crate::backoff::Delay;
use crate::changes::Queue;
use crate::record::Record;
use crate::table::{Entry, OWN, Table};

mod detect;
mod exchange;
mod status;

pub use exchange::{
    MAX_CHANGES, MAX_DESCRIPTIONS, MAX_RECORDS, MAX_ROTATION_RECORDS, MAX_START_RECORDS,
    MAX_VERSIONS,
};
pub use status::Status;

/// Time between two calls of [`View::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeat rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Gap between two ticks above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Timeout of a heartbeat.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an indirect probe. The probing peer waits [`ANSWER_TIMEOUT`] for
/// the target; the rest is for the round trip to that peer.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a suspect that has not refuted the suspicion is declared
/// gone.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of hosts of the own data centre that get a heartbeat in each round.
pub const ROUND_FANOUT: usize = 2;

/// Number of peers that are asked to probe a host that did not answer a
/// heartbeat.
pub const INDIRECT_PROBES: usize = 2;

/// Number of hosts of the own data centre that an urgent change is pushed to.
pub const PUSH_FANOUT: usize = 3;

/// Number of hosts of the own data centre that get a notice of a new version.
///
/// Each host that adopts the version sends as many notices in turn. With 6,
/// about one host in 400 misses all of them and learns of the version only by a
/// heartbeat; with 3 it was one in 20, which delayed the last host.
pub const NOTICE_FANOUT: usize = 6;

/// Number of peers that a starting daemon queries.
pub const START_PEERS: usize = 3;

/// Number of peers that a daemon queries after a pause.
pub const RESUME_PEERS: usize = 2;

/// Minimum time between two pushes of urgent changes. It limits pushes to six
/// messages per second when many hosts leave at once.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start within which a record of this host with a later start
/// time is taken for one of an earlier incarnation and outranked: the clock of
/// a replaced host may have been ahead. After that time, such a record means
/// that a newer daemon has started on this host.
pub const OUTRANK_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of times that an unanswered `leaving` push is sent again.
const LEAVE_RETRIES: u8 = 3;

/// Time after which a token is dropped whose result was never reported.
const PENDING_RETENTION: Duration = Duration::from_secs(5);

/// Time between two prunings of unlisted hosts and backoffs. The backoff of a
/// host that no longer fails is kept for this time after its `hold_until`.
const PRUNE_INTERVAL: Duration = Duration::from_secs(60);

/// Heartbeat or indirect probe whose result has not been reported.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: u32,
    purpose: Purpose,
    /// Whether this is an indirect probe.
    indirect: bool,
    /// Number of earlier attempts of the same `leaving` push.
    attempt: u8,
    /// Time at which the message was sent.
    sent: Duration,
}

/// Backoff of a host that failed on the request path.
///
/// The backoff is kept after the host answers a trial, until a request is
/// answered or the backoff is pruned. Otherwise a host whose control port
/// answers while its data port fails would become routable again at once after
/// every failure.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    delay: Delay,
    /// Time of the next trial heartbeat.
    next_trial_at: Duration,
    /// Time before which an answer on the control port does not make the host
    /// routable again.
    hold_until: Duration,
}

/// Query of several peers for their versions, at start or after a pause.
#[derive(Clone, Copy, Debug)]
struct Query {
    purpose: Purpose,
    /// Number of peers that have neither answered nor timed out.
    outstanding: usize,
    /// Number of peers that have answered.
    answers: usize,
    /// Time of the next query; set when no peer has answered.
    retry_at: Option<Duration>,
}

/// Membership of all hosts, as one daemon knows it.
///
/// Invariants:
/// - The [`Record::precedence`] of the record of a host never decreases.
/// - The number of messages that a call returns does not depend on the number
///   of hosts.
/// - `suspect_deadlines` holds only suspects of the own data centre.
#[derive(Clone, Debug)]
pub struct View {
    table: Table,
    rng: ChaCha8Rng,
    started_at: Duration,
    last_tick: Option<Duration>,
    next_round_at: Duration,
    next_prune_at: Duration,
    next_push_at: Duration,
    /// Whether an urgent change waits to be pushed.
    push_pending: bool,
    /// Whether a newer incarnation of this host was seen.
    replaced: bool,
    reader: bool,
    next_token: u64,
    /// Index of the host whose record was last sent in rotation.
    rotation_cursor: usize,
    changes: Queue,
    pending: BTreeMap<Token, Pending>,
    /// Number of outstanding indirect probes by target.
    indirect_probes: BTreeMap<u32, usize>,
    /// Time at which each suspect of the own data centre is declared gone.
    suspect_deadlines: BTreeMap<u32, Duration>,
    /// Hosts of the own data centre that are suspect or gone.
    down_hosts: BTreeSet<u32>,
    /// Suspects from before a pause of this process that still get a trial
    /// heartbeat.
    suspects_to_recheck: VecDeque<u32>,
    backoffs: BTreeMap<u32, Backoff>,
    /// Query that is outstanding or to be repeated.
    query: Option<Query>,
    query_delay: Delay,
}

impl View {
    /// Creates the view of the daemon on the host `own`, which `list` need not
    /// contain.
    ///
    /// The first heartbeat round starts at a random time within
    /// [`ROUND_INTERVAL`], so that daemons that start at the same time do not
    /// send at the same time.
    pub fn new(
        now: Duration,
        own: &Host,
        incarnation: Incarnation,
        list: Arc<List>,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = Table::new(own);
        table.entry_mut(OWN).record = Some(Record {
            incarnation,
            sequence: 0,
            state: State::Alive,
            version: None,
        });
        table.apply_list(now, list);
        for index in table.indices().collect::<Vec<_>>() {
            table.entry_mut(index).routable = table.routable(index);
        }
        let jitter = Duration::from_micros(rng.random_range(0..ROUND_INTERVAL.as_micros() as u64));
        Self {
            table,
            rng,
            started_at: now,
            last_tick: None,
            next_round_at: now + jitter,
            next_prune_at: now + PRUNE_INTERVAL,
            next_push_at: now,
            push_pending: false,
            replaced: false,
            reader: false,
            next_token: 0,
            rotation_cursor: 0,
            changes: Queue::default(),
            pending: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            suspect_deadlines: BTreeMap::new(),
            down_hosts: BTreeSet::new(),
            suspects_to_recheck: VecDeque::new(),
            backoffs: BTreeMap::new(),
            query: None,
            query_delay: Delay::default(),
        }
    }

    /// Runs all timers that are due; to be called every [`TICK_INTERVAL`].
    ///
    /// The first call queries peers for their versions and elects the readers
    /// of the own data centre.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if self.last_tick.replace(now).is_none() {
            self.query_peers(now, Purpose::Start, &mut actions);
            self.elect_readers(self.table.entry(OWN).centre, &mut actions);
        }
        self.expire_suspects(now, &mut actions);
        if now >= self.next_round_at {
            self.next_round_at = now + ROUND_INTERVAL;
            self.run_round(now, &mut actions);
        }
        if self.push_pending && now >= self.next_push_at {
            self.push_pending = false;
            self.next_push_at = now + MIN_PUSH_INTERVAL;
            for to in self.peers_in(self.table.entry(OWN).centre, PUSH_FANOUT) {
                self.send_heartbeat(now, to, Purpose::Push, 0, &mut actions);
            }
        }
        self.send_trial(now, &mut actions);
        if let Some(Query {
            retry_at: Some(at),
            purpose,
            ..
        }) = self.query
            && now >= at
        {
            self.query_peers(now, purpose, &mut actions);
        }
        if now >= self.next_prune_at {
            self.next_prune_at = now + PRUNE_INTERVAL;
            let freed = self.table.prune(now);
            self.forget_hosts(&freed, &mut actions);
            let table = &self.table;
            self.backoffs.retain(|&index, backoff| {
                table.entry(index).failing || backoff.hold_until + PRUNE_INTERVAL > now
            });
        }
        actions
    }

    /// Replaces the host list if `list` has a greater number; otherwise ignores
    /// `list`.
    pub fn on_host_list(&mut self, now: Duration, list: Arc<List>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if list.number <= self.table.list.number {
            return actions;
        }
        let freed = self.table.apply_list(now, list);
        self.forget_hosts(&freed, &mut actions);
        for index in self.table.indices().collect::<Vec<_>>() {
            self.update_state_sets(index);
            self.update_routable(index, &mut actions);
        }
        self.elect_readers(self.table.entry(OWN).centre, &mut actions);
        actions
    }

    /// Records that this daemon adopted `version` and returns the notices to
    /// send.
    ///
    /// Notices go to [`NOTICE_FANOUT`] random hosts of the own data centre. A
    /// reader that read the version `from_platform` also notifies one reader of
    /// each other data centre. If every reader did so, a change would cross
    /// each link between regions about 16 times.
    pub fn on_version(
        &mut self,
        now: Duration,
        version: Version,
        from_platform: bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        let own = self.own_record_mut();
        if own.version >= Some(version) {
            return actions;
        }
        own.version = Some(version);
        let centre = self.table.entry(OWN).centre;
        let mut receivers = self.peers_in(centre, NOTICE_FANOUT);
        if self.reader && from_platform {
            for other in &self.table.centres {
                let local = other
                    .ranking
                    .first()
                    .is_none_or(|&index| self.table.is_local(index));
                if local || other.readers.is_empty() {
                    continue;
                }
                let rank = self.rng.random_range(0..other.readers.len());
                receivers.push(other.readers[rank]);
            }
        }
        actions.extend(receivers.into_iter().map(|index| Action::Notice {
            to: self.table.entry(index).name.clone(),
        }));
        actions
    }

    /// Marks this host as leaving and pushes its record to the readers of all
    /// data centres and to [`PUSH_FANOUT`] random hosts of the own data centre.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        let own = self.own_record_mut();
        if own.state == State::Leaving {
            return actions;
        }
        own.state = State::Leaving;
        own.sequence += 1;
        let centre = self.table.entry(OWN).centre;
        self.update_routable(OWN, &mut actions);
        self.elect_readers(centre, &mut actions);
        let readers = self.table.centres.iter().flat_map(|centre| &centre.readers);
        let mut receivers: Vec<u32> = readers.copied().filter(|&index| index != OWN).collect();
        for peer in self.peers_in(centre, PUSH_FANOUT) {
            if !receivers.contains(&peer) {
                receivers.push(peer);
            }
        }
        for to in receivers {
            self.send_heartbeat(now, to, Purpose::Push, 0, &mut actions);
        }
        actions
    }

    /// Returns up to `count` random hosts that should answer heartbeats, from
    /// the own data centre first and then from the others.
    pub fn random_peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let peers = self.sample_peers(count);
        peers
            .into_iter()
            .map(|index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns one random host of each other data centre; meant for readers,
    /// which gossip across data centres.
    pub fn random_remote_peers(&mut self) -> Vec<Arc<str>> {
        let own = self.table.entry(OWN).centre;
        let mut peers = Vec::new();
        for centre in (0..self.table.centres.len() as u16).filter(|&centre| centre != own) {
            peers.extend(self.peers_in(centre, 1));
        }
        peers
            .into_iter()
            .map(|index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns a mutable reference to the record of the own host.
    fn own_record_mut(&mut self) -> &mut Record {
        let entry = self.table.entry_mut(OWN);
        entry
            .record
            .as_mut()
            .expect("own record is set at creation")
    }

    /// Returns up to `count` random hosts of a data centre that should answer
    /// heartbeats.
    fn peers_in(&mut self, centre: u16, count: usize) -> Vec<u32> {
        self.table
            .sample_hosts(&mut self.rng, centre, count, Entry::should_answer)
    }

    /// Returns the indices of up to `count` random hosts that should answer
    /// heartbeats, those of the own data centre first.
    fn sample_peers(&mut self, count: usize) -> Vec<u32> {
        let own = self.table.entry(OWN).centre;
        let mut peers = self.peers_in(own, count);
        let centres = self.table.centres.len() as u16;
        let first = self.rng.random_range(0..centres);
        for centre in (0..centres).map(|offset| (first + offset) % centres) {
            if centre != own && peers.len() < count {
                peers.extend(self.peers_in(centre, count - peers.len()));
            }
        }
        peers
    }

    /// Recomputes whether a host is routable and reports a change.
    fn update_routable(&mut self, index: u32, actions: &mut Vec<Action>) {
        let mut routable = self.table.routable(index);
        if index == OWN {
            routable = self.own_record().state == State::Alive && !self.replaced;
        }
        let entry = self.table.entry_mut(index);
        if entry.routable == routable {
            return;
        }
        entry.routable = routable;
        let host = entry.name.clone();
        actions.push(if routable {
            Action::Routable(host)
        } else {
            Action::Unroutable(host)
        });
    }

    /// Elects the readers of a data centre and reports if this daemon became or
    /// ceased to be a reader.
    fn elect_readers(&mut self, centre: u16, actions: &mut Vec<Action>) {
        self.table.elect_readers(centre);
        let own = self.table.entry(OWN).centre;
        let readers = &self.table.centres[usize::from(own)].readers;
        let reader = readers.contains(&OWN);
        if self.reader != reader {
            self.reader = reader;
            actions.push(Action::Reader(reader));
        }
    }

    /// Updates `suspect_deadlines` and `down_hosts` from the state of a host.
    fn update_state_sets(&mut self, index: u32) {
        let local = self.table.is_local(index);
        let state = self.table.entry(index).state();
        if index != OWN && local && matches!(state, Some(State::Suspect | State::Gone)) {
            self.down_hosts.insert(index);
        } else {
            self.down_hosts.remove(&index);
        }
        if !local || state != Some(State::Suspect) {
            self.suspect_deadlines.remove(&index);
        }
    }

    /// Drops all state of removed hosts, whose indices may be reused for other
    /// hosts.
    fn forget_hosts(&mut self, freed: &[u32], actions: &mut Vec<Action>) {
        for index in freed {
            self.changes.remove(*index);
            self.indirect_probes.remove(index);
            self.suspect_deadlines.remove(index);
            self.down_hosts.remove(index);
            self.backoffs.remove(index);
            self.suspects_to_recheck.retain(|other| other != index);
        }
        if !freed.is_empty() {
            self.pending
                .retain(|_, pending| !freed.contains(&pending.target));
            self.elect_readers(self.table.entry(OWN).centre, actions);
        }
    }
}
