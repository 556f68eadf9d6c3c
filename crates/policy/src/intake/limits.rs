//! Limits of an entry, by the resources of its process.

use std::ops::RangeInclusive;

use super::{ANSWER_BYTES, BODY_BYTES};

/// Memory of an open connection in bytes: its read buffer, which holds the head
/// of a request, and its state.
const CONNECTION_BYTES: u64 = 40 << 10;
/// Number of stalled bodies that are tolerated on their way to upstreams, fewer
/// than the slots of an ordinary upstream.
const MAX_STALLED: usize = 4;

/// Memory of the answer to an HTTP/2 request in bytes: the buffer of its stream.
const STREAM_ANSWER_BYTES: u64 = 128 << 10;
/// Bounds of the number of concurrent requests on an HTTP/2 connection.
const CONNECTION_STREAMS: RangeInclusive<u64> = 16..=128;

/// Limits of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum memory for bodies in bytes.
    pub body_bytes: u64,
    /// Maximum memory for answers that callers do not read, in bytes.
    pub answer_bytes: u64,
    /// Memory for bytes that the operating system has received and that were
    /// not read yet.
    pub receive_bytes: u64,
    /// Memory for HTTP/2 requests and their answers in bytes.
    pub stream_bytes: u64,
    /// Number of stalled bodies, on their way to upstreams, from which on
    /// bodies are received completely before they are passed on.
    pub stalled: usize,
}

impl Limits {
    /// Returns the limits of a process with `memory_mb` megabytes of memory and
    /// `descriptors` descriptors.
    ///
    /// Connections get a quarter of the descriptors and three eighths of the
    /// memory, bodies three sixteenths of the memory, answers an eighth, HTTP/2
    /// requests an eighth, and unread bytes a thirty-second. The rest is left to
    /// the other listeners and to the connections to upstreams, to other daemons
    /// and to the store.
    pub fn new(memory_mb: u64, descriptors: usize) -> Self {
        let memory = memory_mb * 1_000_000;
        let by_memory = memory * 3 / 8 / CONNECTION_BYTES;
        Self {
            connections: (descriptors / 4).min(by_memory as usize).max(1),
            body_bytes: (memory * 3 / 16).max(BODY_BYTES),
            answer_bytes: (memory / 8).max(ANSWER_BYTES),
            receive_bytes: memory / 32,
            stream_bytes: memory / 8,
            stalled: MAX_STALLED,
        }
    }

    /// Returns the maximum number of answers that are made before the turn of
    /// their requests. They take up to half of the memory for answers.
    pub fn early_answers(&self) -> usize {
        (self.answer_bytes / 2 / ANSWER_BYTES).max(1) as usize
    }

    /// Returns the maximum number of concurrent requests on an HTTP/2
    /// connection. Their answers take up to half of the memory for HTTP/2
    /// requests, so that no connection is closed for what it holds alone.
    pub fn connection_streams(&self) -> u32 {
        let streams = self.stream_bytes / 2 / STREAM_ANSWER_BYTES;
        streams.clamp(*CONNECTION_STREAMS.start(), *CONNECTION_STREAMS.end()) as u32
    }
}
