//! Limits of what the peers of one listener hold: connections, and memory for
//! requests and answers.
//!
//! As long as there is room, no connection is closed. When there is none, peers
//! that are no hosts of the deployment lose their connections first, those that
//! hold most or have been idle for longest before others. A request of a host is
//! refused before its connection is closed, because other requests run on it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// Memory of an open connection in bytes: its read buffer, its state, and what
/// the operating system has received for it.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Memory of a request in bytes, besides its body: its head and its state.
const REQUEST_BYTES: u64 = 8 << 10;
/// Maximum number of open connections of one host.
const MAX_HOST_CONNECTIONS: usize = 128;
/// One in this many connections may be in the course of being closed; their
/// descriptors are still open.
const CLOSING_SHARE: usize = 8;
/// While connections that are being closed hold more than one part in this many
/// of the memory, no others are closed to make room.
const CLOSING_MEMORY_SHARE: u64 = 4;
/// An address may displace connections of another one that has at least this
/// many times as many connections.
const FAIR_RATIO: usize = 2;
/// A connection of a host that holds more than one part in this many of the
/// memory is closed if there is no room for others.
const MAX_HOST_SHARE: u64 = 2;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Peer {
    /// Anybody else.
    Stranger,
    /// Another host of the deployment.
    Host,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of open connections of strangers.
    pub strangers: usize,
    /// Maximum memory for requests and answers in bytes.
    pub bytes: u64,
}

/// What a listener is for, which determines its part of the resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// Requests of other hosts.
    Data,
    /// Control messages of other hosts.
    Control,
    /// Operators.
    Operator,
    /// Readiness probes of a platform.
    Ready,
}

impl Listener {
    fn shares(self) -> Shares {
        let (connections, strangers, memory) = match self {
            Self::Data => (4, 16, 16),
            Self::Control => (16, 32, 32),
            Self::Operator => (64, 64, 64),
            Self::Ready => (64, 64, 128),
        };
        Shares {
            connections,
            strangers,
            memory,
        }
    }
}

/// Parts of the resources of a process, each as one in this many.
#[derive(Clone, Copy, Debug)]
struct Shares {
    /// Descriptors for connections.
    connections: usize,
    /// Descriptors for connections of strangers.
    strangers: usize,
    /// Memory for requests and answers.
    memory: u64,
}

impl Limits {
    /// Returns the limits of a listener in a process with `memory_mb` megabytes
    /// of memory and `descriptors` descriptors. Connections of strangers take
    /// half as much memory as requests and answers.
    pub fn new(listener: Listener, memory_mb: u64, descriptors: usize) -> Self {
        let shares = listener.shares();
        let bytes = memory_mb * 1_000_000 / shares.memory;
        let by_memory = (bytes / 2 / CONNECTION_BYTES) as usize;
        Self {
            connections: (descriptors / shares.connections).max(1),
            strangers: (descriptors / shares.strangers).min(by_memory).max(1),
            bytes,
        }
    }
}

/// Room for one more connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// The connection can be accepted.
    Free,
    /// The connection can be accepted if the one with this id is closed.
    Close(u64),
    /// All connections are in use.
    Full,
}

/// What follows from a request or an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Whether memory was taken, which [`Quota::end`] must release.
    pub held: bool,
    /// Connections that must be closed.
    pub closed: Vec<u64>,
}

#[derive(Debug)]
struct Connection {
    peer: Peer,
    address: IpAddr,
    /// Number of requests whose answers were not sent completely.
    requests: u32,
    /// Memory of these requests in bytes.
    bytes: u64,
    /// When the connection was opened, or a request on it last began or ended.
    active_at: Duration,
    /// Whether the connection was chosen to be closed. Its memory no longer
    /// counts.
    closing: bool,
}

/// Connections of the peers of one listener.
///
/// Invariant: the memory in use is the sum over the connections that are not
/// being closed.
#[derive(Debug)]
pub struct Quota {
    limits: Limits,
    connections: BTreeMap<u64, Connection>,
    /// Number of connections that were chosen to be closed.
    closing: usize,
    bytes: u64,
    /// Memory of the connections that are being closed, which is still in use.
    closing_bytes: u64,
}

