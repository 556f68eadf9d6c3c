//! Metrics of the daemon in the text format of Prometheus.

use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use savorylane_intent::hosts::List;
use savorylane_policy::cold::Counts;
use savorylane_policy::gate;
use savorylane_policy::route::Distance;
use savorylane_wire::{Load, Verdict};

use crate::decisions::{Decisions, Kind};
use crate::distribution::Distribution;
use crate::edge::server::Event;
use crate::intake;
use crate::logs;
use crate::reservation;

/// Metric instruments of one daemon.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    extra_attempts: Counter<u64>,
    late_answers: Counter<u64>,
    running: Gauge<u64>,
    queued: Gauge<u64>,
    late: Gauge<u64>,
    late_requests: Gauge<u64>,
    slots: Gauge<u64>,
    bodies_passing: Gauge<u64>,
    bodies_waiting: Gauge<u64>,
    caller_connections: Gauge<u64>,
    caller_body_bytes: Gauge<u64>,
    caller_bodies_waiting: Gauge<u64>,
    caller_limits: Gauge<u64>,
    version: Gauge<u64>,
    dropped_lines: Gauge<u64>,
    attempts: Counter<u64>,
    placements: Counter<u64>,
    attempt_latency: Histogram<f64>,
    store_lost: Gauge<u64>,
    knowledge_age: Gauge<u64>,
    reader: Gauge<u64>,
    polls: Gauge<u64>,
    ignored_hosts: Counter<u64>,
    pipelined: Counter<u64>,
    evacuated_hosts: Gauge<u64>,
    cold: Gauge<u64>,
    cold_effects: Gauge<u64>,
}

