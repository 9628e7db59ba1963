//! Ranks replicas by observed latency, failures and calls in flight.

use std::{cmp::Ordering, time::Duration};

use super::{
    catalog::{LeafId, LeafKey},
    latency::LatencyHistogram,
    placement::{leaf_load::LeafLoad, load_report::LoadReport},
    snapshot::KnownVersions,
    time::{Time, micros},
};

/// Age from which the load that a leaf reported is ignored. A queue that took longer to
/// form is visible in newer answers.
pub(crate) const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Weight of one sample in the smoothed latency, an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one sample in the recent latency, which shows a queue within two calls.
const RECENT_WEIGHT: f64 = 0.5;
/// Largest sample, as a multiple of the current estimate: a single straggler
/// changes the estimate little, a slow leaf still does within a few calls.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Half-life of the difference between an estimate and the least latency, so that
/// a leaf that was slow is tried again.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Replicas that cost up to this multiple of the cheapest take part in the random
/// draw.
const SIMILAR_COST_FACTOR: f64 = 1.25;
/// Age from which a reported queue is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(50);
/// Maximum that a reported queue adds to a leaf's cost, as a fraction of the cost.
const MAX_REPORTED_LOAD: f64 = 0.5;
/// Time for which a leaf is avoided after its first failure; it doubles with each
/// further one.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(100);
/// Maximum number of doublings of the time for which a failing leaf is avoided.
const MAX_AVOIDANCE_DOUBLINGS: u8 = 5;
/// Multiple of the expected latency after which a leaf without a reply counts as
/// silent.
const SILENCE_FACTOR: f64 = 4.0;
/// Least time after which a leaf without a reply counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(20);
/// Weight of one outcome in the failure rate, an exponential moving average.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Latency that a failed call counts as: its part of the answer may be lost, and
/// its retry is extra load.
const FAILURE_COST: Duration = Duration::from_millis(60);
/// Half-life of the failure rate without new outcomes, so that a leaf that has
/// recovered is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of one call of a peer in the fraction of the peers' calls that failed: one
/// failure, which may be due to the peer's own connection, says less than several.
const PEER_WEIGHT: f64 = 0.2;
/// Age from which a known index version is ignored when a version is pinned.
const MAX_VERSION_AGE: Duration = Duration::from_secs(5);

/// Statistics of one leaf, from the replies to its calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafStats {
    /// Recent latencies, as measured by this process.
    pub latency: LatencyHistogram,
    /// Calls of this thread that have no reply yet.
    pub pending: u32,
    /// Until when the leaf, which asked for fewer calls, takes none.
    pub closed_until: Time,
    smoothed: f64,
    min_latency: f64,
    /// Latency that follows changes within a few calls.
    recent: f64,
    overhead: f64,
    queued: u32,
    updated: Time,
    waiting_since: Option<Time>,
    failures: u8,
    failure_rate: f64,
    rate_updated: Time,
    /// Mean of the failure fractions that peers observed.
    peer_failures: f64,
    peer_updated: Time,
    avoid_until: Time,
    versions: KnownVersions,
    versions_updated: Time,
    /// Load and speed of the leaf.
    pub(crate) load: LeafLoad,
}

impl LeafStats {
    /// Adds the latency of one answered call and the queue that it reported.
    pub fn record(&mut self, latency: Duration, queued: u32, now: Time) {
        let sample = as_micros(latency);
        self.latency.record(latency);
        if self.smoothed == 0.0 {
            self.smoothed = sample;
            self.min_latency = sample;
            self.recent = sample;
        }
        self.recent += (sample - self.recent) * RECENT_WEIGHT;
        self.min_latency = self.min_latency.min(sample);
        let current = self.estimate(now).max(1.0);
        let clipped = sample.min(current * MAX_SAMPLE_FACTOR);
        self.smoothed = current + (clipped - current) * SAMPLE_WEIGHT;
        self.queued = queued;
        self.updated = now;
        self.waiting_since = None;
        self.failures = 0;
        self.record_outcome(0.0, now);
        self.avoid_until = Time::default();
    }

    /// Records that a call is sent. Returns whether it is a probe: a call to a leaf
    /// that failed and has not answered since. Other calls avoid the leaf until the
    /// probe is answered or the time of avoidance has passed.
    pub fn send(&mut self, now: Time) -> bool {
        self.pending += 1;
        self.load.send(now);
        self.waiting_since.get_or_insert(now);
        let probe = self.failures > 0;
        if probe {
            self.avoid_after_failure(now);
        }
        probe
    }

    /// Records the load that the leaf reported.
    pub fn report_load(&mut self, load: LoadReport, now: Time) {
        self.load.report(load, now);
    }

    /// Returns the load that the leaf reported last, and its age.
    #[must_use]
    pub fn reported_load(&self, now: Time) -> Option<(LoadReport, Duration)> {
        self.load.reported(now)
    }

