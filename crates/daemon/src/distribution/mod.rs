//! Distribution of versions and host lists between daemons, and the age of this
//! daemon's knowledge of them.
//!
//! This module contains the state that the edges share. [`follow`] polls other
//! daemons, [`long_poll`] composes and handles polls and their answers,
//! [`hint`] acts on the numbers that requests and answers between daemons
//! carry, and [`cut_off`] keeps hosts in force at this daemon while its host is
//! cut off from the store.

pub mod cut_off;
pub mod evacuation;
pub mod follow;
pub mod hint;
pub mod long_poll;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use savorylane_distribution::age::{Numbers, STALE_AFTER};
use savorylane_distribution::source::Location;
use savorylane_distribution::{Age, Source, pace};
use savorylane_intent::hosts::{self, Checked, Host, List};
use tokio::sync::{Notify, watch};

use crate::config;
use crate::decisions::{self, Kind};
use crate::kernel::Context;
use crate::peers;
use crate::quota;
use crate::settings::Settings;

/// Source of this daemon's versions and host lists, and the age of its
/// knowledge.
#[derive(Debug)]
pub struct Distribution {
    /// Age of this daemon's knowledge of versions and host lists.
    pub age: Age,
    /// Notified whenever the knowledge is confirmed to be current.
    confirmed: watch::Sender<()>,
    source: Mutex<Source>,
    /// Whether this daemon reads the store.
    reads_store: watch::Sender<bool>,
    /// Wakes [`follow::run`] when the next step may have changed.
    changed: Notify,
    /// Revision of the store up to which all versions are known; 0 if none is.
    revision: AtomicU64,
    /// Time since which the store does not answer, in milliseconds of
    /// [`Context::now`]; 0 while it answers or is not read.
    lost_since_ms: AtomicU64,
    /// Time before which no further version is requested, in milliseconds of
    /// [`Context::now`].
    adopt_after_ms: AtomicU64,
    /// Whether a fetch that a hint triggered is in progress.
    fetching: AtomicBool,
    payloads: long_poll::Cache,
    /// Number of polls that this daemon has sent.
    polls_sent: AtomicU64,
    /// Whether this host is cut off from the store.
    pub cut_off: cut_off::State,
    /// Evacuated data centres of the list in force.
    evacuations: evacuation::Observer,
    /// Held while the host list changes, so that lists keep their order.
    list_changes: Mutex<()>,
}

impl Distribution {
    /// Creates the state of a daemon that has neither a version nor a list yet.
    pub fn new(settings: &Settings) -> Self {
        let own = Location {
            name: settings.host.as_str().into(),
            data_centre: settings.data_centre.as_str().into(),
            region: settings.region.as_str().into(),
        };
        Self {
            age: Age::default(),
            confirmed: watch::Sender::new(()),
            source: Mutex::new(Source::new(own, settings.link_mbps)),
            reads_store: watch::Sender::new(false),
            changed: Notify::new(),
            revision: AtomicU64::new(0),
            lost_since_ms: AtomicU64::new(0),
            adopt_after_ms: AtomicU64::new(0),
            fetching: AtomicBool::new(false),
            payloads: long_poll::Cache::default(),
            polls_sent: AtomicU64::new(0),
            cut_off: cut_off::State::default(),
            evacuations: evacuation::Observer::default(),
            list_changes: Mutex::default(),
        }
    }

    /// Records that all changes up to the time `at` are known.
    pub fn confirm(&self, at: Duration) {
        self.age.confirm(at);
        self.confirmed.send_replace(());
    }

    /// Calls `change` on the source, and notifies the receivers of
    /// [`watch_reads_store`](Self::watch_reads_store) if that changed the role.
    pub fn update<T>(&self, change: impl FnOnce(&mut Source) -> T) -> T {
        let mut source = self.lock();
        let followed = source.followed().cloned();
        let result = change(&mut source);
        let reads = source.reads_store();
        let now_followed = source.followed().cloned();
        drop(source);
        if !reads {
            self.lost_since_ms.store(0, Ordering::Relaxed);
        }
        let role_changed = self.reads_store.send_if_modified(|known| {
            let changed = *known != reads;
            *known = reads;
            changed
        });
        if role_changed || followed != now_followed {
            log::info!(
                target: "distribution",
                event = "source", reads = reads, of = now_followed.as_deref().unwrap_or_default();
                "this daemon {}", if reads { "reads the store" } else { "polls another daemon" }
            );
            self.changed.notify_one();
        }
        result
    }

    /// Wakes [`follow::run`], whose next step may have changed.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Returns a receiver of whether this daemon reads the store.
    pub fn watch_reads_store(&self) -> watch::Receiver<bool> {
        self.reads_store.subscribe()
    }

    /// Returns the number of polls that this daemon has sent.
    pub fn polls_sent(&self) -> u64 {
        self.polls_sent.load(Ordering::Relaxed)
    }

