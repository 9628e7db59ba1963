//! Settings of a fleet of simulated leaves.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::state::Versions;

/// Settings of a fleet of simulated leaves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetSettings {
    /// Number of threads that the leaves are distributed over.
    pub threads: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Service time of a call.
    pub service: ServiceTime,
    /// How much slower a leaf is after a start.
    pub cold: ColdStart,
    /// Index versions that each leaf holds at the start.
    pub versions: Versions,
    /// Platform in whose instance list the leaves register, if any.
    pub platform: Option<SocketAddr>,
    /// Interval between heartbeats to the instance list.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            threads: 1,
            seed: 1,
            service: ServiceTime::default(),
            cold: ColdStart::default(),
            versions: Versions::default(),
            platform: None,
            heartbeat: Duration::from_millis(500),
        }
    }
}

/// Log-normal distribution of the service time of a call.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceTime {
    /// Median of the service time.
    #[serde(with = "humantime_serde")]
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time. With 0, every
    /// call takes the median.
    pub spread: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median: Duration::from_millis(2),
            spread: 0.0,
        }
    }
}

impl ServiceTime {
    /// Draws a service time.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        self.median.mul_f64((self.spread * normal(rng)).exp())
    }
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

/// How much slower a leaf is after a start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ColdStart {
    /// Time over which the factor falls linearly to 1.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// Factor applied to the service time at the start.
    pub factor: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            span: Duration::ZERO,
            factor: 1.0,
        }
    }
}

impl ColdStart {
    /// Returns the factor applied at `age` after the start.
    pub(super) fn factor_at(&self, age: Duration) -> f64 {
        if age >= self.span {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.span.as_secs_f64();
        1.0 + (self.factor - 1.0) * remaining
    }
}
