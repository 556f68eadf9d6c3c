//! Documents that operators publish: services, and classes of requests with
//! their targets.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::bound;
use crate::fault::Fault;
use crate::version::{Hash, Version};

/// Services and classes of requests, with a target for each class.
///
/// Invariants of a document that [`validate`] returned:
///
/// - Every class refers only to services of the document.
/// - Names are unique within the services and within the classes.
/// - No two classes share an authority, a path prefix and a method.
/// - All values are within the limits of [`bound`].
/// - Services and classes are sorted by name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of the version; a greater number takes precedence.
    pub number: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// Services to which classes are routed.
    pub services: Vec<Service>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Limits of callers' connections; `None` if the limits in the daemon's
    /// settings apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of all headers of a request, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time within which the head of a request must arrive, in milliseconds.
    pub header_ms: u32,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u32,
}

/// Share of a class's requests that is routed to one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Service that runs the requests.
    pub service: String,
    /// Weight among the shares of the class; weight 0 gets no requests.
    pub weight: u32,
}

/// A service. The host list states which hosts run it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// How the service's upstreams take requests after a cold start; `None` if
    /// they take as many as at any other time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

impl Service {
    /// Returns a service whose upstreams need no time after a start.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            cold_start: None,
        }
    }
}

/// Limits of an upstream that is cold, as it is after a start.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Time after a start for which the upstream is cold, in milliseconds.
    pub duration_ms: u32,
    /// Number of requests that a cold upstream tolerates in one second, at
    /// least 1.
    pub requests_per_s: u32,
    /// Path at which the upstream answers how long it stays cold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// Expected duration of a class's requests.
///
/// Long requests never occupy all slots of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Requests of similar, short duration.
    Short,
    /// Uploads and other requests that can run many times longer.
    Long,
}

/// A class of requests: how they are matched, routed and served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Service that runs the requests, unless `split` is set.
    pub service: String,
    /// Prefix of the paths that belong to the class. Among the classes that
    /// accept a request's method, the one with the longest prefix is chosen.
    pub path_prefix: String,
    /// Upper-case HTTP methods that belong to the class. A class with an
    /// authority may have an empty list, and then accepts all methods.
    pub methods: Vec<String>,
    /// Expected duration of the requests.
    pub work: Work,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Latency and success rate with which the class must be served.
    pub target: Target,
    /// Under overload, classes with a higher value are shed first.
    #[serde(default)]
    pub shed_order: u8,
    /// Host name that requests must address; `None` for any host name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub authority: Option<String>,
    /// Services that share the requests by weight. If empty, `service` runs
    /// all requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
    /// Maximum time until the final answer to a caller, in milliseconds;
    /// `None` if the document sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u32>,
    /// Maximum number of upstreams to which one request may be sent; `None` if
    /// the document sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Regions whose upstreams may run the requests; all regions if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<String>,
}

/// Latency and success rate with which a class must be served.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Latency that the share `quantile` of the answers must not exceed, in
    /// milliseconds.
    pub latency_ms: u32,
    /// Share of the answers that must arrive within `latency_ms`; above 0 and
    /// below 1, with at most 6 decimals.
    pub quantile: f64,
    /// Share of the requests that must succeed; from 0 to 1, with at most
    /// 6 decimals.
    pub success: f64,
}

impl Document {
    /// Sorts the services and classes by name, and the methods of each class.
    pub fn sort(&mut self) {
        self.services.sort();
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        for class in &mut self.classes {
            class.methods.sort();
        }
    }

    /// Returns the canonical bytes: compact JSON of the sorted document.
    ///
    /// # Panics
    ///
    /// Never: every document can be written as JSON.
    pub fn canonical(&self) -> Vec<u8> {
        let mut sorted = self.clone();
        sorted.sort();
        serde_json::to_vec(&sorted).expect("a document can be written as JSON")
    }

