//! What the peers of a listener other than the entry hold: connections, and
//! memory for requests and answers. The limits are enforced by
//! [`savorylane_policy::quota`].

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body::Body as _;
use savorylane_policy::quota::{self as policy, Limits, Listener, Peer, Room};
use tokio_util::sync::CancellationToken;

use crate::body::{Body, Unsent};
use crate::kernel::Context;

/// Maximum number of bytes that the operating system receives for a connection
/// of a stranger before they are read.
pub const STRANGER_RECEIVE_BYTES: usize = 16 << 10;
/// Interval between two log lines of one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whose address a connection comes from.
type Classify = Box<dyn Fn(IpAddr) -> Peer + Send + Sync>;

/// Connections of the peers of one listener, and the memory that they hold.
pub struct Quota {
    name: &'static str,
    start: Instant,
    next_id: AtomicU64,
    classify: Classify,
    sizes: Sizes,
    inner: Mutex<Inner>,
}

/// Sizes of what one connection holds at most, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Body of a request.
    pub request: u64,
    /// Body of an answer.
    pub answer: u64,
    /// What the operating system receives before it is read; `None` if the
    /// operating system decides for connections of hosts.
    pub receive: Option<usize>,
}

#[derive(Debug)]
struct Inner {
    policy: policy::Quota,
    /// Cancelled to close a connection, by the connection's id.
    closed: HashMap<u64, CancellationToken>,
    counts: Counts,
    logged_at: Option<Instant>,
}

/// What the limits did since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    refused_connections: u64,
    closed_connections: u64,
    refused_requests: u64,
}

impl fmt::Debug for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quota").field("name", &self.name).finish()
    }
}

