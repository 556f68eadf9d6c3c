//! Heartbeat rounds, failure detection, trials of failed hosts, and detection
//! of pauses of the process.

use std::time::Duration;

use rand::RngExt;
use savorylane_wire::control::State;

use super::{
    ANSWER_TIMEOUT, Backoff, INDIRECT_PROBES, LEAVE_RETRIES, PAUSE_THRESHOLD, PENDING_RETENTION,
    Pending, Query, RESUME_PEERS, ROUND_FANOUT, ROUND_INTERVAL, START_PEERS, SUSPICION_TIMEOUT,
    View,
};
use crate::action::{Action, Purpose, Token};
use crate::backoff::Delay;
use crate::record::Record;
use crate::table::{Entry, OWN};

impl View {
    /// Handles the result of an indirect probe: whether the target answered the
    /// probing peer.
    pub fn on_probe_result(&mut self, now: Duration, token: Token, reached: bool) -> Vec<Action> {
        if !reached {
            return self.on_timeout(now, token);
        }
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if let Some(pending) = self.pending.remove(&token) {
            self.indirect_probes.remove(&pending.target);
        }
        actions
    }

    /// Handles a timeout or an error of a heartbeat or indirect probe.
    pub fn on_timeout(&mut self, now: Duration, token: Token) -> Vec<Action> {
        let mut actions = Vec::new();
        // After a pause of this process, a timeout is no evidence against the
        // peer. `detect_pause` drops all tokens in that case.
        self.detect_pause(now, &mut actions);
        let Some(pending) = self.pending.remove(&token) else {
            return actions;
        };
        let Pending {
            target,
            purpose,
            indirect,
            attempt,
            ..
        } = pending;
        if indirect {
            self.record_probe_failure(now, target, &mut actions);
            return actions;
        }
        self.record_query_result(now, purpose, false, &mut actions);
        if purpose == Purpose::Relay {
            return actions;
        }
        if purpose == Purpose::Push
            && self.own_record().state == State::Leaving
            && attempt < LEAVE_RETRIES
        {
            self.send_heartbeat(now, target, Purpose::Push, attempt + 1, &mut actions);
        }
        if let Some(backoff) = self.backoffs.get_mut(&target) {
            backoff.next_trial_at = now + backoff.delay.next(&mut self.rng);
        }
        if !self.table.is_local(target) {
            // The link to another data centre may be cut while the host still
            // serves, so only daemons of its own data centre decide on its
            // state.
            self.table.record_failure(self.table.entry(target).centre);
            return actions;
        }
        self.start_indirect_probe(now, target, &mut actions);
        actions
    }

    /// Handles a connection failure on the request path: the host is not
    /// routable until it answers another request, or a heartbeat after the
    /// backoff delay.
    pub fn on_connect_failed(&mut self, now: Duration, host: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        let Some(index) = self.table.index(host).filter(|&index| index != OWN) else {
            return actions;
        };
        let entry = self.table.entry_mut(index);
        if entry.failing {
            return actions;
        }
        entry.failing = true;
        let centre = entry.centre;
        if !self.table.is_local(index) {
            self.table.record_failure(centre);
        }
        let previous = self.backoffs.get(&index);
        let mut delay = previous.map_or_else(Delay::default, |backoff| backoff.delay);
        let next_trial_at = now + delay.next(&mut self.rng);
        self.backoffs.insert(
            index,
            Backoff {
                delay,
                next_trial_at,
                hold_until: next_trial_at,
            },
        );
        self.update_routable(index, &mut actions);
        actions
    }

    /// Handles an answer on the request path. The answer needs to be reported
    /// only after a failure of the host or its data centre; otherwise it
    /// changes nothing.
    pub fn on_request_answered(&mut self, now: Duration, host: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        if let Some(index) = self.table.index(host).filter(|&index| index != OWN) {
            self.backoffs.remove(&index);
            self.mark_reached(now, index, &mut actions);
        }
        actions
    }

    /// Detects a pause of the process and handles it.
    ///
    /// Heartbeats, probes and suspicions from before the pause are no evidence
    /// against their targets, so they are dropped. The suspects get trial
    /// heartbeats that can confirm the suspicion again.
    pub(super) fn detect_pause(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(last_tick) = self.last_tick else {
            return;
        };
        let gap = now.saturating_sub(last_tick);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = Some(now);
        actions.push(Action::Paused(gap));
        self.pending.clear();
        self.indirect_probes.clear();
        self.suspects_to_recheck = std::mem::take(&mut self.suspect_deadlines)
            .into_keys()
            .collect();
        for backoff in self.backoffs.values_mut() {
            backoff.next_trial_at = now;
        }
        // Several daemons may have been paused together and resume together.
        let jitter = self.rng.random_range(0..ROUND_INTERVAL.as_micros() as u64);
        self.next_round_at = now + Duration::from_micros(jitter);
        self.query_delay.reset();
        self.query_peers(now, Purpose::Resume, actions);
    }

