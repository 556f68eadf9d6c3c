//! Log lines about decisions on requests: one for each, of bounded volume.
//!
//! Each kind of line has a rate of its own, so that a flood of one kind does
//! not displace the others. What is left out is counted by kind.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use savorylane_policy::route::Observation;
use savorylane_wire::Verdict;
use savorylane_wire::control::Suspicion;

use crate::call::{Call, Cause, Refusal};
use crate::reservation::State;

/// Requests that a line about suspects names, at most.
const MAX_LISTED_SUSPECTS: usize = 8;

/// Kinds of lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that was answered by its upstream with success.
    Answered,
    /// A request that was refused, failed or was abandoned.
    Failed,
    /// A call that was not sent again.
    RetryDenied,
    /// What a daemon said of requests that may crash upstreams.
    Suspected,
    /// An attempt at a host that led to an answer.
    AttemptAnswered,
    /// An attempt at a host that led to none.
    AttemptFailed,
    /// What a gatekeeper did with a request that it ran.
    Admitted,
    /// What a gatekeeper did with a request that it refused, or that failed.
    Rejected,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Answered,
        Self::Failed,
        Self::RetryDenied,
        Self::Suspected,
        Self::AttemptAnswered,
        Self::AttemptFailed,
        Self::Admitted,
        Self::Rejected,
    ];

    /// Returns the lines a second that are written. What went well is of
    /// interest as a sample only; what did not is kept up to the rate at which
    /// a host on a fifth of a core can refuse.
    fn lines_per_second(self) -> u64 {
        match self {
            Self::Answered | Self::AttemptAnswered | Self::Admitted | Self::Suspected => 20,
            Self::Failed | Self::RetryDenied | Self::AttemptFailed | Self::Rejected => 200,
        }
    }

    /// Returns the name that metrics give the kind.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::RetryDenied => "unrepeated",
            Self::Suspected => "suspected",
            Self::AttemptAnswered => "attempt",
            Self::AttemptFailed => "attempted",
            Self::Admitted => "admitted",
            Self::Rejected => "rejected",
        }
    }
}

/// Lines of one kind in the present second.
#[derive(Debug, Default)]
struct Window {
    second: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

/// Rates of the lines of one daemon.
#[derive(Debug, Default)]
pub struct Decisions {
    windows: [Window; Kind::ALL.len()],
}

impl Decisions {
    /// Says whether a line of `kind` is written at `now`, and counts it.
    pub fn allow(&self, kind: Kind, now: Duration) -> bool {
        let window = &self.windows[kind as usize];
        let second = now.as_secs();
        // A count that another thread adds between the swap and the reset is
        // lost, which costs one line's worth of accuracy a second.
        if window.second.swap(second, Ordering::Relaxed) != second {
            window.written.store(0, Ordering::Relaxed);
        }
        let allowed = window.written.fetch_add(1, Ordering::Relaxed) < kind.lines_per_second();
        if !allowed {
            window.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns the lines of `kind` that were left out.
    pub fn suppressed(&self, kind: Kind) -> u64 {
        self.windows[kind as usize]
            .suppressed
            .load(Ordering::Relaxed)
    }
}

/// Returns the id of a request, as lines name it.
fn id(call: &Call) -> &str {
    call.id.as_deref().unwrap_or("")
}

/// Returns the instance that a request is for; empty where upstreams have none.
fn instance(call: &Call) -> &str {
    call.route
        .as_ref()
        .map_or("", |route| route.instance.as_str())
}

/// Returns outcome, cause and reason of a line; `outcome` and `reason` are
/// those of a success.
fn result_texts<'a>(
    result: Result<StatusCode, &'a Refusal>,
    outcome: &'static str,
    reason: &'static str,
) -> (&'static str, &'static str, &'a str) {
    match result {
        Ok(_) => (outcome, "", reason),
        Err(refusal) => (
            self::outcome_name(refusal.verdict),
            cause_name(refusal.cause),
            refusal.reason.as_str(),
        ),
    }
}

/// What a request was decided by at the entry.
#[derive(Clone, Copy, Debug)]
pub struct Versions {
    /// Number of the configuration.
    pub version: u64,
    /// Number of the host list.
    pub list: u64,
}

/// Writes the line of a request that was answered by its upstream.
pub fn log_answered(
    call: &Call,
    status: StatusCode,
    versions: Versions,
    elapsed: Duration,
    whole: bool,
) {
    log::info!(
        target: "request",
        event = "end", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), caller:display = call.caller,
        shed_order = call.class.shed_order, outcome = if whole { "answered" } else { "cut" },
        status = status.as_u16(), elapsed_ms = elapsed.as_millis() as u64,
        configuration = versions.version, list = versions.list;
        "the upstream's answer was passed on"
    );
}

/// Writes the line of a request whose caller went away.
pub fn log_abandoned(call: &Call, versions: Versions, elapsed: Duration) {
    log::info!(
        target: "request",
        event = "end", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), outcome = "abandoned",
        elapsed_ms = elapsed.as_millis() as u64,
        left_ms = call.remaining(Instant::now()).as_millis() as u64,
        configuration = versions.version, list = versions.list;
        "the caller went away; what was under way is cancelled"
    );
}

