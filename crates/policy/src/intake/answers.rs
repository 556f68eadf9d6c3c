//! Answers that callers do not read.

use std::time::Duration;

use super::{ANSWER_BYTES, Connection, Intake, MAX_RECEIVE_BYTES, MIN_RECEIVE_BYTES};

impl Connection {
    /// Returns the time for which the caller has not read the current answer.
    fn blocked(&self, now: Duration) -> Duration {
        let current = self.blocked_since.map(|since| now.saturating_sub(since));
        self.blocked + current.unwrap_or_default()
    }

    /// Returns the memory of the answers that the caller does not read.
    pub(super) fn blocked_bytes(&self) -> u64 {
        self.blocked_since.map_or(0, |_| self.answer_bytes)
    }
}

impl Intake {
    /// Returns the memory that an answer of `size` bytes takes at most, if that
    /// is known, while its caller does not read.
    pub fn answer_bytes(size: Option<u64>) -> u64 {
        size.map_or(ANSWER_BYTES, |size| size.min(ANSWER_BYTES))
    }

    /// Records that an answer on a connection takes memory.
    pub fn hold_answer(&mut self, id: u64, bytes: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.answer_bytes += bytes;
            if open.blocked_since.is_some() && !open.closing {
                self.blocked_bytes += bytes;
            }
        }
    }

    /// Records that an answer on a connection was sent, or was abandoned.
    pub fn release_answer(&mut self, id: u64, bytes: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.answer_bytes -= bytes;
            if open.blocked_since.is_some() && !open.closing {
                self.blocked_bytes -= bytes;
            }
        }
    }

    /// Records that a caller does not read its answer.
    pub fn block(&mut self, now: Duration, id: u64) {
        if let Some(open) = self.connections.get_mut(&id)
            && open.blocked_since.is_none()
        {
            open.blocked_since = Some(now);
            if !open.closing {
                self.blocked_bytes += open.answer_bytes;
            }
        }
    }

    /// Records that a caller reads its answer.
    pub fn unblock(&mut self, now: Duration, id: u64) {
        if let Some(open) = self.connections.get_mut(&id)
            && open.blocked_since.is_some()
        {
            if !open.closing {
                self.blocked_bytes -= open.answer_bytes;
            }
            open.blocked = open.blocked(now);
            open.blocked_since = None;
        }
    }

    /// Returns whether a caller does not read its answer.
    pub fn is_blocked(&self, id: u64) -> bool {
        let open = self.connections.get(&id);
        open.is_some_and(|open| open.blocked_since.is_some())
    }

    /// Chooses the connection whose caller has not read its answer for longest,
    /// and for `min` at least. It counts as closed from now on.
    pub(super) fn close_blocked(&mut self, now: Duration, min: Duration) -> Option<u64> {
        let open = self.connections.iter();
        let candidates = open.filter(|(_, open)| {
            !open.closing && open.blocked_since.is_some() && open.blocked(now) >= min
        });
        let (id, _) = candidates.max_by_key(|(_, open)| open.blocked(now))?;
        let id = *id;
        self.start_closing(id);
        Some(id)
    }

    /// Returns the number of bytes that the operating system may receive for a
    /// new connection before they are read. The more connections are open, the
    /// fewer.
    pub fn receive_bytes(&self) -> u64 {
        let share = self.limits.receive_bytes / (self.connections.len() as u64 + 1);
        share.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES)
    }
}
