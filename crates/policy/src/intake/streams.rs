//! Requests of HTTP/2 connections, of which many share one connection.
//!
//! Such a connection can be closed to make room when all its requests wait for
//! the caller: for the rest of a body, or for an answer to be read.

use std::time::Duration;

use super::{Connection, Intake};

impl Connection {
    /// Returns whether all requests on the connection, which is one of HTTP/2,
    /// wait for the caller.
    pub(super) fn waits_for_caller(&self) -> bool {
        self.requests > 0 && self.waiting_streams >= self.requests
    }

    /// Starts or ends the time that counts against the caller.
    fn update_wait(&mut self, now: Duration) {
        if self.requests == 0 || self.waits_for_caller() {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waited = self.waited(now);
            self.waiting_since = None;
        }
    }
}

impl Intake {
    /// Records that the head of an HTTP/2 request has arrived.
    pub fn begin_stream(&mut self, now: Duration, id: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            if open.requests == 0 {
                open.waiting_since = None;
                open.waited = Duration::ZERO;
            }
            open.requests += 1;
            open.update_wait(now);
        }
    }

    /// Records that an HTTP/2 request has its answer, or was abandoned.
    pub fn end_stream(&mut self, now: Duration, id: u64) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.requests -= 1;
            if open.requests == 0 {
                open.waiting_since = None;
                open.waited = Duration::ZERO;
            }
            open.update_wait(now);
        }
    }

    /// Records whether an HTTP/2 request waits for the caller.
    pub fn set_stream_waiting(&mut self, now: Duration, id: u64, is_waiting: bool) {
        if let Some(open) = self.connections.get_mut(&id) {
            match is_waiting {
                true => open.waiting_streams += 1,
                false => open.waiting_streams -= 1,
            }
            open.update_wait(now);
        }
    }
}
