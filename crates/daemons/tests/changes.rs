//! Answers to queries and bookings while the index, the partition and the set of
//! leaves change.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use guavacourse::modules::{
    collections::Map,
    head::HEAD_KEY,
    inventory::{Class, Config, DataCentre, Instance, Kind, Leaf, LeafState, Service},
    keys::KeyRange,
    members::{Member, MemberState, Role},
};
use guavacourse_daemons::{
    client::{Answer, Caller},
    deployment::{Deployment, Plan},
};
use guavacourse_standins::{
    LeafFaults, LeafHandle, PlatformFaults, ServedIndex, Versions, row_keys,
};
use serde_json::Value;

const KIND: &str = "roster";
const DATA_CENTRES: [&str; 3] = ["colombo", "kandy", "galle"];
const BODY: &[u8] = b"{\"gang\": \"dawn\"}";

/// Maximum time to wait; long enough that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns an inventory with a service of two shards, each with a replica in each
/// data centre.
fn config() -> Config {
    let leaf = |shard: u32, dc: &str| Leaf {
        name: format!("roster-{shard}-{dc}"),
        data_centre: dc.to_owned(),
        from: shard * 32_768,
        until: (shard + 1) * 32_768,
        ..Leaf::default()
    };
    let leaves = (0..2).flat_map(|shard| DATA_CENTRES.map(|dc| leaf(shard, dc)));
    Config {
        epoch: 1,
        data_centres: DATA_CENTRES
            .map(|name| DataCentre {
                name: name.to_owned(),
                region: name.to_owned(),
            })
            .into(),
        instances: DATA_CENTRES
            .map(|dc| Instance {
                name: format!("instance-{dc}"),
                data_centre: dc.to_owned(),
                ..Instance::default()
            })
            .into(),
        services: vec![Service {
            name: KIND.to_owned(),
            slots: 4,
            connections: 30,
            leaves: leaves.collect(),
            ..Service::default()
        }],
        kinds: vec![
            Kind {
                name: KIND.to_owned(),
                services: vec![KIND.to_owned()],
                deadline: Duration::from_secs(5),
                least_coverage: 0.0,
                retry_budget: 1.0,
                ..Kind::default()
            },
            Kind {
                name: "book".to_owned(),
                class: Class::Action,
                services: vec![KIND.to_owned()],
                deadline: TIMEOUT,
                ..Kind::default()
            },
        ],
        ..Config::default()
    }
}

/// Checks that an answer has exactly the rows of its index version in the ranges
/// that its coverage claims. Returns whether it covers all keys.
fn check_answer(answer: &Answer) -> bool {
    assert_eq!(answer.status, 200, "{}", answer.body);
    let version = answer.body["index_version"].as_u64().expect("a version");
    let missing: Vec<KeyRange> = answer.body["coverage"]["missing"]
        .as_array()
        .expect("ranges")
        .iter()
        .map(|range| serde_json::from_value(bounds(range)).expect("a range"))
        .collect();
    let mut expected = row_keys(KIND, BODY, KeyRange::ALL, version);
    expected.retain(|key| !missing.iter().any(|range| range.contains(*key)));
    let rows = answer.body["rows"].as_array().expect("rows");
    assert!(rows.iter().all(|row| row["version"] == version));
    let mut keys: Vec<u64> = rows
        .iter()
        .map(|row| row["key"].as_u64().expect("a key"))
        .collect();
    keys.sort_unstable();
    let expected: Vec<u64> = expected.into_iter().map(u64::from).collect();
    assert_eq!(keys, expected, "missing {missing:?}");
    missing.is_empty()
}

fn bounds(range: &Value) -> Value {
    serde_json::json!({"from": range["from"], "until": range["until"]})
}

