//! Routes requests to hosts, with retries and hedges as the budgets allow.

mod choice;
pub mod link;
mod plan;
mod race;
pub mod remote;
mod room;
pub mod table;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, Response, StatusCode};
use savorylane_distribution::age::Numbers;
use savorylane_intent::Snapshot;
use savorylane_intent::hosts::Host;
use savorylane_policy::retry::{self, attempts_allowed, may_retry};
use savorylane_policy::route::{Estimate, Observation, Outcome, Ticket};
use savorylane_wire::{Load, Verdict, header};

use crate::body::{Body, Replay};
use crate::call::{Call, Cause, Refusal, Route};
use crate::decisions::{self, Kind};
use crate::distribution::hint;
use crate::kernel::Context;
use crate::peers;
use choice::{choose, distance, estimate, refuse_without_host};
use link::Monitor;
use plan::{Plan, concurrent_retry_host, plan, plan_for_owner};
use race::{Attempt, mark_may_have_run, race};
use remote::{Clients, Reply, header_value};
use room::{measure_body, needs_reservation};
use table::{Class, Table};

/// Load estimates, per-class budgets and connections that routing uses.
#[derive(Debug)]
pub struct Dispatcher {
    /// Load estimates by host, and budgets and latencies by class.
    pub table: Table,
    /// HTTP clients of the other daemons.
    pub clients: Clients,
}

impl Dispatcher {
    /// Creates a dispatcher that connects from the address `local`.
    pub fn new(local: IpAddr, budgets: retry::Settings) -> Self {
        Self {
            table: Table::new(budgets),
            clients: Clients::new(local),
        }
    }
}

/// Maximum number of attempts of a request on the adapted platform, where
/// retries after refusals by gatekeepers spend no retry budget.
const MAX_ADAPTED_ATTEMPTS: usize = 4;

/// Sends a call to hosts of its service until one answers.
///
/// # Errors
///
/// Returns the last refusal; its verdict covers all attempts.
pub async fn serve(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
) -> Result<Response<Body>, Refusal> {
    // Upstreams of the adapted platform count retries by service, not class.
    let adapted = call.route.is_some();
    let budget = if adapted {
        &call.service
    } else {
        &call.class.name
    };
    let class = context.dispatcher.table.class(budget);
    if adapted {
        measure_body(call, body).await?;
    }
    if call.attempt.unwrap_or(1) == 1 {
        class.retry.record_first_attempt();
        class.hedge.record_first_attempt();
    }
    let max_attempts = if adapted {
        MAX_ADAPTED_ATTEMPTS
    } else {
        attempts_allowed(call.attempts_left, call.depth) as usize
    };
    let max_reached = call.class.attempts.unwrap_or(u32::MAX);
    let mut reached = 0;
    let mut tried = Vec::new();
    // Status of the last refusal whose request may have run.
    let mut unknown_status = None;
    let mut last = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "");
    while tried.len() < max_attempts {
        let next = match last.cause {
            Cause::Suspect => plan_for_owner(context, snapshot, call, &last, &tried),
            cause => {
                // An overloaded service must refuse quickly, and a round trip
                // to another region takes 40 ms.
                let same_region = cause == Cause::Busy && !tried.is_empty();
                let untried = plan(context, snapshot, call, &class, body, &tried, same_region);
                // If only the answer was lost and every host has been tried,
                // a host that was tried before may still answer.
                untried.or_else(|| {
                    let answer_lost = last.verdict == Verdict::MayHaveRun;
                    answer_lost.then(|| plan(context, snapshot, call, &class, body, &[], false))?
                })
            }
        };
        let Some(mut plan) = next else {
            if tried.is_empty() {
                last = refuse_without_host(context, snapshot, call);
            }
            break;
        };
        let attempts_before = tried.len();
        plan.second_allowed = reached + 1 < max_reached && attempts_before + 1 < max_attempts;
        last = match attempt_hedged(context, snapshot, call, &class, body, plan, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if last.verdict == Verdict::MayHaveRun {
            unknown_status = Some(last.status);
        }
        let second_made = tried.len() > attempts_before + 1;
        reached += u32::from(last.reached_upstream) + u32::from(second_made);
        if reached >= max_reached || !grant_retry(context, call, body, &class, &last) {
            break;
        }
        context.metrics.count_extra_attempt("retry");
    }
    // The verdict covers all attempts, not only the last one.
    if let Some(status) = unknown_status
        && last.verdict == Verdict::NotRun
    {
        last = mark_may_have_run(last, status);
    }
    Err(last)
}