    /// Returns the version: the number, and the hash of the canonical bytes.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: Hash::of(&self.canonical()),
        }
    }

    /// Returns the class with the name `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Checks all fields and references.
    ///
    /// [`validate`] accepts the document's canonical bytes if and only if this
    /// check succeeds.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(&self) -> Result<(), Fault> {
        bound::check_range("number", self.number, &bound::DOCUMENT_NUMBERS)?;
        bound::check_name("deployment", &self.deployment)?;
        bound::check_count("services", self.services.len(), bound::MAX_SERVICES)?;
        bound::check_count("classes", self.classes.len(), bound::MAX_CLASSES)?;
        let mut services = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            bound::check_name(format_args!("services[{index}].name"), &service.name)?;
            if let Some(cold_start) = &service.cold_start {
                cold_start.check(format_args!("services[{index}].cold_start"))?;
            }
            if !services.insert(service.name.as_str()) {
                return Err(Fault::Duplicate {
                    field: "services".into(),
                    name: service.name.clone(),
                });
            }
        }
        let mut names = HashSet::with_capacity(self.classes.len());
        let mut routes: HashMap<_, Vec<&Class>> = HashMap::with_capacity(self.classes.len());
        for (index, class) in self.classes.iter().enumerate() {
            class.check_fields(format_args!("classes[{index}]"))?;
            if !names.insert(class.name.as_str()) {
                return Err(Fault::Duplicate {
                    field: "classes".into(),
                    name: class.name.clone(),
                });
            }
            if !services.contains(class.service.as_str()) {
                return Err(Fault::Dangling {
                    class: class.name.clone(),
                    service: class.service.clone(),
                });
            }
            for share in &class.split {
                if !services.contains(share.service.as_str()) {
                    return Err(Fault::Dangling {
                        class: class.name.clone(),
                        service: share.service.clone(),
                    });
                }
            }
            let route = (class.authority.as_deref(), class.path_prefix.as_str());
            let others = routes.entry(route).or_default();
            if let Some((other, method)) = class.conflicting_method(others) {
                return Err(Fault::Ambiguous {
                    class: class.name.clone(),
                    other: other.name.clone(),
                    prefix: class.path_prefix.clone(),
                    method: method.to_owned(),
                });
            }
            others.push(class);
        }
        Ok(())
    }
}

impl ColdStart {
    /// Checks the ranges of the limits; `field` is their path in error
    /// messages.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(&self, field: fmt::Arguments<'_>) -> Result<(), Fault> {
        bound::check_range(
            format_args!("{field}.duration_ms"),
            self.duration_ms,
            &bound::DURATIONS_MS,
        )?;
        bound::check_range(
            format_args!("{field}.requests_per_s"),
            self.requests_per_s,
            &bound::COLD_REQUESTS_PER_S,
        )
    }
}

