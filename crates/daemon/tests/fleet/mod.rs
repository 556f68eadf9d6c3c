//! Daemons, upstreams and platforms in the process of the test.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
pub(crate) mod caller;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
pub(crate) mod process;

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use savorylane_daemon::audit::Entry;
use savorylane_daemon::settings::{Readers, Settings};
use savorylane_daemon::{Handle, spawn};
use savorylane_intent::Version;
use savorylane_intent::document::{Document, Service};
use savorylane_intent::hosts::{Host, State};
use savorylane_policy::route::Policy;
use savorylane_standin::upstream::Record;
use savorylane_standin::{platform, upstream};
use tokio_util::sync::CancellationToken;

use crate::common::{document, list};

/// Time within which an accepted version must be in force on all hosts.
pub(crate) const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

/// A daemon and its upstream.
pub(crate) struct Member {
    /// The daemon.
    pub(crate) handle: Handle,
    /// Its upstream.
    pub(crate) upstream: upstream::Handle,
    /// The daemon's entry in the host list.
    pub(crate) list_entry: Host,
}

impl Member {
    /// Starts a daemon and its upstream. The host name is the name of the data
    /// centre followed by digits; `configure` may change the settings.
    pub(crate) async fn spawn(
        fleet: &Fleet,
        host: &str,
        configure: impl FnOnce(&mut Settings),
    ) -> Self {
        let settings = upstream::Settings::default();
        let upstream = upstream::spawn(settings, &fleet.record, &fleet.cancel).unwrap();
        let mut settings = daemon_settings(host, upstream.addr, fleet.platform.addr());
        configure(&mut settings);
        let service = settings.service.clone();
        let data_centre = settings.data_centre.clone();
        let handle = spawn(settings).await.unwrap();
        let list_entry = Host {
            name: host.into(),
            region: "north".into(),
            data_centre,
            service,
            entry: handle.addresses["entry"],
            data: handle.addresses["data"],
            control: handle.addresses["control"],
            operator: handle.addresses["operator"],
            state: State::Live,
            instance: None,
            slots: None,
            lapsed: false,
            evacuated: false,
            cold_ms: 0,
        };
        Self {
            handle,
            upstream,
            list_entry,
        }
    }

    /// Returns the address of the entry port.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.list_entry.entry
    }

    /// Returns the document version in force.
    pub(crate) fn version(&self) -> Option<Version> {
        self.handle.context.config.version()
    }

    /// Returns the number of the document in force; 0 if there is none.
    pub(crate) fn document_number(&self) -> u64 {
        self.version().map_or(0, |version| version.number)
    }

    /// Returns the audit trail, oldest entry first.
    pub(crate) fn audit_trail(&self) -> Vec<Entry> {
        self.handle.context.trail.entries_after(0, usize::MAX)
    }
}

/// A platform, and the daemons that read from it.
pub(crate) struct Fleet {
    /// Stops the platform and the upstreams; cancelled by [`Fleet::stop`].
    pub(crate) cancel: CancellationToken,
    /// The platform.
    pub(crate) platform: platform::Handle,
    /// Record of the requests that the upstreams ran.
    pub(crate) record: Arc<Record>,
    /// The daemons.
    pub(crate) members: Vec<Member>,
}

impl Fleet {
    /// Starts a platform that holds no values, without daemons.
    pub(crate) fn open() -> Self {
        let cancel = CancellationToken::new();
        Self {
            platform: platform::spawn(1, &cancel).unwrap(),
            cancel,
            record: Arc::default(),
            members: Vec::new(),
        }
    }

    /// Starts `hosts`, publishes their list and document 1, and waits until the
    /// document is in force on all of them.
    pub(crate) async fn spawn(hosts: &[&str]) -> Self {
        let mut fleet = Self::open();
        for host in hosts {
            let member = Member::spawn(&fleet, host, |_| ()).await;
            fleet.members.push(member);
        }
        fleet.publish_hosts(1);
        fleet.platform.publish_document(&document(1));
        fleet.wait_for_document(1, Duration::from_secs(10)).await;
        fleet
    }

    /// Publishes the list of all members.
    pub(crate) fn publish_hosts(&self, number: u64) {
        let hosts = self.members.iter().map(|member| member.list_entry.clone());
        self.platform.publish_hosts(&list(number, hosts.collect()));
    }

