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

pub use exchange::{CHANGES, DESCRIPTIONS, IN_TURN, RECORDS, START_RECORDS, VERSIONS};
pub use status::Status;

/// Time between two calls of [`View::on_tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Time between two heartbeat rounds.
pub const ROUND: Duration = Duration::from_secs(1);

/// Gap between ticks above which the process counts as paused.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Time after which a heartbeat counts as unanswered.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Time after which an indirect probe counts as failed. The peer that is asked
/// waits [`ANSWER_LIMIT`] for the host; the rest is the way to that peer.
pub const PROBE_LIMIT: Duration = Duration::from_millis(700);

/// Time that a suspect has to refute the suspicion before it is gone.
pub const SUSPICION: Duration = Duration::from_secs(2);

/// Hosts of the own data centre that get a heartbeat in each round.
pub const FANOUT: usize = 2;

/// Hosts that are asked to try a host that did not answer.
pub const VIAS: usize = 2;

/// Hosts of the own data centre that get an urgent change.
pub const PUSHES: usize = 3;

/// Hosts of the own data centre that get a notice of a new version. Each that
/// adopts it tells as many, so that about one in 400 misses all notices and
/// waits for a heartbeat; with 3 it was one in 20, and they made the last host
/// late.
pub const NOTICES: usize = 6;

/// Peers that a starting daemon asks.
pub const START_PEERS: usize = 3;

/// Peers that a daemon asks after a pause.
pub const WAKE_PEERS: usize = 2;

/// Shortest time between two pushes of urgent changes, which bounds them to
/// six messages a second when many hosts leave at once.
pub const PUSH_GAP: Duration = Duration::from_millis(500);

/// Time after the start in which a record of an earlier run with a later start
/// time is outranked; clocks of replaced hosts differ. Later such a record
/// means that another run of this host has started.
pub const OUTRANK: Duration = Duration::from_secs(10);

/// Times that an unanswered announcement of the own leave is sent again.
const LEAVE_RETRIES: u8 = 3;

/// Time after which a token that was never reported back is dropped.
const FORGET: Duration = Duration::from_secs(5);

/// Time between two searches for unlisted hosts to remove.
const PRUNE: Duration = Duration::from_secs(60);

/// Heartbeat or probe that is under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: u32,
    purpose: Purpose,
    probe: bool,
    attempt: u8,
    sent: Duration,
}

/// Backoff of a host that failed on the request path.
///
/// It outlives the failure until a request is answered: a host whose control
/// port answers while its data port fails would otherwise be given work again
/// at once, every time.
#[derive(Clone, Copy, Debug)]
struct Trial {
    delay: Delay,
    /// Time of the next try.
    at: Duration,
    /// Time before which an answer on the control port does not count.
    until: Duration,
}

/// Peers asked at start or after a pause.
#[derive(Clone, Copy, Debug)]
struct Ask {
    purpose: Purpose,
    waiting: usize,
    answers: usize,
    again: Option<Duration>,
}

/// View that one daemon has of all hosts.
///
/// Invariants: a record never goes back in [`Record::precedence`]; each call
/// returns a number of messages that does not depend on the number of hosts;
/// `suspects` holds only suspects of the own data centre.
#[derive(Clone, Debug)]
pub struct View {
    table: Table,
    rng: ChaCha8Rng,
    started: Duration,
    ticked: Option<Duration>,
    round_at: Duration,
    prune_at: Duration,
    push_at: Duration,
    urgent: bool,
    replaced: bool,
    reader: bool,
    next_token: u64,
    cursor: usize,
    changes: Queue,
    pending: BTreeMap<Token, Pending>,
    probes: BTreeMap<u32, usize>,
    suspects: BTreeMap<u32, Duration>,
    down: BTreeSet<u32>,
    recheck: VecDeque<u32>,
    trials: BTreeMap<u32, Trial>,
    ask: Option<Ask>,
    ask_delay: Delay,
}

