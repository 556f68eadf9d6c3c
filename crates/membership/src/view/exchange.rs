//! Content of heartbeats and its effect on the view.

use std::collections::HashSet;
use std::time::Duration;

use savorylane_intent::Version;
use savorylane_wire::control::{Heartbeat, Notice, Record as Encoded, State};

use super::{OUTRANK, Purpose, View};
use crate::action::{Action, Token};
use crate::record::Record;
use crate::table::{Listed, OWN};

/// Changed records and records in turn in a heartbeat, at most. A record takes
/// about 47 bytes, and a daemon sends 4 heartbeats and answers a second; with
/// 24 records they stay near 6 KB/s while thousands of changes are queued.
pub const RECORDS: usize = 24;

/// Changed records in a heartbeat, at most. The rest is left to records in
/// turn, so that a stream of changes does not starve older ones.
pub const CHANGES: usize = 20;

/// Records in turn in a heartbeat, at most.
pub const IN_TURN: usize = 8;

/// Records in the answer to a daemon that just started, at most. They cover a
/// data centre of the design size (220 hosts) in about 12 KB.
pub const START_RECORDS: usize = 256;

/// Descriptions of unlisted hosts in a heartbeat, at most.
pub const DESCRIPTIONS: usize = 2;

/// Versions in a heartbeat, at most; records with others name none.
pub const VERSIONS: usize = 4;

/// Length of a host name that is taken from a message, at most, in bytes.
const NAME: usize = 255;

impl View {
    /// Takes a heartbeat from a peer and returns the answer to it.
    pub fn on_message(&mut self, now: Duration, message: &Heartbeat) -> (Heartbeat, Vec<Action>) {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        self.receive(now, message, &mut actions);
        let to = self.table.index(&message.own.host);
        // A host that sends may be reachable again: try it now.
        if let Some(trial) = to.and_then(|index| self.trials.get_mut(&index)) {
            trial.at = trial.at.min(now);
        }
        (self.compose(to, Some(message), message.start), actions)
    }

