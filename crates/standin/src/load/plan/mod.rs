//! What a load generator sends and when.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests per second over time: points that straight lines join. The first
/// and the last value hold before and after the points.
#[derive(Clone, Debug, PartialEq)]
pub struct Rate(pub Vec<(Duration, f64)>);

impl Rate {
    /// Returns a rate that does not change.
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

/// Whether and which idempotency keys are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keys {
    /// None.
    None,
    /// Keys that tell nothing about their age.
    Opaque,
    /// Keys of the form `<unix-ms>-…`.
    Timestamped,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name in the results.
    pub name: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// Timeout of an attempt; also sent along.
    pub timeout: Duration,
    /// Idempotency keys.
    pub keys: Keys,
    /// Arrivals per second.
    pub rate: Rate,
}

/// How callers send a key again after a timeout or a broken connection. Each
/// attempt goes to another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resend {
    /// Attempts at most, with the first.
    pub max_attempts: u32,
    /// Wait before each further attempt.
    pub delay: Duration,
    /// Whether attempts carry their number.
    pub send_attempt_number: bool,
}

/// What is sent and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the arrivals and of the choice of entries.
    pub seed: u64,
    /// Time over which requests are started.
    pub duration: Duration,
    /// Requests at most.
    pub max_requests: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Addresses that callers connect to.
    pub entries: Vec<SocketAddr>,
    /// Whether callers speak HTTP/2.
    pub http2: bool,
    /// Callers, each with connections and a source address of its own.
    pub callers: u8,
    /// Region that is sent as the home of keyed work.
    pub home_region: Option<String>,
    /// Resending of keyed work.
    pub resend: Resend,
}

/// A request that is to be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Intended start, since the start of the run.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the first entry.
    pub entry: usize,
}

impl Plan {
    /// Returns the arrivals in order: a Poisson process per class.
    ///
    /// They depend on the plan alone.
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
            // Thinning: arrivals at the peak rate, kept with the fraction at hand.
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
