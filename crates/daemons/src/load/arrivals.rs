//! Generates random arrivals of requests.

use std::time::Duration;

/// One request to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Intended send time, from the start.
    pub at: Duration,
    /// Index of its kind in the rates.
    pub kind: usize,
    /// Random number that makes its body differ from others.
    pub number: u32,
}

/// Generates the arrivals of one Poisson process for each rate, given in requests
/// per second, in order of time.
#[must_use]
pub fn arrivals(rates: &[f64], span: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    for (kind, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.f64()).ln() / rate;
            if at >= span.as_secs_f64() || !at.is_finite() {
                break;
            }
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                kind,
                number: rng.u32(..),
            });
        }
    }
    arrivals.sort_unstable_by_key(|arrival| arrival.at);
    arrivals
}
