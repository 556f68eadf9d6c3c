//! A TCP relay that models a link between data centres or regions.
//!
//! A single delay is up to 1 ms too short or too long; the mean of many delays
//! is approximately correct.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::net::{Connections, Port, Stream};

/// Maximum number of bytes per read; also the granularity at which connections
/// share the bandwidth of a link.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight per connection and direction; the relay
/// stops reading at this limit.
const MAX_CHUNKS_IN_FLIGHT: usize = 1024;

/// Mean delay with which tokio's timer fires: the timer and the system call
/// that it waits in both round up to whole milliseconds.
const TIMER_LAG: Duration = Duration::from_millis(1);

/// Waits until `time`, within the resolution of the timer.
async fn wait_until(time: Instant) {
    if time > Instant::now() {
        sleep_until(time - TIMER_LAG).await;
    }
}

/// Settings of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Address to which connections are relayed.
    pub target: SocketAddr,
    /// One-way latency.
    pub delay: Duration,
    /// Maximum bandwidth of each direction, shared by all connections, in bytes
    /// per second.
    pub bandwidth: Option<f64>,
}

/// The `/24` network of an IPv4 address; zeros for IPv6.
pub type Network = [u8; 3];

/// Rules that assign connections to the network of their source.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// One-way latencies of connections from these networks.
    pub delays: BTreeMap<Network, Duration>,
    /// Parts of host names and the networks of these hosts. A connection from a
    /// network that `delays` does not contain is assigned to the network of the
    /// first such part after one of `SENDER_MEMBERS`.
    pub name_parts: Vec<(String, Network)>,
}

/// JSON members that precede the name of the sender in control messages.
const SENDER_MEMBERS: [&[u8]; 2] = [b"\"own\":", b"\"from\":"];

impl Sources {
    /// Returns the network of the sender of the control message in `bytes`.
    fn sender_network(&self, bytes: &[u8]) -> Option<Network> {
        let find = |bytes: &[u8], text: &[u8]| bytes.windows(text.len()).position(|w| w == text);
        let start = SENDER_MEMBERS
            .iter()
            .filter_map(|text| find(bytes, text))
            .min()?;
        let names = self.name_parts.iter();
        let found =
            names.filter_map(|(name, n)| Some((find(&bytes[start..], name.as_bytes())?, *n)));
        found.min().map(|(_, network)| network)
    }
}

/// Returns the network of `address`.
pub fn network(address: IpAddr) -> Network {
    match address {
        IpAddr::V4(address) => {
            let [a, b, c, _] = address.octets();
            [a, b, c]
        }
        IpAddr::V6(_) => [0; 3],
    }
}

/// Counters of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Bytes from the connecting side to the target.
    pub forward: u64,
    /// Bytes from the target to the connecting side.
    pub backward: u64,
    /// Number of connections accepted.
    pub connections: u64,
}

/// A running link.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Bound address.
    pub addr: SocketAddr,
    state: Arc<State>,
    connections: Arc<Connections>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    sources: Sources,
    /// Bytes of both directions by network of the connecting side.
    traffic: Mutex<BTreeMap<Network, Arc<AtomicU64>>>,
    forward: Direction,
    backward: Direction,
    /// Number of the next connection.
    next_number: AtomicU64,
    /// Connections with a smaller number are silenced.
    silent_below: AtomicU64,
}

