//! Decides when a call is late enough to be hedged with a second call.

use std::time::Duration;

use super::{latency::LatencyHistogram, lateness::Lateness, time::Time};

/// Fraction of a leaf's calls that end before a hedge is considered.
pub const LATE_QUANTILE: f64 = 0.96;
/// Quantile of a leaf's latency of which lateness is a multiple.
const MEDIAN: f64 = 0.5;
/// Least number of samples of a leaf from which its own quantile is used.
const MIN_QUANTILE_SAMPLES: u16 = 32;
/// Least number of samples of a leaf from which its median is used, with the
/// lateness of all leaves.
const MIN_MEDIAN_SAMPLES: u16 = 8;
/// Another replica counts as far if its expected latency exceeds this multiple of
/// the leaf's cost.
const FAR_FACTOR: f64 = 1.5;
/// Pressure above which no hedge is sent.
const SATURATED_PRESSURE: f64 = 0.2;
/// Weight of one reply in the pressure.
const PRESSURE_WEIGHT: f64 = 0.02;

/// Returns the time after which a call to a leaf is late: a quantile of that
/// leaf's own latency. With few samples it is the leaf's median times the same
/// quantile of all leaves' lateness, because latencies of other leaves say little:
/// some of them are far. As a last resort it is that quantile of all latencies.
/// `None` if too little is known.
#[must_use]
pub fn late_after(
    leaf: &LatencyHistogram,
    all: &LatencyHistogram,
    lateness: &Lateness,
) -> Option<Duration> {
    if leaf.samples() >= MIN_QUANTILE_SAMPLES {
        return leaf.quantile(LATE_QUANTILE);
    }
    if leaf.samples() >= MIN_MEDIAN_SAMPLES
        && let Some(late) = lateness.quantile(LATE_QUANTILE)
    {
        return leaf.quantile(MEDIAN).map(|median| median.mul_f64(late));
    }
    let known = Some(all).filter(|all| all.samples() >= MIN_QUANTILE_SAMPLES);
    known?.quantile(LATE_QUANTILE)
}

/// Returns the time after which a call to a leaf is hedged: it is late, and a
/// hedge is expected to end sooner. `None` if too little is known.
#[must_use]
pub fn hedge_after(
    leaf: &LatencyHistogram,
    all: &LatencyHistogram,
    lateness: &Lateness,
) -> Option<Duration> {
    let known = Some(leaf).filter(|leaf| leaf.samples() >= MIN_MEDIAN_SAMPLES);
    let median = known.unwrap_or(all).quantile(MEDIAN)?;
    let late = late_after(leaf, all, lateness)?;
    Some(late.max(median.mul_f64(lateness.hedge_threshold())))
}

/// Returns a latency as a multiple of the leaf's median, if the median is known.
#[must_use]
pub fn ratio(leaf: &LatencyHistogram, latency: Duration) -> Option<f64> {
    let median = Some(leaf).filter(|leaf| leaf.samples() >= MIN_MEDIAN_SAMPLES)?;
    let median = median.quantile(MEDIAN)?;
    Some(latency.as_secs_f64() / median.as_secs_f64())
}

/// Returns whether a replica expected to take `other` is too far for the first
/// hedge of a call that should have taken `own`.
#[must_use]
pub fn is_far(own: f64, other: f64) -> bool {
    other > own * FAR_FACTOR
}

/// Fraction of recent calls that waited in a queue or were shed: a moving average,
/// 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure(f64);

impl Pressure {
    /// Adds one reply.
    pub fn record(&mut self, overloaded: bool) {
        let sample = if overloaded { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * PRESSURE_WEIGHT;
    }

    /// Returns whether the leaves are saturated, so that hedges would add to the
    /// overload.
    #[must_use]
    pub fn saturated(self) -> bool {
        self.0 > SATURATED_PRESSURE
    }
}

/// Returns whether a call that is sent now and expected to take `expected` would end
/// before the deadline.
#[must_use]
pub fn in_time(now: Time, expected: Duration, deadline: Time) -> bool {
    now.after(expected) < deadline
}
