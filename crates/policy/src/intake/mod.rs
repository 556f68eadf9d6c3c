//! Limits of what the callers of an entry hold: connections, memory for bodies
//! and for answers, and slots of upstreams behind bodies that do not arrive.
//!
//! As long as there is room, a slow caller is served until its deadline. Only
//! when there is none, the connection whose caller has been waited for longest
//! is closed. The time of a caller counts only while the daemon waits for its
//! bytes, so that a caller is not blamed for a slow upstream or link.

mod answers;
mod limits;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

pub use limits::Limits;

/// Memory of a large body that passes the daemon in bytes: what was read and
/// not yet sent on. It includes the bytes that are read ahead of a body of
/// unknown size.
const BODY_BYTES: u64 = 96 << 10;
/// Memory of a body without content in bytes.
const EMPTY_BODY_BYTES: u64 = 4 << 10;
/// Time for which a caller must have been waited for before its connection is
/// closed to make room: several retransmissions on a link that loses packets.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Memory of an answer whose caller does not read it, in bytes: the window of an
/// answer from another host, and the buffer of the connection to the caller.
const ANSWER_BYTES: u64 = 192 << 10;
/// Maximum number of bytes that the operating system receives for a connection
/// before they are read. It bounds the rate of an upload: 4 MB per second at a
/// round trip of 16 ms.
const MAX_RECEIVE_BYTES: u64 = 64 << 10;
/// The same for a connection among very many.
pub const MIN_RECEIVE_BYTES: u64 = 8 << 10;
/// One in this many connections may be in the course of being closed; their
/// descriptors are still open.
const CLOSING_SHARE: usize = 8;
/// An address may displace connections of another one that has at least this
/// many times as many connections.
const FAIR_RATIO: usize = 2;
/// Share of the memory for bodies that buffers of bodies may take; the rest is
/// left to bodies that arrive.
const BUFFER_SHARE: f64 = 0.5;

/// A body that asks for memory.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    /// Identifies the body.
    pub id: u64,
    /// Connection on which the body arrives.
    pub connection: u64,
    /// Size of the body in bytes, if it is known.
    pub size: Option<u64>,
}

impl Body {
    /// Returns the memory of the body in bytes, without the buffer of a large
    /// body for further attempts. A frame shares its memory with what was read
    /// at the same time, so that a small body takes up to twice its size.
    pub fn bytes(&self) -> u64 {
        let needed = |size: u64| EMPTY_BODY_BYTES.saturating_add(size.saturating_mul(2));
        self.size.map_or(BODY_BYTES, needed).min(BODY_BYTES)
    }
}

/// What follows from a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The body with this id has memory now.
    Admit(u64),
    /// The body on the connection with this id may be passed on now.
    Pass(u64),
    /// The connection with this id must be closed.
    Close(u64),
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

#[derive(Debug)]
struct Connection {
    /// Address of the caller.
    address: IpAddr,
    /// Number of requests that have no complete answer.
    requests: u32,
    /// Number of HTTP/2 requests that wait for the caller.
    waiting_streams: u32,
    /// When the daemon began to wait for bytes of the caller; `None` while it
    /// does not.
    waiting_since: Option<Duration>,
    /// Time for which the daemon has waited for the current body before.
    waited: Duration,
    /// Whether a part of the current body has not arrived.
    receiving: bool,
    /// Whether the current body is passed on before it has arrived.
    passing: bool,
    /// Memory of the bodies on the connection in bytes.
    bytes: u64,
    /// Memory of the answers on the connection in bytes.
    answer_bytes: u64,
    /// When the caller began not to read its answer; `None` while it reads.
    blocked_since: Option<Duration>,
    /// Time for which the caller has not read the current answer before.
    blocked: Duration,
    /// Whether the connection was chosen to be closed.
    closing: bool,
}

impl Connection {
    /// Returns the time for which the daemon has waited for the head of the
    /// next request, or for the current body.
    fn waited(&self, now: Duration) -> Duration {
        let current = self.waiting_since.map(|since| now.saturating_sub(since));
        self.waited + current.unwrap_or_default()
    }