    /// Queries peers for their versions, at start or after a pause.
    pub(super) fn query_peers(
        &mut self,
        now: Duration,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) {
        let count = match purpose {
            Purpose::Resume => RESUME_PEERS,
            _ => START_PEERS,
        };
        let peers = self.sample_peers(count);
        self.query = Some(Query {
            purpose,
            outstanding: peers.len(),
            answers: 0,
            retry_at: None,
        });
        if peers.is_empty() {
            self.finish_query(now, actions);
        }
        for to in peers {
            self.send_heartbeat(now, to, purpose, 0, actions);
        }
    }

    /// Records that one peer of the current query answered or timed out.
    /// Ignored if `purpose` is not that of the current query.
    pub(super) fn record_query_result(
        &mut self,
        now: Duration,
        purpose: Purpose,
        answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = &mut self.query else {
            return;
        };
        if query.purpose != purpose || query.outstanding == 0 {
            return;
        }
        query.outstanding -= 1;
        query.answers += usize::from(answered);
        if query.outstanding == 0 {
            self.finish_query(now, actions);
        }
    }

    /// Reports that the current query ended, and schedules the next one if no
    /// peer answered.
    fn finish_query(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut query) = self.query.take() else {
            return;
        };
        actions.push(Action::Queried {
            purpose: query.purpose,
            answers: query.answers,
        });
        if query.answers == 0 {
            query.retry_at = Some(now + self.query_delay.next(&mut self.rng));
            self.query = Some(query);
            return;
        }
        self.query_delay.reset();
    }

    /// Sends the heartbeats of one round.
    pub(super) fn run_round(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let own = self.table.entry(OWN).centre;
        for to in self.peers_in(own, ROUND_FANOUT) {
            self.send_heartbeat(now, to, Purpose::Round, 0, actions);
        }
        if self.reader {
            self.send_remote_heartbeat(now, own, actions);
        }
        // After a partition inside the data centre, each side regards the
        // hosts of the other as gone; without these trials the sides would
        // never merge. Sending one in a quarter of the rounds limits the
        // traffic to the address of a dead host.
        if !self.down_hosts.is_empty() && self.rng.random_range(0..4) == 0 {
            let at = self.rng.random_range(0..self.down_hosts.len());
            if let Some(&to) = self.down_hosts.iter().nth(at) {
                self.send_heartbeat(now, to, Purpose::Trial, 0, actions);
            }
        }
        let expired = |pending: &Pending| now.saturating_sub(pending.sent) > PENDING_RETENTION;
        while self
            .pending
            .first_key_value()
            .is_some_and(|(_, pending)| expired(pending))
        {
            self.pending.pop_first();
        }
    }

    /// Sends the heartbeat of a reader to one random host of a random other
    /// data centre.
    fn send_remote_heartbeat(&mut self, now: Duration, own: u16, actions: &mut Vec<Action>) {
        let centres: Vec<u16> = (0..self.table.centres.len() as u16)
            .filter(|&centre| centre != own)
            .filter(|&centre| !self.table.centres[usize::from(centre)].ranking.is_empty())
            .collect();
        if centres.is_empty() {
            return;
        }
        let centre = centres[self.rng.random_range(0..centres.len())];
        let mut peers = self.peers_in(centre, 1);
        if peers.is_empty() {
            let not_leaving = |entry: &Entry| entry.state() != Some(State::Leaving);
            peers = self
                .table
                .sample_hosts(&mut self.rng, centre, 1, not_leaving);
        }
        for to in peers {
            self.send_heartbeat(now, to, Purpose::Round, 0, actions);
        }
    }

    /// Sends a trial heartbeat to at most one host that is due for it, so that
    /// the rate of trials stays bounded when a whole data centre fails.
    pub(super) fn send_trial(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(to) = self.suspects_to_recheck.pop_front() {
            self.send_heartbeat(now, to, Purpose::Trial, 0, actions);
            return;
        }
        let due = self.backoffs.iter().filter(|(index, backoff)| {
            backoff.next_trial_at <= now && self.table.entry(**index).failing
        });
        let Some((&to, _)) = due.min_by_key(|(_, backoff)| backoff.next_trial_at) else {
            return;
        };
        if let Some(backoff) = self.backoffs.get_mut(&to) {
            // Applies only if no timeout is reported, because `on_timeout`
            // sets the time again.
            backoff.next_trial_at = now + ANSWER_TIMEOUT + backoff.delay.bound();
        }
        self.send_heartbeat(now, to, Purpose::Trial, 0, actions);
    }

    /// Declares suspects gone that did not refute the suspicion in time.
    pub(super) fn expire_suspects(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = self.suspect_deadlines.iter().filter(|(_, at)| **at <= now);
        for index in due.map(|(&index, _)| index).collect::<Vec<_>>() {
            self.declare_state(now, index, State::Gone, actions);
        }
    }

    /// Adds the action of sending a heartbeat, with a new token. `attempt` is
    /// the number of earlier attempts of the same push.
    pub(super) fn send_heartbeat(
        &mut self,
        now: Duration,
        to: u32,
        purpose: Purpose,
        attempt: u8,
        actions: &mut Vec<Action>,
    ) {
        let token = self.add_pending(now, to, purpose, false, attempt);
        let mut message = self.build_heartbeat(Some(to), None, false);
        message.start = purpose == Purpose::Start;
        actions.push(Action::Heartbeat {
            token,
            to: self.table.entry(to).name.clone(),
            purpose,
            message,
        });
    }

    /// Registers a heartbeat or indirect probe until its result is reported.
    fn add_pending(
        &mut self,
        sent: Duration,
        target: u32,
        purpose: Purpose,
        indirect: bool,
        attempt: u8,
    ) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.pending.insert(
            token,
            Pending {
                target,
                purpose,
                indirect,
                attempt,
                sent,
            },
        );
        token
    }

    /// Records that a host answered this daemon.
    pub(super) fn mark_reached(&mut self, now: Duration, index: u32, actions: &mut Vec<Action>) {
        self.indirect_probes.remove(&index);
        let centre = self.table.entry(index).centre;
        if self.table.record_answer(centre) {
            // The data centre is reachable again: its failed hosts get trials
            // from now on, one per tick.
            for (&other, backoff) in &mut self.backoffs {
                if self.table.entry(other).centre == centre {
                    backoff.next_trial_at = now;
                }
            }
        }
        let backed_off = self
            .backoffs
            .get(&index)
            .is_some_and(|backoff| now < backoff.hold_until);
        let entry = self.table.entry_mut(index);
        if entry.failing && !backed_off {
            entry.failing = false;
            self.update_routable(index, actions);
        }
    }

    /// Asks peers to probe a host that did not answer, or declares it suspect
    /// if no peer is alive.
    fn start_indirect_probe(&mut self, now: Duration, target: u32, actions: &mut Vec<Action>) {
        let entry = self.table.entry(target);
        if !entry.should_answer()
            || entry.record.is_none()
            || self.indirect_probes.contains_key(&target)
        {
            return;
        }
        let name = entry.name.clone();
        let own = self.table.entry(OWN).centre;
        let vias = self
            .table
            .sample_hosts(&mut self.rng, own, INDIRECT_PROBES, |via| {
                via.state() == Some(State::Alive) && via.name != name
            });
        if vias.is_empty() {
            self.declare_state(now, target, State::Suspect, actions);
            return;
        }
        self.indirect_probes.insert(target, vias.len());
        for via in vias {
            let token = self.add_pending(now, target, Purpose::Trial, true, 0);
            actions.push(Action::Probe {
                token,
                via: self.table.entry(via).name.clone(),
                target: name.clone(),
            });
        }
    }

    /// Records that an indirect probe failed, and declares the target suspect
    /// if it was the last outstanding one.
    fn record_probe_failure(&mut self, now: Duration, target: u32, actions: &mut Vec<Action>) {
        let Some(outstanding) = self.indirect_probes.get_mut(&target) else {
            return;
        };
        *outstanding -= 1;
        if *outstanding == 0 {
            self.indirect_probes.remove(&target);
            self.declare_state(now, target, State::Suspect, actions);
        }
    }

    /// Declares a host suspect or gone, at the incarnation and sequence number
    /// of its current record.
    fn declare_state(
        &mut self,
        now: Duration,
        target: u32,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.table.entry(target).record else {
            return;
        };
        if record.state == State::Suspect && state == State::Suspect {
            // The suspicion is from before a pause of this process and is now
            // confirmed by a failed trial.
            self.suspect_deadlines
                .entry(target)
                .or_insert(now + SUSPICION_TIMEOUT);
            return;
        }
        self.merge_record(now, target, &Record { state, ..record }, true, actions);
    }
}
