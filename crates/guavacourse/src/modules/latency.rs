//! A small histogram of recent latencies with logarithmic buckets.

use std::time::Duration;

use super::time::micros;

/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: u64 = 4;
/// Binary logarithm of the lowest latency that is distinguished, in microseconds;
/// lower ones fall into the first bucket.
const MIN_LATENCY_LOG2: u64 = 6;
/// Number of buckets, which cover 64 us up to 4 s.
const BUCKETS: usize = 64;
/// Number of samples at which all counts are halved, so that old samples lose
/// weight.
const MAX_SAMPLES: u16 = 512;

/// Counts of recent latencies, from which quantiles are read.
#[derive(Clone, Copy, Debug)]
pub struct LatencyHistogram {
    counts: [u16; BUCKETS],
    total: u16,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds one sample.
    pub fn record(&mut self, latency: Duration) {
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
        self.counts[bucket(micros(latency))] += 1;
        self.total += 1;
    }

    /// Returns the number of samples that are counted at present.
    #[must_use]
    pub fn samples(&self) -> u16 {
        self.total
    }

    /// Returns the latency that a `quantile` (0 to 1) of samples stay below,
    /// interpolated linearly within a bucket; `None` without samples.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let beyond = f64::from(self.total) * (1.0 - quantile);
        let mut above = 0.0;
        for (i, count) in self.counts.iter().enumerate().rev() {
            above += f64::from(*count);
            if above > beyond {
                let below = (above - beyond) / f64::from(*count);
                return Some(interpolate(i, below));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(micros: u64) -> usize {
    let value = micros.max(1 << MIN_LATENCY_LOG2);
    let log = u64::from(value.ilog2());
    let step = (value >> (log - 2)) & (BUCKETS_PER_DOUBLING - 1);
    let index = (log - MIN_LATENCY_LOG2) * BUCKETS_PER_DOUBLING + step;
    usize::try_from(index).map_or(BUCKETS - 1, |i| i.min(BUCKETS - 1))
}

/// Returns the latency at a `fraction` (0 to 1) of a bucket's width.
fn interpolate(index: usize, fraction: f64) -> Duration {
    let start = index.checked_sub(1).map_or(Duration::ZERO, bucket_end);
    let width = bucket_end(index).saturating_sub(start);
    start + width.mul_f64(fraction)
}

fn bucket_end(index: usize) -> Duration {
    let index = index as u64;
    let log = MIN_LATENCY_LOG2 + index / BUCKETS_PER_DOUBLING;
    let step = index % BUCKETS_PER_DOUBLING;
    Duration::from_micros((BUCKETS_PER_DOUBLING + step + 1) << (log - 2))
}
