//! Attempts of a call at single hosts.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, Response};
use savorylane_distribution::age::Numbers;
use savorylane_intent::Snapshot;
use savorylane_intent::hosts::Host;
use savorylane_policy::route::{Estimate, Observation, Outcome, Ticket};
use savorylane_wire::{Load, Verdict, header};

use super::choice::{distance, estimate};
use super::link::Monitor;
use super::race::Attempt;
use super::remote::{Reply, header_value};
use super::room::needs_reservation;
use super::table::Class;
use crate::body::Body;
use crate::call::{Call, Cause, Refusal, Route};
use crate::decisions::{self, Kind};
use crate::distribution::hint;
use crate::kernel::Context;
use crate::peers;

/// Counts a request as running in its host's estimate until the head of its
/// answer arrives or the attempt is dropped.
struct Guard {
    context: Arc<Context>,
    estimate: Arc<Estimate>,
    ticket: Option<Ticket>,
    outcome: Outcome,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.estimate.end(self.context.now(), ticket, self.outcome);
        }
    }
}

/// Where an attempt is sent.
#[derive(Clone, Copy)]
pub(super) struct Place {
    /// Index into the hosts of the snapshot.
    pub(super) host: usize,
    /// Number of the attempt, from 1.
    pub(super) number: usize,
    /// Whether the host may let the call wait in its late lane.
    pub(super) late: bool,
}

/// Returns a future that sends a call to one host.
pub(super) fn attempt(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    class: &Arc<Class>,
    place: Place,
    body: Body,
    monitor: &Arc<Monitor>,
) -> Attempt {
    let (context, snapshot) = (Arc::clone(context), Arc::clone(snapshot));
    let (call, class) = (Arc::clone(call), Arc::clone(class));
    let monitor = Arc::clone(monitor);
    Box::pin(async move {
        let host = &snapshot.list.hosts[place.host];
        let estimate = estimate(&context, host);
        let call = call_for_host(call, host, place.late);
        let start = Instant::now();
        let view = estimate.observe(context.now());
        let mean = context.dispatcher.table.mean(&call.class.name);
        let distance = distance(&context, host);
        let round_trip = distance.round_trip();
        context.metrics.record_placement(&call.service, distance);
        let ticket = match place.late {
            true => estimate.begin_late(context.now()),
            false => estimate
                .begin(context.now(), call.class.work)
                .with_mean(mean.get(), round_trip),
        };
        let mut guard = Guard {
            context: Arc::clone(&context),
            estimate,
            ticket: Some(ticket),
            outcome: Outcome::Cancelled,
        };
        let reply = if host.name == context.settings.host {
            let result = context.gatekeeper.run(&context, &call, body).await;
            let load = Some(context.load());
            Reply { result, load }
        } else {
            let extra = incarnation_headers(&context, host, &guard.estimate);
            let client = &context.dispatcher.clients;
            let to = host.data;
            match needs_reservation(&call, &guard.estimate, &body) {
                true => client.send_reserved(to, &call, extra, body, &monitor).await,
                false => client.send(to, &call, extra, body, &monitor).await,
            }
        };
        match (&reply.load, &reply.result) {
            (Some(load), _) => {
                guard.estimate.record_load(context.now(), load);
                handle_load(&context, host, load);
            }
            (None, Err(refusal)) if refusal.cause == Cause::Away => {
                if context.settings.adapter.is_none() {
                    peers::on_connect_failed(&context, &host.name);
                }
            }
            (None, _) => {}
        }
        guard.outcome = match &reply.result {
            Ok(_) => Outcome::Answered,
            Err(refusal) if refusal.cause == Cause::Away => Outcome::Failed,
            Err(refusal) if refusal.verdict == Verdict::NotRun => Outcome::Refused,
            Err(_) => Outcome::Cancelled,
        };
        log_attempt(
            &context,
            &call,
            host,
            place.number,
            &view,
            start,
            &reply.result,
        );
        if reply.result.is_ok() && !place.late {
            class.latency().record(context.now(), start.elapsed());
            mean.record(start.elapsed(), round_trip);
        }
        reply.result
    })
}

/// Records an attempt in the metrics and, within the rate limit, in the log.
fn log_attempt(
    context: &Context,
    call: &Call,
    host: &Host,
    number: usize,
    view: &Observation,
    start: Instant,
    result: &Result<Response<Body>, Refusal>,
) {
    let (kind, outcome, cause) = match result {
        Ok(_) => (Kind::AttemptAnswered, "answered", ""),
        Err(refusal) => (
            Kind::AttemptFailed,
            refusal.verdict.as_str(),
            decisions::cause_name(refusal.cause),
        ),
    };
    let secs = start.elapsed().as_secs_f64();
    context
        .metrics
        .record_attempt(&call.service, outcome, cause, secs);
    if context.decisions.allow(kind, context.now()) {
        let result = result.as_ref().map(Response::status);
        decisions::log_attempt(call, &host.name, number, view, start, result);
    }
}

/// Returns the call with the instance and slots of `host`, if it has a route.
/// `late` states whether it may wait in the late lane there.
fn call_for_host(call: Arc<Call>, host: &Host, late: bool) -> Arc<Call> {
    let (Some(route), Some(instance)) = (&call.route, &host.instance) else {
        return call;
    };
    let route = Route {
        instance: instance.clone(),
        slots: host.slots.unwrap_or(0),
        ..route.clone()
    };
    let mut copy = Call::clone(&call);
    copy.route = Some(route);
    copy.late = late;
    Arc::new(copy)
}

/// Handles the load report of an answer: it shows that the host is alive, and
/// on the adapted platform which configuration it has.
fn handle_load(context: &Arc<Context>, host: &Host, load: &Load) {
    if context.settings.adapter.is_some() {
        let numbers = Numbers {
            version: load.version,
            list: load.list,
        };
        hint::on_numbers(context, host.control, numbers);
    } else {
        peers::on_request_answered(context, &host.name);
    }
}

/// Returns the headers that name this daemon and, if known, the incarnation of
/// the host that a request is meant for. Another incarnation refuses it.
///
/// Requests for a listed instance have none of them: they name the instance.
fn incarnation_headers(context: &Context, host: &Host, estimate: &Estimate) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if host.instance.is_some() {
        return headers;
    }
    let from = format!("{}/{}", context.settings.host, context.incarnation());
    headers.insert(header::FROM, header_value(&from));
    let run = estimate.incarnation();
    if run.started_ms != 0 {
        headers.insert(header::TO, header_value(&format!("{}/{run}", host.name)));
    }
    headers
}
