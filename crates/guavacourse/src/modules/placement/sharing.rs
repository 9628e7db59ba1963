//! Shares what traffic threads observe of leaves with the peers of the data centre.

use std::{sync::Arc, time::Duration};

use super::{
    counts::{PlacementCause, PlacementCounts},
    load_board::Observation,
};
use crate::modules::{catalog::LeafId, load_balancer::LoadBalancer, time::Time};

impl LoadBalancer {
    /// Returns what was observed of leaves since the last exchange, the most changed first,
    /// including what peers observed themselves; empty unless calls are placed by load.
    pub fn take_observations(&mut self, now: Time) -> Vec<Observation> {
        let observations = self.board.take(now);
        self.placed.sent.add(observations.len());
        observations
    }

    /// Returns whether something was observed lately that peers should learn.
    #[must_use]
    pub fn shares_observations(&self) -> bool {
        self.board.in_use()
    }

    /// Takes what peers of the data centre observed. A report counts if it is newer than
    /// the last one known, a failure fraction in proportion to the peers that report it.
    pub fn merge_observations(&mut self, observations: Vec<Observation>, now: Time) {
        self.placed.received.add(observations.len());
        for observation in observations {
            if self.view.catalog.ids.contains_key(&observation.leaf)
                && let Some(at) = self.board.receive(observation, now)
            {
                self.merge(observation, at);
            }
        }
    }

    /// Returns the numbers of calls placed by load and of observations, which change with
    /// the state of this thread.
    #[must_use]
    pub fn placement_counts(&self) -> Arc<PlacementCounts> {
        Arc::clone(&self.placed)
    }

    /// Counts a call if it is placed by load.
    pub(in crate::modules) fn count_placed(&self, id: LeafId) {
        let Some(leaf) = self.view.catalog.leaf(id) else {
            return;
        };
        if !self.places_by_load(&self.view, &self.view.catalog.shards[leaf.shard]) {
            return;
        }
        let by_peer = self.leaves.get(&id);
        let cause = if by_peer.is_some_and(|stats| stats.load.reported_by_peer()) {
            PlacementCause::PeerReport
        } else if self.distance(&self.view, leaf) > 0.0 {
            PlacementCause::Spread
        } else {
            PlacementCause::Near
        };
        self.placed.add_call(cause);
    }

    /// Notes what an ended call told of its leaf, if the leaf's calls are placed by load.
    pub(in crate::modules) fn observe(&mut self, leaf: LeafId, failed: bool, now: Time) {
        let catalog = &self.view.catalog;
        let shard = catalog
            .leaf(leaf)
            .and_then(|leaf| catalog.shards.get(leaf.shard));
        if !shard.is_some_and(|shard| self.places_by_load(&self.view, shard)) {
            return;
        }
        let Some(stats) = self.leaves.get(&leaf) else {
            return;
        };
        let reported = stats.reported_load(now);
        let just_now = |(_, age): &(_, Duration)| age.is_zero();
        let report = reported
            .filter(just_now)
            .filter(|_| !stats.load.reported_by_peer());
        let observation = Observation {
            leaf,
            age: Duration::ZERO,
            report: report.map(|(report, _)| report),
            calls: 1,
            failures: if failed { 1.0 } else { 0.0 },
            relayed: false,
        };
        self.board.observe(observation, now);
    }

    fn merge(&mut self, observation: Observation, at: Time) {
        let stats = self.leaves.entry(observation.leaf).or_default();
        stats.merge_failures(observation.failures, observation.calls, at);
        let newer = |report| stats.load.merge_report(report, at);
        if observation.report.is_some_and(newer) {
            self.placed.merged.add(1);
        }
    }
}
