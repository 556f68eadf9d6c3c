//! Admission of requests to the host's upstream, and the verdict whether a
//! request ran.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderValue, Response, StatusCode};
use savorylane_ledger::suspect::FINGERPRINT_BODY_BYTES;
use savorylane_policy::gate::{self, Gate, Outcome, Reason};
use savorylane_wire::{Load, Verdict, header};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::body::{Body, Error, Watched, peek};
use crate::call::{Call, Cause, Refusal};
use crate::decisions::{self, Kind};
use crate::edge::upstream::{self, Upstream};
use crate::kernel::Context;
use crate::suspects;
use crate::waiters::Waiters;

mod admit;
pub mod cold;
mod deaths;
mod departure;
mod drive;
mod evacuation;
mod judge;
mod listing;
mod slot;
mod stranger;

use admit::refusal;
use deaths::{Detector, Interruption};
use departure::Departures;
use evacuation::Evacuation;
use listing::check_listed;
use slot::Slot;
use stranger::Turn;

/// Expected service time of an upstream on the adapted platform before one was
/// measured, as a share of the target latency. Daemons on that platform start
/// under full load.
const PRIOR_SHARE: f64 = 0.25;
/// Time between two attempts to connect to an unreachable upstream, also the
/// retry-after hint of a refusal while the gate is closed.
const CLOSED_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Gate of the host's upstream, and the requests that wait for admission.
#[derive(Debug)]
pub struct Gatekeeper {
    start: Instant,
    next_id: AtomicU64,
    inner: Mutex<Inner>,
    upstream: Upstream,
    /// Wakes [`Gatekeeper::drive`] when a timer may have changed.
    changed: Notify,
    /// Whether the upstream reports that it is draining.
    draining: AtomicBool,
    /// Instances of the upstream that are leaving or gone.
    pub departures: Departures,
    /// Evacuation of this host's data centre.
    pub evacuation: Evacuation,
    /// Detects that the upstream died with requests in flight.
    deaths: Detector,
    /// Wakes the task that watches whether the upstream is cold.
    cold: cold::Signal,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiters: Waiters,
    seen: cold::Seen,
    /// Requests of strangers, by the gate's id.
    strangers: HashMap<u64, Stranger>,
}

/// Request of a peer that is no host of the deployment.
#[derive(Debug)]
struct Stranger {
    /// Address of the peer.
    address: IpAddr,
    /// Id that the caller gave the request; empty if it gave none.
    id: String,
    /// Cancelled when the request loses its slot.
    displaced: CancellationToken,
}

/// State of the gate when a request arrived, and the time that the request
/// waited, for its log line.
#[derive(Clone, Copy, Debug, Default)]
struct Admission {
    gate: decisions::Occupancy,
    waited: Duration,
}

impl Gatekeeper {
    /// Creates the open gate of `upstream` with `slots` slots. `adapted` states
    /// whether the daemon runs on the adapted platform.
    pub fn new(slots: usize, upstream: Upstream, adapted: bool) -> Arc<Self> {
        let gate = match adapted {
            true => Gate::with_prior(slots, PRIOR_SHARE),
            false => Gate::new(slots),
        };
        Arc::new(Self {
            start: Instant::now(),
            next_id: AtomicU64::new(1),
            inner: Mutex::new(Inner {
                gate,
                waiters: Waiters::default(),
                seen: cold::Seen::default(),
                strangers: HashMap::new(),
            }),
            upstream,
            changed: Notify::new(),
            draining: AtomicBool::new(false),
            departures: Departures::default(),
            evacuation: Evacuation::default(),
            deaths: Detector::default(),
            cold: cold::Signal::default(),
        })
    }

    /// Admits a request and runs it at the upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict states whether the request may have run.
    pub async fn run(
        self: &Arc<Self>,
        context: &Arc<Context>,
        call: &Call,
        body: Body,
    ) -> Result<Response<Body>, Refusal> {
        let start = Instant::now();
        let mut admission = Admission::default();
        let result = self.serve(context, call, body, &mut admission).await;
        let kind = match &result {
            Ok(_) => Kind::Admitted,
            Err(_) => Kind::Rejected,
        };
        if context.decisions.allow(kind, context.now()) {
            let result = result.as_ref().map(Response::status);
            decisions::log_gate(call, admission.gate, admission.waited, start, result);
        }
        result
    }

