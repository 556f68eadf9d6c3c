//! Calls of the store, and the adoption of versions.

use std::time::Duration;

use savorylane_distribution::source::MAX_RESUME_AGE;

use super::{
    CONFIG_BYTES, CONFIRMATION_STEP, Event, Mode, Pending, STORE_LATENCY, STORE_REGION,
    STORE_RETRY, Sim, WATCH_WAIT,
};

impl Sim {
    /// Schedules a call of the store, which replaces the host's present call.
    pub(super) fn schedule_store_call(&mut self, host: usize, at: Duration) {
        self.last_call += 1;
        let call = self.last_call;
        self.daemons[host].call = call;
        self.daemons[host].watching = false;
        self.schedule(at, Event::StoreCall { host, call });
    }

    /// Handles a call at the store: answers it, or lets it wait for news.
    pub(super) fn call_store(&mut self, host: usize) {
        self.counts.store_calls += 1;
        let daemon = &mut self.daemons[host];
        if !daemon.refused && daemon.version < self.version {
            self.send_versions(host);
            return;
        }
        let first = !std::mem::replace(&mut daemon.called_before, true);
        daemon.watching = !daemon.refused && !first;
        let (at, version) = match daemon.refused {
            true => (self.now + STORE_RETRY, None),
            false if first => (self.now + STORE_LATENCY, Some(self.version)),
            false => (self.now + WATCH_WAIT, Some(self.version)),
        };
        let (call, taken) = (daemon.call, Duration::ZERO);
        self.schedule(
            at,
            Event::StoreAnswer {
                host,
                call,
                version,
                taken,
            },
        );
    }

    /// Sends the versions since the last one to a host that calls the store, or
    /// only the newest one if the host's link is slow or its knowledge is old.
    pub(super) fn send_versions(&mut self, host: usize) {
        let known = self.daemons[host].version;
        let behind = self.published.range(known + 1..).count().max(1) as u64;
        let newest = match self.settings.mode {
            Mode::AllVersions => known == 0,
            Mode::AllNewest => true,
            Mode::Readers | Mode::ReadersWhole => {
                let daemon = &self.daemons[host];
                let old = daemon
                    .age
                    .at(self.now)
                    .is_none_or(|age| age > MAX_RESUME_AGE);
                old || daemon.pace.is_slow()
            }
        };
        let bytes = CONFIG_BYTES * if newest { 1 } else { behind };
        let location = self.locations[host].clone();
        if *location.region != *STORE_REGION {
            self.counts.region_bytes += bytes;
        }
        let left = self.now + STORE_LATENCY;
        let at = self.transmit(host, 1, left, bytes);
        self.last_call += 1;
        let call = self.last_call;
        self.daemons[host].call = call;
        self.daemons[host].watching = false;
        let (version, taken) = (Some(self.version), at.saturating_sub(left));
        self.schedule(
            at,
            Event::StoreAnswer {
                host,
                call,
                version,
                taken,
            },
        );
    }

    /// Handles the end of a call of the store, and schedules the next call.
    pub(super) fn on_store_answer(&mut self, host: usize, version: Option<u64>, taken: Duration) {
        let now = self.now;
        self.daemons[host]
            .source
            .on_store_call(now, version.is_some());
        let mut wait = Duration::ZERO;
        if let Some(version) = version {
            self.adopt(host, version);
            self.confirm(host, now);
        }
        if !taken.is_zero() {
            self.daemons[host].pace.on_transfer(taken);
            wait = match self.settings.mode.has_no_readers() {
                true => Duration::from_millis(790),
                false => self.daemons[host].pace.pause(),
            };
        }
        self.schedule_store_call(host, now + wait);
        self.apply_role(host);
    }

    /// Confirms the knowledge of a host up to the time `at`, and answers the
    /// held polls for which the confirmed time has progressed enough.
    pub(super) fn confirm(&mut self, host: usize, at: Duration) {
        let daemon = &mut self.daemons[host];
        daemon.age.confirm(at);
        let due = |held: &Pending| at >= held.confirmed + CONFIRMATION_STEP;
        let (due, kept) = std::mem::take(&mut daemon.held).into_iter().partition(due);
        daemon.held = kept;
        for held in <Vec<Pending> as IntoIterator>::into_iter(due) {
            self.answer_poll(&held);
        }
    }

    /// Adopts a version if it is newer, and answers all held polls.
    pub(super) fn adopt(&mut self, host: usize, version: u64) {
        if version <= self.daemons[host].version {
            return;
        }
        self.daemons[host].version = version;
        self.adopted
            .entry(version)
            .or_default()
            .entry(host)
            .or_insert(self.now);
        for held in std::mem::take(&mut self.daemons[host].held) {
            self.answer_poll(&held);
        }
    }
}
