//! Shards of which only a slow leaf is left.

use crate::fleet::{Fleet, kind};

/// When the leaves become slow, and until when queries are started, in milliseconds.
const SLOW_FROM: u64 = 1_000;
const END: u64 = 6_000;

/// Starts queries of each kind at an interval in milliseconds, with two slow shards.
fn run(reports: bool, kinds: &[(&str, f64, u64, u64, u64)]) -> Fleet {
    let rules = kinds
        .iter()
        .map(|(name, least, target, limit, _)| kind(name, *least, *target, *limit));
    let mut fleet = Fleet::new(rules.collect(), reports);
    while fleet.now < END + 2_000 {
        for (name, _, _, _, interval) in kinds {
            if fleet.now < END && fleet.now.is_multiple_of(*interval) {
                fleet.start(name);
            }
        }
        if fleet.now == SLOW_FROM {
            fleet.set_pace(3, 1_000);
            fleet.set_pace(20, 1_000);
        }
        fleet.tick();
    }
    fleet
}

// Guards against every query waiting in the queues of two shards with one slow leaf
// each until all of them are late: 100 queries a second, of which each shard can serve 27.
#[test]
fn queries_divide_scarce_shards_instead_of_all_waiting_for_them() {
    let load = [("list", 0.95, 200, 1_500, 10)];
    let [before, served_before] = run(false, &load).served("list", SLOW_FROM, 200);
    let [in_time, served] = run(true, &load).served("list", SLOW_FROM, 200);
    assert!(before < 10, "{before} of 500 are in time without");
    assert!(in_time >= 100, "{in_time} of 500 are in time");
    assert!(
        served >= 2 * served_before,
        "{served} served, {served_before} without"
    );
}

// Guards against queries that may leave out five shards taking the slots of two scarce
// shards, of which other queries may leave out only one.
#[test]
fn queries_with_spare_shards_leave_scarce_ones_to_others() {
    let load = [
        ("tight", 0.95, 200, 1_500, 25),
        ("loose", 0.85, 100, 800, 25),
    ];
    let without = run(false, &load);
    let with = run(true, &load);
    let [before, _] = without.served("tight", SLOW_FROM, 200);
    let [in_time, _] = with.served("tight", SLOW_FROM, 200);
    let [loose, _] = with.served("loose", SLOW_FROM, 100);
    assert!(before < 10, "{before} of 200 are in time without");
    assert!(in_time >= 80, "{in_time} of 200 are in time");
    assert_eq!(loose, 200, "queries with spare shards are late");
}

// Guards against leaving out a shard that is merely slow: four queries a second do not
// compete for a leaf that takes 150 ms.
#[test]
fn a_slow_shard_without_competition_is_called() {
    let fleet = run(true, &[("list", 0.95, 200, 1_500, 250)]);
    let missing = fleet.ended.iter().filter(|query| query.missing > 0);
    assert_eq!(missing.count(), 0);
    assert!(fleet.refused.is_empty());
}

// Guards against queries that call a full leaf again and again though they may leave its
// shard out: the leaf serves 27 of the 40 queries a second and refuses the rest.
#[test]
fn a_shard_that_refuses_calls_for_lack_of_room_is_left_out() {
    let run = |reports| {
        let mut fleet = Fleet::new(vec![kind("list", 0.95, 200, 1_500)], reports);
        fleet.shed(3);
        fleet.set_pace(3, 1_000);
        while fleet.now < END {
            if fleet.now.is_multiple_of(25) && fleet.now < END - 1_000 {
                fleet.start("list");
            }
            fleet.tick();
        }
        let [in_time, _] = fleet.served("list", 0, 200);
        (in_time, fleet.ended.len(), fleet.calls(3))
    };
    let (_, queries, calls_without) = run(false);
    let (in_time, ended, calls) = run(true);
    assert!(calls_without > 2 * queries, "{calls_without} calls without");
    assert!(calls <= queries, "{calls} calls of {queries} queries");
    assert!(
        in_time * 10 >= ended * 9,
        "{in_time} of {ended} are in time"
    );
}