impl Quota {
    /// Creates a quota without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            closing: 0,
            bytes: 0,
            closing_bytes: 0,
        }
    }

    /// Returns whether there is room for one more connection of `peer` from
    /// `address`.
    ///
    /// If there is none, the connection that has been idle for longest makes
    /// room, then a stranger for a host, and then the address with the most
    /// connections if `address` has far fewer.
    pub fn room(&mut self, peer: Peer, address: IpAddr) -> Room {
        let strangers = self.count(|open| open.peer == Peer::Stranger);
        let all = self.count(|_| true);
        let own = self.count(|open| open.address == address);
        let fits = all < self.limits.connections;
        let fits = fits
            && match peer {
                Peer::Stranger => strangers < self.limits.strangers,
                Peer::Host => own < MAX_HOST_CONNECTIONS,
            };
        if fits {
            return Room::Free;
        }
        if self.closing > self.limits.strangers / CLOSING_SHARE {
            return Room::Full;
        }
        if peer == Peer::Host && own >= MAX_HOST_CONNECTIONS {
            let chosen = self.choose(|open| open.requests == 0 && open.address == address);
            return chosen.map_or(Room::Full, Room::Close);
        }
        let chosen = self
            .choose(|open| open.requests == 0 && open.peer <= peer)
            .or_else(|| self.choose(|open| open.peer < peer))
            .or_else(|| self.displace(peer, address));
        chosen.map_or(Room::Full, Room::Close)
    }

    fn count(&self, counts: impl Fn(&Connection) -> bool) -> usize {
        let open = self.connections.values();
        open.filter(|open| !open.closing && counts(open)).count()
    }

    /// Chooses the connection that has been idle for longest, those of
    /// strangers first.
    pub fn close_idle(&mut self) -> Option<u64> {
        self.choose(|open| open.requests == 0)
    }

    /// Chooses a connection of the address with the most connections, if it has
    /// far more of them than `address`.
    fn displace(&mut self, peer: Peer, address: IpAddr) -> Option<u64> {
        let mut counts = BTreeMap::<IpAddr, usize>::new();
        let open = self.connections.values();
        for open in open.filter(|open| !open.closing && open.peer <= peer) {
            *counts.entry(open.address).or_default() += 1;
        }
        let own = counts.get(&address).copied().unwrap_or(0);
        let (largest, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if count < FAIR_RATIO * (own + 1) {
            return None;
        }
        self.choose(|open| open.address == largest && open.peer <= peer)
    }

    /// Chooses a connection among those that `may_close` accepts: one of a
    /// stranger before one of a host, then the one that was active least
    /// recently.
    fn choose(&mut self, may_close: impl Fn(&Connection) -> bool) -> Option<u64> {
        let open = self.connections.iter();
        let candidates = open.filter(|(_, open)| !open.closing && may_close(open));
        let (id, _) = candidates.min_by_key(|(_, open)| (open.peer, open.active_at))?;
        let id = *id;
        self.start_closing(id);
        Some(id)
    }

    fn start_closing(&mut self, id: u64) {
        if let Some(open) = self.connections.get_mut(&id)
            && !open.closing
        {
            open.closing = true;
            self.closing += 1;
            self.bytes -= open.bytes;
            self.closing_bytes += open.bytes;
        }
    }

    /// Records a new connection.
    pub fn open(&mut self, now: Duration, id: u64, peer: Peer, address: IpAddr) {
        let connection = Connection {
            peer,
            address,
            requests: 0,
            bytes: 0,
            active_at: now,
            closing: false,
        };
        self.connections.insert(id, connection);
    }

    /// Returns whether a connection is recorded.
    pub fn contains(&self, id: u64) -> bool {
        self.connections.contains_key(&id)
    }

    /// Returns whether a connection is one of a stranger.
    pub fn is_stranger(&self, id: u64) -> bool {
        let open = self.connections.get(&id);
        open.is_some_and(|open| open.peer == Peer::Stranger)
    }

    /// Records that a stranger is a host.
    pub fn recognise(&mut self, id: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.peer = Peer::Host;
        }
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: u64) {
        match self.connections.remove(&id) {
            Some(closed) if closed.closing => {
                self.closing -= 1;
                self.closing_bytes -= closed.bytes;
            }
            Some(closed) => self.bytes -= closed.bytes,
            None => {}
        }
    }

    /// Returns whether no answer on a connection remains to be sent.
    pub fn is_idle(&self, id: u64) -> bool {
        let open = self.connections.get(&id);
        open.is_some_and(|open| open.requests == 0)
    }

    /// Takes memory for a request whose body takes up to `body_bytes` bytes. A
    /// request for which there is none must be refused.
    ///
    /// Without room for it, the strangers that hold most are closed, and then a
    /// host that holds more than its share.
    pub fn begin(&mut self, now: Duration, id: u64, body_bytes: u64) -> Outcome {
        let bytes = REQUEST_BYTES.saturating_add(body_bytes);
        let closed = self.make_room(id, bytes);
        let held = self.fits(bytes);
        if let Some(open) = self.connections.get_mut(&id)
            && held
        {
            open.requests += 1;
            open.active_at = now;
            self.add_bytes(id, bytes);
        }
        Outcome { held, closed }
    }

    /// Takes memory for an answer of `bytes` bytes. Closes the strangers that
    /// hold most to make room for it.
    ///
    /// Answers to hosts take none: many hosts fetch a large configuration at the
    /// same time, and each reads its answer.
    pub fn answer(&mut self, id: u64, bytes: u64) -> Outcome {
        let open = self.connections.get(&id);
        if open.is_none_or(|open| open.peer == Peer::Host) {
            return Outcome::default();
        }
        let mut closed = self.make_room(id, bytes);
        if !self.fits(bytes) {
            self.start_closing(id);
            closed.push(id);
        }
        self.add_bytes(id, bytes);
        Outcome { held: true, closed }
    }

    fn add_bytes(&mut self, id: u64, bytes: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.bytes += bytes;
            match open.closing {
                true => self.closing_bytes += bytes,
                false => self.bytes += bytes,
            }
        }
    }

    fn fits(&self, bytes: u64) -> bool {
        self.bytes.saturating_add(bytes) <= self.limits.bytes
    }

    /// Chooses connections to close, so that a request or an answer of `bytes`
    /// bytes on the connection `id` fits. Chooses none while those that are being
    /// closed still hold much.
    fn make_room(&mut self, id: u64, bytes: u64) -> Vec<u64> {
        let mut closed = Vec::new();
        let max_closing = self.limits.bytes / CLOSING_MEMORY_SHARE;
        while !self.fits(bytes) && self.closing_bytes <= max_closing {
            let Some(chosen) = self.find_largest(id) else {
                break;
            };
            self.start_closing(chosen);
            closed.push(chosen);
        }
        closed
    }

    /// Returns the connection that is closed first to make room for the
    /// connection `id`, if one may be.
    fn find_largest(&self, id: u64) -> Option<u64> {
        let own = self.connections.get(&id)?;
        let open = self.connections.iter();
        let others = open.filter(|(other, open)| **other != id && !open.closing);
        let holding = others.filter(|(_, open)| open.bytes > 0);
        let (largest, open) =
            holding.max_by_key(|(_, open)| (open.peer == Peer::Stranger, open.bytes))?;
        let may_close = match open.peer {
            Peer::Stranger => own.peer == Peer::Host || own.bytes < open.bytes,
            Peer::Host => open.bytes > self.limits.bytes / MAX_HOST_SHARE,
        };
        may_close.then_some(*largest)
    }

    /// Records that a request has ended, and that its answer was sent. Releases
    /// what its body and its answer held, `bytes` bytes.
    pub fn end(&mut self, now: Duration, id: u64, bytes: u64) {
        let bytes = REQUEST_BYTES.saturating_add(bytes);
        if let Some(open) = self.connections.get_mut(&id) {
            open.requests -= 1;
            open.active_at = now;
            open.bytes -= bytes;
            match open.closing {
                true => self.closing_bytes -= bytes,
                false => self.bytes -= bytes,
            }
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory in use in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