/// Bucket boundaries of the latency histograms in seconds.
const LATENCY_BOUNDARIES_S: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0,
];

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Panics
    ///
    /// Never: the registry is new, so no name is registered twice.
    pub fn open() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("savorylane");
        Self {
            requests: meter
                .u64_counter("savorylane_requests")
                .with_description("Requests answered to callers, by class and verdict")
                .build(),
            latency: meter
                .f64_histogram("savorylane_latency_seconds")
                .with_description("Time from the head of a request to the end of its answer")
                .with_boundaries(LATENCY_BOUNDARIES_S.to_vec())
                .build(),
            extra_attempts: meter
                .u64_counter("savorylane_attempts")
                .with_description("Further attempts and hedges sent to hosts, by kind")
                .build(),
            late_answers: meter
                .u64_counter("savorylane_late_answers")
                .with_description("Answers to abandoned attempts, dropped")
                .build(),
            running: meter.u64_gauge("savorylane_running").build(),
            queued: meter.u64_gauge("savorylane_queued").build(),
            late: meter.u64_gauge("savorylane_late").build(),
            late_requests: meter
                .u64_gauge("savorylane_late_requests")
                .with_description("Requests of the late lane since the start, by event")
                .build(),
            slots: meter.u64_gauge("savorylane_slots").build(),
            bodies_passing: meter
                .u64_gauge("savorylane_bodies_passing")
                .with_description("Large bodies that have room on the link of this host")
                .build(),
            bodies_waiting: meter
                .u64_gauge("savorylane_bodies_waiting")
                .with_description("Large bodies that wait for room on the link of this host")
                .build(),
            caller_connections: meter
                .u64_gauge("savorylane_caller_connections")
                .with_description("Open connections of callers")
                .build(),
            caller_body_bytes: meter
                .u64_gauge("savorylane_caller_body_bytes")
                .with_description("Memory that callers' bodies hold")
                .build(),
            caller_bodies_waiting: meter
                .u64_gauge("savorylane_caller_bodies_waiting")
                .with_description("Bodies of callers that wait for memory or behind stalled ones")
                .build(),
            caller_limits: meter
                .u64_gauge("savorylane_caller_limits")
                .with_description("What was refused, closed or discarded at a limit of callers")
                .build(),
            version: meter.u64_gauge("savorylane_version").build(),
            dropped_lines: meter
                .u64_gauge("savorylane_log_lines_left_out")
                .with_description("Log lines that were not written, by kind")
                .build(),
            placements: meter
                .u64_counter("savorylane_placements")
                .with_description("Attempts by the distance of the host that they were sent to")
                .build(),
            attempts: meter
                .u64_counter("savorylane_host_attempts")
                .with_description("Attempts at hosts, by service, outcome and cause")
                .build(),
            attempt_latency: meter
                .f64_histogram("savorylane_host_latency_seconds")
                .with_description("Time from an attempt at a host to its answer's head")
                .with_boundaries(LATENCY_BOUNDARIES_S.to_vec())
                .build(),
            store_lost: meter
                .u64_gauge("savorylane_store_lost_milliseconds")
                .with_description("Time for which the store gives no answers; 0 while it does")
                .build(),
            knowledge_age: meter
                .u64_gauge("savorylane_knowledge_age_milliseconds")
                .with_description("Time since all versions and hosts were known")
                .build(),
            reader: meter
                .u64_gauge("savorylane_reader")
                .with_description("Whether this daemon reads the store; 1 or 0")
                .build(),
            polls: meter
                .u64_gauge("savorylane_polls")
                .with_description("Polls that this daemon has sent to other daemons")
                .build(),
            ignored_hosts: meter
                .u64_counter("savorylane_ignored_hosts")
                .with_description("Hosts and entries left out of host lists, by source")
                .build(),
            pipelined: meter
                .u64_counter("savorylane_pipelined_requests")
                .with_description("Requests that started before their turn, by event")
                .build(),
            evacuated_hosts: meter
                .u64_gauge("savorylane_evacuated_hosts")
                .with_description("Listed hosts whose data centres are evacuated")
                .build(),
            cold: meter
                .u64_gauge("savorylane_cold")
                .with_description("Whether the upstream of this host counts as cold; 1 or 0")
                .build(),
            cold_effects: meter
                .u64_gauge("savorylane_cold_effects")
                .with_description(
                    "Requests delayed or refused since the upstream was cold, and questions to it",
                )
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records an answer to a caller and its latency.
    pub fn record_answer(&self, class: &str, verdict: Verdict, seconds: f64) {
        let class = KeyValue::new("class", class.to_owned());
        self.latency.record(seconds, std::slice::from_ref(&class));
        let verdict = KeyValue::new("verdict", verdict.as_str());
        self.requests.add(1, &[class, verdict]);
    }

    /// Counts a host that was left out of a host list; `source` is `store` or
    /// `peer`.
    pub fn count_ignored_host(&self, source: &'static str) {
        let source = KeyValue::new("source", source);
        self.ignored_hosts.add(1, &[source]);
    }

    /// Counts an event of a pipelined request.
    pub fn count_pipelined(&self, event: Event) {
        self.pipelined
            .add(1, &[KeyValue::new("event", event.name())]);
    }

    /// Counts an additional attempt of a request; `kind` is `retry` or `hedge`.
    pub fn count_extra_attempt(&self, kind: &'static str) {
        self.extra_attempts.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records an attempt at a host and its latency. `outcome` and `cause` have
    /// the same values as in the log line of the attempt.
    pub fn record_attempt(
        &self,
        service: &str,
        outcome: &'static str,
        cause: &'static str,
        seconds: f64,
    ) {
        let service = KeyValue::new("service", service.to_owned());
        self.attempt_latency
            .record(seconds, std::slice::from_ref(&service));
        let outcome = KeyValue::new("outcome", outcome);
        let cause = KeyValue::new("cause", cause);
        self.attempts.add(1, &[service, outcome, cause]);
    }

    /// Records that an attempt was sent to a host at `distance`.
    pub fn record_placement(&self, service: &str, distance: Distance) {
        let service = KeyValue::new("service", service.to_owned());
        let distance = KeyValue::new("distance", distance.as_str());
        self.placements.add(1, &[service, distance]);
    }

    /// Sets the gauges of the distribution to their values at `now`.
    pub fn set_distribution(&self, distribution: &Distribution, now: Duration) {
        self.store_lost.record(distribution.store_lost_ms(now), &[]);
        self.reader
            .record(u64::from(*distribution.watch_reads_store().borrow()), &[]);
        self.polls.record(distribution.polls_sent(), &[]);
        if let Some(age) = distribution.age.at(now) {
            self.knowledge_age.record(age.as_millis() as u64, &[]);
        }
    }

    /// Sets the gauges of the host list in force.
    pub fn set_hosts(&self, list: &List) {
        let evacuated = list.hosts.iter().filter(|host| host.evacuated).count();
        self.evacuated_hosts.record(evacuated as u64, &[]);
    }

    /// Sets the gauges of the bodies on the host's link.
    pub fn set_link(&self, state: reservation::State) {
        self.bodies_passing.record(state.active.into(), &[]);
        self.bodies_waiting.record(state.waiting.into(), &[]);
    }

    /// Sets the gauges of the limit of a cold upstream; `limited` states whether
    /// it is in force.
    pub fn set_cold(&self, counts: Counts, limited: bool) {
        self.cold.record(u64::from(limited), &[]);
        let effects = [
            ("delayed", counts.delayed),
            ("refused", counts.refused),
            ("asked", counts.questions),
        ];
        for (kind, count) in effects {
            let kind = KeyValue::new("kind", kind);
            self.cold_effects.record(count, &[kind]);
        }
    }

    /// Sets the numbers of requests of the late lane.
    pub fn set_late_requests(&self, counts: gate::Counts) {
        let record = |event: &'static str, value: u64| {
            self.late_requests
                .record(value, &[KeyValue::new("event", event)]);
        };
        record("admitted", counts.admitted);
        record("started", counts.started);
        record("displaced", counts.displaced);
    }

    /// Sets the gauges of what callers hold and what their limits refused.
    pub fn set_intake(&self, state: intake::State) {
        self.caller_connections.record(state.connections, &[]);
        self.caller_body_bytes.record(state.bytes, &[]);
        self.caller_bodies_waiting.record(state.waiting, &[]);
        for (kind, count) in [
            ("refused-connection", state.refused_connections),
            ("closed-connection", state.closed_connections),
            ("unread-answer", state.unread_answers),
            ("refused-body", state.refused_bodies),
            ("discarded-buffer", state.discarded_buffers),
            ("refused-stream", state.refused_streams),
        ] {
            self.caller_limits
                .record(count, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Sets the gauges of log lines that were not written.
    pub fn set_dropped_lines(&self, decisions: &Decisions) {
        for kind in Kind::ALL {
            let name = KeyValue::new("kind", kind.name());
            self.dropped_lines
                .record(decisions.suppressed(kind), &[name]);
        }
        let full = KeyValue::new("kind", "queue-full");
        self.dropped_lines.record(logs::dropped_lines(), &[full]);
    }

    /// Counts an answer that arrived after its attempt was abandoned.
    pub fn count_late_answer(&self) {
        self.late_answers.add(1, &[]);
    }

    /// Returns all metrics as text. The cost is bounded by the number of
    /// classes.
    pub fn encode(&self, load: &Load, version: u64) -> Vec<u8> {
        self.running.record(load.running.into(), &[]);
        self.queued.record(load.queued.into(), &[]);
        self.late.record(load.late.into(), &[]);
        self.slots.record(load.limit.into(), &[]);
        self.version.record(version, &[]);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        text
    }
}
