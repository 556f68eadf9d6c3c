//! Schedule of the requests of a load generator.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests per second over time, interpolated linearly between points. The
/// rate is constant before the first and after the last point.
#[derive(Clone, Debug, PartialEq)]
pub struct Rate(pub Vec<(Duration, f64)>);

impl Rate {
    /// Returns a constant rate.
    pub fn constant(per_second: f64) -> Self {
        Self(vec![(Duration::ZERO, per_second)])
    }

    /// Returns the rate at `time` since the start, in requests per second.
    pub fn at(&self, time: Duration) -> f64 {
        let next = self.0.partition_point(|(point, _)| *point <= time);
        let (Some(&before), Some(&after)) = (self.0.get(next.wrapping_sub(1)), self.0.get(next))
        else {
            let end = if next == 0 {
                self.0.first()
            } else {
                self.0.last()
            };
            return end.map_or(0.0, |(_, rate)| *rate);
        };
        let fraction = (time - before.0).as_secs_f64() / (after.0 - before.0).as_secs_f64();
        before.1 + fraction * (after.1 - before.1)
    }

    fn peak(&self) -> f64 {
        self.0.iter().map(|(_, rate)| *rate).fold(0.0, f64::max)
    }
}

/// Form of the idempotency keys of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keys {
    /// Requests without a key.
    None,
    /// Keys from which their age cannot be derived.
    Opaque,
    /// Keys of the form `<unix-ms>-<id>`, which contain their creation time.
    Timestamped,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name in the results.
    pub name: String,
    /// HTTP method.
    pub method: Method,
    /// Path of the requests.
    pub path: String,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// Timeout of an attempt; also sent in a header.
    pub timeout: Duration,
    /// Form of the idempotency keys.
    pub keys: Keys,
    /// Arrivals per second.
    pub rate: Rate,
}

/// How callers resend keyed requests after a timeout or a broken connection.
/// Each attempt goes to another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resend {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Delay before each further attempt.
    pub delay: Duration,
    /// Whether attempts carry their number in a header.
    pub send_attempt_number: bool,
}

/// Load of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the arrivals and of the choice of entries.
    pub seed: u64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Maximum number of requests.
    pub max_requests: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Addresses that callers connect to.
    pub entries: Vec<SocketAddr>,
    /// Whether callers use HTTP/2.
    pub http2: bool,
    /// Number of callers. Each has its own connections and source address.
    pub callers: u8,
    /// Region that is sent as the home of keyed requests.
    pub home_region: Option<String>,
    /// How keyed requests are resent.
    pub resend: Resend,
}

/// Arrival of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Intended start, relative to the start of the run.
    pub at: Duration,
    /// Index of the class in the plan.
    pub class: usize,
    /// Index of the entry of the first attempt.
    pub entry: usize,
}

impl Plan {
    /// Returns the arrivals of all classes in order of time. The arrivals of
    /// each class form a Poisson process.
    ///
    /// Equal plans have equal arrivals.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no entry.
    pub fn arrivals(&self) -> Vec<Arrival> {
        assert!(!self.entries.is_empty(), "the plan has no entry");
        let mut arrivals = Vec::new();
        for (class, Class { rate, .. }) in self.classes.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            rng.set_stream(class as u64);
            let peak = rate.peak();
            let mut at = Duration::ZERO;
            // Thinning: samples arrivals at the peak rate and keeps each with
            // the probability of the current rate divided by the peak rate.
            while peak > 0.0 && arrivals.len() < self.max_requests.saturating_mul(class + 1) {
                let gap = -(1.0 - rng.random::<f64>()).ln() / peak;
                at += Duration::from_secs_f64(gap);
                if at >= self.duration {
                    break;
                }
                let entry = rng.random_range(0..self.entries.len());
                if rng.random::<f64>() * peak < rate.at(at) {
                    arrivals.push(Arrival { at, class, entry });
                }
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals.truncate(self.max_requests);
        arrivals
    }
}
