//! Heartbeat rounds, failure detection, trials of failed hosts and pauses.

use std::time::Duration;

use rand::RngExt;
use savorylane_wire::control::State;

use super::{
    ANSWER_LIMIT, Ask, FANOUT, FORGET, LEAVE_RETRIES, PAUSE, Pending, ROUND, START_PEERS,
    SUSPICION, Trial, VIAS, View, WAKE_PEERS,
};
use crate::action::{Action, Purpose, Token};
use crate::backoff::Delay;
use crate::record::Record;
use crate::table::{Entry, OWN};

impl View {
    /// Takes the result of an indirect probe.
    pub fn on_probe(&mut self, now: Duration, token: Token, reached: bool) -> Vec<Action> {
        if !reached {
            return self.on_timeout(now, token);
        }
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        if let Some(pending) = self.pending.remove(&token) {
            self.probes.remove(&pending.target);
        }
        actions
    }

    /// Takes the failure of a heartbeat or probe: a timeout or an error.
    pub fn on_timeout(&mut self, now: Duration, token: Token) -> Vec<Action> {
        let mut actions = Vec::new();
        // A timeout that is reported after a pause says nothing of the peer:
        // `wake` has dropped its token.
        self.wake(now, &mut actions);
        let Some(pending) = self.pending.remove(&token) else {
            return actions;
        };
        let Pending {
            target,
            purpose,
            probe,
            attempt,
            ..
        } = pending;
        if probe {
            self.probe_failed(now, target, &mut actions);
            return actions;
        }
        self.asked(now, purpose, false, &mut actions);
        if purpose == Purpose::Relay {
            return actions;
        }
        if purpose == Purpose::Push && self.own().state == State::Leaving && attempt < LEAVE_RETRIES
        {
            self.send(now, target, Purpose::Push, attempt + 1, &mut actions);
        }
        if let Some(trial) = self.trials.get_mut(&target) {
            trial.at = now + trial.delay.next(&mut self.rng);
        }
        if !self.table.near(target) {
            // The link may be cut while the host serves, so the own data centre
            // of a host alone decides on its state.
            self.table.failed(self.table.entry(target).centre);
            return actions;
        }
        self.probe(now, target, &mut actions);
        actions
    }

    /// Takes a connection failure on the request path: the host gets no work
    /// until it answers a trial or another request.
    pub fn on_connect_failed(&mut self, now: Duration, host: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        let Some(index) = self.table.index(host).filter(|&index| index != OWN) else {
            return actions;
        };
        let entry = self.table.entry_mut(index);
        if entry.failing {
            return actions;
        }
        entry.failing = true;
        let centre = entry.centre;
        if !self.table.near(index) {
            self.table.failed(centre);
        }
        let before = self.trials.get(&index);
        let mut delay = before.map_or_else(Delay::default, |trial| trial.delay);
        let at = now + delay.next(&mut self.rng);
        self.trials.insert(
            index,
            Trial {
                delay,
                at,
                until: at,
            },
        );
        self.refresh(index, &mut actions);
        actions
    }

    /// Takes an answer on the request path. Needed only after a failure of the
    /// host or its data centre; calls at other times change nothing.
    pub fn on_answered(&mut self, now: Duration, host: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake(now, &mut actions);
        if let Some(index) = self.table.index(host).filter(|&index| index != OWN) {
            self.trials.remove(&index);
            self.reached(now, index, &mut actions);
        }
        actions
    }

    /// Notices a pause of the process. What was under way before it, and the
    /// suspicions that ran, prove nothing: they must be confirmed afresh.
    pub(super) fn wake(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(ticked) = self.ticked else {
            return;
        };
        let gap = now.saturating_sub(ticked);
        if gap <= PAUSE {
            return;
        }
        self.ticked = Some(now);
        actions.push(Action::Paused(gap));
        self.pending.clear();
        self.probes.clear();
        self.recheck = std::mem::take(&mut self.suspects).into_keys().collect();
        for trial in self.trials.values_mut() {
            trial.at = now;
        }
        // Daemons of one host group may wake together.
        let jitter = self.rng.random_range(0..ROUND.as_micros() as u64);
        self.round_at = now + Duration::from_micros(jitter);
        self.ask_delay.reset();
        self.ask(now, Purpose::Wake, actions);
    }

