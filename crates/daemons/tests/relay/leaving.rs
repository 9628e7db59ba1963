//! Tests of the shutdown of a relay, and of leaves that leave or move.

use std::sync::Arc;

use guavacourse::{
    edge::relay::RelayMessage,
    modules::{
        call::{NotRun, Outcome},
        catalog::{Catalog, LeafId},
    },
};
use guavacourse_standins::LeafFaults;

use super::harness::{Harness, MESSAGE_TIMEOUT, describe, part};

#[test]
fn shutdown_completes_calls_in_flight() {
    let mut harness = Harness::start(100);
    harness.submit(part(1, &["a", "a", "a", "b"]));
    let relay = harness.take_relay();
    let stopping = std::thread::spawn(move || relay.stop());
    let first = harness.next(MESSAGE_TIMEOUT);
    assert_eq!(first, Some(RelayMessage::Leaving));
    let outcomes: Vec<String> = harness
        .replies(4)
        .iter()
        .map(|r| describe(&r.outcome))
        .collect();
    assert_eq!(outcomes, ["rows 0..65536"; 4]);
    stopping.join().unwrap();
    assert_eq!(harness.next(MESSAGE_TIMEOUT), None);
}

#[test]
fn a_draining_leaf_gets_no_further_work() {
    let harness = Harness::start(1);
    harness.run(part(1, &["a"]));
    let faults = LeafFaults {
        draining: true,
        ..LeafFaults::default()
    };
    harness.set_faults("a", faults);
    for first in 10..20 {
        let outcome = harness.run(part(first, &["a"])).remove(0);
        assert_eq!(outcome, Outcome::NotRun(NotRun::Draining));
    }
    assert_eq!(harness.leaf("a").work().received, 2);
}

#[test]
fn a_leaf_listed_as_leaving_gets_no_further_work() {
    let harness = Harness::start(1);
    harness.run(part(1, &["a"]));
    harness.publish(|view| view.leaving.extend([LeafId::of("a")]));
    let outcome = harness.run(part(2, &["a"])).remove(0);
    assert_eq!(outcome, Outcome::NotRun(NotRun::Draining));
    assert_eq!(harness.leaf("a").work().received, 1);
}

#[test]
fn an_idle_relay_adopts_a_new_view_and_closes_its_connections() {
    let harness = Harness::start(1);
    harness.run(part(1, &["a"]));
    harness.publish(|view| view.catalog = Arc::default());
    let outcome = harness.run(part(2, &["a"])).remove(0);
    assert_eq!(outcome, Outcome::NotRun(NotRun::NotOwner));
    harness.publish(|view| view.catalog = Arc::new(harness.catalog()));
    let outcome = harness.run(part(3, &["a"])).remove(0);
    assert_eq!(describe(&outcome), "rows 0..65536");
    assert_eq!(harness.leaf("a").work().connections, 2);
}

#[test]
fn a_leaf_that_moved_gets_nothing_at_its_old_address() {
    let harness = Harness::start(100);
    harness.submit(part(1, &["a"]));
    let mut moved = harness.fleet.config().clone();
    moved.services[0].leaves[0].address = moved.services[0].leaves[1].address;
    harness.publish(|view| view.catalog = Arc::new(Catalog::new(2, &moved)));
    // Makes the relay check the view while the first call is still in flight.
    harness.submit(part(2, &["c"]));
    harness.replies(2);
    let outcome = harness.run(part(3, &["a"])).remove(0);
    assert_eq!(describe(&outcome), "rows 0..65536");
    let received = ["a", "b"].map(|name| harness.leaf(name).work().received);
    assert_eq!(received, [1, 1]);
}
