//! Admission of a request by the gate.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::StatusCode;
use savorylane_intent::Hash;
use savorylane_policy::cold::Sign;
use savorylane_policy::gate::{Decision, Gate, Outcome, Reason, Request};
use tokio_util::sync::CancellationToken;

use super::{Gatekeeper, Slot};
use crate::call::{Call, Cause, Refusal};
use crate::decisions;
use crate::dispatch::table::hash;
use crate::kernel::Context;
use crate::suspects::Trial;

impl Gatekeeper {
    /// Waits until the gate admits a request, and returns its slot. Stores what
    /// the decision was based on in `state`.
    pub(super) async fn admit(
        &self,
        context: &Arc<Context>,
        call: &Call,
        fingerprint: Hash,
        trial: Option<Trial>,
        state: &mut decisions::Occupancy,
    ) -> Result<Slot, Refusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let work = Request {
            id,
            length: call.class.work,
            shed_order: call.class.shed_order,
            deadline: call.deadline.saturating_duration_since(self.start),
            target: call.target.saturating_duration_since(self.start),
            caller: match &call.route {
                // All callers of a host have the address of its daemon.
                Some(_) => id,
                None => hash(&call.caller),
            },
            class: hash(&call.class.name),
            exclusive: trial.is_some(),
            late: call.late,
            stranger: call.stranger,
        };
        let displaced = CancellationToken::new();
        let waiting = {
            let mut inner = self.lock();
            match call.stranger {
                true => inner.add_stranger(id, call, &displaced),
                false => inner.displace_stranger(now),
            }
            // A stranger may state anything about the upstream.
            if let Some(route) = call.route.as_ref().filter(|_| !call.stranger) {
                if route.slots > 0 {
                    inner.gate.set_slots(route.slots as usize);
                }
                if inner.seen.record(&route.instance) {
                    inner.gate.cold_mut().on_sign(now, Sign::Instance);
                }
            }
            *state = occupancy(&inner.gate, now, &work);
            let decision = inner.gate.arrive(now, work);
            self.notify_cold(&inner, now);
            let waiting = match decision {
                Decision::Run => None,
                Decision::Refuse(reason) => {
                    let wait = inner.gate.retry_after_ms(&work);
                    inner.strangers.remove(&id);
                    inner.perform_actions(now);
                    return Err(refusal(reason, wait));
                }
                Decision::Wait => {
                    // The deadline may be the next timer.
                    self.changed.notify_one();
                    Some(inner.waiters.add(id))
                }
            };
            // An arrival can displace a queued request.
            inner.perform_actions(now);
            waiting
        };
        // Releases the slot, or the place in the queue, however this future
        // ends.
        let slot = Slot {
            context: Arc::clone(context),
            id,
            outcome: Outcome::Cancelled,
            fingerprint,
            displaced,
            _trial: trial,
        };
        let Some(waiting) = waiting else {
            return Ok(slot);
        };
        let remaining = call.remaining(Instant::now());
        let reason = match tokio::time::timeout(remaining, waiting).await {
            Ok(Ok(Ok(()))) => return Ok(slot),
            Ok(Ok(Err(reason))) => reason,
            Ok(Err(_)) | Err(_) => Reason::Deadline,
        };
        let inner = self.lock();
        *state = occupancy(&inner.gate, self.now(), &work);
        Err(refusal(reason, inner.gate.retry_after_ms(&work)))
    }
}

/// Returns the state of the gate that decides on a request, for its log line.
fn occupancy(gate: &Gate, now: Duration, request: &Request) -> decisions::Occupancy {
    let load = gate.load();
    decisions::Occupancy {
        running: load.running,
        queued: load.queued,
        late: load.late,
        limit: load.limit,
        late_allowed: request.late,
        expected: gate.expected_end(request),
        until_target: request.target.saturating_sub(now),
    }
}

/// Returns the refusal of a request that the gate does not admit. A `wait_ms`
/// of 0 stands for no retry-after hint.
pub(super) fn refusal(reason: Reason, wait_ms: u32) -> Refusal {
    let (text, cause) = match reason {
        Reason::Closed => ("the upstream is away", Cause::Away),
        Reason::Cold => ("the upstream is cold and takes few requests", Cause::Busy),
        Reason::Deadline => ("the deadline cannot be met", Cause::Busy),
        Reason::Full => ("the queue of the upstream is full", Cause::Busy),
        Reason::Leaving => ("the host leaves", Cause::Away),
        Reason::Shed => ("the upstream is overloaded", Cause::Busy),
        Reason::Strangers => {
            let reason = "peers that are no hosts have as many requests here as they may";
            (reason, Cause::Busy)
        }
    };
    Refusal {
        cause,
        retry_after: (wait_ms > 0).then(|| Duration::from_millis(wait_ms.into())),
        ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, text)
    }
}