impl View {
    /// Creates the view of the daemon on `own`. `own` may be missing in `list`.
    ///
    /// The first heartbeat round is at a random time within [`ROUND`], so that
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
        let jitter = Duration::from_micros(rng.random_range(0..ROUND.as_micros() as u64));
        Self {
            table,
            rng,
            started: now,
            ticked: None,
            round_at: now + jitter,
            prune_at: now + PRUNE,
            push_at: now,
            urgent: false,
            replaced: false,
            reader: false,
            next_token: 0,
            cursor: 0,
            changes: Queue::default(),
            pending: BTreeMap::new(),
            probes: BTreeMap::new(),
            suspects: BTreeMap::new(),
            down: BTreeSet::new(),
            recheck: VecDeque::new(),
            trials: BTreeMap::new(),
            ask: None,
            ask_delay: Delay::default(),
        }
    }

    /// Advances the view; to be called every [`TICK`]. The first call asks
    /// peers for the version and tells whether this daemon is a reader.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        if self.ticked.replace(now).is_none() {
            self.ask(now, Purpose::Start, &mut actions);
            self.elect(self.table.entry(OWN).centre, &mut actions);
        }
        self.expire(now, &mut actions);
        if now >= self.round_at {
            self.round_at = now + ROUND;
            self.round(now, &mut actions);
        }
        if self.urgent && now >= self.push_at {
            self.urgent = false;
            self.push_at = now + PUSH_GAP;
            for to in self.peers_in(self.table.entry(OWN).centre, PUSHES) {
                self.send(now, to, Purpose::Push, 0, &mut actions);
            }
        }
        self.try_one(now, &mut actions);
        if let Some(Ask {
            again: Some(at),
            purpose,
            ..
        }) = self.ask
            && now >= at
        {
            self.ask(now, purpose, &mut actions);
        }
        if now >= self.prune_at {
            self.prune_at = now + PRUNE;
            let freed = self.table.prune(now);
            self.release(&freed, &mut actions);
            let table = &self.table;
            self.trials
                .retain(|&index, trial| table.entry(index).failing || trial.until + PRUNE > now);
        }
        actions
    }

    /// Takes over a host list with a greater number; ignores others.
    pub fn on_host_list(&mut self, now: Duration, list: Arc<List>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        if list.number <= self.table.list.number {
            return actions;
        }
        let freed = self.table.apply(now, list);
        self.release(&freed, &mut actions);
        for index in self.table.indices().collect::<Vec<_>>() {
            self.settle(index);
            self.refresh(index, &mut actions);
        }
        self.elect(self.table.entry(OWN).centre, &mut actions);
        actions
    }

    /// Records that this daemon adopted `version` and returns the notices to
    /// send: to random hosts of the data centre and, from a reader that has
    /// `read` the version at the platform itself, to one reader of each other
    /// data centre. If all readers told the others, a change would cross each
    /// link between regions about 16 times.
    pub fn on_version(&mut self, now: Duration, version: Version, read: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        let own = self.own_mut();
        if own.version >= Some(version) {
            return actions;
        }
        own.version = Some(version);
        let centre = self.table.entry(OWN).centre;
        let mut receivers = self.peers_in(centre, NOTICES);
        if self.reader && read {
            for other in &self.table.centres {
                let near = other
                    .order
                    .first()
                    .is_none_or(|&index| self.table.near(index));
                if near || other.readers.is_empty() {
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
        self.wake(now, &mut actions);
        let own = self.own_mut();
        if own.state == State::Leaving {
            return actions;
        }
        own.state = State::Leaving;
        own.sequence += 1;
        let centre = self.table.entry(OWN).centre;
        self.refresh(OWN, &mut actions);
        self.elect(centre, &mut actions);
        let readers = self.table.centres.iter().flat_map(|centre| &centre.readers);
        let mut receivers: Vec<u32> = readers.copied().filter(|&index| index != OWN).collect();
        for peer in self.peers_in(centre, PUSHES) {
            if !receivers.contains(&peer) {
                receivers.push(peer);
            }
        }
        for to in receivers {
            self.send(now, to, Purpose::Push, 0, &mut actions);
        }
        actions
    }

    /// Returns up to `count` random hosts of the own data centre that are
    /// believed alive or unknown. Other data centres fill up when it has fewer.
    pub fn peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let peers = self.pick_peers(count);
        peers
            .into_iter()
            .map(|index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns one random host of each other data centre, for a reader.
    pub fn distant_peers(&mut self) -> Vec<Arc<str>> {
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

    fn own_mut(&mut self) -> &mut Record {
        let entry = self.table.entry_mut(OWN);
        entry
            .record
            .as_mut()
            .expect("the own record is set at start")
    }

    fn peers_in(&mut self, centre: u16, count: usize) -> Vec<u32> {
        self.table
            .pick(&mut self.rng, centre, count, Entry::expected)
    }

    fn pick_peers(&mut self, count: usize) -> Vec<u32> {
        let own = self.table.entry(OWN).centre;
        let mut peers = self.peers_in(own, count);
        let others = self.table.centres.len() as u16;
        let first = self.rng.random_range(0..others);
        for centre in (0..others).map(|offset| (first + offset) % others) {
            if centre != own && peers.len() < count {
                peers.extend(self.peers_in(centre, count - peers.len()));
            }
        }
        peers
    }

    /// Reports a change of routability.
    fn refresh(&mut self, index: u32, actions: &mut Vec<Action>) {
        let mut routable = self.table.routable(index);
        if index == OWN {
            routable = self.own().state == State::Alive && !self.replaced;
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

    /// Keeps `suspects` and `down` in step with the entry.
    fn settle(&mut self, index: u32) {
        let near = self.table.near(index);
        let state = self.table.entry(index).state();
        if index != OWN && near && matches!(state, Some(State::Suspect | State::Gone)) {
            self.down.insert(index);
        } else {
            self.down.remove(&index);
        }
        if !near || state != Some(State::Suspect) {
            self.suspects.remove(&index);
        }
    }

    /// Forgets removed hosts, whose indices may be used again.
    fn release(&mut self, freed: &[u32], actions: &mut Vec<Action>) {
        for index in freed {
            self.changes.remove(*index);
            self.probes.remove(index);
            self.suspects.remove(index);
            self.down.remove(index);
            self.trials.remove(index);
            self.recheck.retain(|other| other != index);
        }
        if !freed.is_empty() {
            self.pending
                .retain(|_, pending| !freed.contains(&pending.target));
            self.elect(self.table.entry(OWN).centre, actions);
        }
    }
}