/// Returns whether to retry a refused call, and spends retry budget if needed.
fn grant_retry(
    context: &Context,
    call: &Call,
    body: &Replay,
    class: &Class,
    last: &Refusal,
) -> bool {
    if !may_retry(call.class.idempotent, last.verdict) || !body.is_repeatable() {
        return false;
    }
    // All hosts of the service have the newer configuration.
    if last.cause == Cause::Outdated {
        return false;
    }
    if call.remaining(Instant::now()).is_zero() {
        return false;
    }
    // Any host but the owner refuses a suspect request, or risks its upstream
    // if the suspicion has not reached it. The refusal of a request that was in
    // flight when an upstream died names no owner: the caller decides whether
    // to retry it. A refused suspect request used no upstream time, so sending
    // it to the owner spends no budget.
    if last.cause == Cause::Suspect {
        return last.owner.is_some() && last.verdict == Verdict::NotRun;
    }
    // An unreachable host did no work for the attempt, so retrying spends
    // nothing of the budget, which protects loaded upstreams.
    let may_be_free = last.cause == Cause::Away || call.route.is_some();
    let free = may_be_free && !last.reached_upstream && last.verdict == Verdict::NotRun;
    let granted = free || class.retry.try_spend();
    if !granted && context.decisions.allow(Kind::RetryDenied, context.now()) {
        decisions::log_retry_denied(call, last);
    }
    granted
}

/// Makes one attempt, and possibly a second concurrent one: the planned hedge,
/// or a retry if the connection of the first attempt goes silent.
async fn attempt_hedged(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    class: &Arc<Class>,
    body: &Replay,
    plan: Plan,
    tried: &mut Vec<usize>,
) -> Result<Response<Body>, Refusal> {
    tried.push(plan.host);
    let host_and_number = (plan.host, tried.len());
    let monitor = Arc::new(Monitor {
        cancel_when_superseded: call.class.idempotent,
        ..Monitor::default()
    });
    let mut first = attempt(
        context,
        snapshot,
        call,
        class,
        host_and_number,
        body.attempt_body(),
        &monitor,
    );
    let hedge_due = async {
        match &plan.hedge {
            Some(hedge) => tokio::time::sleep(hedge.delay).await,
            None => std::future::pending().await,
        }
    };
    let silent = tokio::select! {
        result = &mut first => return result,
        () = hedge_due => false,
        () = monitor.silent.notified() => true,
    };
    let host = match (silent, &plan.hedge) {
        (true, _) => concurrent_retry_host(context, snapshot, call, class, body, &plan, tried),
        (false, Some(hedge)) if plan.second_allowed && class.hedge.try_spend() => hedge
            .host
            .or_else(|| Some(choose(context, snapshot, call, class, tried, false)?.index)),
        (false, _) => None,
    };
    let Some(host) = host else {
        return first.await;
    };
    let probe = !silent && plan.hedge.is_some_and(|hedge| hedge.probe);
    let kind = if silent { "retry" } else { "hedge" };
    context.metrics.count_extra_attempt(kind);
    tried.push(host);
    let host_and_number = (host, tried.len());
    let monitor = Arc::new(Monitor {
        cancel_when_superseded: true,
        ..Monitor::default()
    });
    let second = attempt(
        context,
        snapshot,
        call,
        class,
        host_and_number,
        body.attempt_body(),
        &monitor,
    );
    let (result, loser) = race(first, second).await;
    if let Some(loser) = loser
        && probe
    {
        let context = Arc::clone(context);
        tokio::spawn(async move {
            if loser.await.is_ok() {
                context.metrics.count_late_answer();
            }
        });
    }
    result
}

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

/// Returns a future that sends a call to one host. `host` is an index into the
/// hosts of the snapshot, `number` the number of the attempt, from 1.
fn attempt(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    class: &Arc<Class>,
    (host, number): (usize, usize),
    body: Body,
    monitor: &Arc<Monitor>,
) -> Attempt {
    let (context, snapshot) = (Arc::clone(context), Arc::clone(snapshot));
    let (call, class) = (Arc::clone(call), Arc::clone(class));
    let monitor = Arc::clone(monitor);
    Box::pin(async move {
        let host = &snapshot.list.hosts[host];
        let estimate = estimate(&context, host);
        let call = call_for_host(call, host);
        let start = Instant::now();
        let view = estimate.observe(context.now());
        let mean = context.dispatcher.table.mean(&call.class.name);
        let round_trip = distance(&context, host).round_trip();
        let ticket = estimate
            .begin(context.now(), call.class.work)
            .with_mean(mean.get(), round_trip);
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
        log_attempt(&context, &call, host, number, &view, start, &reply.result);
        if reply.result.is_ok() {
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
fn call_for_host(call: Arc<Call>, host: &Host) -> Arc<Call> {
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