    /// Waits until document `number` is in force on all members, and returns
    /// how long that took.
    pub(crate) async fn wait_for_document(&self, number: u64, limit: Duration) -> Duration {
        let numbers = || -> Vec<u64> { self.members.iter().map(Member::document_number).collect() };
        let all = || numbers().iter().all(|&other| other == number);
        wait_until(limit, all, || format!("{:?}", numbers())).await
    }

    /// Waits until all members have a record of each other.
    pub(crate) async fn wait_for_peers(&self) {
        self.wait_for_peer_count(self.members.len()).await;
    }

    /// Waits until all members have records of `count` hosts, including
    /// themselves.
    pub(crate) async fn wait_for_peer_count(&self, count: usize) {
        let met = || {
            self.members.iter().all(|member| {
                let view = member.handle.context.peers.view();
                let alive = view.status().filter(|status| status.record.is_some());
                alive.count() >= count
            })
        };
        wait_until(Duration::from_secs(10), met, || "members unknown".into()).await;
    }

    /// Stops the daemons and stand-ins.
    pub(crate) fn stop(self) {
        for member in self.members {
            member.handle.abort();
        }
        self.cancel.cancel();
    }
}

/// Waits until `done` returns true, and returns how long that took. Panics with
/// the text of `describe` after `limit`.
pub(crate) async fn wait_until(
    limit: Duration,
    done: impl Fn() -> bool,
    describe: impl Fn() -> String,
) -> Duration {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < limit, "not in {limit:?}: {}", describe());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Calls `send` every `gap` for `length` without waiting for earlier calls.
/// Returns the start time, duration and result of each call.
pub(crate) async fn open_loop<T, F>(
    gap: Duration,
    length: Duration,
    send: impl Fn(usize) -> F,
) -> Vec<(Duration, Duration, T)>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let start = Instant::now();
    let mut ticks = tokio::time::interval(gap);
    let mut sent = Vec::new();
    while start.elapsed() < length {
        ticks.tick().await;
        let began = start.elapsed();
        let request = send(sent.len());
        sent.push(tokio::spawn(async move {
            let result = request.await;
            (began, start.elapsed() - began, result)
        }));
    }
    let mut results = Vec::new();
    for request in sent {
        results.push(request.await.unwrap());
    }
    results
}

/// Returns the settings of a daemon. The letters at the start of its host name
/// are its data centre.
pub(crate) fn daemon_settings(host: &str, upstream: SocketAddr, platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: host.into(),
        region: "north".into(),
        data_centre: host.trim_end_matches(|c: char| c.is_ascii_digit()).into(),
        service: "stock".into(),
        entry: any,
        data: any,
        control: any,
        operator: any,
        upstream,
        health_path: None,
        slots: 6,
        platform: vec![platform],
        peers: Vec::new(),
        key_horizon: Duration::from_secs(30),
        first_start: true,
        drain_limit: Duration::from_secs(10),
        max_body_bytes: 64_000_000,
        caller_connections: 256,
        memory_mb: 256,
        descriptors: 8_192,
        readers: Readers::Ranked,
        policy: Policy::Savorylane,
        budgets: Default::default(),
        link_mbps: 0,
        adapter: None,
        log_level: log::LevelFilter::Off,
    }
}

/// Returns [`document`] with a second class, whose path `/v<number>/` exists
/// only in this version.
pub(crate) fn document_with_version_path(number: u64) -> Document {
    let mut document = document(number);
    let mut class = document.classes[0].clone();
    class.name = format!("only-{number}");
    class.path_prefix = format!("/v{number}/");
    document.classes.push(class);
    document
}

/// Returns [`document`] with a second service, which changes its hash.
pub(crate) fn document_with_service(number: u64, name: &str) -> Document {
    let mut document = document(number);
    document.services.push(Service::new(name));
    document
}

/// Counts how often each value occurs.
pub(crate) fn tally<T: Eq + std::hash::Hash>(values: impl Iterator<Item = T>) -> HashMap<T, usize> {
    let mut counts = HashMap::new();
    for value in values {
        *counts.entry(value).or_default() += 1;
    }
    counts
}
