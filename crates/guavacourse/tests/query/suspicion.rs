//! Tests how a query handles content that may have crashed a backend server.

use guavacourse::modules::call::{NotRun, Unknown};

use crate::fixture::{Driver, Fixture, ms};

fn ten_shards() -> Driver {
    let fixture = Fixture {
        shards: 10,
        ..Fixture::default()
    };
    Driver::start(&fixture.view(1))
}

#[test]
fn suspected_content_is_tested_by_a_single_call() {
    let mut driver = ten_shards();
    for sent in driver.take_sent() {
        driver.reply_unknown(sent, Unknown::Closed);
    }
    let test_call = driver.take_sent();
    assert_eq!(test_call.len(), 1, "one call tests the content");
    assert!(test_call[0].call.extra);
    driver.advance(ms(50));
    assert!(
        driver.sent.is_empty(),
        "no other call runs during the test call"
    );
    driver.reply_unknown(test_call[0], Unknown::Closed);
    driver.advance(ms(100));
    assert!(
        driver.sent.is_empty(),
        "no call is sent after a second crash"
    );
    assert!(!driver.answer().body.as_ref().expect_err("no rows").not_run);
}

#[test]
fn other_calls_follow_once_the_content_is_cleared() {
    let mut driver = ten_shards();
    for sent in driver.take_sent() {
        driver.reply_unknown(sent, Unknown::Closed);
    }
    let test_call = driver.take_sent()[0];
    driver.reply_rows(test_call, 7);
    driver.advance(ms(20));
    let rest = driver.take_sent();
    assert_eq!(rest.len(), 9);
    for sent in rest {
        driver.reply_rows(sent, 7);
    }
    assert!(driver.answer().body.is_ok());
}

#[test]
fn refused_test_call_is_repeated() {
    let mut driver = ten_shards();
    let sent = driver.take_sent();
    driver.reply_unknown(sent[0], Unknown::Closed);
    let test_call = driver.take_sent()[0];
    driver.refuse(test_call, NotRun::Shed);
    driver.advance(ms(20));
    assert_eq!(driver.take_sent().len(), 1);
}

#[test]
fn suspected_content_is_not_hedged() {
    let mut driver = start_warm();
    let sent = driver.take_sent();
    driver.reply_unknown(sent[0], Unknown::Closed);
    let test_call = driver.take_sent();
    assert_eq!(test_call.len(), 1);
    driver.advance(ms(9_090));
    assert!(
        driver.sent.is_empty(),
        "no hedge is sent during the test call"
    );
}

#[test]
fn late_calls_are_hedged() {
    let mut driver = start_warm();
    let sent = driver.take_sent();
    driver.advance(ms(9_010));
    let hedges = driver.take_sent();
    assert_eq!(hedges.len(), sent.len());
    assert!(hedges.iter().all(|hedge| hedge.call.extra));
}

/// Starts a query at 9 s on a balancer that knows its leaves' latencies.
fn start_warm() -> Driver {
    let mut driver = Driver::start(&Fixture::default().view(1));
    for round in 1..200 {
        driver.now = ms(round * 45 + 5);
        for sent in driver.take_sent() {
            driver.reply_rows(sent, 7);
        }
        driver = driver.next_query(ms((round + 1) * 45));
    }
    driver
}

#[test]
fn quarantined_content_is_not_sent_again() {
    let mut driver = ten_shards();
    for sent in driver.take_sent() {
        driver.refuse(sent, NotRun::Quarantined);
    }
    assert!(driver.sent.is_empty());
    assert!(driver.answer().body.as_ref().expect_err("refused").not_run);
}