impl Class {
    /// Checks the fields of the class; `field` is its path in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(&self, field: &str) -> Result<(), Fault> {
        self.check_fields(format_args!("{field}"))
    }

    /// Returns the first method of the class that one of `others` also accepts,
    /// and that other class.
    fn conflicting_method<'a>(&'a self, others: &[&'a Self]) -> Option<(&'a Self, &'a str)> {
        if others.is_empty() {
            return None;
        }
        let all = bound::METHODS.iter().filter(|_| self.methods.is_empty());
        let methods = self.methods.iter().map(String::as_str);
        let mut methods = methods.chain(all.copied());
        methods.find_map(|method| {
            let other = others.iter().find(|other| other.accepts_method(method))?;
            Some((*other, method))
        })
    }

    /// Checks as [`Class::check`] does, but formats the path of the class only
    /// for an error.
    fn check_fields(&self, field: fmt::Arguments<'_>) -> Result<(), Fault> {
        bound::check_name(format_args!("{field}.name"), &self.name)?;
        bound::check_name(format_args!("{field}.service"), &self.service)?;
        if !bound::is_prefix(&self.path_prefix) {
            return Err(Fault::value(
                format_args!("{field}.path_prefix"),
                bound::quote(&self.path_prefix),
                bound::EXPECTED_PREFIX,
            ));
        }
        let field_methods = || format!("{field}.methods");
        let accepted = || {
            let methods = bound::METHODS.join(", ");
            format!("expected one or more of {methods}, each listed once")
        };
        if self.methods.is_empty() && self.authority.is_none() {
            return Err(Fault::value(field_methods(), "an empty list", accepted()));
        }
        let mut methods = BTreeSet::new();
        for method in &self.methods {
            if !bound::METHODS.contains(&method.as_str()) || !methods.insert(method) {
                return Err(Fault::value(
                    field_methods(),
                    bound::quote(method),
                    accepted(),
                ));
            }
        }
        self.check_routing(field)?;
        self.target.check(format_args!("{field}.target"))
    }

    /// Checks the optional fields for routing, time-out and attempts.
    fn check_routing(&self, field: fmt::Arguments<'_>) -> Result<(), Fault> {
        if let Some(authority) = &self.authority {
            bound::check_name(format_args!("{field}.authority"), authority)?;
        }
        if let Some(timeout) = self.timeout_ms {
            let field = format_args!("{field}.timeout_ms");
            bound::check_range(field, timeout, &bound::DURATIONS_MS)?;
        }
        if let Some(attempts) = self.attempts {
            let field = format_args!("{field}.attempts");
            bound::check_range(field, attempts, &bound::ATTEMPT_LIMITS)?;
        }
        bound::check_count("homes", self.homes.len(), bound::MAX_HOMES)?;
        if !self.split.is_empty() && self.split.iter().all(|share| share.weight == 0) {
            return Err(Fault::value(
                format_args!("{field}.split"),
                "only weights of 0",
                "expected at least one weight above 0",
            ));
        }
        Ok(())
    }

    /// Returns whether upstreams in `region` may run the requests of the class.
    pub fn is_home(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.iter().any(|home| home == region)
    }

    /// Returns whether requests with `method` belong to the class.
    pub fn accepts_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|accepted| accepted == method)
    }

    /// Returns the service to which a request is routed. `turn` is the
    /// consecutive number of the request.
    ///
    /// Among any consecutive requests, each share gets its part by weight to
    /// within a few requests, since multiples of the golden ratio modulo 1 are
    /// evenly distributed.
    pub fn service_for(&self, turn: u64) -> &str {
        /// Fractional part of the golden ratio, times 2^64.
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let point = (u128::from(turn.wrapping_mul(STEP)) * u128::from(total)) >> 64;
        let mut point = point as u64;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        &self.service
    }
}

impl Target {
    /// Checks the ranges of the target; `field` is its path in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(&self, field: fmt::Arguments<'_>) -> Result<(), Fault> {
        bound::check_range(
            format_args!("{field}.latency_ms"),
            self.latency_ms,
            &bound::DURATIONS_MS,
        )?;
        if !is_exact_fraction(self.quantile) || self.quantile <= 0.0 || self.quantile >= 1.0 {
            return Err(Fault::value(
                format_args!("{field}.quantile"),
                format!("`{}`", self.quantile),
                "expected a number above 0 and below 1 with at most 6 decimals",
            ));
        }
        if !is_exact_fraction(self.success) || !(0.0..=1.0).contains(&self.success) {
            return Err(Fault::value(
                format_args!("{field}.success"),
                format!("`{}`", self.success),
                "expected a number from 0 to 1 with at most 6 decimals",
            ));
        }
        Ok(())
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
        })
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            latency_ms,
            quantile,
            success,
        } = self;
        write!(f, "{latency_ms} ms at {quantile}, success {success}")
    }
}

/// Returns whether `value` is a non-negative number with at most 6 decimals.
///
/// Negative zero is refused, since it equals zero but has other canonical
/// bytes.
fn is_exact_fraction(value: f64) -> bool {
    value.is_sign_positive()
        && (value * bound::FRACTION_STEPS).round() / bound::FRACTION_STEPS == value
}

/// Parses, checks and sorts a document.
///
/// The result depends only on `bytes`. An object may also be written as an
/// array of its values in the order of the fields, since serde reads both. The
/// canonical form has only objects.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn validate(bytes: &[u8]) -> Result<Document, Fault> {
    bound::check_size("document", bytes.len(), bound::MAX_DOCUMENT_BYTES)?;
    let mut document: Document = bound::parse(bytes)?;
    document.check()?;
    document.sort();
    Ok(document)
}