    /// Returns the revision of the store up to which all versions are known.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Records a revision of the store up to which all versions are known.
    pub fn on_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::Relaxed);
    }

    /// Records that a version was adopted at `now`, which took the time
    /// `taken`.
    pub fn on_adoption(&self, now: Duration, taken: Duration) {
        let pause = pace::adoption_pause(taken);
        self.adopt_after_ms
            .store(millis(now + pause), Ordering::Relaxed);
    }

    /// Returns the time from `now` for which no further version is requested.
    pub fn adoption_pause(&self, now: Duration) -> Duration {
        let after = Duration::from_millis(self.adopt_after_ms.load(Ordering::Relaxed));
        after.saturating_sub(now)
    }

    /// Records that the store does not answer at `now`. Returns whether it
    /// answered before.
    pub fn on_store_lost(&self, now: Duration) -> bool {
        let newly_lost = self.lost_since_ms.compare_exchange(
            0,
            millis(now).max(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        self.update(|source| source.on_store_call(now, false));
        newly_lost.is_ok()
    }

    /// Records that the store answers at `now`. Returns the time in
    /// milliseconds for which the store did not answer, or `None` if it was not
    /// lost.
    pub fn on_store_answered(&self, now: Duration) -> Option<u64> {
        let since = self.lost_since_ms.swap(0, Ordering::Relaxed);
        self.update(|source| source.on_store_call(now, true));
        (since != 0).then(|| millis(now).saturating_sub(since))
    }

    /// Returns the time in milliseconds at `now` for which the store has not
    /// answered; 0 while it answers.
    pub fn store_lost_ms(&self, now: Duration) -> u64 {
        match self.lost_since_ms.load(Ordering::Relaxed) {
            0 => 0,
            since => millis(now).saturating_sub(since).max(1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Source> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the numbers of the version and the host list in force.
pub fn numbers_in_force(context: &Context) -> Numbers {
    let current = context.config.current();
    Numbers {
        version: current.version.map_or(0, |version| version.number),
        list: current.list_number,
    }
}

/// Offers a host list of the platform for adoption.
pub fn offer_host_list(context: &Context, list: List, source: &str) {
    change_host_list(context, |config| {
        config.offer_list(&context.trail, list, source)
    });
}

/// Calls `change`, which returns whether it changed the host list in force, and
/// passes the entry of this daemon's host to the gatekeeper at once.
fn change_host_list(context: &Context, change: impl FnOnce(&config::Store) -> bool) {
    let distribution = &context.distribution;
    // The gatekeeper must get the lists in the order in which they come into
    // force.
    let changes = &distribution.list_changes;
    let _guard = changes.lock().unwrap_or_else(PoisonError::into_inner);
    let now = context.now();
    let age = distribution.age.at(now);
    let confirmed_at = now.saturating_sub(age.unwrap_or_default());
    if !change(&context.config) {
        return;
    }
    let Some(list) = context.config.list() else {
        return;
    };
    let mut hosts = list.hosts.iter();
    let own = hosts.find(|host| host.name == context.settings.host);
    let gatekeeper = &context.gatekeeper;
    gatekeeper.departures.on_host_list(now, confirmed_at, own);
    gatekeeper.on_own_host(own);
    quota::on_host_list(context);
    let data_centre = &context.settings.data_centre;
    gatekeeper
        .evacuation
        .on_host_list(now, age, data_centre, &list);
    let evacuations = &distribution.evacuations;
    evacuations.on_host_list(now, age, &list, &context.trail);
}

/// Returns the list that `host` sent, after logging and counting the hosts that
/// were dropped from it.
pub fn accept_checked(context: &Context, host: &str, checked: Checked) -> List {
    for fault in &checked.dropped {
        context.metrics.count_ignored_host("peer");
        if context.decisions.allow(Kind::HostIgnored, context.now()) {
            decisions::log_ignored_host("peer", host, &fault.to_string());
        }
    }
    checked.list
}

/// Returns another daemon's list without the hosts that have left as far as
/// this daemon knows, provided that its knowledge is not stale.
fn without_departed(context: &Context, list: List) -> List {
    let age = context.distribution.age.at(context.now());
    match (age, context.config.platform_list()) {
        (Some(age), Some(own)) if age <= STALE_AFTER => hosts::without_departed(&own.list, list),
        _ => list,
    }
}

/// Returns whether routes may exist that this daemon does not know.
pub fn is_stale(context: &Context) -> bool {
    let own = numbers_in_force(context).version;
    context.distribution.age.is_stale(context.now(), own)
}

/// Returns the control address of a host. On the adapted platform, hosts are
/// named by their IP addresses, and daemons have the same ports on all hosts.
fn control_address(context: &Context, host: &str) -> Option<SocketAddr> {
    peers::control_address(context, host).or_else(|| {
        let ip: IpAddr = host.parse().ok()?;
        Some(SocketAddr::new(ip, context.settings.control.port()))
    })
}

/// Returns the location of a host.
fn location(host: &Host) -> Location {
    Location {
        name: Arc::from(host.name.as_str()),
        data_centre: Arc::from(host.data_centre.as_str()),
        region: Arc::from(host.region.as_str()),
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
