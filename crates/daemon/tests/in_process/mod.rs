//! Daemons in the process of the test, each on its own runtime. Shutting down
//! the runtime ends a daemon with all its tasks and connections, as if its
//! process were killed.
#![allow(dead_code)] // Each test file uses a part.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use savorylane_daemon::kernel::{Context, Handle};
use savorylane_daemon::settings::{Readers, Settings};
use savorylane_intent::document::{Class, Document, Service, Target, Work};
use savorylane_intent::hosts::{Host, List, State};
use savorylane_ledger::{Lease, ring};
use savorylane_policy::route::Policy;
use savorylane_standin::upstream::{REQUEST_ID, Record};
use savorylane_standin::{platform, upstream};
use savorylane_wire::control::Scope;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Limit of the wait for a condition, generous for loaded machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);
/// Text that makes [`breaking_proxy`] close the connection that carries it.
pub(crate) const BREAK_MARKER: &str = "break-marker";

/// A daemon and its upstream.
pub(crate) struct Member {
    /// Name of the host.
    pub(crate) name: String,
    /// State of the daemon.
    pub(crate) context: Arc<Context>,
    /// Address of the entry port, for callers.
    pub(crate) entry: SocketAddr,
    /// Address of the data port, for other daemons.
    pub(crate) data: SocketAddr,
    /// The upstream, which outlives the daemon.
    pub(crate) upstream: upstream::Handle,
    list_entry: Host,
    runtime: Option<Runtime>,
}

/// Daemons of the service `stock` with the classes `check` (idempotent, GET and
/// PUT of `/stock/`) and `order` (not idempotent, POST of `/orders/`).
pub(crate) struct Fleet {
    /// Daemons.
    pub(crate) members: Vec<Member>,
    /// Record of the requests that the upstreams ran.
    pub(crate) record: Arc<Record>,
    platform: platform::Handle,
    number: u64,
    cancel: CancellationToken,
}

/// An answer with its complete body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Answer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Value of the verdict header.
    pub(crate) verdict: String,
    /// Body.
    pub(crate) body: Bytes,
}

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call<'a> {
    /// Method.
    pub(crate) method: &'a str,
    /// Path.
    pub(crate) path: &'a str,
    /// Idempotency key.
    pub(crate) key: Option<&'a str>,
    /// Number of the attempt.
    pub(crate) attempt: Option<u32>,
    /// Body.
    pub(crate) body: &'a str,
}

impl Fleet {
    /// Starts `count` daemons, and waits until the host list is in force on
    /// each.
    pub(crate) async fn spawn(count: usize, settings: upstream::Settings) -> Self {
        Self::spawn_with_proxies(count, settings, |address| address).await
    }

    /// Starts `count` daemons as [`Fleet::spawn`] does. Each reaches its
    /// upstream at the address that `proxy` returns for the real one.
    pub(crate) async fn spawn_with_proxies(
        count: usize,
        settings: upstream::Settings,
        proxy: impl Fn(SocketAddr) -> SocketAddr,
    ) -> Self {
        let cancel = CancellationToken::new();
        let mut fleet = Self {
            members: Vec::new(),
            record: Arc::default(),
            platform: platform::spawn(1, &cancel).unwrap(),
            number: 0,
            cancel,
        };
        for index in 0..count {
            let spawned = upstream::spawn(settings.clone(), &fleet.record, &fleet.cancel);
            let mut upstream = spawned.unwrap();
            upstream.addr = proxy(upstream.addr);
            let name = format!("a{index}");
            let member = fleet.spawn_member(&name, upstream, true).await;
            fleet.members.push(member);
        }
        fleet.platform.publish_document(&document());
        fleet.publish().await;
        fleet
    }

    /// Waits until each running daemon of the ring may hold keys.
    pub(crate) async fn wait_for_leases(&self) {
        for member in self.members.iter().filter(|member| member.is_running()) {
            let context = &member.context;
            wait_until("a confirmed ring", || {
                let ready = |lease: &Lease| {
                    let held = lease.ring().members.contains(&member.name);
                    !held || lease.activation(context.now()).is_some()
                };
                context.rings.with_lease(&scope(), ready) == Some(true)
            })
            .await;
        }
    }

    /// Returns the index of the member that holds `key`.
    pub(crate) fn holder_index(&self, key: &str) -> usize {
        let context = &self.members[0].context;
        let snapshot = context.config.snapshot().expect("a configuration");
        let ring = context.rings.ring(&snapshot, scope());
        let name = ring::holder(&ring, &format!("stock\n{key}")).expect("a holder");
        let mut names = self.members.iter().map(|member| &member.name);
        names.position(|other| other == name).expect("a member")
    }

    /// Returns a key that starts with `prefix` and is held by `member`.
    pub(crate) fn key_held_by(&self, prefix: &str, member: usize) -> String {
        let mut keys = (0..).map(|number| format!("{prefix}-{number}"));
        keys.find(|key| self.holder_index(key) == member).unwrap()
    }

    /// Ends a daemon as if its process were killed. Its upstream keeps running.
    pub(crate) fn kill(&mut self, member: usize) {
        let runtime = self.members[member].runtime.take();
        runtime.expect("a daemon that runs").shutdown_background();
    }

