//! Requests of HTTP/2 callers, of which many share one connection.

use http::{HeaderMap, Request, Response};
use http_body::Body as _;
use savorylane_policy::quota::{Outcome, Peer};

use super::counts::Event;
use super::{Exchange, Flow, Inner};
use crate::body::{Body, Stall};
use crate::call::Refusal;
use crate::edge::server::{SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES};

/// Memory of an HTTP/2 request until its answer was sent; released when dropped.
#[derive(Debug)]
pub struct Stream {
    flow: Flow,
    /// Memory of the head, the body and the answer in bytes.
    bytes: u64,
}

impl Flow {
    /// Takes memory for an HTTP/2 request, and follows its body from now on.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no memory.
    pub(super) fn begin_stream(
        &self,
        request: Request<Body>,
    ) -> Result<(Request<Body>, Exchange), Refusal> {
        let body = request.body().size_hint().exact();
        let body = body.unwrap_or(u64::MAX).min(STREAM_WINDOW_BYTES.into());
        let bytes = head_bytes(request.headers()) + body;
        let now = self.intake.now();
        let mut inner = self.intake.lock();
        if !inner.streams.contains(self.id) {
            inner
                .streams
                .open(now, self.id, Peer::Stranger, self.address);
        }
        let outcome = inner.streams.begin(now, self.id, bytes);
        self.close_others(&inner, &outcome);
        if !outcome.held {
            drop(inner);
            let reason = "the entry has no memory for the request";
            return Err(self.refuse(Event::StreamRefused, reason));
        }
        inner.policy.begin_stream(now, self.id);
        drop(inner);
        let flow = self.clone();
        let request = request.map(|body| {
            Stall::of_sender(body, move |is_waiting| flow.set_stream_waiting(is_waiting))
        });
        let stream = Stream {
            flow: self.clone(),
            bytes,
        };
        Ok((request, Exchange::Stream(stream)))
    }

    fn close_others(&self, inner: &Inner, outcome: &Outcome) {
        for id in &outcome.closed {
            self.intake.close(inner, *id);
        }
    }

    fn set_stream_waiting(&self, is_waiting: bool) {
        let now = self.intake.now();
        let mut inner = self.intake.lock();
        inner.policy.set_stream_waiting(now, self.id, is_waiting);
    }
}

impl Stream {
    /// Takes memory for the answer, and moves the stream into its body.
    pub(super) fn answer(mut self, answer: Response<Body>) -> Response<Body> {
        let size = answer.body().size_hint().exact();
        let bytes = size.unwrap_or(u64::MAX).min(SEND_BUFFER_BYTES as u64);
        let flow = self.flow.clone();
        let mut inner = flow.intake.lock();
        let outcome = inner.streams.answer(flow.id, bytes);
        flow.close_others(&inner, &outcome);
        drop(inner);
        if outcome.held {
            self.bytes += bytes;
        }
        answer.map(|body| {
            // The stream ends with the body.
            let report = move |is_waiting| self.flow.set_stream_waiting(is_waiting);
            Stall::of_reader(body, report)
        })
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let Flow { intake, id, .. } = &self.flow;
        let now = intake.now();
        let mut inner = intake.lock();
        inner.streams.end(now, *id, self.bytes);
        inner.policy.end_stream(now, *id);
        intake.perform_actions(&mut inner);
    }
}

/// Returns the memory that the headers of a request take in bytes.
fn head_bytes(headers: &HeaderMap) -> u64 {
    let bytes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    bytes.sum::<usize>() as u64
}
