//! Calls of the store, and what hosts adopt of its answers.

use std::time::Duration;

use savorylane_distribution::source::RESUME_AGE_MAX;

use super::{Asked, CONFIRMATION, Event, FAR, Mode, RETRY, STORE_REGION, Sim, WATCH, WHOLE};

impl Sim {
    /// Begins a call at the store at a moment.
    pub(super) fn watch(&mut self, host: usize, at: Duration) {
        self.calls += 1;
        let call = self.calls;
        self.nodes[host].call = call;
        self.nodes[host].watching = false;
        self.at(at, Event::Watch { host, call });
    }

    pub(super) fn ask_store(&mut self, host: usize) {
        self.counts.store_calls += 1;
        let node = &mut self.nodes[host];
        if !node.refused && node.version < self.version {
            self.tell(host);
            return;
        }
        let first = !std::mem::replace(&mut node.called, true);
        node.watching = !node.refused && !first;
        let (at, version) = match node.refused {
            true => (self.now + RETRY, None),
            false if first => (self.now + FAR, Some(self.version)),
            false => (self.now + WATCH, Some(self.version)),
        };
        let (call, taken) = (node.call, Duration::ZERO);
        self.at(
            at,
            Event::Read {
                host,
                call,
                version,
                taken,
            },
        );
    }

    /// Sends the versions since the last one to a host that watches the store;
    /// only the newest where its link is slow.
    pub(super) fn tell(&mut self, host: usize) {
        let known = self.nodes[host].version;
        let behind = self.published.range(known + 1..).count().max(1) as u64;
        let newest = match self.settings.mode {
            Mode::AllVersions => known == 0,
            Mode::AllNewest => true,
            Mode::Readers | Mode::ReadersWhole => {
                let node = &self.nodes[host];
                let old = node.age.of(self.now).is_none_or(|age| age > RESUME_AGE_MAX);
                old || node.pace.is_slow()
            }
        };
        let bytes = WHOLE * if newest { 1 } else { behind };
        let place = self.places[host].clone();
        if *place.region != *STORE_REGION {
            self.counts.region_bytes += bytes;
        }
        let left = self.now + FAR;
        let at = self.pass(host, 1, left, bytes);
        self.calls += 1;
        let call = self.calls;
        self.nodes[host].call = call;
        self.nodes[host].watching = false;
        let (version, taken) = (Some(self.version), at.saturating_sub(left));
        self.at(
            at,
            Event::Read {
                host,
                call,
                version,
                taken,
            },
        );
    }

    pub(super) fn read(&mut self, host: usize, version: Option<u64>, taken: Duration) {
        let now = self.now;
        self.nodes[host].source.on_contact(now, version.is_some());
        let mut wait = Duration::ZERO;
        if let Some(version) = version {
            self.adopt(host, version);
            self.confirm(host, now);
        }
        if !taken.is_zero() {
            self.nodes[host].pace.on_transfer(taken);
            wait = match self.settings.mode.all_read() {
                true => Duration::from_millis(790),
                false => self.nodes[host].pace.pause(),
            };
        }
        self.watch(host, now + wait);
        self.after(host);
    }

    pub(super) fn confirm(&mut self, host: usize, at: Duration) {
        let node = &mut self.nodes[host];
        node.age.confirm(at);
        let due = |held: &Asked| at >= held.confirmed + CONFIRMATION;
        let (due, kept) = std::mem::take(&mut node.held).into_iter().partition(due);
        node.held = kept;
        for held in <Vec<Asked> as IntoIterator>::into_iter(due) {
            self.answer(&held);
        }
    }

    pub(super) fn adopt(&mut self, host: usize, version: u64) {
        if version <= self.nodes[host].version {
            return;
        }
        self.nodes[host].version = version;
        self.adopted
            .entry(version)
            .or_default()
            .entry(host)
            .or_insert(self.now);
        for held in std::mem::take(&mut self.nodes[host].held) {
            self.answer(&held);
        }
    }
}
