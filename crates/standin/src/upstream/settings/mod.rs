//! Settings of an upstream.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Probability distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Constant service time.
    Fixed(Duration),
    /// Exponential with this mean.
    Exponential(Duration),
    /// Log-normal with this median and shape (sigma of the logarithm).
    LogNormal(Duration, f64),
}

impl Distribution {
    /// Samples a service time.
    pub fn sample(self, rng: &mut impl Rng) -> Duration {
        // A random u is in [0, 1), so 1 - u is never 0 and its logarithm is
        // finite.
        let mut unit = || 1.0 - rng.random::<f64>();
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => mean.mul_f64(-unit().ln()),
            Self::LogNormal(median, sigma) => {
                // Box-Muller transform.
                let radius = (-2.0 * unit().ln()).sqrt();
                let normal = radius * (std::f64::consts::TAU * unit()).cos();
                median.mul_f64((sigma * normal).exp())
            }
        }
    }
}

/// Service time and answer length for paths with a common prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Prefix of the path. The longest matching prefix applies.
    pub path_prefix: String,
    /// Service time at a slow factor of 1.
    pub service_time: Distribution,
    /// Length of the padding of an answer, in bytes.
    pub fill: usize,
}

/// Settings of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of concurrent requests; others wait in FIFO order.
    pub slots: usize,
    /// Services by path prefix. Other paths are answered with 404.
    pub services: Vec<Service>,
    /// Seed of the random service times.
    pub seed: u64,
    /// Delay before a new connection is served.
    pub connect_delay: Duration,
    /// Factor on service times immediately after a start. It falls linearly to
    /// 1 during `cold_period`.
    pub cold_factor: f64,
    /// Time after a start during which service times are longer.
    pub cold_period: Duration,
    /// Requests whose path or body contains this text crash the upstream. An
    /// empty text matches no request.
    pub crash_marker: String,
    /// Time after a crash during which connections are refused.
    pub crash_period: Duration,
}

impl Default for Settings {
    /// Returns settings with one service at `/` that takes 5 ms, and without a
    /// cold start.
    fn default() -> Self {
        Self {
            slots: 6,
            services: vec![Service {
                path_prefix: "/".into(),
                service_time: Distribution::Fixed(Duration::from_millis(5)),
                fill: 256,
            }],
            seed: 1,
            connect_delay: Duration::from_millis(1),
            cold_factor: 1.0,
            cold_period: Duration::ZERO,
            crash_marker: "crash-marker".into(),
            crash_period: Duration::from_millis(500),
        }
    }
}