    /// Returns whether each request on the connection waits for the caller, so
    /// that closing it costs no answer but one that the caller does not read.
    fn is_incomplete(&self) -> bool {
        self.requests == 0 || self.requests == 1 && self.receiving || self.waits_for_caller()
    }

    fn is_stalled(&self, now: Duration) -> bool {
        let stopped = self.requests == 1 && self.receiving || self.waits_for_caller();
        stopped && !self.closing && self.waited(now) >= MIN_STALL
    }
}

/// Connections of callers, and the memory of their bodies.
///
/// Invariant: the memory in use is the sum over the admitted bodies.
#[derive(Debug)]
pub struct Intake {
    limits: Limits,
    connections: BTreeMap<u64, Connection>,
    /// Number of connections that were chosen to be closed.
    closing: usize,
    /// Memory of the answers that callers do not read, without those on
    /// connections that were chosen to be closed.
    blocked_bytes: u64,
    /// Connection and memory of each admitted body.
    admitted: BTreeMap<u64, (u64, u64)>,
    bytes: u64,
    /// Memory, id and connection of bodies that wait for memory. Small ones are
    /// first, because they need it for the shortest time.
    waiting: BTreeSet<(u64, u64, u64)>,
    /// Connections whose bodies wait to be passed on.
    waiting_to_pass: BTreeSet<u64>,
    /// Whether bodies are received completely before they are passed on.
    pressed: bool,
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            closing: 0,
            blocked_bytes: 0,
            admitted: BTreeMap::new(),
            bytes: 0,
            waiting: BTreeSet::new(),
            waiting_to_pass: BTreeSet::new(),
            pressed: false,
        }
    }

    /// Returns whether there is room for one more connection from `address`.
    ///
    /// If there is none, a caller that keeps the daemon waiting makes room, for a
    /// request or by not reading its answer, or else the address with the most
    /// connections if `address` has far fewer. Any other request that has arrived
    /// completely is never displaced.
    pub fn room(&mut self, now: Duration, address: IpAddr) -> Room {
        let max = self.limits.connections;
        if self.connections.len() - self.closing < max {
            return Room::Free;
        }
        if self.closing > max / CLOSING_SHARE {
            return Room::Full;
        }
        let chosen = self.close_longest(now);
        let chosen = chosen.or_else(|| self.close_blocked(now, MIN_STALL));
        let chosen = chosen.or_else(|| self.displace(now, address));
        chosen.map_or(Room::Full, Room::Close)
    }

    /// Chooses the connection that has been waited for longest, for its next
    /// request or for a stalled body. It counts as closed from now on.
    pub fn close_longest(&mut self, now: Duration) -> Option<u64> {
        self.choose(now, |open| {
            open.is_incomplete() && open.waited(now) >= MIN_STALL
        })
    }

    /// Chooses a connection of the address with the most connections, if it has
    /// far more of them than `address`.
    fn displace(&mut self, now: Duration, address: IpAddr) -> Option<u64> {
        let mut counts = BTreeMap::<IpAddr, usize>::new();
        for open in self.connections.values().filter(|open| !open.closing) {
            *counts.entry(open.address).or_default() += 1;
        }
        let own = counts.get(&address).copied().unwrap_or(0);
        let (largest, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if count < FAIR_RATIO * (own + 1) {
            return None;
        }
        self.choose(now, |open| open.address == largest && open.is_incomplete())
    }

    /// Chooses the connection that was waited for longest among those that
    /// `may_close` accepts.
    fn choose(&mut self, now: Duration, may_close: impl Fn(&Connection) -> bool) -> Option<u64> {
        let open = self.connections.iter();
        let candidates = open.filter(|(_, open)| !open.closing && may_close(open));
        let (id, _) = candidates.max_by_key(|(_, open)| open.waited(now))?;
        let id = *id;
        self.start_closing(id);
        Some(id)
    }

    fn start_closing(&mut self, id: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.closing = true;
            self.closing += 1;
            self.blocked_bytes -= open.blocked_bytes();
        }
    }

    /// Records a new connection from `address`.
    pub fn open(&mut self, now: Duration, id: u64, address: IpAddr) {
        let connection = Connection {
            address,
            requests: 0,
            waiting_streams: 0,
            waiting_since: Some(now),
            waited: Duration::ZERO,
            receiving: false,
            passing: false,
            bytes: 0,
            answer_bytes: 0,
            blocked_since: None,
            blocked: Duration::ZERO,
            closing: false,
        };
        self.connections.insert(id, connection);
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: u64) {
        match self.connections.remove(&id) {
            Some(closed) if closed.closing => self.closing -= 1,
            Some(closed) => self.blocked_bytes -= closed.blocked_bytes(),
            None => {}
        }
        self.waiting_to_pass.remove(&id);
    }

    /// Returns whether no request on a connection waits for its answer.
    pub fn is_idle(&self, id: u64) -> bool {
        let open = self.connections.get(&id);
        open.is_some_and(|open| open.requests == 0)
    }

    /// Records that the head of a request has arrived.
    pub fn begin(&mut self, id: u64, has_body: bool) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.requests += 1;
            open.waiting_since = None;
            open.waited = Duration::ZERO;
            open.receiving = has_body;
            open.passing = has_body;
        }
    }

    /// Records that a request has its answer, or was abandoned.
    pub fn end(&mut self, now: Duration, id: u64) {
        self.waiting_to_pass.remove(&id);
        if let Some(open) = self.connections.get_mut(&id) {
            open.requests = open.requests.saturating_sub(1);
            if open.requests == 0 {
                open.waiting_since = Some(now);
                open.waited = Duration::ZERO;
                open.receiving = false;
                open.passing = false;
                open.blocked = Duration::ZERO;
            }
        }
    }

    /// Records that the daemon waits for bytes of a body.
    pub fn wait(&mut self, now: Duration, id: u64) {
        if let Some(open) = self.connections.get_mut(&id)
            && open.requests > 0
        {
            open.waiting_since.get_or_insert(now);
        }
    }

    /// Records that bytes of a body have arrived; `last` if it is complete.
    pub fn resume(&mut self, now: Duration, id: u64, last: bool) {
        if let Some(open) = self.connections.get_mut(&id)
            && open.requests > 0
        {
            open.waited = open.waited(now);
            open.waiting_since = None;
            if last {
                open.receiving = false;
                open.passing = false;
            }
        }
    }

    /// Admits a body, or lets it wait for memory. Returns whether it was
    /// admitted.
    pub fn admit(&mut self, body: Body) -> bool {
        let bytes = body.bytes();
        let first = self.waiting.first();
        if self.fits(bytes) && first.is_none_or(|(waiting, ..)| bytes < *waiting) {
            self.hold(bytes, body.id, body.connection);
            return true;
        }
        self.waiting.insert((bytes, body.id, body.connection));
        false
    }

    /// Returns whether a body with this memory can be admitted.
    fn fits(&self, bytes: u64) -> bool {
        self.bytes + bytes <= self.limits.body_bytes
    }

    fn hold(&mut self, bytes: u64, id: u64, connection: u64) {
        self.admitted.insert(id, (connection, bytes));
        self.add_bytes(connection, bytes);
    }

    fn add_bytes(&mut self, connection: u64, bytes: u64) {
        self.bytes += bytes;
        if let Some(open) = self.connections.get_mut(&connection) {
            open.bytes += bytes;
        }
    }

    /// Takes more memory for the buffer of an admitted body. Returns `false` if
    /// there is none.
    pub fn grow(&mut self, id: u64, bytes: u64) -> bool {
        let max_bytes = (self.limits.body_bytes as f64 * BUFFER_SHARE) as u64;
        let Some((connection, held)) = self.admitted.get_mut(&id) else {
            return false;
        };
        if !self.waiting.is_empty() || self.bytes + bytes > max_bytes {
            return false;
        }
        *held += bytes;
        let connection = *connection;
        self.add_bytes(connection, bytes);
        true
    }

    /// Releases the memory of a body, or its place among those that wait.
    pub fn release(&mut self, id: u64) {
        self.waiting.retain(|(_, waiting, _)| *waiting != id);
        let Some((connection, held)) = self.admitted.remove(&id) else {
            return;
        };
        self.bytes -= held;
        if let Some(open) = self.connections.get_mut(&connection) {
            open.bytes -= held;
        }
    }

    /// Returns whether bodies must be received completely before they are
    /// passed on. This begins with as many stalled bodies as the limits name,
    /// and lasts until no body on its way to an upstream is stalled.
    pub fn is_pressed(&mut self, now: Duration) -> bool {
        let open = self.connections.values();
        let stalled = open.filter(|open| open.passing && open.is_stalled(now));
        match stalled.count() {
            0 if self.waiting_to_pass.is_empty() => self.pressed = false,
            count if count >= self.limits.stalled => self.pressed = true,
            _ => {}
        }
        self.pressed
    }

    /// Records that a body is received before it is passed on.
    pub fn hold_back(&mut self, connection: u64) {
        if let Some(open) = self.connections.get_mut(&connection) {
            open.passing = false;
        }
    }

    /// Lets a body be passed on before it has arrived, if few are, or lets it
    /// wait. Returns whether it may be passed on now.
    pub fn pass(&mut self, connection: u64) -> bool {
        if self.passing() >= self.limits.stalled {
            self.waiting_to_pass.insert(connection);
            return false;
        }
        self.set_passing(connection);
        true
    }

    fn set_passing(&mut self, connection: u64) {
        if let Some(open) = self.connections.get_mut(&connection) {
            open.passing = open.receiving;
        }
    }

    /// Returns the number of bodies that are passed on before they have
    /// arrived.
    fn passing(&self) -> usize {
        let open = self.connections.values();
        open.filter(|open| open.passing && !open.closing).count()
    }

    /// Returns whether a body waits for memory or to be passed on.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.waiting_to_pass.is_empty()
    }

    /// Returns the next action at `now`. Must be called until it returns `None`
    /// after each [`Intake::release`], [`Intake::end`], [`Intake::close`],
    /// [`Intake::hold_answer`] and [`Intake::block`], and from time to time while a body waits.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        if self.blocked_bytes > self.limits.answer_bytes
            && let Some(id) = self.close_blocked(now, Duration::ZERO)
        {
            return Some(Action::Close(id));
        }
        if let Some((bytes, id, connection)) = self.waiting.first().copied()
            && self.fits(bytes)
        {
            self.waiting.pop_first();
            self.hold(bytes, id, connection);
            return Some(Action::Admit(id));
        }
        if let Some(id) = self.waiting_to_pass.first().copied()
            && self.passing() < self.limits.stalled
        {
            self.waiting_to_pass.remove(&id);
            self.set_passing(id);
            return Some(Action::Pass(id));
        }
        if self.needs_memory() {
            let chosen = self.choose(now, |open| open.bytes > 0 && open.is_stalled(now));
            if let Some(id) = chosen {
                return Some(Action::Close(id));
            }
        }
        if !self.waiting_to_pass.is_empty() {
            let chosen = self.choose(now, |open| open.passing && open.is_stalled(now));
            return chosen.map(Action::Close);
        }
        None
    }

    /// Returns whether the waiting bodies need more memory than connections
    /// that are being closed will release.
    fn needs_memory(&self) -> bool {
        if self.waiting.is_empty() {
            return false;
        }
        let open = self.connections.values();
        let released = open.filter(|open| open.closing).map(|open| open.bytes);
        let kept = self.bytes.saturating_sub(released.sum());
        let needed: u64 = self.waiting.iter().map(|(bytes, ..)| bytes).sum();
        kept + needed > self.limits.body_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory in use for bodies, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of bodies that wait for memory or to be passed on.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.waiting_to_pass.len()
    }
}
