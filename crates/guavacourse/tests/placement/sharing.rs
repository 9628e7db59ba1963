//! Tests what observations are shared, and what those of peers change.

use std::time::Duration;

use guavacourse::modules::{
    catalog::LeafId,
    load_balancer::LoadBalancer,
    placement::{
        load_board::{LoadBoard, MAX_OBSERVATIONS, Observation},
        load_report::LoadReport,
        outboxes::Outboxes,
    },
    time::Time,
};

use crate::replay::{LeafPlan, Plan, leaf_name, only_shard, replay, view};

const NOW: Time = Time(100_000_000);

fn observation(leaf: u64, waiting: u32) -> Observation {
    Observation {
        leaf: LeafId(leaf),
        age: Duration::ZERO,
        report: Some(LoadReport {
            running: 2,
            waiting,
            slots: 4,
            pace: Some(100),
        }),
        calls: 1,
        failures: 0.0,
        relayed: false,
    }
}

/// Guards against exchanges that grow with the number of leaves.
#[test]
fn an_exchange_holds_the_most_changed_leaves() {
    let mut board = LoadBoard::default();
    for leaf in 0..300 {
        board.observe(observation(leaf, 0), NOW);
    }
    let first = board.take(NOW);
    assert_eq!(first.len(), MAX_OBSERVATIONS);
    for taken in &first {
        let waiting = u32::from(taken.leaf == first[100].leaf) * 10;
        board.observe(observation(taken.leaf.0, waiting), NOW);
    }
    assert_eq!(board.take(NOW)[0].leaf, first[100].leaf);
    assert!(board.take(NOW).is_empty(), "each observation is sent once");
}

/// Guards against losses that are dropped when a hub hears of a leaf from several peers.
#[test]
fn observations_of_one_leaf_are_combined() {
    let mut hub = LoadBoard::default();
    let lost = Observation {
        report: None,
        failures: 1.0,
        ..observation(1, 0)
    };
    for observation in [observation(1, 3), lost, observation(1, 5), lost] {
        hub.receive(observation, NOW);
    }
    let sent = hub.take(NOW);
    assert_eq!((sent.len(), sent[0].calls), (1, 4));
    assert!((sent[0].failures - 0.5).abs() < 1e-9);
    assert_eq!(sent[0].report, observation(1, 5).report);
}

/// Guards against observations that circulate among peers.
#[test]
fn observations_are_passed_on_once_and_do_not_come_back() {
    let (mut member, mut hub) = (LoadBoard::default(), LoadBoard::default());
    member.observe(observation(1, 3), NOW);
    let sent = member.take(NOW);
    assert!(hub.receive(sent[0], NOW).is_some());
    let passed_on = hub.take(NOW);
    assert!(passed_on[0].relayed);
    assert!(member.receive(passed_on[0], NOW).is_some());
    assert!(member.take(NOW).is_empty(), "it does not come back");
    let mut other = LoadBoard::default();
    assert!(other.receive(passed_on[0], NOW).is_some());
    assert!(other.take(NOW).is_empty(), "it is not passed on again");
}

fn leaf(n: usize) -> LeafId {
    LeafId::of(&leaf_name(n))
}

/// Returns a chooser that has called 6 equal leaves in its region, its view and its time.
fn chooser() -> (LoadBalancer, Plan, Time) {
    let plan = Plan {
        leaves: vec![LeafPlan::default(); 6],
        slots: 4,
        work: Duration::from_millis(10),
        choosers: 4,
        rate: 200.0,
        lasts: Duration::from_secs(8),
        by_load: true,
        exchange: false,
        seed: 7,
    };
    let mut figures = replay(&plan);
    (figures.choosers.remove(0), plan, figures.ended)
}

/// Returns the time that a call to a leaf is expected to take, with its wait.
fn expected(balancer: &LoadBalancer, plan: &Plan, n: usize, now: Time) -> (Duration, Duration) {
    let view = view(plan);
    let key = view.catalog.ids[&leaf(n)];
    let expected = balancer.expected_time(&view, key, plan.slots, now);
    (expected.total, expected.wait)
}

