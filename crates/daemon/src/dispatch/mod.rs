//! Chooses a host for a request, sends it there, and tries again or hedges
//! where that is allowed.

mod choice;
pub mod link;
mod race;
pub mod remote;
mod room;
pub mod table;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Response, StatusCode};
use savorylane_distribution::age::Numbers;
use savorylane_intent::Snapshot;
use savorylane_intent::hosts::Host;
use savorylane_policy::retry::{self, attempts_allowed, may_hedge, may_retry};
use savorylane_policy::route::{Estimate, Observation, Outcome, Ticket};
use savorylane_wire::{Load, Verdict, header};

use crate::body::{Body, Replay};
use crate::call::{Call, Cause, Refusal, Route};
use crate::decisions::{self, Kind};
use crate::distribution::hint;
use crate::kernel::Context;
use crate::peers;
use choice::{choose, estimate};
use link::Monitor;
use race::{Attempt, may_have_run, race};
use remote::{Clients, Reply, header_value};
use room::{measure, needs_room};
use table::{Class, Table};

/// Clients and estimates of the other daemons.
#[derive(Debug)]
pub struct Dispatcher {
    /// Estimates and class state.
    pub table: Table,
    /// Clients of the other daemons.
    pub clients: Clients,
}

impl Dispatcher {
    /// Returns a dispatcher whose connections come from `local`.
    pub fn new(local: IpAddr, budgets: retry::Settings) -> Self {
        Self {
            table: Table::new(budgets),
            clients: Clients::new(local),
        }
    }
}

/// Hosts that a request is sent to on the adapted platform, at most. Those
/// whose gatekeepers refuse take nothing from the budget of repeats.
const TRIES: usize = 4;

/// Host of the next attempt, and the host that a hedge would go to.
struct Plan {
    host: usize,
    hedge: Option<Hedge>,
    /// Whether the call may be handed to one more upstream beside this one, and
    /// a further attempt made.
    spare: bool,
}

/// When and where a second request is sent.
struct Hedge {
    host: Option<usize>,
    after: Duration,
    /// Whether the first request probes a slow host. It is then not cancelled,
    /// since it measures the host.
    probe: bool,
}

/// Serves a call at one of the hosts of its service.
///
/// # Errors
///
/// Returns the refusal of the last attempt.
pub async fn serve(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
) -> Result<Response<Body>, Refusal> {
    // Upstreams of the adapted platform count repeats by service.
    let adapted = call.route.is_some();
    let budget = if adapted {
        &call.service
    } else {
        &call.class.name
    };
    let class = context.dispatcher.table.class(budget);
    if adapted {
        measure(call, body).await?;
    }
    if call.attempt.unwrap_or(1) == 1 {
        class.retry.record_first_attempt();
        class.hedge.record_first_attempt();
    }
    let most = if adapted {
        TRIES
    } else {
        attempts_allowed(call.attempts_left, call.depth) as usize
    };
    let handed_most = call.class.attempts.unwrap_or(u32::MAX);
    let mut handed = 0;
    let mut tried = Vec::new();
    // Status of the last attempt that may have run.
    let mut unknown = None;
    let mut last = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("service {} has no host that takes work", call.service),
    );
    while tried.len() < most {
        let next = match last.cause {
            Cause::Suspect => owner(snapshot, &last, &tried),
            cause => {
                // Under overload a refusal must come soon, and the way to
                // another region and back takes 40 ms.
                let near = cause == Cause::Busy && !tried.is_empty();
                let fresh = plan(context, snapshot, call, &class, body, &tried, near);
                // Where only the answer was lost and no other host is left, a
                // tried one may well give another.
                fresh.or_else(|| {
                    let lost = last.verdict == Verdict::MayHaveRun;
                    lost.then(|| plan(context, snapshot, call, &class, body, &[], false))?
                })
            }
        };
        let Some(mut plan) = next else {
            break;
        };
        let before = tried.len();
        plan.spare = handed + 1 < handed_most && before + 1 < most;
        last = match one(context, snapshot, call, &class, body, plan, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if last.verdict == Verdict::MayHaveRun {
            unknown = Some(last.status);
        }
        let second = tried.len() > before + 1;
        handed += u32::from(last.reached_upstream) + u32::from(second);
        if handed >= handed_most || !again(context, call, body, &class, &last) {
            break;
        }
        context.metrics.count_extra_attempt("retry");
    }
    // The answer is about all attempts, not only the last.
    if let Some(status) = unknown
        && last.verdict == Verdict::NotRun
    {
        last = may_have_run(last, status);
    }
    Err(last)
}

