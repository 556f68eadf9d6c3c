//! Exchange of heartbeats and notices: building them and merging their content.

use std::collections::HashSet;
use std::time::Duration;

use savorylane_intent::Version;
use savorylane_wire::control::{Heartbeat, Notice, Record as Encoded, State};

use super::{OUTRANK_WINDOW, Purpose, View};
use crate::action::{Action, Token};
use crate::record::Record;
use crate::table::{Listing, OWN};

/// Maximum number of records in a heartbeat, changed and in rotation together.
///
/// A record takes about 47 bytes, and a daemon sends 4 heartbeats and answers
/// per second. With 24 records in each, they stay near 6 KB/s even while
/// thousands of changes are queued.
pub const MAX_RECORDS: usize = 24;

/// Maximum number of changed records in a heartbeat. The rest of
/// [`MAX_RECORDS`] is reserved for records in rotation, so that a stream of
/// changes does not starve older records.
pub const MAX_CHANGES: usize = 20;

/// Maximum number of records in rotation in a heartbeat: records that did not
/// change and are sent again in turn.
pub const MAX_ROTATION_RECORDS: usize = 8;

/// Maximum number of records in the answer to a daemon that just started. They
/// cover a data centre of the design size (220 hosts) in about 12 KB.
pub const MAX_START_RECORDS: usize = 256;

/// Maximum number of descriptions of unlisted hosts in a heartbeat.
pub const MAX_DESCRIPTIONS: usize = 2;

/// Maximum number of versions in a heartbeat. Records with any further version
/// are sent without a version.
pub const MAX_VERSIONS: usize = 4;

/// Maximum length in bytes of the name of an unlisted host that is accepted
/// from a message.
const MAX_NAME_BYTES: usize = 255;

impl View {
    /// Handles a heartbeat from a peer and returns the answer to send.
    pub fn on_heartbeat(&mut self, now: Duration, message: &Heartbeat) -> (Heartbeat, Vec<Action>) {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        self.merge_heartbeat(now, message, &mut actions);
        let to = self.table.index(&message.own.host);
        // A host that sends may be reachable again: bring its trial forward.
        if let Some(backoff) = to.and_then(|index| self.backoffs.get_mut(&index)) {
            backoff.next_trial_at = backoff.next_trial_at.min(now);
        }
        (
            self.build_heartbeat(to, Some(message), message.start),
            actions,
        )
    }

    /// Handles the answer to a heartbeat.
    pub fn on_heartbeat_answer(
        &mut self,
        now: Duration,
        token: Token,
        message: &Heartbeat,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if let Some(pending) = self.pending.remove(&token) {
            let target = pending.target;
            if message.own.host == *self.table.entry(target).name {
                self.mark_reached(now, target, &mut actions);
            }
            self.record_query_result(now, pending.purpose, true, &mut actions);
        }
        self.merge_heartbeat(now, message, &mut actions);
        actions
    }