    /// Takes the answer to a heartbeat.
    pub fn on_answer(&mut self, now: Duration, token: Token, message: &Heartbeat) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        if let Some(pending) = self.pending.remove(&token) {
            let target = pending.target;
            if message.own.host == *self.table.entry(target).name {
                self.reached(now, target, &mut actions);
            }
            self.asked(now, pending.purpose, true, &mut actions);
        }
        self.receive(now, message, &mut actions);
        actions
    }

    /// Takes a notice from a peer.
    pub fn on_notice(&mut self, now: Duration, notice: &Notice) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        let Some(index) = self
            .table
            .index(&notice.from.host)
            .filter(|&index| index != OWN)
        else {
            return actions;
        };
        let entry = self.table.entry_mut(index);
        if let Some(record) = &mut entry.record
            && record.incarnation == notice.from.incarnation
        {
            record.version = record.version.max(notice.version);
            entry.hosts = notice.hosts;
        }
        self.compare(index, notice.version, notice.hosts, &mut actions);
        actions
    }

    /// Returns a heartbeat action to a host that a peer asks this daemon to
    /// try; `None` if the host is unknown or this host itself. The peer is
    /// answered by whether an answer came within the limit. A timeout raises
    /// no suspicion here, or each suspicion would start others.
    pub fn on_probe_request(&mut self, now: Duration, host: &str) -> Option<Action> {
        let index = self.table.index(host).filter(|&index| index != OWN)?;
        let mut actions = Vec::new();
        self.send(now, index, Purpose::Relay, 0, &mut actions);
        actions.pop()
    }

    /// Builds a heartbeat to `to`, or the answer to `request`.
    pub(super) fn compose(
        &mut self,
        to: Option<u32>,
        request: Option<&Heartbeat>,
        full: bool,
    ) -> Heartbeat {
        let mut chosen: Vec<u32> = Vec::new();
        let mut known: HashSet<u32> = HashSet::from([OWN]);
        if let Some(to) = to {
            known.insert(to);
            if self.tell(to, request) {
                chosen.push(to);
            }
        }
        // The peer needs no record that it has just sent.
        for sent in request.into_iter().flat_map(|request| &request.records) {
            if let Some(index) = self.table.index(&sent.host)
                && self
                    .table
                    .entry(index)
                    .record
                    .is_some_and(|record| record.precedence() == decode(sent, None).precedence())
            {
                known.insert(index);
            }
        }
        let changed = self.changes.take(CHANGES, |index| !known.contains(&index));
        known.extend(&changed);
        chosen.extend(changed);
        if full {
            self.choose_all(to, &mut known, &mut chosen);
        } else {
            self.choose_in_turn(&known, &mut chosen);
        }
        let mut versions = Vec::new();
        let own = encode(&self.table.entry(OWN).name, self.own(), &mut versions);
        let mut records = Vec::with_capacity(chosen.len());
        let mut unlisted = Vec::new();
        for index in std::iter::once(OWN).chain(chosen) {
            let entry = self.table.entry(index);
            if let Some(record) = entry.record.as_ref().filter(|_| index != OWN) {
                records.push(encode(&entry.name, record, &mut versions));
            }
            if entry.listed == Listed::No && unlisted.len() < DESCRIPTIONS {
                unlisted.extend(self.table.unlisted(&entry.name).cloned());
            }
        }
        Heartbeat {
            own,
            hosts: self.table.list.number,
            start: false,
            versions,
            records,
            unlisted,
        }
    }

    /// Returns whether the receiver must be told its own record: others see
    /// it as not alive, or this view holds a greater record than it has sent.
    fn tell(&self, to: u32, request: Option<&Heartbeat>) -> bool {
        let Some(record) = self.table.entry(to).record else {
            return false;
        };
        match request {
            Some(request) => record.precedence() > decode(&request.own, None).precedence(),
            None => matches!(record.state, State::Suspect | State::Gone),
        }
    }

    /// Adds hosts in turn, so that every record is sent again now and then.
    fn choose_in_turn(&mut self, known: &HashSet<u32>, chosen: &mut Vec<u32>) {
        let size = self.table.entries.len();
        let limit = RECORDS.min(chosen.len() + IN_TURN);
        // Unknown hosts are skipped; the bound keeps the scan short while most
        // hosts are unknown.
        for _ in 0..size.min(8 * IN_TURN) {
            if chosen.len() >= limit {
                return;
            }
            self.cursor = (self.cursor + 1) % size;
            let index = self.cursor as u32;
            let entry = self.table.entries[self.cursor].as_ref();
            if entry.is_some_and(|entry| entry.record.is_some()) && !known.contains(&index) {
                chosen.push(index);
            }
        }
    }

    /// Adds the hosts of the receiver's data centre, then hosts of others that
    /// are not alive.
    fn choose_all(&self, to: Option<u32>, known: &mut HashSet<u32>, chosen: &mut Vec<u32>) {
        let centre = self.table.entry(to.unwrap_or(OWN)).centre;
        let near = self.table.centres[usize::from(centre)]
            .order
            .iter()
            .copied();
        let far = self
            .table
            .indices()
            .filter(|&index| self.table.entry(index).state() != Some(State::Alive));
        for index in near.chain(far) {
            if chosen.len() >= START_RECORDS {
                return;
            }
            if self.table.entry(index).record.is_some() && known.insert(index) {
                chosen.push(index);
            }
        }
    }

    fn receive(&mut self, now: Duration, message: &Heartbeat, actions: &mut Vec<Action>) {
        for host in message.unlisted.iter().take(DESCRIPTIONS) {
            let carried = |name: &str| {
                message.own.host == name || message.records.iter().any(|r| r.host == name)
            };
            if host.name.len() <= NAME && carried(&host.name) {
                self.table.learn(host);
            }
        }
        // The answer to a start holds records that are news only here; they are
        // not spread again.
        let spread = message.records.len() <= RECORDS;
        let records = message.records.iter().take(START_RECORDS);
        for sent in std::iter::once(&message.own).chain(records) {
            let record = decode(sent, message.version(sent));
            match self.table.index(&sent.host) {
                Some(OWN) => self.refute(now, &record, actions),
                Some(index) => self.adopt(now, index, &record, spread, actions),
                None => {}
            }
        }
        let sender = self
            .table
            .index(&message.own.host)
            .filter(|&index| index != OWN);
        if let Some(sender) = sender {
            self.table.entry_mut(sender).hosts = message.hosts;
            self.compare(
                sender,
                message.version(&message.own),
                message.hosts,
                actions,
            );
        }
    }

    /// Reports that a peer has a greater version or host list.
    fn compare(&self, peer: u32, version: Option<Version>, hosts: u64, actions: &mut Vec<Action>) {
        let host = &self.table.entry(peer).name;
        if let Some(version) = version.filter(|version| Some(*version) > self.own().version) {
            actions.push(Action::Behind {
                host: host.clone(),
                version,
            });
        }
        if hosts > self.table.list.number {
            actions.push(Action::HostsBehind {
                host: host.clone(),
                number: hosts,
            });
        }
    }

    /// Answers a record of this host itself that is not its own.
    fn refute(&mut self, now: Duration, record: &Record, actions: &mut Vec<Action>) {
        let own = *self.own();
        if record.precedence() <= own.precedence() {
            return;
        }
        if record.incarnation == own.incarnation {
            self.own_mut().sequence = record.sequence.saturating_add(1);
            self.urgent = true;
            return;
        }
        if now.saturating_sub(self.started) < OUTRANK {
            let own = self.own_mut();
            own.incarnation.started_ms = record.incarnation.started_ms.saturating_add(1);
            own.sequence = 0;
            let incarnation = own.incarnation;
            self.urgent = true;
            actions.push(Action::Incarnation(incarnation));
            return;
        }
        if !self.replaced {
            self.replaced = true;
            actions.push(Action::Replaced(record.incarnation));
            self.refresh(OWN, actions);
        }
    }

    /// Merges a record of another host.
    pub(super) fn adopt(
        &mut self,
        now: Duration,
        index: u32,
        record: &Record,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let near = self.table.near(index);
        let entry = self.table.entry_mut(index);
        let before = entry.record;
        let won = match &mut entry.record {
            Some(present) => present.merge(record),
            None => {
                entry.record = Some(*record);
                true
            }
        };
        if !won {
            return;
        }
        let restarted = before.is_some_and(|before| before.incarnation < record.incarnation);
        if restarted {
            entry.failing = false;
            self.trials.remove(&index);
        }
        let entry = self.table.entry_mut(index);
        if entry.listed == Listed::Leaving && entry.barred == Default::default() {
            entry.barred = record.incarnation;
        }
        let centre = entry.centre;
        if before.map(|before| before.state) != Some(record.state) || restarted {
            entry.since = now.as_secs() as u32;
            actions.push(Action::State {
                host: entry.name.clone(),
                state: record.state,
            });
            self.urgent |= record.state == State::Leaving && spread;
        }
        // That a listed host elsewhere is alive changes nothing, since it is
        // routable while unknown. Its first record travels in turn; queueing
        // it would fill the heartbeats for minutes after a common start.
        let matters = near || entry.listed == Listed::No || record.state != State::Alive;
        if before.is_some() || (spread && matters) {
            let times = 3 * (self.table.len().ilog2() + 1);
            let urgent = record.state == State::Leaving;
            self.changes.push(index, times as u16, urgent);
        }
        self.settle(index);
        if record.state == State::Suspect && near {
            self.suspects.entry(index).or_insert(now + super::SUSPICION);
        }
        self.refresh(index, actions);
        self.elect(centre, actions);
    }
}

fn decode(sent: &Encoded, version: Option<Version>) -> Record {
    Record {
        incarnation: sent.incarnation,
        sequence: sent.sequence,
        state: sent.state,
        version,
    }
}

fn encode(host: &str, record: &Record, versions: &mut Vec<Version>) -> Encoded {
    let version = record.version.and_then(|version| {
        let found = versions.iter().position(|other| *other == version);
        found.or_else(|| {
            let room = versions.len() < VERSIONS;
            room.then(|| {
                versions.push(version);
                versions.len() - 1
            })
        })
    });
    Encoded {
        host: host.to_owned(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: record.state,
        version: version.map(|index| index as u8),
    }
}