/// Returns the way to the owner of a suspicion.
fn owner(snapshot: &Snapshot, last: &Refusal, tried: &[usize]) -> Option<Plan> {
    let owner = last.owner.as_deref()?;
    let hosts = snapshot.list.hosts.iter();
    let host = hosts.into_iter().position(|host| host.name == owner)?;
    let fresh = !tried.contains(&host);
    fresh.then_some(Plan {
        host,
        hedge: None,
        spare: false,
    })
}

/// Says whether a refused call may be sent to another host.
fn again(context: &Context, call: &Call, body: &Replay, class: &Class, last: &Refusal) -> bool {
    if !may_retry(call.class.idempotent, last.verdict) || !body.is_repeatable() {
        return false;
    }
    // All hosts of the service know the newer version.
    if last.cause == Cause::Outdated {
        return false;
    }
    if call.remaining(Instant::now()).is_zero() {
        return false;
    }
    // Any other host than the owner refuses a suspect request, and would risk
    // its upstream if it had not heard of the suspicion. A request that broke
    // with an upstream names no owner: the caller decides whether to send it
    // again. A refused suspect took no upstream's time, so that the way to the
    // owner takes nothing from the budget.
    if last.cause == Cause::Suspect {
        return last.owner.is_some() && last.verdict == Verdict::NotRun;
    }
    // A host that is away did no work for the attempt, so the attempt takes
    // nothing from the budget that protects loaded upstreams.
    let spared = last.cause == Cause::Away || call.route.is_some();
    let free = spared && !last.reached_upstream && last.verdict == Verdict::NotRun;
    let granted = free || class.retry.try_spend();
    if !granted && context.decisions.allow(Kind::RetryDenied, context.now()) {
        decisions::log_retry_denied(call, last);
    }
    granted
}

