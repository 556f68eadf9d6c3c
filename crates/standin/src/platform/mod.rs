//! A simulated platform: a key-value store whose values are read and watched
//! over HTTP/1.1.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use savorylane_intent::hosts::List;
use savorylane_intent::{Document, Manifest};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::net::{Connection, Connections, Port, Stream};

/// Header with the revision of the value in an answer.
pub const REVISION: &str = "platform-revision";
/// Path that precedes every key.
pub const PATH_PREFIX: &str = "/v1/values/";
/// Key of the manifest.
pub const INTENT: &str = "intent";
/// Key of the host list.
pub const HOSTS: &str = "hosts";
/// Maximum wait of a watch; a longer wait is reduced to it.
pub const MAX_WAIT_MS: u64 = 600_000;
/// Maximum number of revisions kept per key. Clients under a `stale` fault are
/// served older ones.
const MAX_REVISIONS: usize = 16;

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// The platform is available.
    #[default]
    None,
    /// Open connections are closed and new ones refused.
    Refused,
    /// Every call, including each waiting watch, is answered with 503.
    Unavailable,
}

/// The clients that a fault applies to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Clients {
    /// All clients.
    All,
    /// Clients that connect from this address.
    Source(IpAddr),
    /// Clients that connect to this one of the platform's addresses.
    Address(SocketAddr),
}

/// Active faults, in any combination.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Outage, for all clients.
    pub outage: Outage,
    /// Clients with stale reads: each is served the state as of the given
    /// revision.
    pub stale: BTreeMap<Clients, u64>,
    /// Whether reads of a part of the document return another part.
    pub torn: bool,
    /// Whether only the first half of a value is sent, with a content length
    /// that matches it.
    pub truncated: bool,
    /// Length in bytes to which values are padded with spaces. They stay valid
    /// JSON.
    pub oversized: Option<usize>,
    /// Delay before each call is processed.
    pub delay: Duration,
}

/// Traffic counters of one source address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Number of calls received.
    pub calls: u64,
    /// Bytes sent, including HTTP headers.
    pub bytes: u64,
}

/// Counters since the start of the platform.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Number of calls in progress in each second since the start. A call that
    /// spans several seconds, such as a waiting watch, counts once in each.
    pub calls_per_second: Vec<u64>,
    /// Number of calls in progress.
    pub in_progress: u64,
    /// Traffic by source address.
    pub sources: BTreeMap<IpAddr, Traffic>,
}

impl Counters {
    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        self.sources.values().map(|source| source.calls).sum()
    }

    /// Returns the bytes sent, including HTTP headers.
    pub fn bytes(&self) -> u64 {
        self.sources.values().map(|source| source.bytes).sum()
    }
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Bound addresses. All serve the same values.
    pub addrs: Vec<SocketAddr>,
    state: Arc<State>,
    connections: Arc<Connections>,
}

#[derive(Debug)]
struct State {
    /// Revisions of each key, oldest first.
    values: Mutex<BTreeMap<String, Vec<(u64, Bytes)>>>,
    faults: Mutex<Faults>,
    /// Revision of the last change. Receivers are also notified when the faults
    /// change.
    changed: watch::Sender<u64>,
    started: Instant,
    timeline: Mutex<Timeline>,
    in_progress: AtomicU64,
}

/// Starts a platform without values on `addresses` loopback ports.
///
/// # Errors
///
/// Returns the error of binding a port.
pub fn spawn(addresses: usize, cancel: &CancellationToken) -> io::Result<Handle> {
    let state = Arc::new(State {
        values: Mutex::default(),
        faults: Mutex::default(),
        changed: watch::Sender::new(0),
        started: Instant::now(),
        timeline: Mutex::default(),
        in_progress: AtomicU64::new(0),
    });
    let connections = Connections::new(cancel.child_token());
    let mut addrs = Vec::new();
    for _ in 0..addresses {
        let bound = Port::bind()?;
        addrs.push(bound.0.addr);
        let state = state.clone();
        tokio::spawn(
            connections
                .clone()
                .accept(bound, move |stream| serve(state.clone(), stream)),
        );
    }
    Ok(Handle {
        addrs,
        state,
        connections,
    })
}

impl Handle {
    /// Returns the first bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addrs[0]
    }

    /// Publishes `value` under `key` and returns its revision.
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut values = self.state.values.lock().unwrap();
        let revision = *self.state.changed.borrow() + 1;
        let history = values.entry(key.to_owned()).or_default();
        history.push((revision, value.into()));
        if history.len() > MAX_REVISIONS {
            history.remove(0);
        }
        self.state.changed.send_replace(revision);
        revision
    }

    /// Publishes the parts of `document`, then its manifest, and returns the
    /// revision of the manifest.
    ///
    /// # Panics
    ///
    /// Never: a manifest can always be written as JSON.
    pub fn publish_document(&self, document: &Document) -> u64 {
        let (manifest, parts) = Manifest::split(document);
        for (key, value) in parts {
            self.publish(&key, value);
        }
        self.publish(INTENT, serde_json::to_vec(&manifest).unwrap())
    }

    /// Publishes the host list and returns its revision.
    ///
    /// # Panics
    ///
    /// Never: a host list can always be written as JSON.
    pub fn publish_hosts(&self, list: &List) -> u64 {
        self.publish(HOSTS, serde_json::to_vec(list).unwrap())
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        *self.state.changed.borrow()
    }

    /// Applies `change` to the active faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.state.faults.lock().unwrap();
        change(&mut faults);
        let refused = faults.outage == Outage::Refused;
        drop(faults);
        self.connections.set_refusing(refused);
        if refused {
            self.connections.close_all();
        }
        // Wakes the waiting watches, which check the faults again.
        self.state.changed.send_modify(|_| ());
    }

    /// Makes all later reads by `clients` return the current state, whatever is
    /// published afterwards.
    pub fn freeze(&self, clients: Clients) {
        let revision = self.revision();
        self.update_faults(|faults| {
            faults.stale.insert(clients, revision);
        });
    }

    /// Returns the counters since the start of the platform.
    pub fn counters(&self) -> Counters {
        let sources = self.connections.meters().into_iter().map(|(ip, meter)| {
            let traffic = Traffic {
                calls: meter.calls.load(Ordering::Relaxed),
                bytes: meter.bytes.load(Ordering::Relaxed),
            };
            (ip, traffic)
        });
        // Extends the timeline to the current second.
        self.state.update_timeline(|_, _| ());
        Counters {
            calls_per_second: self.state.timeline.lock().unwrap().in_progress(),
            in_progress: self.state.in_progress.load(Ordering::Relaxed),
            sources: sources.collect(),
        }
    }
}

