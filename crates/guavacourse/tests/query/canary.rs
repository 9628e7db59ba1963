//! Tests the canary call, which is sent ahead of the others for content that may
//! crash backend servers.

use std::time::Duration;

use guavacourse::modules::{
    call::{NotRun, Unknown},
    inventory::Kind,
    time::Time,
};

use crate::fixture::{Driver, Fixture, SentCall, ms};

const SHARDS: u32 = 6;

fn start() -> Driver {
    start_with_deadline(Kind::default().deadline)
}

fn start_with_deadline(deadline: Duration) -> Driver {
    let default = Fixture::default();
    let fixture = Fixture {
        shards: SHARDS,
        kind: Kind {
            canary: true,
            deadline,
            ..default.kind.clone()
        },
        ..default
    };
    Driver::start(&fixture.view(1))
}

#[test]
fn new_content_sends_one_call_first() {
    let mut driver = start();
    let first = driver.take_sent();
    assert_eq!(first.len(), 1);
    driver.reply_rows(first[0], 5);
    let rest = driver.take_sent();
    assert_eq!(rest.len(), SHARDS as usize - 1);
    for sent in rest {
        driver.reply_rows(sent, 5);
    }
    let answer = driver.answer();
    assert!(answer.body.is_ok());
    assert!(answer.trace.canary);
}

#[test]
fn known_content_sends_all_calls_at_once() {
    let mut driver = start();
    let first = driver.take_sent()[0];
    driver.reply_rows(first, 5);
    for sent in driver.take_sent() {
        driver.reply_rows(sent, 5);
    }
    let mut driver = driver.next_query(ms(50));
    assert_eq!(driver.take_sent().len(), SHARDS as usize);
}

/// Guards against one crash per shard: the canary call crashes the first server and
/// the call that tests the content the second, after which no call is sent.
#[test]
fn content_that_crashes_every_server_crashes_two() {
    let mut driver = start();
    let mut crashed = 0;
    for round in 1..20 {
        for sent in driver.take_sent() {
            driver.reply_unknown(sent, Unknown::Closed);
            crashed += 1;
        }
        driver.advance(ms(20 * round));
    }
    assert_eq!(crashed, 2);
    let failure = driver
        .answer()
        .body
        .as_ref()
        .expect_err("no leaf returned rows");
    assert!(!failure.not_run);
}

#[test]
fn a_refused_first_call_is_sent_to_another_replica_alone() {
    let mut driver = start();
    let first = driver.take_sent()[0];
    driver.refuse(first, NotRun::Draining);
    let second = driver.take_sent();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].call.leaf, first.call.leaf);
    driver.reply_rows(second[0], 5);
    assert_eq!(driver.take_sent().len(), SHARDS as usize - 1);
}

#[test]
fn a_shard_without_a_replica_does_not_block_the_others() {
    let mut driver = start_with_deadline(Duration::from_secs(1));
    for _ in 0..4 {
        for sent in driver.take_sent() {
            driver.refuse(sent, NotRun::Ejected);
        }
        driver.advance(ms(driver.now.0 / 1000 + 15));
        if driver.sent.len() > 1 {
            break;
        }
    }
    let next = driver.take_sent();
    assert!(!next.is_empty());
    driver.reply_rows(next[0], 5);
    assert!(driver.take_sent().len() >= SHARDS as usize - 2);
}

#[test]
fn a_late_first_call_does_not_block_the_others() {
    let mut driver = start_warm();
    assert_eq!(driver.take_sent().len(), 1);
    driver.advance(WARM_START.after(Duration::from_millis(50)));
    assert!(driver.take_sent().len() >= SHARDS as usize - 1);
}

#[test]
fn a_late_first_call_is_followed_by_one_more() {
    let mut driver = start_warm();
    let first = driver.take_sent()[0];
    driver.advance(driver.query.next_timer());
    let second = driver.take_sent();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].call.leaf, first.call.leaf);
    driver.reply_rows(second[0], 5);
    assert_eq!(driver.take_sent().len(), SHARDS as usize - 2);
}

/// Guards against more than four crashes by content that crashes a server only after
/// a while, so that further canary calls are sent before the first one ends. The
/// delay runs over every millisecond of the time that the other calls wait, a
/// quarter of the deadline.
#[test]
fn content_that_crashes_late_crashes_at_most_four() {
    let quarter = Kind::default().deadline / 4;
    let max_delay = u64::try_from(quarter.as_millis()).unwrap();
    for crash_after in 0..max_delay {
        let crashed = crash_all(start_warm(), crash_after);
        assert!(
            crashed <= 4,
            "{crashed} servers crashed, {crash_after} ms after each call"
        );
    }
}

/// Crashes the server of each call `crash_after` ms after it was sent. Returns the
/// number of crashes, including those of calls still running at the end.
fn crash_all(mut driver: Driver, crash_after: u64) -> usize {
    let mut running: Vec<(Time, SentCall)> = Vec::new();
    let mut crashed = 0;
    while driver.answer.is_none() {
        let due = driver.now.after(Duration::from_millis(crash_after));
        running.extend(driver.take_sent().into_iter().map(|sent| (due, sent)));
        let now = driver.now;
        for (_, sent) in running.extract_if(.., |(at, _)| *at <= now) {
            driver.reply_unknown(sent, Unknown::Closed);
            crashed += 1;
        }
        driver.advance(now.after(Duration::from_millis(1)));
    }
    crashed + running.len()
}

/// Guards against further calls with suspected content: the call that tests it runs
/// alone, even when it is late.
#[test]
fn no_call_is_sent_during_a_late_test_call() {
    let mut driver = start_warm();
    let first = driver.take_sent()[0];
    driver.reply_unknown(first, Unknown::Closed);
    assert_eq!(driver.take_sent().len(), 1, "the test call");
    driver.advance(WARM_START.after(Duration::from_millis(500)));
    let others = driver.take_sent();
    assert!(
        others.is_empty(),
        "{} calls during the test call",
        others.len()
    );
}

/// When the query of [`start_warm`] starts: its content was last run longer ago than
/// the age up to which content counts as harmless (10 min).
const WARM_START: Time = Time(20 * 60 * 1_000_000);

/// Starts a query on a balancer that knows how long a call takes, from 40 complete
/// answers.
fn start_warm() -> Driver {
    let mut driver = start();
    for round in 1..=40 {
        while let Some(sent) = driver.take_sent().first().copied() {
            driver.reply_rows(sent, 5);
            for sent in driver.take_sent() {
                driver.reply_rows(sent, 5);
            }
        }
        driver = driver.next_query(ms(10 * round));
    }
    driver.next_query(WARM_START)
}
