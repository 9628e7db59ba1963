//! Estimates the age from which a pending call is expected to end later than a
//! hedge that is sent at that moment.

/// Number of buckets per multiple of the median.
const BUCKETS_PER_MEDIAN: usize = 8;
/// Multiple of the median from which all latencies fall into the last bucket.
const MAX_RATIO: usize = 8;
/// Number of samples at which all counts are halved, so that old samples lose
/// weight.
const MAX_SAMPLES: u32 = 4096;
/// Number of samples between two updates of the threshold, and the least number
/// from which a quantile is read.
const UPDATE_INTERVAL: u32 = 64;
/// Latency that a hedge is expected to take, as a multiple of the median.
const HEDGE_RATIO: f64 = 1.0;
/// Further time that a cancelled call is expected to have taken, as a fraction of
/// its age.
const REMAINING_FRACTION: f64 = 1.0;

/// Latencies of the calls to all leaves, each as a multiple of its leaf's median.
#[derive(Clone, Debug)]
pub struct Lateness {
    counts: [u32; BUCKETS_PER_MEDIAN * MAX_RATIO],
    total: u32,
    since_update: u32,
    threshold: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS_PER_MEDIAN * MAX_RATIO],
            total: 0,
            since_update: 0,
            threshold: HEDGE_RATIO,
        }
    }
}

impl Lateness {
    /// Adds a call that took `ratio` times its leaf's median.
    pub fn record(&mut self, ratio: f64) {
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
        self.counts[bucket(ratio)] += 1;
        self.total += 1;
        self.since_update += 1;
        if self.since_update >= UPDATE_INTERVAL {
            self.since_update = 0;
            self.threshold = self.compute_threshold();
        }
    }

    /// Adds a call that was cancelled at `ratio` times its leaf's median. Its full
    /// latency is not known: the older it was, the longer it is expected to have
    /// gone on.
    pub fn record_cancelled(&mut self, ratio: f64) {
        self.record(ratio * (1.0 + REMAINING_FRACTION));
    }

    /// Returns the multiple of the median from which the expected remaining time
    /// of a call exceeds the expected latency of a hedge. A call older than all
    /// recorded ones is worth a hedge, too.
    #[must_use]
    pub fn hedge_threshold(&self) -> f64 {
        self.threshold
    }

    /// Returns the multiple of the median that a `quantile` (0 to 1) of calls stay
    /// within; `None` if too little is known.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.total < UPDATE_INTERVAL {
            return None;
        }
        let most = f64::from(self.total) * (1.0 - quantile);
        let mut beyond = 0;
        let found = self.counts.iter().rposition(|count| {
            beyond += count;
            f64::from(beyond) > most
        });
        found.map(|index| as_float(index + 1) / as_float(BUCKETS_PER_MEDIAN))
    }

    fn compute_threshold(&self) -> f64 {
        let mut buckets = MAX_RATIO * BUCKETS_PER_MEDIAN;
        let mut remaining = 0.0;
        let mut beyond = 0.0;
        for (index, count) in self.counts.iter().enumerate().rev() {
            // `remaining` is the time that the calls which outlast this bucket take
            // beyond it.
            if remaining >= beyond * HEDGE_RATIO {
                buckets = index + 1;
            }
            let count = f64::from(*count);
            remaining += (beyond + count / 2.0) / as_float(BUCKETS_PER_MEDIAN);
            beyond += count;
        }
        (as_float(buckets) / as_float(BUCKETS_PER_MEDIAN)).max(HEDGE_RATIO)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "ratios are positive, and the largest fall into the last bucket"
)]
fn bucket(ratio: f64) -> usize {
    let index = (ratio * as_float(BUCKETS_PER_MEDIAN)) as usize;
    index.min(BUCKETS_PER_MEDIAN * MAX_RATIO - 1)
}

#[allow(clippy::cast_precision_loss, reason = "numbers of buckets are small")]
fn as_float(count: usize) -> f64 {
    count as f64
}