impl Quota {
    /// Creates the quota of the listener `name`, without connections.
    pub fn new(
        name: &'static str,
        limits: Limits,
        sizes: Sizes,
        classify: impl Fn(IpAddr) -> Peer + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            start: Instant::now(),
            next_id: AtomicU64::new(1),
            classify: Box::new(classify),
            sizes,
            inner: Mutex::new(Inner {
                policy: policy::Quota::new(limits),
                closed: HashMap::new(),
                counts: Counts::default(),
                logged_at: None,
            }),
        })
    }

    /// Creates the quota of a listener of this daemon. The addresses of other
    /// hosts, listed now or earlier, are those of hosts. This host's own address
    /// is not, because its callers share it.
    pub fn for_listener(
        context: &Arc<Context>,
        name: &'static str,
        listener: Listener,
        sizes: Sizes,
    ) -> Arc<Self> {
        let settings = &context.settings;
        let limits = Limits::new(listener, settings.memory_mb, settings.descriptors);
        let context = Arc::clone(context);
        Self::new(name, limits, sizes, move |address| {
            classify(&context, address)
        })
    }

    /// Records a new connection from `address`. Closes another one if all are
    /// in use; returns `None` if none can be closed.
    pub fn open(self: &Arc<Self>, address: IpAddr) -> Option<Connection> {
        let peer = (self.classify)(address);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let closed = CancellationToken::new();
        let mut inner = self.lock();
        match inner.policy.room(peer, address) {
            Room::Free => {}
            Room::Close(other) => self.close(&mut inner, &[other]),
            Room::Full => {
                inner.counts.refused_connections += 1;
                self.log(&mut inner);
                return None;
            }
        }
        inner.policy.open(self.start.elapsed(), id, peer, address);
        inner.closed.insert(id, closed.clone());
        let flow = Flow {
            quota: Arc::clone(self),
            id,
            address,
        };
        Some(Connection { flow, closed, peer })
    }

    /// Returns the maximum number of bytes that the operating system receives for
    /// a connection before they are read.
    pub fn receive_bytes(&self) -> Option<usize> {
        self.sizes.receive
    }

    /// Closes the connection that has been idle for longest, because the
    /// process cannot open another descriptor.
    pub fn close_idle(&self) {
        let mut inner = self.lock();
        if let Some(id) = inner.policy.close_idle() {
            self.close(&mut inner, &[id]);
        }
    }

    fn close(&self, inner: &mut Inner, ids: &[u64]) {
        for id in ids {
            inner.counts.closed_connections += 1;
            if let Some(closed) = inner.closed.get(id) {
                closed.cancel();
            }
        }
        if !ids.is_empty() {
            self.log(inner);
        }
    }

    /// Logs all counts, at most once per [`LOG_INTERVAL`].
    fn log(&self, inner: &mut Inner) {
        let now = Instant::now();
        if inner.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        inner.logged_at = Some(now);
        let Counts {
            refused_connections,
            closed_connections,
            refused_requests,
        } = inner.counts;
        log::warn!(
            target: "peers", outcome = "limited", listener = self.name,
            refused_connections = refused_connections,
            closed_connections = closed_connections,
            refused_requests = refused_requests,
            connections = inner.policy.connections(),
            bytes = inner.policy.bytes();
            "peers reach the limits of a listener; counts since the start"
        );
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns who connects from `address`. Without a host list, all peers are taken
/// for hosts, because the first requests of a deployment come before it.
fn classify(context: &Context, address: IpAddr) -> Peer {
    match context.config.list().is_none() || is_other_host(context, address) {
        true => Peer::Host,
        false => Peer::Stranger,
    }
}

fn is_other_host(context: &Context, address: IpAddr) -> bool {
    let own = &context.settings.host;
    context.config.is_other_host(address, own)
}

/// Recognises requests of hosts that a list in force names since they began.
pub fn on_host_list(context: &Context) {
    let gatekeeper = &context.gatekeeper;
    gatekeeper.on_hosts(|address| is_other_host(context, address));
}

/// An open connection of a peer; recorded as closed when dropped.
#[derive(Debug)]
pub struct Connection {
    flow: Flow,
    closed: CancellationToken,
    peer: Peer,
}

impl Connection {
    /// Waits until the connection must be closed to make room for others.
    /// Returns whether it is idle.
    pub async fn closed(&self) -> bool {
        self.closed.cancelled().await;
        self.flow.quota.lock().policy.is_idle(self.flow.id)
    }

    /// Returns who was at the other end when the connection was opened.
    pub fn peer(&self) -> Peer {
        self.peer
    }

    /// Returns the maximum number of bytes that the operating system receives
    /// before they are read; `None` if it decides itself.
    pub fn receive_bytes(&self) -> Option<usize> {
        match self.peer {
            Peer::Stranger => Some(STRANGER_RECEIVE_BYTES),
            Peer::Host => self.flow.quota.receive_bytes(),
        }
    }

    /// Returns what the requests on the connection are recorded with.
    pub fn flow(&self) -> &Flow {
        &self.flow
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = self.flow.quota.lock();
        inner.closed.remove(&self.flow.id);
        inner.policy.close(self.flow.id);
    }
}

/// The requests on one connection of a peer.
#[derive(Clone, Debug)]
pub struct Flow {
    quota: Arc<Quota>,
    id: u64,
    address: IpAddr,
}

impl Flow {
    /// Takes memory for a request. Returns `None` if there is none.
    pub fn begin(&self, request: &Request<Body>) -> Option<Exchange> {
        let quota = &self.quota;
        let bytes = bytes_of(request.body(), quota.sizes.request);
        let mut inner = quota.lock();
        // A new host may connect before the list that names it is in force.
        if inner.policy.is_stranger(self.id) && (quota.classify)(self.address) == Peer::Host {
            inner.policy.recognise(self.id);
        }
        let peer = match inner.policy.is_stranger(self.id) {
            true => Peer::Stranger,
            false => Peer::Host,
        };
        let outcome = inner.policy.begin(quota.start.elapsed(), self.id, bytes);
        quota.close(&mut inner, &outcome.closed);
        if !outcome.held {
            inner.counts.refused_requests += 1;
            quota.log(&mut inner);
            return None;
        }
        Some(Exchange {
            flow: self.clone(),
            peer,
            bytes,
        })
    }
}

/// Returns the memory that a body takes, at most `max` bytes.
fn bytes_of(body: &Body, max: u64) -> u64 {
    body.size_hint().exact().map_or(max, |size| size.min(max))
}

/// A request whose answer was not sent completely; recorded as ended when
/// dropped.
#[derive(Debug)]
pub struct Exchange {
    flow: Flow,
    peer: Peer,
    /// Memory of the request's body and of its answer in bytes.
    bytes: u64,
}

impl Exchange {
    /// Returns who sent the request.
    pub fn peer(&self) -> Peer {
        self.peer
    }

    /// Takes memory for the answer, and moves the exchange into its body. When
    /// the body is dropped, what it held is kept in `unsent`.
    pub fn answer(mut self, answer: Response<Body>, unsent: &Unsent) -> Response<Body> {
        let Flow { quota, id, .. } = &self.flow;
        let bytes = bytes_of(answer.body(), quota.sizes.answer);
        let mut inner = quota.lock();
        let outcome = inner.policy.answer(*id, bytes);
        quota.close(&mut inner, &outcome.closed);
        drop(inner);
        if !outcome.held {
            return answer.map(|body| Unsent::default().guard(body, self));
        }
        self.bytes += bytes;
        answer.map(|body| unsent.guard(body, self))
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Flow { quota, id, .. } = &self.flow;
        let now = quota.start.elapsed();
        quota.lock().policy.end(now, *id, self.bytes);
    }
}
