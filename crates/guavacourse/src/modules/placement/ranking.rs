//! Ranks the leaves of a shard: by load where leaves report it, otherwise by what this
//! process measured.

use std::time::Duration;

use super::{
    draining,
    load_estimate::{Expected, Station},
    spread::{Placed, spread},
};
use crate::modules::{
    catalog::{LeafEntry, LeafKey, Shard, ShardKey},
    customers::AllowedRegions,
    inventory::{LeafState, Policy},
    load_balancer::LoadBalancer,
    ownership::mix,
    replicas::{Candidate, LeafStats, as_micros, rank},
    time::Time,
    view::View,
};

/// Latency added to the cost of a leaf in another region, so that a nearer leaf that
/// is hardly slower is preferred: bytes sent between regions cost more.
const REGION_PENALTY: Duration = Duration::from_millis(8);
/// Distance of another region from which no call was answered yet, there and back.
const ASSUMED_DISTANCE: Duration = Duration::from_millis(16);
/// Times that a lost answer costs the expected time of a call: the loss is noticed late,
/// and the call is made again.
const FAILURE_FACTOR: f64 = 6.0;
/// Longest age for which answers given since a report count as free capacity.
const MAX_FREE_AGE: Duration = Duration::from_secs(1);
/// Least free capacity of a leaf, as a fraction of its slots, so that no report takes it
/// out of use.
const MIN_FREE_FRACTION: f64 = 0.1;

/// What the replicas of a shard have in common.
#[derive(Clone, Copy, Debug)]
struct ShardLoad {
    /// Median of the work of a call at the usual pace, in microseconds.
    typical_work: f64,
    /// Fraction of the capacity of the replicas that the fleet's calls use.
    utilisation: f64,
}

/// What is expected of one leaf, in microseconds.
#[derive(Clone, Copy, Debug)]
struct LeafOutlook {
    distance: f64,
    service: f64,
    wait: f64,
    free: f64,
}

impl LeafOutlook {
    fn total(&self) -> f64 {
        self.distance + self.service + self.wait
    }
}

impl LoadBalancer {
    /// Returns the time that one more call to a leaf of the view's catalog is expected to
    /// take; zero if nothing is known of its shard.
    #[must_use]
    pub fn expected_time(&self, view: &View, leaf: LeafKey, slots: u32, now: Time) -> Expected {
        let Some(leaf) = view.catalog.leaves.get(leaf) else {
            return Expected::default();
        };
        let shard = &view.catalog.shards[leaf.shard];
        let Some(load) = self.shard_load(view, shard, slots, now) else {
            return Expected::default();
        };
        let outlook = self.outlook(view, leaf, slots, load, now);
        let micros = |micros: f64| Duration::from_secs_f64(micros.max(0.0) / 1e6);
        Expected {
            total: micros(outlook.total()),
            wait: micros(outlook.wait),
        }
    }

    /// Returns whether the calls to a shard are placed by load: a leaf of it reports its
    /// pace, or the deployment has customers.
    #[must_use]
    pub fn places_by_load(&self, view: &View, shard: &Shard) -> bool {
        let leaves = || shard.replicas.iter().map(|key| &view.catalog.leaves[*key]);
        view.catalog.policy == Policy::Adaptive
            && (view.catalog.customers.is_some()
                || leaves().any(|leaf| {
                    let stats = self.leaf(leaf.id);
                    stats.is_some_and(|stats| stats.load.reports_pace())
                }))
    }

    pub(in crate::modules) fn ranked(
        &self,
        view: &View,
        shard: ShardKey,
        regions: &AllowedRegions,
        now: Time,
    ) -> Vec<Candidate> {
        let Some(shard) = view.catalog.shards.get(shard) else {
            return Vec::new();
        };
        let slots = view.catalog.services[shard.service].slots;
        let serving = shard.replicas.iter().copied().filter(|key| {
            let leaf = &view.catalog.leaves[*key];
            let serving =
                leaf.state == LeafState::Serving || self.serves_while_leaving(view, leaf, now);
            serving
                && !view.leaving.contains(&leaf.id)
                && regions.allows(view.catalog.region(&leaf.data_centre))
                && self.opens_at(leaf.id, now).is_none()
        });
        let mut ranked: Vec<Candidate> = serving
            .map(|key| {
                let leaf = &view.catalog.leaves[key];
                self.candidate(key, leaf, slots, now)
                    .with_distance(self.distance(view, leaf))
            })
            .collect();
        let offset = mix(u64::from(shard.range.from) + 1);
        let draw = mix(self.sends ^ offset);
        match view.catalog.policy {
            Policy::Adaptive if self.places_by_load(view, shard) => {
                self.rank_by_load(view, shard, &mut ranked, draw, now);
            }
            Policy::Adaptive => rank(&mut ranked, draw),
            Policy::Plain => rotate(&mut ranked, self.queries.wrapping_add(offset)),
        }
        ranked
    }