/// Makes one attempt and a second one beside it: a hedge where the plan says
/// so, or a retry where the connection of the first went silent.
async fn one(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    class: &Arc<Class>,
    body: &Replay,
    plan: Plan,
    tried: &mut Vec<usize>,
) -> Result<Response<Body>, Refusal> {
    tried.push(plan.host);
    let way = (plan.host, tried.len());
    let watch = Arc::new(Monitor {
        cancel_when_superseded: call.class.idempotent,
        ..Monitor::default()
    });
    let mut first = attempt(
        context,
        snapshot,
        call,
        class,
        way,
        body.attempt_body(),
        &watch,
    );
    let hedged = async {
        match &plan.hedge {
            Some(hedge) => tokio::time::sleep(hedge.after).await,
            None => std::future::pending().await,
        }
    };
    let silent = tokio::select! {
        result = &mut first => return result,
        () = hedged => false,
        () = watch.silent.notified() => true,
    };
    let host = match (silent, &plan.hedge) {
        (true, _) => retry_beside(context, snapshot, call, class, body, &plan, tried),
        (false, Some(hedge)) if plan.spare && class.hedge.try_spend() => hedge
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
    let way = (host, tried.len());
    let watch = Arc::new(Monitor {
        cancel_when_superseded: true,
        ..Monitor::default()
    });
    let second = attempt(
        context,
        snapshot,
        call,
        class,
        way,
        body.attempt_body(),
        &watch,
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

/// Returns the host of a second attempt while the first one waits at a silent
/// connection: another one, or the same one over a new connection.
fn retry_beside(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    body: &Replay,
    plan: &Plan,
    tried: &[usize],
) -> Option<usize> {
    let over = call.remaining(Instant::now()).is_zero();
    if over || !call.class.idempotent || !plan.spare || !body.is_buffered() {
        return None;
    }
    let other = choose(context, snapshot, call, class, tried, false);
    class
        .retry
        .try_spend()
        .then(|| other.map_or(plan.host, |other| other.index))
}

fn plan(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    body: &Replay,
    tried: &[usize],
    near: bool,
) -> Option<Plan> {
    let choice = choose(context, snapshot, call, class, tried, near)?;
    let mut hedge = None;
    if may_hedge(call.class.idempotent, call.class.work) && body.is_buffered() {
        hedge = match choice.hedge {
            Some(probe) => Some(Hedge {
                host: Some(probe.index),
                after: probe.after,
                probe: true,
            }),
            None => class.latency().hedge_delay().map(|after| Hedge {
                host: None,
                after,
                probe: false,
            }),
        };
    }
    Some(Plan {
        host: choice.index,
        hedge,
        spare: false,
    })
}

/// Counts a request in its host's estimate until its head came back or it was
/// dropped.
struct Pending {
    context: Arc<Context>,
    estimate: Arc<Estimate>,
    ticket: Option<Ticket>,
    outcome: Outcome,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.estimate.end(self.context.now(), ticket, self.outcome);
        }
    }
}

/// Sends a call to one host; `way` is the host's position and the number of
/// the attempt.
fn attempt(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    class: &Arc<Class>,
    (host, number): (usize, usize),
    body: Body,
    watch: &Arc<Monitor>,
) -> Attempt {
    let (context, snapshot) = (Arc::clone(context), Arc::clone(snapshot));
    let (call, class) = (Arc::clone(call), Arc::clone(class));
    let watch = Arc::clone(watch);
    Box::pin(async move {
        let host = &snapshot.list.hosts[host];
        let estimate = estimate(&context, host);
        let call = for_host(call, host);
        let start = Instant::now();
        let observation = estimate.observe(context.now());
        let ticket = estimate.begin(context.now(), call.class.work);
        let mut pending = Pending {
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
            let extra = addressed(&context, host, &pending.estimate);
            let clients = &context.dispatcher.clients;
            let to = host.data;
            match needs_room(&call, &pending.estimate, &body) {
                true => clients.send_reserved(to, &call, extra, body, &watch).await,
                false => clients.send(to, &call, extra, body, &watch).await,
            }
        };
        match (&reply.load, &reply.result) {
            (Some(load), _) => {
                pending.estimate.record_load(context.now(), load);
                answered(&context, host, load);
            }
            (None, Err(refusal)) if refusal.cause == Cause::Away => {
                if context.settings.adapter.is_none() {
                    peers::on_connect_failed(&context, &host.name);
                }
            }
            (None, _) => {}
        }
        pending.outcome = match &reply.result {
            Ok(_) => Outcome::Answered,
            Err(refusal) if refusal.cause == Cause::Away => Outcome::Failed,
            Err(refusal) if refusal.verdict == Verdict::NotRun => Outcome::Refused,
            Err(_) => Outcome::Cancelled,
        };
        log_attempt(
            &context,
            &call,
            host,
            number,
            &observation,
            start,
            &reply.result,
        );
        if reply.result.is_ok() {
            class.latency().record(context.now(), start.elapsed());
        }
        reply.result
    })
}

fn log_attempt(
    context: &Context,
    call: &Call,
    host: &Host,
    number: usize,
    observation: &Observation,
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
    let seconds = start.elapsed().as_secs_f64();
    context
        .metrics
        .record_attempt(&call.service, outcome, cause, seconds);
    if context.decisions.allow(kind, context.now()) {
        let result = result.as_ref().map(Response::status);
        decisions::log_attempt(call, &host.name, number, observation, start, result);
    }
}

/// Returns the call with the instance that `host` has, where upstreams ask for
/// one.
fn for_host(call: Arc<Call>, host: &Host) -> Arc<Call> {
    let (Some(path), Some(instance)) = (&call.route, &host.instance) else {
        return call;
    };
    let path = Route {
        instance: instance.clone(),
        slots: host.slots.unwrap_or(0),
        ..path.clone()
    };
    let mut copy = Call::clone(&call);
    copy.route = Some(path);
    Arc::new(copy)
}

/// Takes the load that came with an answer.
fn answered(context: &Arc<Context>, host: &Host, load: &Load) {
    if context.settings.adapter.is_some() {
        let told = Numbers {
            version: load.version,
            list: load.list,
        };
        hint::on_numbers(context, host.control, told);
    } else {
        peers::on_request_answered(context, &host.name);
    }
}

/// Returns the headers that bind a request to a host's run, as far as the run
/// is known.
fn addressed(context: &Context, host: &Host, estimate: &Estimate) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let from = format!("{}/{}", context.settings.host, context.incarnation());
    headers.insert(header::FROM, header_value(&from));
    if host.instance.is_some() {
        return headers;
    }
    let run = estimate.incarnation();
    if run.started_ms != 0 {
        headers.insert(header::TO, header_value(&format!("{}/{run}", host.name)));
    }
    headers
}