/// Guards against an old observation of a peer that hides a newer own one.
#[test]
fn an_observation_counts_only_if_it_is_newer() {
    let (mut balancer, plan, now) = chooser();
    let (total, wait) = expected(&balancer, &plan, 0, now);
    let busy = |age| Observation {
        leaf: leaf(0),
        age,
        ..observation(0, 40)
    };
    let (_, own_age) = balancer
        .leaf(leaf(0))
        .and_then(|leaf| leaf.reported_load(now))
        .expect("a report");
    balancer.merge_observations(vec![busy(own_age + Duration::from_millis(1))], now);
    assert_eq!(expected(&balancer, &plan, 0, now), (total, wait));
    balancer.merge_observations(vec![busy(Duration::ZERO)], now);
    let (total_after, wait_after) = expected(&balancer, &plan, 0, now);
    assert!(
        wait_after > wait + Duration::from_millis(50),
        "{wait_after:?}"
    );
    assert!(
        total_after > total + Duration::from_millis(50),
        "{total_after:?}"
    );
}

/// Returns the fraction of the 6 leaves' first choices that is one leaf, over the draws of
/// a hundred calls, none of which is answered.
fn first_choices(balancer: &LoadBalancer, plan: &Plan, n: usize, now: Time) -> usize {
    let view = view(plan);
    let choices = balancer.choices(&view, only_shard(&view), now);
    choices
        .iter()
        .position(|choice| choice.id == leaf(n))
        .expect("the leaf stays in use")
}

/// Guards against own losses being needed to learn of a leaf whose answers are lost, and
/// against a single peer that takes a leaf out of use.
#[test]
fn reported_losses_move_calls_in_proportion_to_the_peers() {
    let (mut balancer, plan, now) = chooser();
    let lossy = Observation {
        leaf: leaf(0),
        report: None,
        failures: 1.0,
        ..observation(0, 0)
    };
    balancer.merge_observations(vec![lossy], now);
    let one = balancer.leaf(leaf(0)).expect("the leaf").peer_failures(now);
    balancer.merge_observations(vec![lossy; 4], now);
    let stats = balancer.leaf(leaf(0)).expect("the leaf");
    let several = stats.peer_failures(now);
    assert!(one < 0.3, "one peer: {one}");
    assert!(several > 0.6, "five peers: {several}");
    assert!(!stats.avoided(now), "no own call has failed");
    assert_eq!(
        first_choices(&balancer, &plan, 0, now),
        5,
        "it is the last choice"
    );
    let later = now.after(Duration::from_secs(20));
    assert!(
        balancer
            .leaf(leaf(0))
            .expect("the leaf")
            .peer_failures(later)
            < 0.01
    );
}

/// Guards against observations that only the process learns which is called first, and
/// against a queue that grows for one that is gone.
#[test]
fn observations_wait_for_each_process() {
    let at = |millis: u64| NOW.after(Duration::from_millis(millis));
    let mut outboxes = Outboxes::default();
    assert!(outboxes.due("a"));
    assert!(outboxes.take("a", NOW).is_empty());
    assert!(outboxes.take("b", NOW).is_empty());
    assert!(!outboxes.due("a"));
    let seen: Vec<Observation> = (0..3).map(|leaf| observation(leaf, 0)).collect();
    outboxes.add(&seen, at(100));
    for partner in ["a", "b"] {
        assert!(outboxes.due(partner));
        let taken = outboxes.take(partner, at(300));
        assert_eq!(taken.len(), 3);
        assert!(taken.iter().all(|o| o.age == Duration::from_millis(200)));
    }
    let many: Vec<Observation> = (0..500).map(|leaf| observation(leaf, 0)).collect();
    outboxes.add(&many, at(400));
    assert_eq!(outboxes.take("a", at(500)).len(), MAX_OBSERVATIONS);
    outboxes.add(&seen, at(5_000));
    assert!(outboxes.take("b", at(5_000)).is_empty());
}
