//! What one process knows of the load and the speed of one leaf.

use std::time::Duration;

use super::{
    load_estimate::Station,
    load_report::{LoadReport, USUAL_PACE},
};
use crate::modules::time::{Time, micros};

/// Weight of one answer in the estimate of the work of a call.
const WORK_WEIGHT: f64 = 0.1;
/// Largest sample of the work, as a multiple of the estimate: a straggler changes it
/// little.
const MAX_WORK_FACTOR: f64 = 4.0;
/// Least work of a call, in microseconds. Clocks and the network are not more exact.
const MIN_WORK: f64 = 100.0;
/// Half-life of the difference between the work of a leaf and that of its replicas, so
/// that a leaf that was slow is tried again.
const WORK_HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life of the difference between a reported pace and the usual one of the leaf.
/// Most changes are shorter; a call to a slow leaf costs more than the avoidance of a
/// leaf that has recovered.
const PACE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time over which the mean pace of a leaf is taken.
const MEAN_PACE_TIME: Duration = Duration::from_secs(10);
/// Half-life of the difference between the mean pace and the usual one while the leaf
/// reports nothing, so that no leaf stays unused.
const MEAN_PACE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Largest mean pace that an old report returns to. A machine at 12 times its usual pace
/// recovers within seconds, one at 2.5 times may stay so.
const MAX_MEAN_PACE: f64 = 3.0;
/// Largest pace that is believed, as a multiple of the usual one.
const MAX_PACE: f64 = 50.0;
/// Half-life of the rate of calls.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of one answer in the errors of the estimates.
const ERROR_WEIGHT: f64 = 0.15;
/// Largest error of one estimate: the logarithm of a factor of 20.
const MAX_ERROR: f64 = 3.0;
/// Largest weight of the reports against the measured latencies. In replays, a mean of
/// both placed calls better than the reports alone.
const MAX_REPORT_WEIGHT: f64 = 0.6;
/// Error by which reports may be worse than measurements and keep their weight.
const ERROR_TOLERANCE: f64 = 0.2;

/// Load and speed of one leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafLoad {
    /// Load that the leaf reported last, and when.
    report: Option<(LoadReport, Time)>,
    /// Whether it reported it to a peer.
    by_peer: bool,
    /// Work of a call at the usual pace, in microseconds; 0 if not known.
    work: f64,
    work_updated: Time,
    /// Mean pace, as a multiple of the usual one; 0 if none was reported.
    mean_pace: f64,
    /// Mean difference between the logarithms of the latency expected from the reports,
    /// or from earlier latencies, and of the measured one.
    report_error: f64,
    latency_error: f64,
    /// Own calls since the report that have not ended.
    unreported: u32,
    last_sent: Time,
    /// Own calls, each halved in weight after the half-life.
    calls: f64,
    calls_updated: Time,
}

impl LeafLoad {
    /// Records that this process sends a call.
    pub fn send(&mut self, now: Time) {
        self.unreported = self.unreported.saturating_add(1);
        self.last_sent = now;
        self.calls = self.decayed_calls(now) + 1.0;
        self.calls_updated = now;
    }

    /// Records that an own call ended without a report.
    pub fn end_unreported(&mut self) {
        self.unreported = self.unreported.saturating_sub(1);
    }

    /// Records the load that the leaf reported to this process.
    pub fn report(&mut self, report: LoadReport, now: Time) {
        self.unreported = 0;
        self.by_peer = false;
        self.set_report(report, now);
    }

    /// Returns whether the last report was made to a peer.
    #[must_use]
    pub fn reported_by_peer(&self) -> bool {
        self.by_peer
    }

    /// Takes a report that the leaf made to a peer at `at`, if it is newer than the last.
    /// Own calls sent since then are not in it. Returns whether it is newer.
    pub fn merge_report(&mut self, report: LoadReport, at: Time) -> bool {
        if self.report.is_some_and(|(_, known)| known >= at) {
            return false;
        }
        if self.last_sent <= at {
            self.unreported = 0;
        }
        self.set_report(report, at);
        self.by_peer = true;
        true
    }

    /// Returns the load that the leaf reported last, and its age.
    #[must_use]
    pub fn reported(&self, now: Time) -> Option<(LoadReport, Duration)> {
        self.report.map(|(report, at)| (report, now.since(at)))
    }

    /// Returns whether the leaf reports the pace of its machine.
    #[must_use]
    pub fn reports_pace(&self) -> bool {
        self.report.is_some_and(|(report, _)| report.pace.is_some())
    }

