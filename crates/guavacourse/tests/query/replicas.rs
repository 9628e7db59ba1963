//! Tests which leaf a call is sent to, and through which relay.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    call::{NotRun, Unknown},
    catalog::{LeafId, LeafKey, ShardKey},
    inventory::LeafState,
    load_balancer::LoadBalancer,
    members::MemberState,
    replicas::{Candidate, LeafStats, rank},
    time::Time,
    view::View,
};

use crate::fixture::{DATA_CENTRES, Driver, Fixture, address, ms, view};

const FAST: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(50);

fn one_shard() -> Fixture {
    Fixture {
        shards: 1,
        ..Fixture::default()
    }
}

fn first_shard(view: &View) -> ShardKey {
    view.catalog.shards.keys().next().expect("there is a shard")
}

/// Returns the data centres of the choices, best first.
fn order(balancer: &LoadBalancer, view: &View, now: Time) -> Vec<String> {
    let choices = balancer.choices(view, first_shard(view), now);
    let leaves = choices
        .iter()
        .map(|choice| &view.catalog.leaves[choice.leaf]);
    leaves.map(|leaf| leaf.data_centre.clone()).collect()
}

fn candidate(cost: f64, reported_cost: f64, avoided: bool) -> Candidate {
    Candidate {
        leaf: LeafKey::default(),
        id: LeafId(0),
        avoided,
        cost,
        reported_cost,
    }
}

/// Returns the statistics of a leaf after 100 calls in the first second, each of
/// which took `latency`.
fn stats(latency: Duration) -> LeafStats {
    let mut stats = LeafStats::default();
    for i in 0..100 {
        stats.record(latency, 0, ms(i * 10));
    }
    stats
}

#[test]
fn near_leaf_comes_first_while_nothing_is_known() {
    let view = one_shard().view(1);
    for dc in DATA_CENTRES {
        assert_eq!(order(&LoadBalancer::new(dc), &view, ms(1))[0], dc);
    }
}

#[test]
fn leaving_leaves_are_left_out() {
    let mut config = one_shard().config();
    config.services[0].leaves[0].state = LeafState::Leaving;
    let mut view = view(&config, 1);
    let second = view
        .catalog
        .leaves
        .values()
        .find(|leaf| leaf.data_centre == "dc-b");
    view.leaving
        .insert(second.expect("there is a leaf in dc-b").id);
    assert_eq!(order(&LoadBalancer::new("dc-a"), &view, ms(1)), ["dc-c"]);
}

#[test]
fn relays_that_are_down_or_leaving_are_left_out() {
    let mut view = view(&one_shard().config(), 1);
    let shard = first_shard(&view);
    let mut balancer = LoadBalancer::new("dc-a");
    let relay_of_first =
        |balancer: &LoadBalancer, view: &View, now| balancer.choices(view, shard, now)[0].relay;
    assert_eq!(relay_of_first(&balancer, &view, ms(1)), address(1));
    balancer.relay_down(address(1), ms(1));
    assert_ne!(relay_of_first(&balancer, &view, ms(2)), address(1));
    balancer.relay_up(address(1));
    assert_eq!(relay_of_first(&balancer, &view, ms(3)), address(1));
    balancer.relay_leaving(address(1), ms(3));
    assert_ne!(relay_of_first(&balancer, &view, ms(100_000)), address(1));
    balancer.relay_up(address(1));
    view.relays[0].state = MemberState::Leaving;
    assert_ne!(relay_of_first(&balancer, &view, ms(4)), address(1));
}

#[test]
fn failed_relay_is_probed_by_one_query() {
    let view = one_shard().view(1);
    let mut driver = Driver::start(&view);
    let sent = driver.take_sent()[0];
    driver.balancer.relay_down(sent.relay, ms(1));
    driver.reply_unknown(sent, Unknown::Closed);
    let retried = driver.take_sent()[0];
    driver.refuse(retried, NotRun::Expired);
    let first = driver.next_query(ms(11_000));
    assert_eq!(
        first.sent[0].relay, sent.relay,
        "the first query probes the relay"
    );
    let second = first.next_query(ms(11_001));
    assert_ne!(
        second.sent[0].relay, sent.relay,
        "the second query does not wait for the probe"
    );
}

#[test]
fn failed_leaf_is_probed_by_one_query() {
    let view = one_shard().view(1);
    let mut driver = Driver::start(&view);
    let failed = driver.take_sent()[0];
    driver.refuse(failed, NotRun::Unreachable);
    let retried = driver.take_sent()[0];
    driver.reply_rows(retried, 1);
    let mut driver = driver.next_query(ms(50));
    assert_ne!(
        driver.sent[0].call.leaf, failed.call.leaf,
        "the leaf is avoided"
    );
    let other = driver.take_sent()[0];
    driver.reply_rows(other, 1);
    let driver = driver.next_query(ms(150));
    assert_eq!(
        driver.sent[0].call.leaf, failed.call.leaf,
        "one call probes the leaf"
    );
    let driver = driver.next_query(ms(151));
    assert_ne!(
        driver.sent[0].call.leaf, failed.call.leaf,
        "other calls wait for the probe"
    );
}