    /// Records that a call has ended, with or without a report of the leaf's load.
    pub(crate) fn end(&mut self, reported: bool) {
        self.pending = self.pending.saturating_sub(1);
        if !reported {
            self.load.end_unreported();
        }
    }

    /// Learns the work of a call from its latency and the distance to the leaf, which is
    /// in microseconds.
    pub(crate) fn record_work(&mut self, latency: Duration, distance: f64, now: Time) {
        let expected = self.estimate(now) - distance;
        self.load
            .record(as_micros(latency) - distance, expected, now);
    }

    /// Returns whether the leaf reported the pace of its machine.
    #[must_use]
    pub fn reports_pace(&self) -> bool {
        self.load.reports_pace()
    }

    /// Returns whether the load that the leaf reported last is recent enough to rely on.
    #[must_use]
    pub fn reported_recently(&self, now: Time) -> bool {
        let age = self.reported_load(now).map(|(_, age)| age);
        age.is_some_and(|age| age < MAX_LOAD_AGE)
    }

    /// Records that the leaf takes no call before `until`.
    pub fn close(&mut self, until: Time) {
        self.closed_until = until;
    }

    /// Records a failure: the leaf is avoided for a while, longer each time.
    pub fn fail(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.record_outcome(1.0, now);
        self.waiting_since = None;
        self.avoid_after_failure(now);
    }

    /// Adds a call that was cancelled before a reply: its latency is at least
    /// `elapsed`. If the leaf has been silent for long, the call counts as failed.
    /// Returns whether it does.
    pub fn record_cancelled(&mut self, elapsed: Duration, now: Time) -> bool {
        self.latency.record(elapsed);
        if self.silent(now) {
            self.fail(now);
            return true;
        }
        let sample = as_micros(elapsed);
        let current = self.estimate(now);
        if self.unknown() || sample <= current {
            return false;
        }
        self.smoothed =
            current + (sample.min(current * MAX_SAMPLE_FACTOR) - current) * SAMPLE_WEIGHT;
        self.updated = now;
        false
    }

    /// Records the newest index version that the leaf reports.
    pub fn record_newest(&mut self, newest: u64, now: Time) {
        self.versions.newest = newest;
        self.versions_updated = now;
    }

    /// Records the range of index versions that the leaf reports.
    pub fn record_versions(&mut self, oldest: u64, newest: u64, now: Time) {
        self.versions = KnownVersions { oldest, newest };
        self.versions_updated = now;
    }

    /// Returns the index versions that the leaf holds, if it reported them recently.
    #[must_use]
    pub fn known_versions(&self, now: Time) -> Option<KnownVersions> {
        let fresh = self.versions.newest > 0 && now.since(self.versions_updated) < MAX_VERSION_AGE;
        fresh.then_some(self.versions)
    }

    /// Records the part of a latency that was spent outside the leaf, and returns
    /// whether the call waited for a slot longer than it ran. Unlike a reported
    /// queue, this is measured.
    pub fn waited(&mut self, latency: Duration, service: Duration) -> bool {
        let outside = as_micros(latency.saturating_sub(service));
        if self.unknown() {
            self.overhead = outside;
        }
        self.overhead = self.overhead.min(outside);
        outside - self.overhead > as_micros(service).max(self.min_latency)
    }

    /// Returns whether the leaf is avoided after failures.
    #[must_use]
    pub fn avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Returns whether no call to the leaf has been answered yet.
    #[must_use]
    pub fn unknown(&self) -> bool {
        self.smoothed == 0.0
    }

    /// Returns the latency expected of the next call, in microseconds.
    #[must_use]
    pub fn estimate(&self, now: Time) -> f64 {
        let age = as_micros(now.since(self.updated)) / as_micros(ESTIMATE_HALF_LIFE);
        self.min_latency + (self.smoothed - self.min_latency) * (-age).exp2()
    }

    /// Returns the least latency of any call, in microseconds.
    #[must_use]
    pub fn least_latency(&self) -> f64 {
        self.min_latency
    }

    /// Returns the latency of the latest calls, in microseconds.
    #[must_use]
    pub fn recent_latency(&self) -> f64 {
        self.recent
    }

    /// Returns the cost of one more call, in microseconds, from measurements of
    /// this process alone.
    #[must_use]
    pub fn cost(&self, slots: u32, now: Time) -> f64 {
        let load = f64::from(self.pending) / f64::from(slots.max(1));
        self.estimate(now) * (1.0 + load) + self.failure_rate(now) * as_micros(FAILURE_COST)
    }