    /// Learns from an answer: `latency` (without the distance to the leaf) is what the
    /// call took, `expected` what earlier latencies made expect, in microseconds.
    pub fn record(&mut self, latency: f64, expected: f64, now: Time) {
        let latency = latency.max(MIN_WORK);
        let (pace, load) = self.report.map_or((1.0, 1.0), |(report, _)| {
            let slots = f64::from(report.slots.max(1));
            (pace_of(report), 1.0 + f64::from(report.waiting) / slots)
        });
        let sample = (latency / (pace * load)).max(MIN_WORK);
        if self.work == 0.0 {
            self.work = sample;
        } else {
            let error = |expected: f64| (latency / expected.max(MIN_WORK)).ln().abs();
            let (by_report, by_latency) = (error(self.work * pace * load), error(expected));
            let mix = |mean: &mut f64, error: f64| {
                *mean += (error.min(MAX_ERROR) - *mean) * ERROR_WEIGHT;
            };
            mix(&mut self.report_error, by_report);
            mix(&mut self.latency_error, by_latency);
            let clipped = sample.min(self.work * MAX_WORK_FACTOR);
            self.work += (clipped - self.work) * WORK_WEIGHT;
        }
        self.work_updated = now;
    }

    /// Returns the work of a call at the usual pace, in microseconds, if it is known.
    #[must_use]
    pub fn work(&self) -> Option<f64> {
        Some(self.work).filter(|work| *work > 0.0)
    }

    /// Returns the time that a call is expected to run, in microseconds; `typical` is the
    /// work of a call to the leaf's replicas. Old information counts little.
    #[must_use]
    pub fn service(&self, typical: f64, now: Time) -> f64 {
        let work = self.work().map_or(typical, |work| {
            typical + (work - typical) * decay(now.since(self.work_updated), WORK_HALF_LIFE)
        });
        work.max(MIN_WORK) * self.pace(now)
    }

    /// Returns the expected number of calls at the leaf, and the age of the information
    /// in microseconds. Own calls count exactly.
    #[must_use]
    pub fn calls(&self, station: &Station, pending: u32, now: Time) -> (f64, f64) {
        let Some((report, at)) = self.report else {
            let mean = station.utilisation * station.slots;
            return (mean.max(f64::from(pending)), f64::INFINITY);
        };
        let age = as_float(now.since(at));
        let unreported = self.unreported.min(pending);
        let others = station.calls_after(report, age);
        let known = f64::from(pending - unreported);
        (others.max(known) + f64::from(unreported), age)
    }

    /// Returns the weight of the reports against the measured latencies: reports
    /// that expect latencies worse than earlier latencies do lose weight.
    #[must_use]
    pub fn report_weight(&self) -> f64 {
        let allowed = self.latency_error + ERROR_TOLERANCE;
        if self.report_error <= allowed {
            return MAX_REPORT_WEIGHT;
        }
        MAX_REPORT_WEIGHT * (allowed / self.report_error).powi(2)
    }

    /// Returns the own calls a second.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        self.decayed_calls(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64()
    }

    fn pace(&self, now: Time) -> f64 {
        let Some((report, at)) = self.report else {
            return 1.0;
        };
        let age = now.since(at);
        let mean = self.mean_pace.min(MAX_MEAN_PACE);
        let mean = 1.0 + (mean - 1.0) * decay(age, MEAN_PACE_HALF_LIFE);
        mean + (pace_of(report) - mean) * decay(age, PACE_HALF_LIFE)
    }

    fn set_report(&mut self, report: LoadReport, at: Time) {
        let pace = pace_of(report);
        let previous = self.report.map(|(_, at)| at);
        let weight = previous.map_or(1.0, |previous| {
            let elapsed = at.since(previous).as_secs_f64();
            1.0 - (-elapsed / MEAN_PACE_TIME.as_secs_f64()).exp()
        });
        self.mean_pace += (pace - self.mean_pace) * weight;
        self.report = Some((report, at));
    }

    fn decayed_calls(&self, now: Time) -> f64 {
        self.calls * decay(now.since(self.calls_updated), RATE_HALF_LIFE)
    }
}

/// Returns the pace in a report, as a multiple of the usual one.
fn pace_of(report: LoadReport) -> f64 {
    let pace = f64::from(report.pace.unwrap_or(USUAL_PACE)) / f64::from(USUAL_PACE);
    pace.clamp(1.0 / MAX_PACE, MAX_PACE)
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-as_float(age) / as_float(half_life)).exp2()
}

#[allow(clippy::cast_precision_loss, reason = "durations stay below 2^52 us")]
fn as_float(duration: Duration) -> f64 {
    micros(duration) as f64
}
