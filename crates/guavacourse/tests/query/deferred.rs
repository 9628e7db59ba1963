//! Leaves that asked for fewer calls.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    call::{NotRun, Outcome, Reply},
    catalog::LeafId,
    collections::Set,
    inventory::Forward,
    load_balancer::LoadBalancer,
    members::Member,
    query::QueryRequest,
    shares::Shares,
    view::View,
};

use crate::fixture::{DATA_CENTRES, Driver, Fixture, SentCall, ms, request};

/// Time within which callers want the answer.
const TARGET: Duration = Duration::from_millis(400);

fn forwarded() -> QueryRequest {
    QueryRequest {
        forward: Some(Arc::default()),
        ..request()
    }
}

/// Starts a request that is forwarded to one of three leaves.
fn start() -> Driver {
    let mut fixture = Fixture {
        shards: 1,
        ..Fixture::default()
    };
    fixture.kind.forward = Some(Forward {
        attempts: 2,
        target: TARGET,
        ..Forward::default()
    });
    let balancer = LoadBalancer::new(DATA_CENTRES[0]);
    Driver::start_with(&fixture.view(1), balancer, forwarded(), ms(1))
}

/// Refuses a call until the leaf takes the next one.
fn defer(driver: &mut Driver, sent: SentCall, retry_after: u64) {
    let reply = Reply {
        attempt: sent.call.attempt,
        queued: 0,
        service: Duration::ZERO,
        retry_after: Duration::from_millis(retry_after),
        load: None,
        outcome: Outcome::NotRun(NotRun::Deferred),
    };
    driver.reply_with(reply);
}

/// Has all leaves refuse the request, each until the next time in the list. Returns the
/// leaves in the order of the calls.
fn defer_all(driver: &mut Driver, retry_after: [u64; 3]) -> Vec<LeafId> {
    let mut leaves = Vec::new();
    for millis in retry_after {
        let sent = driver.take_sent();
        assert_eq!(sent.len(), 1);
        leaves.push(sent[0].call.leaf);
        defer(driver, sent[0], millis);
    }
    leaves
}

#[test]
fn a_deferred_call_goes_to_another_leaf_at_once() {
    let mut driver = start();
    let first = driver.take_sent()[0];
    defer(&mut driver, first, 50);
    let second = driver.take_sent()[0];
    assert_ne!(first.call.leaf, second.call.leaf);
    assert!(!second.call.extra);
}

#[test]
fn a_request_that_no_leaf_takes_in_time_is_refused_at_once() {
    let mut driver = start();
    defer_all(&mut driver, [3_000, 2_000, 5_000]);
    let failure = driver.answer().body.as_ref().expect_err("refused");
    assert!(failure.not_run);
    assert_eq!(failure.retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn a_request_waits_for_a_leaf_that_takes_it_soon() {
    let mut driver = start();
    let leaves = defer_all(&mut driver, [300, 80, 300]);
    assert!(driver.answer.is_none());
    driver.advance(ms(80));
    assert!(driver.take_sent().is_empty());
    driver.advance(ms(81));
    let sent = driver.take_sent();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].call.leaf, leaves[1]);
}

#[test]
fn the_next_request_avoids_a_leaf_that_takes_none() {
    let mut driver = start();
    let leaves = defer_all(&mut driver, [3_000, 2_000, 5_000]);
    let mut next = Driver::start_with(&driver.view, driver.balancer, forwarded(), ms(10));
    assert!(next.take_sent().is_empty());
    let failure = next.answer().body.as_ref().expect_err("refused");
    assert_eq!(failure.retry_after, Some(Duration::from_millis(1_991)));
    let mut later = Driver::start_with(&next.view, next.balancer, forwarded(), ms(2_002));
    assert_eq!(later.take_sent()[0].call.leaf, leaves[1]);
}

#[test]
fn the_next_incarnation_of_a_leaf_inherits_no_pause() {
    let mut driver = start();
    let leaves = defer_all(&mut driver, [60_000, 60_000, 60_000]);
    let mut view = View::clone(&driver.view);
    view.incarnations.insert(leaves[2], 2);
    let mut next = Driver::start_with(&Arc::new(view), driver.balancer, forwarded(), ms(10));
    assert_eq!(next.take_sent()[0].call.leaf, leaves[2]);
}

// A process that is not listed yet has no part of a limit; it gets one when it is.
#[test]
fn a_leaf_is_asked_again_when_the_shares_of_the_fleet_change() {
    let mut driver = start();
    defer_all(&mut driver, [60_000, 60_000, 60_000]);
    let mut view = View::clone(&driver.view);
    let members = ["a", "b"].map(|name| Member {
        name: name.to_owned(),
        ..Member::default()
    });
    view.shares = Shares::new("a", &members, Set::default());
    let mut next = Driver::start_with(&Arc::new(view), driver.balancer, forwarded(), ms(10));
    assert_eq!(next.take_sent().len(), 1);
}
