//! A request as it is routed through the system, and the refusal that may
//! answer it.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use http::header::HeaderMap;
use http::{Method, StatusCode, Uri};
use savorylane_distribution::age::Numbers;
use savorylane_intent::bound;
use savorylane_intent::document::{Class, Target, Work};
use savorylane_platform::header as platform;
use savorylane_wire::{Hop, header};

use crate::body;

mod headers;
mod late;
mod refusal;

use headers::malformed_header;
pub use headers::{forwarded_headers, header_text, parse_header};
pub use refusal::{Cause, Explanation, Refusal};

/// Maximum number of calls above this one in a chain of calls.
pub const MAX_DEPTH: u32 = 26;
/// Time limit of a short request whose caller sets none.
const DEFAULT_SHORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of a long request whose caller sets none.
const DEFAULT_LONG_TIMEOUT: Duration = Duration::from_secs(300);
/// Maximum time limit that a caller may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A request that an entry accepted.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Class of the request.
    pub class: Class,
    /// Service that the request is sent to.
    pub service: String,
    /// Request id set by the caller, for the log.
    pub id: Option<String>,
    /// Origin and destination of the request; `Some` only on the adapted
    /// platform, whose upstreams check them.
    pub route: Option<Route>,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Time by which the latency target of the class asks for the answer.
    pub target: Instant,
    /// Whether the request may wait in the late lane of a gate.
    pub late: bool,
    /// Number of calls above this one in a chain of calls.
    pub depth: u32,
    /// Number of attempts that the calling service allows for this call.
    pub attempts_left: Option<u32>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Number of the caller's attempt, from 1, if the caller sends it.
    pub attempt: Option<u32>,
    /// Region whose hosts hold the idempotency key.
    pub home: Option<String>,
    /// Whether the call came to the data port from a peer that is no host of the
    /// deployment.
    pub stranger: bool,
}

/// Origin and destination of a request, and the configuration that it was
/// routed by.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Route {
    /// Service of the host whose daemon accepted the request.
    pub origin: String,
    /// Instance of the upstream that must run the request; empty until a host
    /// is chosen.
    pub instance: String,
    /// Concurrency limit of the upstream; 0 until a host is chosen.
    pub slots: u32,
    /// Numbers of the document and host list by which the entry chose the
    /// host.
    pub numbers: Numbers,
}