/// Number of calls that began and that ended in each second since the start.
#[derive(Debug, Default)]
struct Timeline {
    began: Vec<u64>,
    ended: Vec<u64>,
}

impl Timeline {
    /// Returns, for each second, the number of calls that were in progress at
    /// any time during it.
    fn in_progress(&self) -> Vec<u64> {
        let mut open = 0;
        let seconds = self.began.iter().zip(&self.ended);
        seconds
            .map(|(began, ended)| {
                let calls = open + began;
                open = calls - ended;
                calls
            })
            .collect()
    }
}

/// Guard that counts a call as in progress until the guard is dropped.
struct Call(Arc<State>);

impl Call {
    fn begin(state: &Arc<State>) -> Self {
        state.in_progress.fetch_add(1, Ordering::Relaxed);
        state.update_timeline(|timeline, now| timeline.began[now] += 1);
        Self(state.clone())
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let Self(state) = self;
        state.in_progress.fetch_sub(1, Ordering::Relaxed);
        state.update_timeline(|timeline, now| timeline.ended[now] += 1);
    }
}

impl State {
    /// Extends the timeline to the current second and applies `change` to it,
    /// with the index of that second.
    fn update_timeline(&self, change: impl FnOnce(&mut Timeline, usize)) {
        let mut timeline = self.timeline.lock().unwrap();
        let now = self.started.elapsed().as_secs() as usize;
        let length = timeline.began.len().max(now + 1);
        timeline.began.resize(length, 0);
        timeline.ended.resize(length, 0);
        change(&mut timeline, now);
    }

    /// Returns the revision and value of `key` that are served to `connection`
    /// under the active faults.
    fn read(&self, connection: &Connection, key: &str) -> Option<(u64, Bytes)> {
        let faults = self.faults.lock().unwrap().clone();
        let max_revision = [
            Clients::All,
            Clients::Source(connection.peer.ip()),
            Clients::Address(connection.local),
        ]
        .iter()
        .filter_map(|clients| faults.stale.get(clients))
        .min()
        .copied()
        .unwrap_or(u64::MAX);
        let values = self.values.lock().unwrap();
        let history = values.get(key)?;
        let (revision, value) = history.iter().rfind(|(r, _)| *r <= max_revision)?;
        let mut value = value.clone();
        if faults.torn && key.starts_with("intent/") {
            let others = values
                .iter()
                .filter(|(other, _)| other.starts_with("intent/") && *other != key);
            let other = others.filter_map(|(_, history)| history.last()).max();
            value = other.map_or_else(Bytes::new, |(_, value)| value.clone());
        }
        if faults.truncated {
            value.truncate(value.len() / 2);
        }
        if let Some(length) = faults.oversized {
            let mut padded = value.to_vec();
            padded.resize(length.max(value.len()), b' ');
            value = padded.into();
        }
        Some((*revision, value))
    }

    async fn answer(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Answer {
        let _call = Call::begin(&self);
        connection.meter.calls.fetch_add(1, Ordering::Relaxed);
        if request.method() != Method::GET {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(key) = request.uri().path().strip_prefix(PATH_PREFIX) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let Ok((after, wait)) = parse_query(request.uri().query().unwrap_or_default()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let deadline = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        let delay = self.faults.lock().unwrap().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        loop {
            changed.borrow_and_update();
            if self.faults.lock().unwrap().outage != Outage::None {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            match (self.read(&connection, key), after) {
                (None, None) => return empty(StatusCode::NOT_FOUND),
                (Some((revision, value)), after) if after.is_none_or(|n| revision > n) => {
                    let mut answer = Response::new(Full::new(value));
                    answer.headers_mut().insert(REVISION, revision.into());
                    return answer;
                }
                _ => (),
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return empty(StatusCode::NOT_MODIFIED);
            }
        }
    }
}

type Answer = Response<Full<Bytes>>;

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Parses a query into the revision after which a change is awaited, if any,
/// and the maximum wait.
fn parse_query(query: &str) -> Result<(Option<u64>, Duration), std::num::ParseIntError> {
    let mut after = None;
    let mut wait = 0;
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match name {
            "after" => after = Some(value.parse()?),
            "wait_ms" => wait = value.parse::<u64>()?.min(MAX_WAIT_MS),
            _ => (),
        }
    }
    Ok((after, Duration::from_millis(wait)))
}

async fn serve(state: Arc<State>, stream: Stream) {
    let connection = stream.connection.clone();
    let service = service_fn(move |request| {
        let answer = state.clone().answer(connection.clone(), request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    // A client may close its connection during a watch; that is not an error of
    // the platform.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