    /// Handles a notice from a peer.
    pub fn on_notice(&mut self, now: Duration, notice: &Notice) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
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
            entry.list_number = notice.hosts;
        }
        self.report_newer(index, notice.version, notice.hosts, &mut actions);
        actions
    }

    /// Handles the request of a peer to probe `host` and returns the heartbeat
    /// to send to `host`; `None` if `host` is unknown or the own host.
    ///
    /// The answer to the peer is whether the heartbeat was answered in time. A
    /// timeout raises no suspicion on this daemon: otherwise each suspicion
    /// would cause further probes and suspicions.
    pub fn on_probe_request(&mut self, now: Duration, host: &str) -> Option<Action> {
        let index = self.table.index(host).filter(|&index| index != OWN)?;
        let mut actions = Vec::new();
        self.send_heartbeat(now, index, Purpose::Relay, 0, &mut actions);
        actions.pop()
    }

    /// Builds a heartbeat to `to`, or the answer to `request` if it is given.
    ///
    /// With `full`, the message carries the records that a daemon needs at its
    /// start instead of records in rotation.
    pub(super) fn build_heartbeat(
        &mut self,
        to: Option<u32>,
        request: Option<&Heartbeat>,
        full: bool,
    ) -> Heartbeat {
        let mut selected: Vec<u32> = Vec::new();
        let mut excluded: HashSet<u32> = HashSet::from([OWN]);
        if let Some(to) = to {
            excluded.insert(to);
            if self.needs_own_record(to, request) {
                selected.push(to);
            }
        }
        // The peer needs no record that is equal to the one it just sent.
        for sent in request.into_iter().flat_map(|request| &request.records) {
            if let Some(index) = self.table.index(&sent.host)
                && self
                    .table
                    .entry(index)
                    .record
                    .is_some_and(|record| record.precedence() == decode(sent, None).precedence())
            {
                excluded.insert(index);
            }
        }
        let changed = self
            .changes
            .next_batch(MAX_CHANGES, |index| !excluded.contains(&index));
        excluded.extend(&changed);
        selected.extend(changed);
        if full {
            self.add_start_records(to, &mut excluded, &mut selected);
        } else {
            self.add_rotation_records(&excluded, &mut selected);
        }
        let mut versions = Vec::new();
        let own = encode(
            &self.table.entry(OWN).name,
            self.own_record(),
            &mut versions,
        );
        let mut records = Vec::with_capacity(selected.len());
        let mut unlisted = Vec::new();
        for index in std::iter::once(OWN).chain(selected) {
            let entry = self.table.entry(index);
            if let Some(record) = entry.record.as_ref().filter(|_| index != OWN) {
                records.push(encode(&entry.name, record, &mut versions));
            }
            if entry.listing == Listing::Absent && unlisted.len() < MAX_DESCRIPTIONS {
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

    /// Returns whether the message must contain the record of its receiver.
    ///
    /// An answer contains the record if this view holds one of greater
    /// precedence than the receiver sent. A heartbeat contains the record if
    /// the receiver is suspect or gone, so that the receiver can refute this.
    fn needs_own_record(&self, to: u32, request: Option<&Heartbeat>) -> bool {
        let Some(record) = self.table.entry(to).record else {
            return false;
        };
        match request {
            Some(request) => record.precedence() > decode(&request.own, None).precedence(),
            None => matches!(record.state, State::Suspect | State::Gone),
        }
    }

    /// Adds the next hosts in rotation, so that every record is sent again
    /// periodically.
    fn add_rotation_records(&mut self, excluded: &HashSet<u32>, selected: &mut Vec<u32>) {
        let size = self.table.entries.len();
        let limit = MAX_RECORDS.min(selected.len() + MAX_ROTATION_RECORDS);
        // Hosts without a record are skipped; the bound keeps the scan short
        // while most hosts have none.
        for _ in 0..size.min(8 * MAX_ROTATION_RECORDS) {
            if selected.len() >= limit {
                return;
            }
            self.rotation_cursor = (self.rotation_cursor + 1) % size;
            let index = self.rotation_cursor as u32;
            let entry = self.table.entries[self.rotation_cursor].as_ref();
            if entry.is_some_and(|entry| entry.record.is_some()) && !excluded.contains(&index) {
                selected.push(index);
            }
        }
    }

    /// Adds the hosts of the receiver's data centre, then all hosts that are
    /// not alive, up to [`MAX_START_RECORDS`].
    fn add_start_records(
        &self,
        to: Option<u32>,
        excluded: &mut HashSet<u32>,
        selected: &mut Vec<u32>,
    ) {
        let centre = self.table.entry(to.unwrap_or(OWN)).centre;
        let local = self.table.centres[usize::from(centre)]
            .ranking
            .iter()
            .copied();
        let not_alive = self
            .table
            .indices()
            .filter(|&index| self.table.entry(index).state() != Some(State::Alive));
        for index in local.chain(not_alive) {
            if selected.len() >= MAX_START_RECORDS {
                return;
            }
            if self.table.entry(index).record.is_some() && excluded.insert(index) {
                selected.push(index);
            }
        }
    }

    /// Merges the content of a heartbeat or of an answer.
    fn merge_heartbeat(&mut self, now: Duration, message: &Heartbeat, actions: &mut Vec<Action>) {
        for host in message.unlisted.iter().take(MAX_DESCRIPTIONS) {
            let carried = |name: &str| {
                message.own.host == name || message.records.iter().any(|r| r.host == name)
            };
            if host.name.len() <= MAX_NAME_BYTES && carried(&host.name) {
                self.table.add_unlisted(host);
            }
        }
        // The answer to a start query holds records that are new only to this
        // daemon, so they are not disseminated again.
        let disseminate = message.records.len() <= MAX_RECORDS;
        let records = message.records.iter().take(MAX_START_RECORDS);
        for sent in std::iter::once(&message.own).chain(records) {
            let record = decode(sent, message.version(sent));
            match self.table.index(&sent.host) {
                Some(OWN) => self.handle_own_record(now, &record, actions),
                Some(index) => self.merge_record(now, index, &record, disseminate, actions),
                None => {}
            }
        }
        let sender = self
            .table
            .index(&message.own.host)
            .filter(|&index| index != OWN);
        if let Some(sender) = sender {
            self.table.entry_mut(sender).list_number = message.hosts;
            self.report_newer(
                sender,
                message.version(&message.own),
                message.hosts,
                actions,
            );
        }
    }

    /// Adds an action if a peer has a greater version, and another one if the
    /// peer has a newer host list.
    fn report_newer(
        &self,
        peer: u32,
        version: Option<Version>,
        list_number: u64,
        actions: &mut Vec<Action>,
    ) {
        let host = &self.table.entry(peer).name;
        if let Some(version) = version.filter(|version| Some(*version) > self.own_record().version)
        {
            actions.push(Action::NewerVersion {
                host: host.clone(),
                version,
            });
        }
        if list_number > self.table.list.number {
            actions.push(Action::NewerHostList {
                host: host.clone(),
                number: list_number,
            });
        }
    }

    /// Handles a received record of this host.
    ///
    /// A record that does not take precedence over the own one is ignored.
    /// Otherwise:
    /// - a record of the same incarnation is refuted with a greater sequence
    ///   number;
    /// - within [`OUTRANK_WINDOW`] after the start, a record of another
    ///   incarnation is outranked with a later start time;
    /// - after that, this daemon counts as replaced by the other incarnation.
    fn handle_own_record(&mut self, now: Duration, record: &Record, actions: &mut Vec<Action>) {
        let own = *self.own_record();
        if record.precedence() <= own.precedence() {
            return;
        }
        if record.incarnation == own.incarnation {
            self.own_record_mut().sequence = record.sequence.saturating_add(1);
            self.push_pending = true;
            return;
        }
        if now.saturating_sub(self.started_at) < OUTRANK_WINDOW {
            let own = self.own_record_mut();
            own.incarnation.started_ms = record.incarnation.started_ms.saturating_add(1);
            own.sequence = 0;
            let incarnation = own.incarnation;
            self.push_pending = true;
            actions.push(Action::Incarnation(incarnation));
            return;
        }
        if !self.replaced {
            self.replaced = true;
            actions.push(Action::Replaced(record.incarnation));
            self.update_routable(OWN, actions);
        }
    }

    /// Merges a record of another host and reports what changed.
    ///
    /// `disseminate` is whether the change may be new to other hosts.
    pub(super) fn merge_record(
        &mut self,
        now: Duration,
        index: u32,
        record: &Record,
        disseminate: bool,
        actions: &mut Vec<Action>,
    ) {
        let local = self.table.is_local(index);
        let entry = self.table.entry_mut(index);
        let previous = entry.record;
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
        let restarted = previous.is_some_and(|previous| previous.incarnation < record.incarnation);
        if restarted {
            entry.failing = false;
            self.backoffs.remove(&index);
        }
        let entry = self.table.entry_mut(index);
        if entry.listing == Listing::Leaving && entry.leaving_incarnation == Default::default() {
            entry.leaving_incarnation = record.incarnation;
        }
        let centre = entry.centre;
        if previous.map(|previous| previous.state) != Some(record.state) || restarted {
            entry.state_changed_s = now.as_secs() as u32;
            actions.push(Action::State {
                host: entry.name.clone(),
                state: record.state,
            });
            self.push_pending |= record.state == State::Leaving && disseminate;
        }
        // The first record of a listed host in another data centre changes
        // nothing if the host is alive, since the host is routable without a
        // record. That record is sent in rotation; queueing it would fill the
        // heartbeats for minutes after all hosts started at the same time.
        let relevant = local || entry.listing == Listing::Absent || record.state != State::Alive;
        if previous.is_some() || (disseminate && relevant) {
            let transmissions = 3 * (self.table.len().ilog2() + 1);
            let urgent = record.state == State::Leaving;
            self.changes.push(index, transmissions as u16, urgent);
        }
        self.update_state_sets(index);
        if record.state == State::Suspect && local {
            self.suspect_deadlines
                .entry(index)
                .or_insert(now + super::SUSPICION_TIMEOUT);
        }
        self.update_routable(index, actions);
        self.elect_readers(centre, actions);
    }
}

/// Decodes a record of a message, whose version is looked up by the caller of
/// this function.
fn decode(sent: &Encoded, version: Option<Version>) -> Record {
    Record {
        incarnation: sent.incarnation,
        sequence: sent.sequence,
        state: sent.state,
        version,
    }
}

/// Encodes a record for a message and adds its version to `versions`, up to
/// [`MAX_VERSIONS`].
fn encode(host: &str, record: &Record, versions: &mut Vec<Version>) -> Encoded {
    let version = record.version.and_then(|version| {
        let found = versions.iter().position(|other| *other == version);
        found.or_else(|| {
            let has_room = versions.len() < MAX_VERSIONS;
            has_room.then(|| {
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