/// Runs `change` while callers of every entry send queries, and checks each
/// answer. Returns the numbers of complete and of partial answers.
fn query_during(deployment: &Deployment, change: impl FnOnce()) -> (usize, usize) {
    let finished = AtomicBool::new(false);
    let (complete, partial) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..6 {
            let (finished, complete, partial) = (&finished, &complete, &partial);
            scope.spawn(move || {
                let mut caller = deployment.caller(number);
                while !finished.load(Ordering::Relaxed) {
                    let query = caller.post("/query/roster", &[], BODY);
                    let answer = smol::block_on(query).expect("an answer");
                    let count = if check_answer(&answer) {
                        complete
                    } else {
                        partial
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        change();
        finished.store(true, Ordering::Relaxed);
    });
    (complete.into_inner(), partial.into_inner())
}

#[test]
fn a_rolling_index_change_never_mixes_versions() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let (complete, partial) = query_during(&deployment, || {
        for version in 2..=6 {
            for leaf in deployment.leaves.leaves() {
                let served = leaf.served();
                leaf.set_served(ServedIndex {
                    versions: Versions {
                        oldest: version - 1,
                        newest: version,
                    },
                    ..served
                });
                thread::sleep(Duration::from_millis(30));
            }
        }
    });
    println!("{complete} complete and {partial} partial answers");
    assert!(complete > 0);
}

/// Returns the inventory with the boundary between the shards moved, and the new
/// range of each leaf.
fn repartitioned(deployment: &Deployment) -> (Config, Map<String, KeyRange>) {
    let mut next = deployment.config().clone();
    next.epoch = 2;
    let mut ranges: Map<String, KeyRange> = Map::default();
    for leaf in &mut next.services[0].leaves {
        if leaf.from == 0 {
            leaf.until = 40_000;
        } else {
            leaf.from = 40_000;
        }
        ranges.insert(leaf.name.clone(), leaf.range());
    }
    (next, ranges)
}

/// Sends a booking with a new ticket, for a key that the repartition moves to the
/// other shard.
fn book(mut caller: Caller) -> Answer {
    smol::block_on(async {
        let minted = caller.post("/tickets", &[], b"").await.expect("an answer");
        let ticket = minted.body["ticket"].as_str().expect("a ticket").to_owned();
        let headers = [("ticket", ticket.as_str()), ("key", "35000")];
        let booked = caller.post("/actions/book", &headers, BODY).await;
        booked.expect("an answer")
    })
}

#[test]
fn a_booking_waits_for_the_configuration_of_a_repartition() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let (next, ranges) = repartitioned(&deployment);
    deployment.leaves.repartition(2, &ranges);
    let booked = thread::scope(|scope| {
        let booking = scope.spawn(|| book(deployment.caller(0)));
        let call_received = || {
            deployment
                .leaves
                .leaves()
                .any(|leaf| leaf.work().received > 0)
        };
        while !call_received() && !booking.is_finished() {
            thread::sleep(Duration::from_millis(10));
        }
        deployment.apply(&next).expect("accepted");
        booking.join().expect("no panic")
    });
    assert_eq!(booked.status, 200, "{}", booked.body);
    let ran_on = booked.body["rows"][0]["leaf"].as_str().expect("a leaf");
    assert!(ran_on.starts_with("roster-0-"), "{ran_on}");
}

#[test]
fn a_repartition_counts_no_range_twice() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let (next, ranges) = repartitioned(&deployment);
    let (complete, partial) = query_during(&deployment, || {
        thread::sleep(Duration::from_millis(300));
        deployment.leaves.repartition(2, &ranges);
        deployment.apply(&next).expect("accepted");
        wait_revision(&deployment, 2);
        thread::sleep(Duration::from_millis(300));
    });
    println!("{complete} complete and {partial} partial answers");
    let mut caller = deployment.caller(0);
    let after = smol::block_on(caller.post("/query/roster", &[], BODY)).expect("an answer");
    assert!(check_answer(&after));
    assert_eq!(after.body["partition_epoch"], 2);
}

fn wait_revision(deployment: &Deployment, revision: u64) {
    let start = Instant::now();
    for entry in 0..deployment.entries.len() {
        let is_current = || {
            let status = smol::block_on(deployment.caller(entry).get("/status"));
            status.is_ok_and(|status| status.body["revision"] == revision)
        };
        while !is_current() {
            assert!(
                start.elapsed() < TIMEOUT,
                "revision {revision} is not in force"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Time without a new call after which a leaf counts as unused.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// Runs `leave` while callers send queries. Returns the time from when `begun` is
/// first true until the last call that the leaf receives; calls that arrive before
/// `leave` returns count too.
fn last_call_after_leave(
    deployment: &Deployment,
    leave: impl FnOnce() + Send,
    begun: impl Fn() -> bool,
) -> Duration {
    let leaf = deployment.leaves.leaf("roster-0-colombo").expect("a leaf");
    let mut last = Duration::ZERO;
    query_during(deployment, || {
        while leaf.work().received == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        thread::scope(|scope| {
            scope.spawn(leave);
            let leave_started = Instant::now();
            while !begun() {
                assert!(
                    leave_started.elapsed() < TIMEOUT,
                    "the leaf does not begin to leave"
                );
                thread::yield_now();
            }
            last = time_to_last_call(leaf);
        });
    });
    last
}

/// Waits until a leaf is unused. Returns the time from now until its last call.
fn time_to_last_call(leaf: &LeafHandle) -> Duration {
    let start = Instant::now();
    let mut last = Duration::ZERO;
    let mut seen = leaf.work().received;
    while start.elapsed() < last + QUIET_PERIOD {
        assert!(start.elapsed() < TIMEOUT, "the leaf still receives calls");
        thread::sleep(Duration::from_millis(5));
        let received = leaf.work().received;
        if received > seen {
            last = start.elapsed();
            seen = received;
        }
    }
    last
}

#[test]
fn a_leaf_that_reports_draining_stops_receiving_calls() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let leave = || {
        let leaf = deployment.leaves.leaf("roster-0-colombo").expect("a leaf");
        leaf.set_faults(LeafFaults {
            draining: true,
            ..LeafFaults::default()
        });
    };
    let last = last_call_after_leave(&deployment, leave, || true);
    println!("last new call after {} ms", last.as_millis());
}

#[test]
fn a_leaf_marked_leaving_in_the_instance_list_stops_receiving_calls() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let leave = || {
        deployment.platform.set_faults(PlatformFaults {
            list_overrides: vec![Member {
                name: "roster-0-colombo".to_owned(),
                role: Role::Leaf,
                state: MemberState::Leaving,
                ..Member::default()
            }],
            ..PlatformFaults::default()
        });
    };
    let last = last_call_after_leave(&deployment, leave, || true);
    println!("last new call after {} ms", last.as_millis());
}

#[test]
fn a_leaf_marked_leaving_in_the_inventory_stops_receiving_calls() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let mut next = deployment.config().clone();
    next.services[0].leaves[0].state = LeafState::Leaving;
    assert_eq!(next.services[0].leaves[0].name, "roster-0-colombo");
    let head_version = || {
        deployment
            .platform
            .value(HEAD_KEY)
            .map(|(_, version)| version)
    };
    let before = head_version();
    let leave = || {
        deployment.apply(&next).expect("accepted");
    };
    let last = last_call_after_leave(&deployment, leave, || head_version() != before);
    println!("last new call after {} ms", last.as_millis());
}