    /// Returns the fraction of recent calls that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age = as_micros(now.since(self.rate_updated)) / as_micros(FAILURE_HALF_LIFE);
        self.failure_rate * (-age).exp2()
    }

    /// Takes the fraction of some calls of peers that failed.
    pub(crate) fn merge_failures(&mut self, failures: f64, calls: u32, at: Time) {
        if calls == 0 {
            return;
        }
        let current = self.peer_failures(at);
        let weight = 1.0 - (1.0 - PEER_WEIGHT).powf(f64::from(calls));
        self.peer_failures = current + (failures - current) * weight;
        self.peer_updated = self.peer_updated.max(at);
    }

    /// Returns the fraction of recent calls that failed by the peers' observations, 0 to 1.
    #[must_use]
    pub fn peer_failures(&self, now: Time) -> f64 {
        let age = as_micros(now.since(self.peer_updated)) / as_micros(FAILURE_HALF_LIFE);
        self.peer_failures * (-age).exp2()
    }

    fn record_outcome(&mut self, failed: f64, now: Time) {
        let current = self.failure_rate(now);
        self.failure_rate = current + (failed - current) * OUTCOME_WEIGHT;
        self.rate_updated = now;
    }

    /// Returns the cost weighted by the queue that the leaf reported recently.
    #[must_use]
    pub fn reported_cost(&self, slots: u32, now: Time) -> f64 {
        let fresh = now.since(self.updated) < MAX_REPORT_AGE;
        let queued = if fresh { f64::from(self.queued) } else { 0.0 };
        let load = (queued / f64::from(slots.max(1))).min(MAX_REPORTED_LOAD);
        self.cost(slots, now) * (1.0 + load)
    }

    /// Returns whether calls are pending on a leaf that is silent: it may be paused.
    #[must_use]
    pub fn stalled(&self, now: Time) -> bool {
        self.pending > 0 && self.silent(now)
    }

    /// Returns for how long calls have been pending without any answer.
    #[must_use]
    pub fn silence(&self, now: Time) -> Duration {
        let since = self.waiting_since.filter(|_| self.pending > 0);
        since.map(|since| now.since(since)).unwrap_or_default()
    }

    fn silent(&self, now: Time) -> bool {
        let limit = (self.estimate(now) * SILENCE_FACTOR).max(as_micros(MIN_SILENCE));
        let silence = self.waiting_since.map(|since| now.since(since));
        silence.is_some_and(|silence| as_micros(silence) > limit)
    }

    fn avoid_after_failure(&mut self, now: Time) {
        let doublings = self.failures.saturating_sub(1).min(MAX_AVOIDANCE_DOUBLINGS);
        self.avoid_until = now.after(INITIAL_AVOIDANCE * (1 << doublings));
    }
}

/// One replica that may be called, with its cost.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the leaf in the view's catalog.
    pub leaf: LeafKey,
    /// Id of the leaf, which stays the same across revisions.
    pub id: LeafId,
    /// Whether the leaf failed recently or has stalled; it is called only if no
    /// other is left.
    pub avoided: bool,
    /// Cost of one more call, in microseconds.
    pub cost: f64,
    /// The same, weighted by the queue that the leaf reported.
    pub reported_cost: f64,
}

impl Candidate {
    /// Adds the cost of the distance to the leaf.
    pub(crate) fn with_distance(mut self, cost: f64) -> Self {
        self.cost += cost;
        self.reported_cost += cost;
        self
    }
}

/// Ranks candidates, best first. Two of those that cost about the same as the
/// cheapest are picked by the random number `draw`, and the better of them comes
/// first, so that processes with the same statistics do not all choose the same
/// leaf. Reported queues may be stale or wrong, so they decide only between these
/// two.
pub fn rank(candidates: &mut [Candidate], draw: u64) {
    candidates.sort_by(|a, b| {
        a.avoided
            .cmp(&b.avoided)
            .then(compare_costs(a.cost, b.cost))
    });
    let Some(best) = candidates.first().copied() else {
        return;
    };
    let near = candidates
        .iter()
        .take_while(|other| {
            other.avoided == best.avoided && other.cost <= best.cost * SIMILAR_COST_FACTOR
        })
        .count();
    let drawn = [draw_index(draw, near), draw_index(draw >> 32, near)];
    let lead = drawn
        .into_iter()
        .min_by(|a, b| compare_costs(candidates[*a].reported_cost, candidates[*b].reported_cost));
    candidates[..=lead.unwrap_or_default()].rotate_right(1);
}

fn compare_costs(a: f64, b: f64) -> Ordering {
    a.partial_cmp(&b).unwrap_or(Ordering::Equal)
}

/// Returns an index below `len` (which is at least 1) from the low bits of a draw.
fn draw_index(draw: u64, len: usize) -> usize {
    let low = draw & 0xffff_ffff;
    usize::try_from((low * len as u64) >> 32).unwrap_or_default()
}

/// Returns a duration in microseconds as a floating-point number.
#[allow(clippy::cast_precision_loss, reason = "durations stay below 2^52 us")]
pub(crate) fn as_micros(duration: Duration) -> f64 {
    micros(duration) as f64
}