    /// Like [`run`](Self::run). Stores the state of the gate in `admission`.
    async fn serve(
        self: &Arc<Self>,
        context: &Arc<Context>,
        call: &Call,
        body: Body,
        admission: &mut Admission,
    ) -> Result<Response<Body>, Refusal> {
        check_listed(self, context, call)?;
        // The start of the body is read before a slot is taken: the fingerprint
        // of a request must not depend on how its body arrives.
        let remaining = call.remaining(Instant::now());
        let refuse = |status, reason| Err(Refusal::not_run(status, reason));
        let (prefix, complete, body) =
            match tokio::time::timeout(remaining, peek(body, FINGERPRINT_BODY_BYTES)).await {
                Ok(Ok(read)) => read,
                Ok(Err(_)) => return refuse(StatusCode::BAD_REQUEST, "the request's body was cut"),
                Err(_) => {
                    let reason = "the request's body did not come in time";
                    return refuse(StatusCode::REQUEST_TIMEOUT, reason);
                }
            };
        let fingerprint = suspects::fingerprint(call, &prefix, complete);
        let trial = suspects::admit(context, &fingerprint)?;
        let queued_at = Instant::now();
        let state = &mut admission.gate;
        let admitted = self.admit(context, call, fingerprint, trial, state).await;
        admission.waited = queued_at.elapsed();
        let mut slot = admitted?;
        check_listed(self, context, call)?;
        self.deaths.on_start(slot.id, fingerprint);
        let remaining = call.remaining(Instant::now());
        let turn = call.stranger.then(|| Turn::new(context, slot.id));
        let body = match &turn {
            Some(turn) => turn.receive(body),
            None => body,
        };
        let displaced = slot.displaced.clone();
        let sent = tokio::time::timeout(remaining, self.upstream.send(call, body));
        let Some(sent) = displaced.run_until_cancelled(sent).await else {
            return Err(Refusal::may_have_run(
                StatusCode::BAD_GATEWAY,
                "the request kept its slot waiting",
            ));
        };
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(upstream::Failure::Connect)) => {
                slot.outcome = Outcome::UpstreamDown;
                self.changed.notify_one();
                return Err(refusal(
                    Reason::Closed,
                    CLOSED_PROBE_INTERVAL.as_millis() as u32,
                ));
            }
            Ok(Err(failure)) => {
                let (interruption, reason) = match failure {
                    upstream::Failure::Malformed => (
                        Interruption::Malformed,
                        "the upstream sent what is no answer",
                    ),
                    upstream::Failure::Cut => (Interruption::Cut, "the request's body was cut"),
                    _ => (Interruption::Broken, "the connection to the upstream broke"),
                };
                if deaths::on_interruption(context, slot.id, fingerprint, interruption).await {
                    slot.outcome = Outcome::UpstreamDown;
                    return Err(Refusal {
                        cause: Cause::Suspect,
                        ..Refusal::may_have_run(
                            StatusCode::BAD_GATEWAY,
                            "the upstream died while it ran the request",
                        )
                    });
                }
                return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason));
            }
            Err(_) => {
                return Err(Refusal::may_have_run(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the upstream did not answer in time",
                ));
            }
        };
        let answer = match call.route {
            Some(_) => self.check_answer(context, call, answer, slot).await?,
            None => forward_answer(context, call, answer, slot),
        };
        Ok(match turn {
            Some(turn) => turn.answer(answer),
            None => answer,
        })
    }

    /// Checks that the upstream accepts requests, before the body of a call is
    /// received.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the upstream has left, its data centre is evacuated,
    /// the gate is closed or the host is leaving.
    pub fn check_available(&self, context: &Context, call: &Call) -> Result<(), Refusal> {
        check_listed(self, context, call)?;
        let gate = &self.lock().gate;
        if gate.is_closed() {
            return Err(refusal(
                Reason::Closed,
                CLOSED_PROBE_INTERVAL.as_millis() as u32,
            ));
        }
        if gate.load().leaving {
            return Err(refusal(Reason::Leaving, 0));
        }
        Ok(())
    }

    /// Returns the client of the upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records whether the upstream is draining. While it is, new and queued
    /// requests are refused, and running requests are completed.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
        if draining {
            self.close();
        }
        self.changed.notify_one();
    }

    /// Closes the gate until a connection to the upstream succeeds.
    fn close(&self) {
        let now = self.now();
        log::warn!(
            target: "dependency", dependency = "upstream", outcome = "lost";
            "the gate is closed: the upstream refuses connections, broke all of them or is draining"
        );
        let mut inner = self.lock();
        inner.gate.close();
        inner.perform_actions(now);
        self.changed.notify_one();
    }

    /// Records hosts of a list that came into force. Requests that they sent
    /// before are no longer those of strangers.
    pub fn on_hosts(&self, is_host: impl Fn(IpAddr) -> bool) {
        let mut inner = self.lock();
        let Inner {
            gate, strangers, ..
        } = &mut *inner;
        for (id, _) in strangers.extract_if(|_, stranger| is_host(stranger.address)) {
            gate.recognise(id);
        }
    }

    /// Refuses all new requests from now on, because the host is leaving.
    pub fn leave(&self) {
        self.lock().gate.leave();
    }

    /// Returns the load of the upstream as seen by the gate.
    pub fn load(&self) -> Load {
        self.lock().gate.load()
    }

    /// Returns the numbers of requests of the gate's late lane.
    pub fn late_counts(&self) -> gate::Counts {
        self.lock().gate.late_counts()
    }

    /// Reports the outcome of a request to the gate.
    fn finish(&self, id: u64, outcome: Outcome) {
        let now = self.now();
        let mut inner = self.lock();
        inner.waiters.remove(id);
        inner.strangers.remove(&id);
        inner.gate.finish(now, id, outcome);
        inner.perform_actions(now);
        self.notify_cold(&inner, now);
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Cancels a request of a stranger, if the gate decides that a host gets its
    /// slot.
    fn displace_stranger(&mut self, now: Duration) {
        if let Some(id) = self.gate.displace_stranger(now) {
            self.cancel_stranger(id);
        }
    }

    fn cancel_stranger(&mut self, id: u64) {
        let Some(stranger) = self.strangers.remove(&id) else {
            return;
        };
        stranger.displaced.cancel();
        let Stranger { address, id, .. } = stranger;
        log::info!(
            target: "peers", outcome = "displaced", peer:display = address, id = id.as_str();
            "a request of a peer that is no host lost its slot to one of a host"
        );
    }

    fn add_stranger(&mut self, id: u64, call: &Call, displaced: &CancellationToken) {
        let stranger = Stranger {
            address: call.caller,
            id: call.id.clone().unwrap_or_default(),
            displaced: displaced.clone(),
        };
        self.strangers.insert(id, stranger);
    }

    /// Cancels, starts and refuses requests as the gate decided.
    fn perform_actions(&mut self, now: Duration) {
        while let Some(id) = self.gate.next_displaced(now) {
            self.cancel_stranger(id);
        }
        while let Some(action) = self.gate.next_action(now) {
            if let Some(abandoned) = self.waiters.notify(action) {
                self.gate.finish(now, abandoned, Outcome::Cancelled);
            }
        }
    }
}

/// Returns the answer to forward of an upstream on the product's own platform.
fn forward_answer(
    context: &Context,
    call: &Call,
    answer: Response<Body>,
    slot: Slot,
) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    head.headers = crate::call::forwarded_headers(&head.headers);
    head.headers.insert(
        header::VERDICT,
        HeaderValue::from_static(Verdict::Ran.as_str()),
    );
    let body = watch(context, call, body, slot);
    Response::from_parts(head, body)
}

/// Returns a body that holds `slot` until it ends, its deadline passes or the
/// request loses its slot.
fn watch(context: &Context, call: &Call, body: Body, slot: Slot) -> Body {
    let displaced = slot.displaced.clone();
    let limit = context.settings.max_body_bytes;
    Watched::wrap_until(body, call.deadline, &displaced, limit, slot)
}

/// Returns how an answer was interrupted that ended with `error`.
fn interruption_by(error: &Error) -> Interruption {
    if upstream::is_cut(error.as_ref()) {
        return Interruption::Cut;
    }
    match upstream::is_malformed(error.as_ref()) {
        true => Interruption::Malformed,
        false => Interruption::Broken,
    }
}
