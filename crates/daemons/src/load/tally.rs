//! Collects the outcomes of requests and computes their figures.

use std::{collections::BTreeMap, fmt, time::Duration};

use guavacourse::modules::inventory::Kind;
use hdrhistogram::Histogram;

use super::report::{KindFigures, Latency, SecondFigures};

/// Largest latency that the histogram can hold, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time after its deadline at which an answer still counts as in time, since it
/// takes time to reach the caller.
const DELIVERY_GRACE: Duration = Duration::from_millis(10);

/// Outcome of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Intended send time, from the start of the measurement.
    pub at: Duration,
    /// Time from the intended send time to the answer.
    pub latency: Duration,
    /// Coverage of the answer; none if there is no answer.
    pub coverage: Option<f64>,
    /// Number of leaf calls whose rows are in the answer.
    pub calls: f64,
    /// Whether the number of rows in the answer does not match its coverage.
    pub wrong: bool,
    /// Why there is no answer.
    pub failure: Option<Failure>,
}

/// Why a request has no answer.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// The connection closed before the answer.
    Closed,
    /// The answer cannot be read.
    Malformed,
    /// The entry refused, with this error and reason.
    Refused(String, String),
    /// No answer arrived in time.
    Timeout,
    /// No entry could be reached.
    Unreachable,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed"),
            Self::Malformed => f.write_str("malformed"),
            Self::Refused(error, reason) => write!(f, "{error} {reason}"),
            Self::Timeout => f.write_str("timeout"),
            Self::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    kind: Kind,
    samples: Vec<Sample>,
}

impl Tally {
    /// Creates an empty tally of a kind.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            samples: Vec::new(),
        }
    }

    /// Adds the outcome of a request.
    pub fn add(&mut self, sample: Sample) {
        self.samples.push(sample);
    }

    /// Returns the outcomes added so far.
    #[must_use]
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Returns whether a request was answered in time with enough coverage.
    #[must_use]
    pub fn served(&self, sample: &Sample) -> bool {
        let enough = |covered| covered >= self.kind.least_coverage;
        let in_time = sample.latency <= self.kind.deadline + DELIVERY_GRACE;
        in_time && sample.coverage.is_some_and(enough)
    }

    /// Returns the figures of the kind; `fault` is the time of the first fault.
    #[must_use]
    pub fn figures(&self, fault: Option<Duration>) -> KindFigures {
        let answered: Vec<f64> = self.samples.iter().filter_map(|s| s.coverage).collect();
        let sent = count(&self.samples, |_| true);
        let served = count(&self.samples, |s| self.served(s));
        KindFigures {
            kind: self.kind.name.clone(),
            worth: self.kind.worth,
            sent,
            answered: count(&self.samples, |s| s.coverage.is_some()),
            served,
            wrong: count(&self.samples, |s| s.wrong),
            service: f64::from(served) / f64::from(sent),
            coverage_mean: mean(answered.iter().copied()),
            coverage_least: answered.iter().copied().fold(f64::NAN, f64::min),
            latency: latency(&histogram(&self.samples)),
            failures: self.failures(),
            incomplete_for: fault.and_then(|fault| self.incomplete_for(fault)),
        }
    }

    fn failures(&self) -> BTreeMap<String, u32> {
        let mut failures = BTreeMap::new();
        for failure in self.samples.iter().filter_map(|s| s.failure.as_ref()) {
            *failures.entry(failure.to_string()).or_default() += 1;
        }
        failures
    }

    fn incomplete_for(&self, fault: Duration) -> Option<Duration> {
        let full = |s: &Sample| s.coverage.is_some_and(|covered| covered >= 1.0);
        let incomplete = self.samples.iter().filter(|s| s.at >= fault && !full(s));
        let last = incomplete.map(|s| s.at + s.latency).max()?;
        Some(last.saturating_sub(fault))
    }
}

/// Returns the fraction of the requests sent that were served, weighted by worth.
#[must_use]
pub(super) fn weighted_service(kinds: &[KindFigures]) -> f64 {
    let worth = |count: u32, kind: &KindFigures| f64::from(count) * f64::from(kind.worth);
    let sent: f64 = kinds.iter().map(|kind| worth(kind.sent, kind)).sum();
    let served: f64 = kinds.iter().map(|kind| worth(kind.served, kind)).sum();
    served / sent
}

/// Returns a histogram of the latencies of answered requests, in microseconds.
pub(super) fn histogram<'a>(samples: impl IntoIterator<Item = &'a Sample>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_LATENCY_MICROS, 3).unwrap_or_else(|_| {
        unreachable!("the bounds of the histogram are constants");
    });
    for sample in samples {
        if sample.coverage.is_some() {
            let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
    }
    histogram
}

/// Returns the percentiles and the maximum of a histogram.
pub(super) fn latency(histogram: &Histogram<u64>) -> Latency {
    let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
    Latency {
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        max: Duration::from_micros(histogram.max()),
    }
}

/// Returns the figures of each second.
pub(super) fn per_second(tallies: &[Tally]) -> Vec<SecondFigures> {
    let mut seconds: Vec<SecondFigures> = Vec::new();
    for (tally, sample) in tallies
        .iter()
        .flat_map(|tally| tally.samples.iter().map(move |sample| (tally, sample)))
    {
        let second = usize::try_from(sample.at.as_secs()).unwrap_or(usize::MAX);
        if seconds.len() <= second {
            seconds.resize(second + 1, SecondFigures::default());
        }
        let figures = &mut seconds[second];
        figures.sent += 1;
        figures.served += u32::from(tally.served(sample));
        figures.full += u32::from(sample.coverage.is_some_and(|covered| covered >= 1.0));
    }
    seconds
}

fn count(samples: &[Sample], wanted: impl Fn(&Sample) -> bool) -> u32 {
    let found = samples.iter().filter(|sample| wanted(sample)).count();
    u32::try_from(found).unwrap_or(u32::MAX)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / count
}