/// Writes the line of a request that the system answered itself.
pub fn log_refused(
    id: &str,
    class: &str,
    refusal: &Refusal,
    versions: Versions,
    elapsed: Duration,
) {
    log::info!(
        target: "request",
        event = "end", id = id, class = class, outcome = outcome_name(refusal.verdict),
        status = refusal.status.as_u16(), cause = cause_name(refusal.cause),
        elapsed_ms = elapsed.as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
        configuration = versions.version, list = versions.list;
        "{}", refusal.reason
    );
}

/// Writes the line of an attempt at a host, with what the choice saw.
pub fn log_attempt(
    call: &Call,
    host: &str,
    number: usize,
    observation: &Observation,
    start: Instant,
    result: Result<StatusCode, &Refusal>,
) {
    let elapsed_ms = start.elapsed().as_millis() as u64;
    let left_ms = call.remaining(Instant::now()).as_millis() as u64;
    let (outcome, cause, reason) = result_texts(result, "answered", "the host answered");
    log::info!(
        target: "request",
        event = "attempt", id = id(call), service = call.service.as_str(), to = host,
        instance = instance(call), number = number, outcome = outcome, cause = cause,
        elapsed_ms = elapsed_ms, left_ms = left_ms, load = observation.load, limit = observation.limit,
        report_age_ms = observation.age_ms, latency_ms = observation.latency_ms;
        "{reason}"
    );
}

/// Writes the line of a call that is not sent again because the budget of
/// repeats of its service has none left. The refusal says what it met.
pub fn log_retry_denied(call: &Call, last: &Refusal) {
    log::info!(
        target: "request",
        event = "retry", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), outcome = "budget-empty", cause = cause_name(last.cause),
        verdict = last.verdict.as_str(),
        left_ms = call.remaining(Instant::now()).as_millis() as u64;
        "the call is not sent again: its service has no repeat left"
    );
}

/// Writes the line of what a daemon said of requests that may crash upstreams.
pub fn log_suspicion(suspicion: &Suspicion) {
    if suspicion.suspects.is_empty() {
        return;
    }
    let listed = suspicion.suspects.iter().take(MAX_LISTED_SUSPECTS);
    let listed: Vec<String> = listed
        .map(|suspect| format!("{} {:?}", suspect.fingerprint, suspect.state))
        .collect();
    log::warn!(
        target: "suspects",
        from = suspicion.from.host.as_str(), service = suspicion.service.as_str(),
        suspects = suspicion.suspects.len() as u64;
        "{}", listed.join(", ")
    );
}

/// What a gatekeeper saw when it decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub queued: u32,
    /// Slots in use at most.
    pub limit: u32,
}

/// Writes the line of a request at a gatekeeper.
pub fn log_gate(
    call: &Call,
    occupancy: Occupancy,
    waited: Duration,
    start: Instant,
    result: Result<StatusCode, &Refusal>,
) {
    let elapsed_ms = start.elapsed().as_millis() as u64;
    let (outcome, cause, reason) = result_texts(result, "ran", "the upstream answered");
    log::info!(
        target: "request",
        event = "gate", id = id(call), class = call.class.name.as_str(), instance = instance(call),
        outcome = outcome, cause = cause, waited_ms = waited.as_millis() as u64,
        elapsed_ms = elapsed_ms, running = occupancy.running, queued = occupancy.queued,
        limit = occupancy.limit, left_ms = call.remaining(Instant::now()).as_millis() as u64;
        "{reason}"
    );
}

/// Writes the line of a request whose body finds no room on the link of its
/// gatekeeper's host, which was in `state` when it asked.
pub fn log_no_capacity(call: &Call, state: State) {
    log::info!(
        target: "request",
        event = "reserve", id = id(call), class = call.class.name.as_str(), instance = instance(call),
        outcome = outcome_name(Verdict::NotRun), passing = state.active, waiting = state.waiting,
        expected_ms = state.expected_wait.as_millis() as u64,
        left_ms = call.remaining(Instant::now()).as_millis() as u64;
        "the link of the host has no room for the body in time"
    );
}

fn outcome_name(verdict: Verdict) -> &'static str {
    verdict.as_str()
}

/// Returns the word that lines and metrics have for a cause.
pub fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Away => "away",
        Cause::Busy => "busy",
        Cause::Request => "request",
        Cause::Outdated => "outdated",
        Cause::Suspect => "suspect",
    }
}