    pub(in crate::modules) fn ranked_by_content(
        &self,
        view: &View,
        shard: ShardKey,
        regions: &AllowedRegions,
        content: u64,
        now: Time,
    ) -> Vec<Candidate> {
        let mut ranked = self.ranked(view, shard, regions, now);
        ranked.sort_by_key(|candidate| mix(content ^ candidate.id.0));
        ranked
    }

    /// Ranks the leaves of a shard by load, or as before while nothing is known of it.
    fn rank_by_load(
        &self,
        view: &View,
        shard: &Shard,
        ranked: &mut Vec<Candidate>,
        draw: u64,
        now: Time,
    ) {
        let slots = view.catalog.services[shard.service].slots;
        let Some(load) = self.shard_load(view, shard, slots, now) else {
            return rank(ranked, draw);
        };
        let place = |candidate: &Candidate| {
            let leaf = &view.catalog.leaves[candidate.leaf];
            self.place(view, leaf, *candidate, slots, load, now)
        };
        let mut placed: Vec<Placed> = ranked.iter().map(place).collect();
        spread(&mut placed, draw);
        *ranked = placed.into_iter().map(|leaf| leaf.candidate).collect();
    }

    fn place(
        &self,
        view: &View,
        leaf: &LeafEntry,
        candidate: Candidate,
        slots: u32,
        load: ShardLoad,
        now: Time,
    ) -> Placed {
        let outlook = self.outlook(view, leaf, slots, load, now);
        let failures = self.leaf(leaf.id).map(|stats| {
            let peers = stats.peer_failures(now);
            stats.failure_rate(now).max(peers)
        });
        let lost = failures.unwrap_or_default() * FAILURE_FACTOR;
        let cost = outlook.total() * (1.0 + lost) + self.distance(view, leaf);
        Placed {
            candidate: Candidate {
                cost,
                reported_cost: cost,
                ..candidate
            },
            free: outlook.free,
        }
    }

    /// Returns what the replicas of a shard have in common; `None` if none of them has
    /// answered yet.
    fn shard_load(&self, view: &View, shard: &Shard, slots: u32, now: Time) -> Option<ShardLoad> {
        let leaves = shard
            .replicas
            .iter()
            .map(|key| view.catalog.leaves[*key].id);
        let stats: Vec<&LeafStats> = leaves.filter_map(|id| self.leaf(id)).collect();
        let mut work: Vec<f64> = stats.iter().filter_map(|leaf| leaf.load.work()).collect();
        work.sort_by(f64::total_cmp);
        let typical_work = *work.get(work.len() / 2)?;
        let known = stats
            .iter()
            .map(|leaf| leaf.load.service(typical_work, now));
        let speed: f64 = known.map(|service| 1e6 / service).sum();
        let unknown = shard.replicas.len() - stats.len();
        let speed = speed + as_float(unknown) * 1e6 / typical_work;
        let own_rate: f64 = stats.iter().map(|leaf| leaf.load.rate(now)).sum();
        let own_part = view
            .shares
            .for_service(&view.catalog.services[shard.service].name);
        Some(ShardLoad {
            typical_work,
            utilisation: own_rate / own_part.max(f64::EPSILON) / (speed * f64::from(slots.max(1))),
        })
    }