    /// Starts a daemon again under its name, not as a first start, and
    /// publishes its new addresses.
    pub(crate) async fn restart(&mut self, index: usize) {
        let old = &self.members[index];
        let (name, upstream) = (old.name.clone(), old.upstream.clone());
        self.members[index] = self.spawn_member(&name, upstream, false).await;
        self.publish().await;
    }

    /// Starts a daemon in front of `upstream`.
    async fn spawn_member(
        &self,
        name: &str,
        upstream: upstream::Handle,
        first_start: bool,
    ) -> Member {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let settings = Settings {
            host: name.into(),
            region: "north".into(),
            data_centre: "a".into(),
            service: "stock".into(),
            entry: any,
            data: any,
            control: any,
            operator: any,
            upstream: upstream.addr,
            health_path: None,
            slots: 6,
            platform: vec![self.platform.addr()],
            peers: Vec::new(),
            key_horizon: Duration::from_secs(30),
            first_start,
            drain_limit: Duration::from_secs(5),
            max_body_bytes: 1 << 20,
            caller_connections: 256,
            memory_mb: 256,
            descriptors: 8_192,
            readers: Readers::default(),
            policy: Policy::default(),
            budgets: Default::default(),
            link_mbps: 0,
            adapter: None,
            log_level: log::LevelFilter::Warn,
        };
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().unwrap();
        let spawned = runtime.spawn(savorylane_daemon::spawn(settings));
        let handle: Handle = spawned.await.unwrap().unwrap();
        let list_entry = Host {
            name: name.into(),
            region: "north".into(),
            data_centre: "a".into(),
            service: "stock".into(),
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
        Member {
            name: name.into(),
            context: Arc::clone(&handle.context),
            entry: list_entry.entry,
            data: list_entry.data,
            upstream,
            list_entry,
            runtime: Some(runtime),
        }
    }

    /// Publishes the host list and waits until it is in force.
    async fn publish(&mut self) {
        self.number += 1;
        let hosts = self.members.iter().map(|member| member.list_entry.clone());
        self.platform.publish_hosts(&List {
            number: self.number,
            hosts: hosts.collect(),
        });
        for member in self.members.iter().filter(|member| member.is_running()) {
            wait_until("a host list in force", || {
                let snapshot = member.context.config.snapshot();
                snapshot.is_some_and(|snapshot| snapshot.list.number == self.number)
            })
            .await;
        }
    }
}

impl Member {
    fn is_running(&self) -> bool {
        self.runtime.is_some()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn scope() -> Scope {
    Scope {
        service: "stock".into(),
        home: None,
    }
}

fn document() -> Document {
    let class = |name: &str, path: &str, methods: &[&str], idempotent| Class {
        name: name.into(),
        service: "stock".into(),
        path_prefix: path.into(),
        methods: methods.iter().map(|method| (*method).into()).collect(),
        work: Work::Short,
        idempotent,
        target: Target {
            latency_ms: 2_000,
            quantile: 0.99,
            success: 0.999,
        },
        shed_order: 0,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: Vec::new(),
    };
    Document {
        number: 1,
        deployment: "test".into(),
        services: vec![Service::new("stock")],
        classes: vec![
            class("check", "/stock/", &["GET", "PUT"], true),
            class("order", "/orders/", &["POST"], false),
        ],
        limits: None,
    }
}

/// Sends a request on a new connection and reads the complete answer.
pub(crate) async fn send(address: SocketAddr, call: &Call<'_>) -> Result<Answer, String> {
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut request = Request::builder()
        .method(call.method)
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST_ID, call.key.unwrap_or(call.path));
    if let Some(key) = call.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(attempt) = call.attempt {
        request = request.header("savorylane-attempt", attempt);
    }
    let body = Full::new(Bytes::from(call.body.to_owned()));
    let request = request.body(body).map_err(|error| error.to_string())?;
    let sent = client.request(request).await;
    let (head, body) = sent.map_err(|error| error.to_string())?.into_parts();
    let verdict = head.headers.get("savorylane-verdict");
    let verdict = verdict.and_then(|value| value.to_str().ok());
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Answer {
        status: head.status,
        verdict: verdict.unwrap_or_default().into(),
        body: body.to_bytes(),
    })
}

/// Waits until `done` returns true. Panics with `what` after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a GET request.
pub(crate) fn get_request(path: &str) -> Call<'_> {
    Call {
        method: "GET",
        path,
        ..Call::default()
    }
}

/// Starts a proxy to `upstream` that closes each connection that carries
/// [`BREAK_MARKER`], and returns its address.
pub(crate) fn breaking_proxy(upstream: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(forward(caller, upstream));
        }
    });
    address
}

/// Forwards bytes both ways until a side closes or the caller sends
/// [`BREAK_MARKER`].
async fn forward(mut caller: TcpStream, upstream: SocketAddr) {
    let Ok(mut upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let (mut sent, mut answered) = ([0; 4096], [0; 4096]);
    loop {
        let passed = tokio::select! {
            read = caller.read(&mut sent) => match read {
                Ok(1..) if contains(&sent, BREAK_MARKER) => return,
                Ok(count @ 1..) => upstream.write_all(&sent[..count]).await,
                _ => return,
            },
            read = upstream.read(&mut answered) => match read {
                Ok(count @ 1..) => caller.write_all(&answered[..count]).await,
                _ => return,
            },
        };
        if passed.is_err() {
            return;
        }
    }
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}
