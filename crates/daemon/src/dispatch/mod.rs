//! Routes requests to hosts, with retries and hedges as the budgets allow.

mod attempt;
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

use http::{Response, StatusCode};
use savorylane_intent::Snapshot;
use savorylane_policy::retry::{self, attempts_allowed, may_retry};
use savorylane_wire::Verdict;

use crate::body::{Body, Replay};
use crate::call::{Call, Cause, Refusal};
use crate::decisions::{self, Kind};
use crate::kernel::Context;
use attempt::{Place, attempt};
use choice::{choose, refuse_without_host};
use link::Monitor;
use plan::{Plan, concurrent_retry_host, plan, plan_for_owner};
use race::{mark_may_have_run, race};
use remote::Clients;
use room::measure_body;
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
                // a host that was tried before may still answer. The only host
                // of the region may have a late place.
                untried.or_else(|| {
                    let answer_lost = last.verdict == Verdict::MayHaveRun;
                    let late = tried.len() == 1 && accepts_late_place(call, &last, &tried);
                    (answer_lost || late)
                        .then(|| plan(context, snapshot, call, &class, body, &[], late))?
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
        plan.late = accepts_late_place(call, &last, &tried);
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

/// Returns whether the next attempt may settle for a place in a late lane.
///
/// The first host may only run the call in time. If it cannot, another one may,
/// and it lets the call wait otherwise: one refusal is enough to know that the
/// service is loaded, and each further one costs the caller a round trip.
fn accepts_late_place(call: &Call, last: &Refusal, tried: &[usize]) -> bool {
    call.late && last.cause == Cause::Busy && !tried.is_empty()
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
    let place = Place {
        host: plan.host,
        number: tried.len(),
        late: plan.late,
    };
    let monitor = Arc::new(Monitor {
        cancel_when_superseded: call.class.idempotent,
        ..Monitor::default()
    });
    let mut first = attempt(
        context,
        snapshot,
        call,
        class,
        place,
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
    let place = Place {
        host,
        number: tried.len(),
        late: false,
    };
    let monitor = Arc::new(Monitor {
        cancel_when_superseded: true,
        ..Monitor::default()
    });
    let second = attempt(
        context,
        snapshot,
        call,
        class,
        place,
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
