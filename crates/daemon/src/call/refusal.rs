//! Answers of the system itself, which state whether the request may have run.

use std::time::Duration;

use http::header::HeaderValue;
use http::{Response, StatusCode};
use savorylane_wire::{Verdict, header};
use serde::{Deserialize, Serialize};

use crate::body::{self, Body};

/// Why a request was refused. The cause determines whether the entry tries
/// another host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The host or its upstream is unreachable or leaving.
    Away,
    /// The host is overloaded, or did not answer in time.
    Busy,
    /// The entry chose the host by a configuration that is no longer in force.
    Outdated,
    /// The request itself is not acceptable.
    Request,
    /// The request may crash the upstream, or was in flight when one died.
    Suspect,
}

/// An answer of the system itself instead of the upstream.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Reason for the caller, one line.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub cause: Cause,
    /// Time after which another attempt may succeed.
    pub retry_after: Option<Duration>,
    /// The only host that may run a suspect request.
    pub owner: Option<String>,
    /// Whether the request reached an upstream. A retry then spends retry
    /// budget.
    pub reached_upstream: bool,
}

/// JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Reason for the caller, one line.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub cause: Cause,
    /// The only host that may run a suspect request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            verdict: Verdict::NotRun,
            cause: if status.is_client_error() {
                Cause::Request
            } else {
                Cause::Busy
            },
            retry_after: None,
            owner: None,
            reached_upstream: false,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reached_upstream: true,
            ..Self::not_run(status, reason)
        }
    }

    /// Returns the refusal as an HTTP response.
    ///
    /// # Panics
    ///
    /// Never: the explanation is serializable, and status, verdict and numbers
    /// are valid header values.
    pub fn to_response(&self) -> Response<Body> {
        let explanation = Explanation {
            reason: self.reason.clone(),
            verdict: self.verdict,
            cause: self.cause,
            owner: self.owner.clone(),
        };
        let mut text = serde_json::to_vec(&explanation).expect("text is expressible in JSON");
        text.push(b'\n');
        let mut answer = Response::new(body::full(text));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            header::VERDICT,
            HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(wait) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER_MS,
                HeaderValue::from(wait.as_millis() as u64),
            );
        }
        answer
    }
}