#[derive(Debug)]
struct Direction {
    bytes: AtomicU64,
    /// Time at which the last byte accepted so far departs.
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new() -> Self {
        Self {
            bytes: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Counts `length` bytes and returns the time at which the last of them
    /// departs at the given bandwidth.
    fn schedule_departure(&self, length: usize, bandwidth: Option<f64>) -> Instant {
        self.bytes.fetch_add(length as u64, Ordering::Relaxed);
        let now = Instant::now();
        let Some(bandwidth) = bandwidth else {
            return now;
        };
        let mut free_at = self.free_at.lock().unwrap();
        *free_at = now.max(*free_at) + Duration::from_secs_f64(length as f64 / bandwidth);
        *free_at
    }
}

/// Starts a link.
///
/// # Errors
///
/// Returns the error of binding the port.
pub fn spawn(settings: Settings, cancel: &CancellationToken) -> io::Result<Handle> {
    spawn_by_source(settings, Sources::default(), cancel)
}

/// Starts a link whose latency depends on the network of the connecting side.
/// The latency in `settings` applies to networks that `sources` does not
/// contain.
///
/// # Errors
///
/// Returns the error of binding the port.
pub fn spawn_by_source(
    settings: Settings,
    sources: Sources,
    cancel: &CancellationToken,
) -> io::Result<Handle> {
    let bound = Port::bind()?;
    let addr = bound.0.addr;
    let connections = Connections::new(cancel.child_token());
    let state = Arc::new(State {
        settings,
        sources,
        traffic: Mutex::default(),
        forward: Direction::new(),
        backward: Direction::new(),
        next_number: AtomicU64::new(0),
        silent_below: AtomicU64::new(0),
    });
    let server = state.clone();
    tokio::spawn(connections.clone().accept(bound, move |stream| {
        let number = server.next_number.fetch_add(1, Ordering::Relaxed);
        let server = server.clone();
        async move {
            // An error on either side closes both connections.
            let _ = server.relay(number, stream).await;
        }
    }));
    Ok(Handle {
        addr,
        state,
        connections,
    })
}

impl Handle {
    /// Closes all connections and refuses new ones until [`Handle::heal`].
    pub fn cut(&self) {
        self.connections.set_refusing(true);
        self.connections.close_all();
    }

    /// Accepts connections again after [`Handle::cut`]. Silenced connections
    /// stay silenced.
    pub fn heal(&self) {
        self.connections.set_refusing(false);
    }

    /// Silences the open connections: bytes are accepted but not forwarded.
    pub fn silence(&self) {
        let next = self.state.next_number.load(Ordering::Relaxed);
        self.state.silent_below.store(next, Ordering::Relaxed);
    }

    /// Returns the counters since the start of the link.
    pub fn counters(&self) -> Counters {
        Counters {
            forward: self.state.forward.bytes.load(Ordering::Relaxed),
            backward: self.state.backward.bytes.load(Ordering::Relaxed),
            connections: self.connections.accepted(),
        }
    }

    /// Returns the bytes of both directions by network of the connecting side.
    pub fn traffic(&self) -> BTreeMap<Network, u64> {
        let traffic = self.state.traffic.lock().unwrap();
        let bytes = |bytes: &Arc<AtomicU64>| bytes.load(Ordering::Relaxed);
        traffic
            .iter()
            .map(|(n, count)| (*n, bytes(count)))
            .collect()
    }
}

/// One relayed connection.
struct Connection {
    number: u64,
    /// Whether the network of the source is known.
    source_known: AtomicBool,
    route: Mutex<Route>,
}

impl Connection {
    fn route(&self) -> Route {
        self.route.lock().unwrap().clone()
    }
}

/// Latency and byte counter of a source network.
#[derive(Clone, Debug)]
struct Route {
    delay: Duration,
    traffic: Arc<AtomicU64>,
}

impl State {
    async fn relay(&self, number: u64, incoming: Stream) -> io::Result<()> {
        let source = network(incoming.connection.peer.ip());
        let connection = Connection {
            number,
            source_known: AtomicBool::new(self.sources.delays.contains_key(&source)),
            route: Mutex::new(self.route(source)),
        };
        // The kernel completes the TCP handshake on loopback immediately; over
        // the modelled link it takes a round trip.
        wait_until(Instant::now() + 2 * connection.route().delay).await;
        let outgoing = TcpStream::connect(self.settings.target).await?;
        outgoing.set_nodelay(true)?;
        let (incoming_read, incoming_write) = split(incoming);
        let (outgoing_read, outgoing_write) = split(outgoing);
        tokio::try_join!(
            self.transmit(&connection, &self.forward, incoming_read, outgoing_write),
            self.transmit(&connection, &self.backward, outgoing_read, incoming_write),
        )?;
        Ok(())
    }

    fn route(&self, source: Network) -> Route {
        let delay = self.sources.delays.get(&source).copied();
        let mut traffic = self.traffic.lock().unwrap();
        Route {
            delay: delay.unwrap_or(self.settings.delay),
            traffic: traffic.entry(source).or_default().clone(),
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::Relaxed)
    }

    async fn transmit(
        &self,
        connection: &Connection,
        direction: &Direction,
        mut read: impl AsyncRead + Unpin,
        mut write: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let number = connection.number;
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
        let reader = async move {
            loop {
                let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
                let length = read.read_buf(&mut buffer).await?;
                if self.is_silent(number) && length > 0 {
                    continue;
                }
                let departure = direction.schedule_departure(length, self.settings.bandwidth);
                if !connection.source_known.load(Ordering::Relaxed)
                    && let Some(network) = self.sources.sender_network(&buffer)
                {
                    *connection.route.lock().unwrap() = self.route(network);
                    connection.source_known.store(true, Ordering::Relaxed);
                }
                let route = connection.route();
                route.traffic.fetch_add(length as u64, Ordering::Relaxed);
                let arrival = departure + route.delay;
                // An empty chunk marks the end of the stream.
                if sender.send((arrival, buffer.freeze())).await.is_err() || length == 0 {
                    return Ok(());
                }
                if self.settings.bandwidth.is_some() {
                    wait_until(departure).await;
                }
            }
        };
        let writer = async move {
            while let Some((arrival, bytes)) = receiver.recv().await {
                wait_until(arrival).await;
                if self.is_silent(number) {
                    // The other side does not see the end of the stream either.
                    if bytes.is_empty() {
                        std::future::pending::<()>().await;
                    }
                    continue;
                }
                if bytes.is_empty() {
                    return write.shutdown().await;
                }
                write.write_all(&bytes).await?;
            }
            Ok(())
        };
        tokio::try_join!(reader, writer)?;
        Ok(())
    }
}