#[test]
fn a_leaf_is_called_even_if_all_are_avoided() {
    let view = one_shard().view(1);
    let mut driver = Driver::start(&view);
    for _ in 0..3 {
        let sent = driver.take_sent()[0];
        driver.refuse(sent, NotRun::Ejected);
    }
    assert_eq!(driver.next_query(ms(20)).sent.len(), 1);
}

#[test]
fn state_of_a_relay_gone_from_the_view_is_dropped() {
    let fixture = one_shard();
    let mut driver = Driver::start(&fixture.view(1));
    driver.balancer.relay_down(address(1), ms(1));
    let mut without = view(&fixture.config(), 1);
    without.relays.remove(0);
    driver.view = Arc::new(without);
    let mut driver = driver.next_query(ms(2));
    driver.view = fixture.view(1);
    let driver = driver.next_query(ms(3));
    assert_eq!(
        driver.sent[0].relay,
        address(1),
        "a relay that is back in the view is not down"
    );
}

#[test]
fn straggler_moves_the_estimate_little_and_a_slow_leaf_much() {
    let mut stats = stats(FAST);
    let now = ms(1_000);
    let before = stats.estimate(now);
    stats.record(SLOW, 0, now);
    assert!(stats.estimate(now) < before * 1.5);
    for _ in 0..10 {
        stats.record(SLOW, 0, now);
    }
    assert!(stats.estimate(now) > before * 4.0);
}

#[test]
fn estimate_decays_to_the_least_latency() {
    let mut stats = stats(FAST);
    for _ in 0..50 {
        stats.record(SLOW, 0, ms(1_000));
    }
    assert!(stats.estimate(ms(1_000)) > 40_000.0);
    assert!(stats.estimate(ms(11_000)) < 5_100.0);
}

#[test]
fn cancelled_call_counts_as_at_least_its_elapsed_time() {
    let mut stats = stats(FAST);
    let before = stats.estimate(ms(1_000));
    stats.record_cancelled(Duration::from_millis(1), ms(1_000));
    assert!(
        (stats.estimate(ms(1_000)) - before).abs() < 1.0,
        "a call cancelled early changes nothing"
    );
    for _ in 0..10 {
        stats.record_cancelled(SLOW, ms(1_000));
    }
    assert!(stats.estimate(ms(1_000)) > before * 4.0);
}

#[test]
fn calls_in_flight_add_to_the_cost() {
    let mut stats = stats(FAST);
    let now = ms(1_000);
    let idle = stats.cost(3, now);
    for _ in 0..3 {
        stats.send(now);
    }
    assert!(stats.cost(3, now) > idle * 1.9);
}

#[test]
fn reported_queue_decides_only_between_similar_costs() {
    let different = [candidate(10.0, 15.0, false), candidate(20.0, 20.0, false)];
    for draw in 0..64 {
        let draw = draw << 26 | draw << 58;
        let mut ranked = different;
        rank(&mut ranked, draw);
        assert!(
            ranked[0].cost < 11.0,
            "a reported queue outweighed the cost"
        );
    }
    let similar = [candidate(10.0, 15.0, false), candidate(11.0, 11.0, false)];
    // The low half of the draw picks index 0, the high half index 1.
    let mut ranked = similar;
    rank(&mut ranked, 0xffff_ffff << 32);
    assert!(ranked[0].cost > 10.5, "the reported queue decides");
}

#[test]
fn avoided_candidates_come_last() {
    let mut ranked = [candidate(1.0, 1.0, true), candidate(90.0, 90.0, false)];
    rank(&mut ranked, u64::MAX);
    assert!(!ranked[0].avoided);
}

#[test]
fn silent_leaf_is_avoided() {
    let mut stats = stats(FAST);
    stats.send(ms(1_000));
    stats.record_cancelled(Duration::from_millis(15), ms(1_015));
    assert!(
        !stats.avoided(ms(1_015)),
        "one cancelled call does not make the leaf silent"
    );
    stats.send(ms(1_020));
    stats.record_cancelled(Duration::from_millis(10), ms(1_030));
    assert!(stats.avoided(ms(1_031)), "the leaf was silent for 30 ms");
    stats.record(FAST, 0, ms(1_032));
    assert!(!stats.avoided(ms(1_033)));
}

#[test]
fn probe_is_hedged_at_once() {
    let view = one_shard().view(1);
    let mut driver = Driver::start(&view);
    let failed = driver.take_sent()[0];
    driver.refuse(failed, NotRun::Unreachable);
    let mut driver = driver.next_query(ms(150));
    let probe = driver.take_sent()[0];
    assert_eq!(probe.call.leaf, failed.call.leaf);
    driver.advance(ms(150));
    let hedge = driver.take_sent()[0];
    assert_ne!(hedge.call.leaf, failed.call.leaf);
    assert!(hedge.call.extra);
}
