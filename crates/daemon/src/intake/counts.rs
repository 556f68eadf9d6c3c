//! Counts and log lines of what the limits refuse.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// What a limit did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// A connection was refused, because all are in use.
    ConnectionRefused,
    /// A connection was closed, because its caller kept the daemon waiting.
    ConnectionClosed,
    /// A connection was closed, because its caller did not read its answer.
    AnswerUnread,
    /// A body was refused, for lack of memory or behind stalled bodies.
    BodyRefused,
    /// A buffer for another attempt was discarded for lack of memory.
    BufferDiscarded,
    /// An HTTP/2 request was refused for lack of memory.
    StreamRefused,
}

/// Occupancy of an entry, and counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Number of open connections.
    pub connections: u64,
    /// Memory in use for bodies, in bytes.
    pub bytes: u64,
    /// Number of bodies that wait for memory or to be passed on.
    pub waiting: u64,
    /// Number of connections refused.
    pub refused_connections: u64,
    /// Number of connections closed to make room.
    pub closed_connections: u64,
    /// Number of connections closed whose callers did not read their answers.
    pub unread_answers: u64,
    /// Number of bodies refused.
    pub refused_bodies: u64,
    /// Number of buffers discarded.
    pub discarded_buffers: u64,
    /// Number of HTTP/2 requests refused.
    pub refused_streams: u64,
}

/// Number of events of each kind.
#[derive(Debug, Default)]
pub(super) struct Counts {
    refused_connections: AtomicU64,
    closed_connections: AtomicU64,
    unread_answers: AtomicU64,
    refused_bodies: AtomicU64,
    discarded_buffers: AtomicU64,
    refused_streams: AtomicU64,
    /// Second of the last log line.
    logged_at: AtomicU64,
}

impl Counts {
    /// Counts an event, and logs all counts at most once per second.
    pub(super) fn add(&self, event: Event) {
        let count = match event {
            Event::ConnectionRefused => &self.refused_connections,
            Event::ConnectionClosed => &self.closed_connections,
            Event::AnswerUnread => &self.unread_answers,
            Event::BodyRefused => &self.refused_bodies,
            Event::BufferDiscarded => &self.discarded_buffers,
            Event::StreamRefused => &self.refused_streams,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let second = SystemTime::now().duration_since(UNIX_EPOCH);
        let second = second.map_or(0, |since| since.as_secs());
        if self.logged_at.swap(second, Ordering::Relaxed) == second {
            return;
        }
        let state = self.read();
        log::warn!(
            target: "callers", outcome = "limited",
            refused_connections = state.refused_connections,
            closed_connections = state.closed_connections,
            unread_answers = state.unread_answers,
            refused_bodies = state.refused_bodies,
            discarded_buffers = state.discarded_buffers,
            refused_streams = state.refused_streams;
            "callers reach the limits of this entry; counts since the start"
        );
    }

    /// Returns the counts, without the occupancy.
    pub(super) fn read(&self) -> State {
        State {
            refused_connections: self.refused_connections.load(Ordering::Relaxed),
            closed_connections: self.closed_connections.load(Ordering::Relaxed),
            unread_answers: self.unread_answers.load(Ordering::Relaxed),
            refused_bodies: self.refused_bodies.load(Ordering::Relaxed),
            discarded_buffers: self.discarded_buffers.load(Ordering::Relaxed),
            refused_streams: self.refused_streams.load(Ordering::Relaxed),
            ..State::default()
        }
    }
}