impl Call {
    /// Parses a call from the head of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the malformed header.
    pub fn parse(
        head: &http::request::Parts,
        class: &Class,
        caller: IpAddr,
        now: Instant,
    ) -> Result<Self, Refusal> {
        let depth = parse_header::<u32>(&head.headers, header::DEPTH)?.unwrap_or(0);
        if depth > MAX_DEPTH {
            return Err(malformed_header(header::DEPTH, "a number from 0 to 26"));
        }
        let attempt = parse_header::<u32>(&head.headers, header::ATTEMPT)?;
        if attempt == Some(0) {
            return Err(malformed_header(header::ATTEMPT, "a number from 1"));
        }
        let key = header_text(&head.headers, header::IDEMPOTENCY_KEY)?;
        let visible = |key: &String| {
            (1..=MAX_KEY_BYTES).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        };
        if key.as_ref().is_some_and(|key| !visible(key)) {
            let accepted = "1 to 256 visible ASCII characters";
            return Err(malformed_header(header::IDEMPOTENCY_KEY, accepted));
        }
        let home = header_text(&head.headers, header::HOME)?;
        if home.as_ref().is_some_and(|home| !bound::is_name(home)) {
            return Err(malformed_header(header::HOME, "the name of a region"));
        }
        let timeout = match parse_header::<u64>(&head.headers, header::TIMEOUT_MS)? {
            Some(ms) => match Duration::from_millis(ms) {
                time if time.is_zero() || time > MAX_TIMEOUT => {
                    let accepted = "a number of milliseconds from 1 to 3600000";
                    return Err(malformed_header(header::TIMEOUT_MS, accepted));
                }
                time => time,
            },
            None => match class.work {
                Work::Short => DEFAULT_SHORT_TIMEOUT,
                Work::Long => DEFAULT_LONG_TIMEOUT,
            },
        };
        let mut headers = forwarded_headers(&head.headers);
        for name in header::INTERNAL {
            headers.remove(name);
        }
        Ok(Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers,
            class: class.clone(),
            service: class.service.clone(),
            id: None,
            route: None,
            caller,
            deadline: now + timeout,
            target: now + Duration::from_millis(class.target.latency_ms.into()),
            late: false,
            depth,
            attempts_left: parse_header(&head.headers, header::ATTEMPTS_LEFT)?,
            key,
            attempt,
            home,
            stranger: false,
        })
    }

    /// Parses a call of a caller on the adapted platform. The caller's own time
    /// limit only shortens that of the class. If the class is split,
    /// `split_index`, the number of the request, selects the service.
    pub fn parse_adapted(
        head: &http::request::Parts,
        class: &Class,
        caller: IpAddr,
        now: Instant,
        route: Route,
        split_index: u64,
    ) -> Self {
        let mut headers = forwarded_headers(&head.headers);
        if let Some(host) = head.headers.get(http::header::HOST) {
            headers.insert(http::header::HOST, host.clone());
        }
        for name in header::INTERNAL {
            headers.remove(name);
        }
        let time = platform::timeout(&head.headers);
        platform::strip(&mut headers);
        let max_timeout = class.timeout_ms.map(|ms| Duration::from_millis(ms.into()));
        let max_timeout = max_timeout.unwrap_or(DEFAULT_SHORT_TIMEOUT);
        Self {
            id: platform::request_id(&headers).map(str::to_owned),
            service: class.service_for(split_index).to_owned(),
            route: Some(route),
            deadline: now + time.map_or(max_timeout, |time| time.min(max_timeout)),
            ..Self::base(head, class.clone(), headers, caller, now)
        }
    }

    /// Returns a call that the entry of the adapted platform at `entry`
    /// forwarded. Callers connect from the host of their entry.
    pub fn from_hop(head: &http::request::Parts, hop: Hop, entry: IpAddr, now: Instant) -> Self {
        let class = Class {
            name: hop.class,
            service: hop.service.clone(),
            path_prefix: String::new(),
            methods: Vec::new(),
            work: Work::Short,
            idempotent: hop.idempotent,
            target: Target {
                latency_ms: hop.slack_ms,
                quantile: 0.0,
                success: 0.0,
            },
            shed_order: hop.shed_order,
            authority: None,
            split: Vec::new(),
            timeout_ms: None,
            attempts: None,
            homes: Vec::new(),
        };
        let mut headers = head.headers.clone();
        for name in header::INTERNAL {
            headers.remove(name);
        }
        Self {
            id: platform::request_id(&headers).map(str::to_owned),
            service: hop.service,
            route: Some(Route {
                origin: hop.origin,
                instance: hop.instance,
                slots: hop.slots,
                numbers: Numbers {
                    version: hop.version,
                    list: hop.list,
                },
            }),
            deadline: now + Duration::from_millis(hop.timeout_ms),
            late: hop.late,
            ..Self::base(head, class, headers, entry, now)
        }
    }

    /// Returns a call without the attributes that only some callers send.
    fn base(
        head: &http::request::Parts,
        class: Class,
        headers: HeaderMap,
        caller: IpAddr,
        now: Instant,
    ) -> Self {
        Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers,
            target: now + Duration::from_millis(class.target.latency_ms.into()),
            late: false,
            service: class.service.clone(),
            class,
            id: None,
            route: None,
            caller,
            deadline: now,
            depth: 0,
            attempts_left: None,
            key: None,
            attempt: None,
            home: None,
            stranger: false,
        }
    }

    /// Returns the attributes that an entry of the adapted platform sends to
    /// the gatekeeper at `now`; `None` if the call has no route.
    pub fn hop(&self, now: Instant) -> Option<Hop> {
        let route = self.route.as_ref()?;
        Some(Hop {
            class: self.class.name.clone(),
            service: self.service.clone(),
            origin: route.origin.clone(),
            slots: route.slots,
            idempotent: self.class.idempotent,
            shed_order: self.class.shed_order,
            timeout_ms: (self.remaining(now).as_millis() as u64).max(1),
            slack_ms: self.slack(now).as_millis() as u32,
            version: route.numbers.version,
            list: route.numbers.list,
            late: self.late,
            instance: route.instance.clone(),
        })
    }

    /// Waits for a part of the call's body until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body broke off or did not arrive in time.
    pub async fn receive<F>(&self, received: F) -> Result<(), Refusal>
    where
        F: Future<Output = Result<(), body::Error>>,
    {
        let remaining = self.remaining(Instant::now());
        match tokio::time::timeout(remaining, received).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "the request's body was cut",
            )),
            Err(_) => Err(Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "the request's body did not come in time",
            )),
        }
    }

    /// Returns the time until the deadline at `now`; zero after it.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time until the latency target at `now`; zero after it.
    pub fn slack(&self, now: Instant) -> Duration {
        self.target.saturating_duration_since(now)
    }
}
