//! Log lines about decisions on requests: one per decision, with a rate limit.
//!
//! Each kind of line has its own limit, so that a flood of one kind does not
//! displace the others. Suppressed lines are counted by kind.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use savorylane_policy::route::Observation;
use savorylane_wire::Verdict;
use savorylane_wire::control::Suspicion;

use crate::call::{Call, Cause, Refusal};
use crate::reservation::State;

/// Maximum number of requests that a line about suspects names.
const MAX_LISTED_SUSPECTS: usize = 8;

/// Kind of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that its upstream answered with success.
    Answered,
    /// A request that was refused, failed or was abandoned.
    Failed,
    /// A call that was not retried because the retry budget was empty.
    RetryDenied,
    /// A message between daemons about requests that may crash upstreams.
    Suspected,
    /// An attempt that was answered by the upstream.
    AttemptAnswered,
    /// An attempt that was refused or failed.
    AttemptFailed,
    /// A request that a gatekeeper admitted and its upstream answered.
    Admitted,
    /// A request that a gatekeeper refused, or that failed at its upstream.
    Rejected,
    /// A host that no host list may contain.
    HostIgnored,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Answered,
        Self::Failed,
        Self::RetryDenied,
        Self::Suspected,
        Self::AttemptAnswered,
        Self::AttemptFailed,
        Self::Admitted,
        Self::Rejected,
        Self::HostIgnored,
    ];

    /// Returns the maximum number of lines written per second. Of successes a
    /// sample is enough; failures are written up to the rate at which a host on
    /// a fifth of a core can refuse requests.
    fn lines_per_second(self) -> u64 {
        match self {
            Self::Answered
            | Self::AttemptAnswered
            | Self::Admitted
            | Self::Suspected
            | Self::HostIgnored => 20,
            Self::Failed | Self::RetryDenied | Self::AttemptFailed | Self::Rejected => 200,
        }
    }

    /// Returns the name of the kind in metrics.
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
            Self::HostIgnored => "ignored-host",
        }
    }
}

/// Line counts of one kind; `written` counts only the current second.
#[derive(Debug, Default)]
struct Window {
    second: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

/// Rate limits of the log lines of one daemon.
#[derive(Debug, Default)]
pub struct Decisions {
    windows: [Window; Kind::ALL.len()],
}

impl Decisions {
    /// Returns whether a line of `kind` may be written at `now`, and counts it
    /// as written or suppressed.
    pub fn allow(&self, kind: Kind, now: Duration) -> bool {
        let window = &self.windows[kind as usize];
        let second = now.as_secs();
        // A count that another thread adds between the swap and the reset is
        // lost, so the limit can be off by a line per second.
        if window.second.swap(second, Ordering::Relaxed) != second {
            window.written.store(0, Ordering::Relaxed);
        }
        let allowed = window.written.fetch_add(1, Ordering::Relaxed) < kind.lines_per_second();
        if !allowed {
            window.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns the number of suppressed lines of `kind`.
    pub fn suppressed(&self, kind: Kind) -> u64 {
        self.windows[kind as usize]
            .suppressed
            .load(Ordering::Relaxed)
    }
}

/// Returns the id of a request as log lines show it; empty if it has none.
fn id(call: &Call) -> &str {
    call.id.as_deref().unwrap_or("")
}

/// Returns the upstream instance that a request is for; empty outside the
/// adapted platform.
fn instance(call: &Call) -> &str {
    call.route
        .as_ref()
        .map_or("", |route| route.instance.as_str())
}

/// Returns the outcome, cause and reason of a line. `outcome` and `reason` are
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

/// Versions of the configuration by which an entry decided on a request.
#[derive(Clone, Copy, Debug)]
pub struct Versions {
    /// Number of the document.
    pub version: u64,
    /// Number of the host list.
    pub list: u64,
}

/// Logs a request that was answered by its upstream. `complete` states whether
/// all of the answer was passed on.
pub fn log_answered(
    call: &Call,
    status: StatusCode,
    versions: Versions,
    elapsed: Duration,
    complete: bool,
) {
    log::info!(
        target: "request",
        event = "end", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), caller:display = call.caller,
        shed_order = call.class.shed_order, outcome = if complete { "answered" } else { "cut" },
        status = status.as_u16(), elapsed_ms = elapsed.as_millis() as u64,
        configuration = versions.version, list = versions.list;
        "the upstream's answer was passed on"
    );
}

/// Logs a request whose caller disconnected before the answer.
pub fn log_abandoned(call: &Call, versions: Versions, elapsed: Duration) {
    log::info!(
        target: "request",
        event = "end", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), outcome = "abandoned",
        elapsed_ms = elapsed.as_millis() as u64,
        left_ms = call.remaining(Instant::now()).as_millis() as u64,
        configuration = versions.version, list = versions.list;
        "the caller disconnected; the attempts in flight are cancelled"
    );
}

/// Logs a request that the system refused.
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

/// Logs an attempt at a host, with the load that was estimated for the host
/// when it was chosen.
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

/// Logs a call that is not retried because the retry budget of its service is
/// empty. `last` is the refusal that would have been retried.
pub fn log_retry_denied(call: &Call, last: &Refusal) {
    log::info!(
        target: "request",
        event = "retry", id = id(call), class = call.class.name.as_str(),
        service = call.service.as_str(), outcome = "budget-empty", cause = cause_name(last.cause),
        verdict = last.verdict.as_str(),
        left_ms = call.remaining(Instant::now()).as_millis() as u64;
        "the call is not retried: the retry budget of its service is empty"
    );
}

/// Logs a message between daemons about requests that may crash upstreams.
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

/// Occupancy of a gatekeeper's upstream when it decided on a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued on time.
    pub queued: u32,
    /// Number of requests in the late lane.
    pub late: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Whether the request might wait in the late lane.
    pub late_allowed: bool,
    /// Expected time until the end of the request from a place on time.
    pub expected: Duration,
    /// Time until the latency target.
    pub until_target: Duration,
}

/// Logs the decision of a gatekeeper on a request.
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
        late = occupancy.late, limit = occupancy.limit, late_allowed = occupancy.late_allowed,
        expected_ms = occupancy.expected.as_millis() as u64,
        target_ms = occupancy.until_target.as_millis() as u64, left_ms = call.remaining(Instant::now()).as_millis() as u64;
        "{reason}"
    );
}

/// Logs a request that was refused a reservation for its body. `state` is the
/// occupancy of the link when it asked.
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

/// Logs that a host of `source` is left out of the host list, alone.
pub fn log_ignored_host(source: &str, id: &str, reason: &str) {
    log::warn!(
        target: "hosts",
        event = "ignored", from = source, id = id;
        "{reason}"
    );
}

fn outcome_name(verdict: Verdict) -> &'static str {
    verdict.as_str()
}

/// Returns the name of a cause in log lines and metrics.
pub fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Away => "away",
        Cause::Busy => "busy",
        Cause::Request => "request",
        Cause::Outdated => "outdated",
        Cause::Suspect => "suspect",
    }
}
