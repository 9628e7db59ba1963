//! How long a call to a leaf or a shard is expected to take, and why.

use std::time::Duration;

use super::load_report::USUAL_PACE;
use crate::modules::{
    catalog::{LeafId, ShardKey},
    contention::rates::Evidence,
    customers::AllowedRegions,
    inventory::LeafState,
    load_balancer::LoadBalancer,
    replicas::{LeafStats, MAX_LOAD_AGE, as_micros},
    time::Time,
    view::View,
};

/// Fraction of the elapsed time by which a queue is assumed to have shrunk since it was
/// observed: calls of other processes have taken part of the room.
const DRAIN_FRACTION: f64 = 0.5;

/// Calls without any answer for long from which they are assumed to wait for each other.
const MIN_SILENT_CALLS: u32 = 2;

/// Expected course of one more call to a leaf, or to the best leaf of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardOutlook {
    /// Expected time of the call.
    pub expected: Duration,
    /// Part of it that is spent waiting for other calls.
    pub waiting: Duration,
    /// Whether any call waits there.
    pub contended: bool,
    /// Whether the leaf is avoided because it failed or is silent; then all leaves of the
    /// shard are.
    pub avoided: bool,
}

impl ShardOutlook {
    /// Returns the outlook of a leaf with `slots` slots.
    #[must_use]
    pub fn of_leaf(stats: &LeafStats, slots: u32, now: Time) -> Self {
        let outlook = Self::of_load(stats, slots, now);
        if stats.pending < MIN_SILENT_CALLS || !stats.stalled(now) {
            return outlook;
        }
        let run = outlook.expected.saturating_sub(outlook.waiting);
        let waiting = outlook.waiting.max(stats.silence(now));
        Self {
            expected: run + waiting,
            waiting,
            contended: true,
            ..outlook
        }
    }

    /// Returns the outlook of a leaf from its load.
    fn of_load(stats: &LeafStats, slots: u32, now: Time) -> Self {
        let report = stats.reported_load(now);
        let report = report.filter(|(_, age)| *age < MAX_LOAD_AGE);
        let pace = report.and_then(|(load, _)| load.pace).unwrap_or(USUAL_PACE);
        let pace = f64::from(pace) / f64::from(USUAL_PACE);
        let run = stats.least_latency() * pace.max(1.0);
        let reported_slots = report.map(|(load, _)| load.slots).filter(|n| *n > 0);
        let slots = f64::from(reported_slots.unwrap_or(slots).max(1));
        let pending = f64::from(stats.pending);
        let Some((load, age)) = report else {
            return Self::new(run, run * rounds(pending, slots), pending > slots);
        };
        let drained = as_micros(age) * DRAIN_FRACTION;
        let reported = f64::from(load.running) + f64::from(load.waiting);
        let left = reported - drained * slots / run.max(1.0);
        let ahead = left.max(pending);
        let contended = ahead > slots || (load.waiting > 0 && left >= slots);
        // The model lacks the work of other kinds; while calls wait, the latency observed
        // last shows how long they do.
        let observed = if contended && load.waiting > 0 {
            stats.recent_latency() - run - drained
        } else {
            0.0
        };
        let waiting = (run * rounds(ahead, slots)).max(observed);
        Self::new(run, waiting, contended)
    }

    fn new(run: f64, waiting: f64, contended: bool) -> Self {
        let micros = |value: f64| Duration::from_secs_f64(value.max(0.0) / 1e6);
        Self {
            expected: micros(run) + micros(waiting),
            waiting: micros(waiting),
            contended,
            avoided: false,
        }
    }
}

impl LoadBalancer {
    /// Returns the outlook of a call to the best leaf of a shard that may be called.
    /// Returns `None` if one of its leaves is unknown, and unless one reports its pace.
    #[must_use]
    pub fn shard_outlook(
        &self,
        view: &View,
        shard: ShardKey,
        regions: &AllowedRegions,
        now: Time,
    ) -> Option<ShardOutlook> {
        let shard = view.catalog.shards.get(shard)?;
        let slots = view.catalog.services[shard.service].slots;
        let mut enabled = false;
        let mut best: Option<(bool, ShardOutlook)> = None;
        for key in &shard.replicas {
            let leaf = &view.catalog.leaves[*key];
            let callable = leaf.state == LeafState::Serving
                && !view.leaving.contains(&leaf.id)
                && regions.allows(view.catalog.region(&leaf.data_centre));
            if !callable {
                continue;
            }
            let stats = self.leaf(leaf.id)?;
            enabled |= stats.reports_pace();
            if self.opens_at(leaf.id, now).is_some() {
                continue;
            }
            if stats.unknown() {
                return None;
            }
            let outlook = ShardOutlook::of_leaf(stats, slots, now);
            let avoided = stats.avoided(now) || stats.stalled(now);
            let better = |(other, best): (bool, ShardOutlook)| {
                (avoided, outlook.expected) < (other, best.expected)
            };
            if best.is_none_or(better) {
                best = Some((avoided, ShardOutlook { avoided, ..outlook }));
            }
        }
        best.filter(|_| enabled).map(|(_, outlook)| outlook)
    }

    /// Updates the rate of calls to the shard of a leaf that did not answer in time and
    /// whose load is not known. Without this, a process that runs only queries with a
    /// short target gets no answer and never learns that calls wait.
    pub(in crate::modules) fn observe_overdue(
        &mut self,
        leaf: LeafId,
        overdue: Duration,
        now: Time,
    ) {
        let Some(shard) = self.view.catalog.leaf(leaf).map(|leaf| leaf.shard) else {
            return;
        };
        let regions = AllowedRegions::default();
        let outlook = self.shard_outlook(&self.view, shard, &regions, now);
        if outlook.is_some_and(|outlook| outlook.avoided) {
            self.rates
                .observe(shard, (overdue, overdue), Evidence::Silence, now);
        }
    }

    /// Updates the rate of calls to the shard of a leaf that answered.
    pub(in crate::modules) fn observe_shard(&mut self, leaf: LeafId, now: Time) {
        let Some(shard) = self.view.catalog.leaf(leaf).map(|leaf| leaf.shard) else {
            return;
        };
        let regions = AllowedRegions::default();
        let outlook = self.shard_outlook(&self.view, shard, &regions, now);
        if let Some(outlook) = outlook {
            self.rates.answered(shard, now);
            self.rates.observe(
                shard,
                (outlook.waiting, outlook.expected),
                Evidence::Answer,
                now,
            );
        }
    }
}

/// Returns how many calls in a row must end before one more gets a slot, if `ahead`
/// calls are running or waiting.
fn rounds(ahead: f64, slots: f64) -> f64 {
    if ahead < slots {
        0.0
    } else {
        (ahead - slots + 1.0) / slots
    }
}