    /// Asks peers for their version, at start or after a pause.
    pub(super) fn ask(&mut self, now: Duration, purpose: Purpose, actions: &mut Vec<Action>) {
        let count = match purpose {
            Purpose::Wake => WAKE_PEERS,
            _ => START_PEERS,
        };
        let peers = self.pick_peers(count);
        self.ask = Some(Ask {
            purpose,
            waiting: peers.len(),
            answers: 0,
            again: None,
        });
        if peers.is_empty() {
            self.conclude(now, actions);
        }
        for to in peers {
            self.send(now, to, purpose, 0, actions);
        }
    }

    /// Counts the end of one question of [`View::ask`].
    pub(super) fn asked(
        &mut self,
        now: Duration,
        purpose: Purpose,
        answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(ask) = &mut self.ask else {
            return;
        };
        if ask.purpose != purpose || ask.waiting == 0 {
            return;
        }
        ask.waiting -= 1;
        ask.answers += usize::from(answered);
        if ask.waiting == 0 {
            self.conclude(now, actions);
        }
    }

    /// Reports the end of a question and plans the next one if nobody answered.
    fn conclude(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut ask) = self.ask.take() else {
            return;
        };
        actions.push(Action::Asked {
            purpose: ask.purpose,
            answers: ask.answers,
        });
        if ask.answers == 0 {
            ask.again = Some(now + self.ask_delay.next(&mut self.rng));
            self.ask = Some(ask);
            return;
        }
        self.ask_delay.reset();
    }

    /// Sends the heartbeats of one round.
    pub(super) fn round(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let own = self.table.entry(OWN).centre;
        for to in self.peers_in(own, FANOUT) {
            self.send(now, to, Purpose::Round, 0, actions);
        }
        if self.reader {
            self.cross(now, own, actions);
        }
        // After a partition inside the data centre each side holds the other
        // as gone; without these trials they would never meet. A quarter of
        // the rounds bounds what a dead host's address receives.
        if !self.down.is_empty() && self.rng.random_range(0..4) == 0 {
            let at = self.rng.random_range(0..self.down.len());
            if let Some(&to) = self.down.iter().nth(at) {
                self.send(now, to, Purpose::Trial, 0, actions);
            }
        }
        let first = |pending: &Pending| now.saturating_sub(pending.sent) > FORGET;
        while self
            .pending
            .first_key_value()
            .is_some_and(|(_, pending)| first(pending))
        {
            self.pending.pop_first();
        }
    }

    /// Sends a reader's heartbeat to one random host of another data centre.
    fn cross(&mut self, now: Duration, own: u16, actions: &mut Vec<Action>) {
        let centres: Vec<u16> = (0..self.table.centres.len() as u16)
            .filter(|&centre| centre != own)
            .filter(|&centre| !self.table.centres[usize::from(centre)].order.is_empty())
            .collect();
        if centres.is_empty() {
            return;
        }
        let centre = centres[self.rng.random_range(0..centres.len())];
        let mut peers = self.peers_in(centre, 1);
        if peers.is_empty() {
            let any = |entry: &Entry| entry.state() != Some(State::Leaving);
            peers = self.table.pick(&mut self.rng, centre, 1, any);
        }
        for to in peers {
            self.send(now, to, Purpose::Round, 0, actions);
        }
    }

    /// Tries at most one host that failed, so that trials stay bounded when a
    /// whole data centre fails.
    pub(super) fn try_one(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(to) = self.recheck.pop_front() {
            self.send(now, to, Purpose::Trial, 0, actions);
            return;
        }
        let due = self
            .trials
            .iter()
            .filter(|(index, trial)| trial.at <= now && self.table.entry(**index).failing);
        let Some((&to, _)) = due.min_by_key(|(_, trial)| trial.at) else {
            return;
        };
        if let Some(trial) = self.trials.get_mut(&to) {
            // Set again by the timeout; this time holds if none is reported.
            trial.at = now + ANSWER_LIMIT + trial.delay.bound();
        }
        self.send(now, to, Purpose::Trial, 0, actions);
    }

    /// Declares suspects gone whose time to refute is over.
    pub(super) fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = self.suspects.iter().filter(|(_, at)| **at <= now);
        for index in due.map(|(&index, _)| index).collect::<Vec<_>>() {
            self.accuse(now, index, State::Gone, actions);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Duration,
        to: u32,
        purpose: Purpose,
        attempt: u8,
        actions: &mut Vec<Action>,
    ) {
        let token = self.pend(now, to, purpose, false, attempt);
        let mut message = self.compose(Some(to), None, false);
        message.start = purpose == Purpose::Start;
        actions.push(Action::Heartbeat {
            token,
            to: self.table.entry(to).name.clone(),
            purpose,
            message,
        });
    }

    fn pend(
        &mut self,
        sent: Duration,
        target: u32,
        purpose: Purpose,
        probe: bool,
        attempt: u8,
    ) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.pending.insert(
            token,
            Pending {
                target,
                purpose,
                probe,
                attempt,
                sent,
            },
        );
        token
    }

    /// Notes that a host answered this daemon.
    pub(super) fn reached(&mut self, now: Duration, index: u32, actions: &mut Vec<Action>) {
        self.probes.remove(&index);
        let centre = self.table.entry(index).centre;
        if self.table.answered(centre) {
            // The data centre is back: try its failed hosts now, one a tick.
            for (&other, trial) in &mut self.trials {
                if self.table.entry(other).centre == centre {
                    trial.at = now;
                }
            }
        }
        let backed_off = self
            .trials
            .get(&index)
            .is_some_and(|trial| now < trial.until);
        let entry = self.table.entry_mut(index);
        if entry.failing && !backed_off {
            entry.failing = false;
            self.refresh(index, actions);
        }
    }

    /// Asks others to try a host that did not answer.
    fn probe(&mut self, now: Duration, target: u32, actions: &mut Vec<Action>) {
        let entry = self.table.entry(target);
        if !entry.expected() || entry.record.is_none() || self.probes.contains_key(&target) {
            return;
        }
        let name = entry.name.clone();
        let own = self.table.entry(OWN).centre;
        let vias = self.table.pick(&mut self.rng, own, VIAS, |via| {
            via.state() == Some(State::Alive) && via.name != name
        });
        if vias.is_empty() {
            self.accuse(now, target, State::Suspect, actions);
            return;
        }
        self.probes.insert(target, vias.len());
        for via in vias {
            let token = self.pend(now, target, Purpose::Trial, true, 0);
            actions.push(Action::Probe {
                token,
                via: self.table.entry(via).name.clone(),
                target: name.clone(),
            });
        }
    }

    fn probe_failed(&mut self, now: Duration, target: u32, actions: &mut Vec<Action>) {
        let Some(left) = self.probes.get_mut(&target) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.probes.remove(&target);
            self.accuse(now, target, State::Suspect, actions);
        }
    }

    /// Records that a host is suspect or gone, at the sequence that it has.
    fn accuse(&mut self, now: Duration, target: u32, state: State, actions: &mut Vec<Action>) {
        let Some(record) = self.table.entry(target).record else {
            return;
        };
        if record.state == State::Suspect && state == State::Suspect {
            // Suspect since before a pause, and now confirmed.
            self.suspects.entry(target).or_insert(now + SUSPICION);
            return;
        }
        self.adopt(now, target, &Record { state, ..record }, true, actions);
    }
}