    fn outlook(
        &self,
        view: &View,
        leaf: &LeafEntry,
        slots: u32,
        load: ShardLoad,
        now: Time,
    ) -> LeafOutlook {
        let distance = self.distances.to(&leaf.data_centre);
        let distance = distance.unwrap_or_else(|| {
            let far = self.region_cost(view, leaf) > 0.0;
            if far {
                as_micros(ASSUMED_DISTANCE)
            } else {
                0.0
            }
        });
        let unknown = LeafStats::default();
        let stats = self.leaf(leaf.id).unwrap_or(&unknown);
        let slots = stats
            .reported_load(now)
            .map_or(slots, |(report, _)| report.slots)
            .max(1);
        let station = Station {
            slots: f64::from(slots),
            service: stats.load.service(load.typical_work, now),
            utilisation: load.utilisation,
        };
        let (calls, age) = stats.load.calls(&station, stats.pending, now);
        let answered = age.min(as_micros(MAX_FREE_AGE)) / station.service;
        let free = (station.slots - calls).max(0.0) + station.slots * answered;
        let by_report = LeafOutlook {
            distance,
            service: station.service,
            wait: station.wait(calls, age),
            free: free.max(station.slots * MIN_FREE_FRACTION),
        };
        if stats.unknown() {
            return by_report;
        }
        let measured = (stats.estimate(now) - distance).max(0.0);
        let measured_wait = measured * f64::from(stats.pending) / f64::from(slots);
        let weight = stats.load.report_weight();
        let blend = |reported: f64, measured: f64| reported * weight + measured * (1.0 - weight);
        LeafOutlook {
            service: blend(by_report.service, measured),
            wait: blend(by_report.wait, measured_wait),
            ..by_report
        }
    }

    fn candidate(&self, key: LeafKey, leaf: &LeafEntry, slots: u32, now: Time) -> Candidate {
        let stats = self.leaf(leaf.id);
        let (cost, reported_cost) = match stats {
            Some(stats) if !stats.unknown() => {
                (stats.cost(slots, now), stats.reported_cost(slots, now))
            }
            _ => (self.initial_cost(leaf), self.initial_cost(leaf)),
        };
        Candidate {
            leaf: key,
            id: leaf.id,
            avoided: stats.is_some_and(|stats| stats.avoided(now) || stats.stalled(now)),
            cost,
            reported_cost,
        }
    }

    /// Returns the cost added for a leaf that is far or leaving, in microseconds.
    pub(super) fn distance(&self, view: &View, leaf: &LeafEntry) -> f64 {
        let leaving = match leaf.state {
            LeafState::Serving => 0.0,
            LeafState::Leaving => as_micros(draining::PENALTY),
        };
        leaving + self.region_cost(view, leaf)
    }

    /// Returns whether a leaf that is leaving may still be called. That is used only
    /// where the load of leaves is known or customers share them.
    fn serves_while_leaving(&self, view: &View, leaf: &LeafEntry, now: Time) -> bool {
        let until = view.draining.get(&leaf.id);
        let enabled = || {
            let stats = self.leaf(leaf.id);
            view.catalog.customers.is_some() || stats.is_some_and(|stats| stats.load.reports_pace())
        };
        until.is_some_and(|until| now < *until) && enabled()
    }

    /// Returns the cost added for a leaf in another region, in microseconds.
    fn region_cost(&self, view: &View, leaf: &LeafEntry) -> f64 {
        if leaf.data_centre == self.data_centre {
            return 0.0;
        }
        let region = |data_centre: &String| view.catalog.regions.get(data_centre);
        match (region(&leaf.data_centre), region(&self.data_centre)) {
            (Some(there), Some(here)) if there != here => as_micros(REGION_PENALTY),
            _ => 0.0,
        }
    }

    /// Returns the cost of a first call to a leaf: the least latency seen in its
    /// data centre, so that a distant leaf is not tried just because nothing is
    /// known of it.
    fn initial_cost(&self, leaf: &LeafEntry) -> f64 {
        let known = self.min_latencies.get(&leaf.data_centre).copied();
        let near = leaf.data_centre == self.data_centre;
        known.unwrap_or(if near { 0.0 } else { f64::MIN_POSITIVE })
    }
}

/// Rotates candidates for round robin.
fn rotate(candidates: &mut [Candidate], turns: u64) {
    let len = candidates.len() as u64;
    let turn = turns.checked_rem(len).unwrap_or_default();
    candidates.rotate_left(usize::try_from(turn).unwrap_or_default());
}

#[allow(clippy::cast_precision_loss, reason = "a shard has few replicas")]
fn as_float(count: usize) -> f64 {
    count as f64
}
