//! Settings of an upstream.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Distribution of a service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Always the same.
    Fixed(Duration),
    /// Exponential with this mean.
    Exponential(Duration),
    /// Log-normal with this median and shape (sigma of the logarithm).
    LogNormal(Duration, f64),
}

impl Distribution {
    /// Draws a service time.
    pub fn sample(self, rng: &mut impl Rng) -> Duration {
        // 1 - u avoids the logarithm of 0: u is below 1.
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

/// Service time of the paths with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Start of the path. The longest match counts.
    pub path_prefix: String,
    /// Service time at slow factor 1.
    pub service_time: Distribution,
    /// Length of the answer's fill in bytes.
    pub fill: usize,
}

/// Settings of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that run at the same time; others wait, first come first served.
    pub slots: usize,
    /// Services by path prefix. Other paths are answered 404.
    pub services: Vec<Service>,
    /// Seed of the service times.
    pub seed: u64,
    /// Delay before a new connection is served.
    pub connect_delay: Duration,
    /// Slow factor right after a start; it falls to 1 linearly.
    pub cold_factor: f64,
    /// How long a start stays cold.
    pub cold_period: Duration,
    /// Requests whose path or body holds this text crash the upstream.
    pub crash_marker: String,
    /// How long connections are refused after a crash.
    pub crash_period: Duration,
}

impl Default for Settings {
    /// Returns settings with one service of 5 ms at `/` and no cold start.
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
