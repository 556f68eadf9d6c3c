//! View that one daemon has of all hosts.

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
    MAX_CHANGES, MAX_DESCRIPTIONS, MAX_RECORDS, MAX_START_RECORDS, MAX_VERSIONS, ROTATION_RECORDS,
};
pub use status::Status;

/// Time between two calls of [`View::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeat rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Gap between ticks above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time after which a heartbeat counts as unanswered.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an indirect probe counts as failed. The peer that is asked
/// waits [`ANSWER_TIMEOUT`] for the host; the rest is the way to that peer.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that a suspect has to refute the suspicion before it is gone.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Hosts of the own data centre that get a heartbeat in each round.
pub const ROUND_FANOUT: usize = 2;

/// Hosts that are asked to try a host that did not answer.
pub const INDIRECT_PROBES: usize = 2;

/// Hosts of the own data centre that get an urgent change.
pub const PUSH_FANOUT: usize = 3;

/// Hosts of the own data centre that get a notice of a new version. Each that
/// adopts it tells as many, so that about one in 400 misses all notices and
/// waits for a heartbeat; with 3 it was one in 20, and they made the last host
/// late.
pub const NOTICE_FANOUT: usize = 6;

/// Peers that a starting daemon asks.
pub const START_PEERS: usize = 3;

/// Peers that a daemon asks after a pause.
pub const RESUME_PEERS: usize = 2;

/// Shortest time between two pushes of urgent changes, which bounds them to
/// six messages a second when many hosts leave at once.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start in which a record of an earlier run with a later start
/// time is outranked; clocks of replaced hosts differ. Later such a record
/// means that another run of this host has started.
pub const OUTRANK_WINDOW: Duration = Duration::from_secs(10);

/// Times that an unanswered announcement of the own leave is sent again.
const LEAVE_RETRIES: u8 = 3;

/// Time after which a token that was never reported back is dropped.
const PENDING_RETENTION: Duration = Duration::from_secs(5);

/// Time between two searches for unlisted hosts to remove.
const PRUNE_INTERVAL: Duration = Duration::from_secs(60);

/// Heartbeat or probe that is under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: u32,
    purpose: Purpose,
    indirect: bool,
    attempt: u8,
    sent: Duration,
}

/// Backoff of a host that failed on the request path.
///
/// It outlives the failure until a request is answered: a host whose control
/// port answers while its data port fails would otherwise be given work again
/// at once, every time.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    delay: Delay,
    /// Time of the next try.
    next_trial_at: Duration,
    /// Time before which an answer on the control port does not count.
    hold_until: Duration,
}

/// Peers asked at start or after a pause.
#[derive(Clone, Copy, Debug)]
struct Query {
    purpose: Purpose,
    outstanding: usize,
    answers: usize,
    retry_at: Option<Duration>,
}

/// View that one daemon has of all hosts.
///
/// Invariants: a record never goes back in [`Record::precedence`]; each call
/// returns a number of messages that does not depend on the number of hosts;
/// `suspect_deadlines` holds only suspects of the own data centre.
#[derive(Clone, Debug)]
pub struct View {
    table: Table,
    rng: ChaCha8Rng,
    started_at: Duration,
    last_tick: Option<Duration>,
    next_round_at: Duration,
    next_prune_at: Duration,
    next_push_at: Duration,
    push_pending: bool,
    replaced: bool,
    reader: bool,
    next_token: u64,
    cursor: usize,
    changes: Queue,
    pending: BTreeMap<Token, Pending>,
    indirect_probes: BTreeMap<u32, usize>,
    suspect_deadlines: BTreeMap<u32, Duration>,
    down: BTreeSet<u32>,
    recheck: VecDeque<u32>,
    backoffs: BTreeMap<u32, Backoff>,
    query: Option<Query>,
    query_delay: Delay,
}

