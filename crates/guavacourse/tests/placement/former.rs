//! Tests that the former ranking is kept where nothing asks for another.

use std::time::Duration;

use guavacourse::modules::{
    catalog::LeafId,
    load_balancer::LoadBalancer,
    replicas::{Candidate, rank},
    time::{Time, micros},
    view::View,
};

use crate::replay::{LeafPlan, Plan, only_shard, region_of, replay, view};

/// Cost of a leaf in another region.
const REGION_PENALTY_MICROS: f64 = 8_000.0;

/// The hash from which the former ranking takes its draw.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the former order of the leaves of the only shard, for a chooser that has called
/// all of them.
fn former_order(
    balancer: &LoadBalancer,
    view: &View,
    region: usize,
    sends: u64,
    now: Time,
) -> Vec<LeafId> {
    let shard = &view.catalog.shards[only_shard(view)];
    let slots = view.catalog.services[shard.service].slots;
    let candidate = |key| {
        let leaf = &view.catalog.leaves[key];
        let stats = balancer.leaf(leaf.id).expect("the leaf was called");
        let near = leaf.data_centre == format!("dc-{region}");
        let distance = if near { 0.0 } else { REGION_PENALTY_MICROS };
        Candidate {
            leaf: key,
            id: leaf.id,
            avoided: stats.avoided(now) || stats.stalled(now),
            cost: stats.cost(slots, now) + distance,
            reported_cost: stats.reported_cost(slots, now) + distance,
        }
    };
    let mut candidates: Vec<Candidate> = shard.replicas.iter().copied().map(candidate).collect();
    rank(
        &mut candidates,
        mix(sends ^ mix(u64::from(shard.range.from) + 1)),
    );
    candidates.iter().map(|candidate| candidate.id).collect()
}

/// Guards against a change for deployments without customers whose leaves report no pace.
#[test]
fn without_pace_and_customers_the_ranking_is_unchanged() {
    let leaf = |n: usize| LeafPlan {
        region: n % 3,
        ..LeafPlan::default()
    };
    let plan = Plan {
        leaves: (0..6).map(leaf).collect(),
        slots: 3,
        work: Duration::from_millis(30),
        choosers: 12,
        rate: 400.0,
        lasts: Duration::from_secs(8),
        by_load: false,
        exchange: true,
        seed: 7,
    };
    let (figures, view) = (replay(&plan), view(&plan));
    let mut compared = 0;
    for (n, balancer) in figures.choosers.iter().enumerate() {
        let known = |key| balancer.leaf(view.catalog.leaves[key].id);
        if !view
            .catalog
            .leaves
            .keys()
            .all(|key| known(key).is_some_and(|leaf| !leaf.unknown()))
        {
            continue;
        }
        for millis in [0, 1, 10, 100, 1_000, 10_000] {
            let now = Time(figures.ended.0 + micros(Duration::from_millis(millis)));
            let choices = balancer.choices(&view, only_shard(&view), now);
            let order: Vec<LeafId> = choices.iter().map(|choice| choice.id).collect();
            let former = former_order(balancer, &view, region_of(n), figures.sends[n], now);
            assert_eq!(order, former, "chooser {n}, {millis} ms later");
            compared += 1;
        }
    }
    assert!(compared >= 12, "only {compared} orders were compared");
}