impl View {
    /// Creates the view of the daemon on `own`. `own` may be missing in `list`.
    ///
    /// The first heartbeat round is at a random time within [`ROUND_INTERVAL`], so that
    /// daemons that start together do not send together.
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
        table.apply(now, list);
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
            cursor: 0,
            changes: Queue::default(),
            pending: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            suspect_deadlines: BTreeMap::new(),
            down: BTreeSet::new(),
            recheck: VecDeque::new(),
            backoffs: BTreeMap::new(),
            query: None,
            query_delay: Delay::default(),
        }
    }

    /// Advances the view; to be called every [`TICK_INTERVAL`]. The first call asks
    /// peers for the version and tells whether this daemon is a reader.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if self.last_tick.replace(now).is_none() {
            self.query_peers(now, Purpose::Start, &mut actions);
            self.elect(self.table.entry(OWN).centre, &mut actions);
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

    /// Takes over a host list with a greater number; ignores others.
    pub fn on_host_list(&mut self, now: Duration, list: Arc<List>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if list.number <= self.table.list.number {
            return actions;
        }
        let freed = self.table.apply(now, list);
        self.forget_hosts(&freed, &mut actions);
        for index in self.table.indices().collect::<Vec<_>>() {
            self.update_state_sets(index);
            self.update_routable(index, &mut actions);
        }
        self.elect(self.table.entry(OWN).centre, &mut actions);
        actions
    }

    /// Records that this daemon adopted `version` and returns the notices to
    /// send: to random hosts of the data centre and, from a reader that has
    /// `read` the version at the platform itself, to one reader of each other
    /// data centre. If all readers told the others, a change would cross each
    /// link between regions about 16 times.
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

    /// Announces that this host leaves: to the readers of all data centres and
    /// random hosts of the own one.
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
        self.elect(centre, &mut actions);
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

    /// Returns up to `count` random hosts of the own data centre that are
    /// believed alive or unknown. Other data centres fill up when it has fewer.
    pub fn random_peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let peers = self.sample_peers(count);
        peers
            .into_iter()
            .map(|index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns one random host of each other data centre, for a reader.
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

    fn own_record_mut(&mut self) -> &mut Record {
        let entry = self.table.entry_mut(OWN);
        entry
            .record
            .as_mut()
            .expect("the own record is set at start")
    }

    fn peers_in(&mut self, centre: u16, count: usize) -> Vec<u32> {
        self.table
            .sample(&mut self.rng, centre, count, Entry::should_answer)
    }

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

    /// Reports a change of routability.
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

    /// Recomputes the readers of a data centre and reports the own part.
    fn elect(&mut self, centre: u16, actions: &mut Vec<Action>) {
        self.table.elect(centre);
        let own = self.table.entry(OWN).centre;
        let readers = &self.table.centres[usize::from(own)].readers;
        let reader = readers.contains(&OWN);
        if self.reader != reader {
            self.reader = reader;
            actions.push(Action::Reader(reader));
        }
    }

    /// Keeps `suspect_deadlines` and `down` in step with the entry.
    fn update_state_sets(&mut self, index: u32) {
        let local = self.table.is_local(index);
        let state = self.table.entry(index).state();
        if index != OWN && local && matches!(state, Some(State::Suspect | State::Gone)) {
            self.down.insert(index);
        } else {
            self.down.remove(&index);
        }
        if !local || state != Some(State::Suspect) {
            self.suspect_deadlines.remove(&index);
        }
    }

    /// Forgets removed hosts, whose indices may be used again.
    fn forget_hosts(&mut self, freed: &[u32], actions: &mut Vec<Action>) {
        for index in freed {
            self.changes.remove(*index);
            self.indirect_probes.remove(index);
            self.suspect_deadlines.remove(index);
            self.down.remove(index);
            self.backoffs.remove(index);
            self.recheck.retain(|other| other != index);
        }
        if !freed.is_empty() {
            self.pending
                .retain(|_, pending| !freed.contains(&pending.target));
            self.elect(self.table.entry(OWN).centre, actions);
        }
    }
}
