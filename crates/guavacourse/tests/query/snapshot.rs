//! Tests that an answer is drawn from one index version and one partition epoch.

use std::time::Duration;

use guavacourse::modules::{
    call::{Outcome, Rows},
    keys::KeyRange,
    snapshot::{KnownVersions, Pin, RowsVerdict},
    time::Time,
};

use crate::fixture::{Driver, Fixture, SentCall, ms};

const PLANNED_RANGE: KeyRange = KeyRange { from: 0, until: 10 };

fn rows(version: u64, epoch: u64, range: KeyRange) -> Rows {
    Rows {
        version,
        newest: version,
        epoch,
        range,
        body: (*b"[]").into(),
        origin: None,
    }
}

fn known(oldest: u64, newest: u64) -> KnownVersions {
    KnownVersions { oldest, newest }
}

fn pin_at(version: u64) -> Pin {
    let mut pin = Pin::unpinned(1);
    pin.pin_shared_version([Some(known(0, version))]);
    pin
}

/// Replies with rows to all calls sent so far; `version` returns the version for each
/// call and its index.
fn answer_all(driver: &mut Driver, version: impl Fn(usize, &SentCall) -> u64) {
    for (i, sent) in driver.take_sent().into_iter().enumerate() {
        let version = version(i, &sent);
        driver.reply_rows(sent, version);
    }
}

#[test]
fn judges_rows_by_version_epoch_and_range() {
    let wide = KeyRange { from: 0, until: 11 };
    let cases = [
        ("same", 7, rows(7, 1, PLANNED_RANGE)),
        ("newer version", 7, rows(8, 1, PLANNED_RANGE)),
        ("older version", 7, rows(6, 1, PLANNED_RANGE)),
        ("no version", 7, rows(0, 1, PLANNED_RANGE)),
        ("other epoch", 7, rows(7, 2, PLANNED_RANGE)),
        ("no epoch", 7, rows(7, 0, PLANNED_RANGE)),
        ("other range", 7, rows(7, 1, wide)),
        ("open, same", 0, rows(7, 1, PLANNED_RANGE)),
        ("open, newer version", 0, rows(8, 1, PLANNED_RANGE)),
        ("open, older version", 0, rows(6, 1, PLANNED_RANGE)),
        ("open, no version", 0, rows(0, 1, PLANNED_RANGE)),
        ("open, other epoch", 0, rows(7, 2, PLANNED_RANGE)),
    ];
    let verdicts: Vec<(&str, RowsVerdict)> = cases
        .iter()
        .map(|(name, asked, rows)| (*name, pin_at(7).classify(*asked, PLANNED_RANGE, rows)))
        .collect();
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn pin_is_lowered_once() {
    let mut pin = pin_at(7);
    assert_eq!(
        pin.classify(0, PLANNED_RANGE, &rows(6, 1, PLANNED_RANGE)),
        RowsVerdict::Lowered
    );
    assert_eq!(pin.version, 6);
    assert_eq!(
        pin.classify(0, PLANNED_RANGE, &rows(5, 1, PLANNED_RANGE)),
        RowsVerdict::Discard
    );
    assert_eq!(pin.version, 6);
}

#[test]
fn pins_the_version_that_all_leaves_hold() {
    let pinned = |held: &[Option<KnownVersions>]| {
        let mut pin = Pin::unpinned(1);
        pin.pin_shared_version(held.iter().copied());
        pin.version
    };
    assert_eq!(pinned(&[None, None]), 0, "no version is known");
    assert_eq!(
        pinned(&[Some(known(0, 8)), Some(known(0, 7))]),
        7,
        "two versions during a rolling publication"
    );
    assert_eq!(
        pinned(&[Some(known(0, 8)), None]),
        8,
        "the versions of one leaf are unknown"
    );
    assert_eq!(
        pinned(&[Some(known(88, 90)), Some(known(0, 5))]),
        88,
        "one leaf is stuck at an old version"
    );
}

#[test]
fn restarts_once_and_never_at_an_older_epoch() {
    let mut pin = pin_at(7);
    assert!(!pin.restart(7, 1), "the same snapshot");
    assert!(!pin.restart(9, 0), "an older epoch");
    assert!(pin.restart(8, 1));
    assert!(!pin.restart(9, 1), "a second restart");
}

#[test]
fn newer_rows_are_requested_again_at_the_pinned_version() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    assert_eq!([sent[0].version, sent[1].version], [0, 0]);
    driver.reply_rows(sent[0], 7);
    driver.reply_rows(sent[1], 8);
    assert!(driver.answer.is_none(), "two versions were merged");
    let again = driver.take_sent();
    assert_eq!((again.len(), again[0].version), (1, 7));
    assert_eq!(again[0].call.leaf, sent[1].call.leaf);
    driver.reply_rows(again[0], 7);
    assert_eq!(
        driver
            .answer()
            .body
            .as_ref()
            .expect("complete")
            .index_version,
        7
    );
}

#[test]
fn older_reply_lowers_the_pin() {
    let fixture = Fixture {
        shards: 3,
        ..Fixture::default()
    };
    let mut driver = Driver::start(&fixture.view(1));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 8);
    driver.reply_rows(sent[1], 7);
    let again = driver.take_sent();
    assert_eq!((again.len(), again[0].version), (1, 7));
    driver.reply_rows(again[0], 7);
    driver.reply_rows(sent[2], 7);
    let body = driver.answer().body.as_ref().expect("complete");
    assert_eq!(body.index_version, 7);
    assert_eq!(body.rows.as_json(), "[0,21845,43690]");
}

#[test]
fn next_query_pins_a_known_version() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    answer_all(&mut driver, |i, _| [8, 7][i]);
    answer_all(&mut driver, |_, sent| sent.version);
    // Replicas whose versions are not known yet are asked for the version pinned
    // from the others.
    for _ in 0..3 {
        driver = driver.next_query(ms(20));
        assert!(
            driver
                .sent
                .iter()
                .all(|sent| sent.version == 7 || sent.version == 8)
        );
        let first = driver.sent[0].version;
        assert!(driver.sent.iter().all(|sent| sent.version == first));
        answer_all(&mut driver, |_, sent| sent.version);
        assert!(
            driver.answer().body.is_ok(),
            "one round of calls was enough"
        );
    }
}

#[test]
fn known_versions_expire() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    answer_all(&mut driver, |_, _| 7);
    let driver = driver.next_query(Time(10_000_000));
    assert!(driver.sent.iter().all(|sent| sent.version == 0));
}

#[test]
fn pinned_version_is_requested_from_another_replica() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 7);
    driver.reply_elsewhere(sent[1], 8, 9, 1);
    let other = driver.take_sent()[0];
    assert_ne!(other.call.leaf, sent[1].call.leaf);
    assert_eq!(other.version, 7);
    driver.reply_rows(other, 7);
    assert_eq!(
        driver
            .answer()
            .body
            .as_ref()
            .expect("complete")
            .index_version,
        7
    );
}

#[test]
fn restarts_if_no_replica_holds_the_pinned_version() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    let mut newer = driver.rows_of(sent[0], 7);
    newer.newest = 9;
    driver.reply(sent[0].call, Outcome::Rows(newer));
    driver.reply_elsewhere(sent[1], 8, 9, 1);
    for _ in 0..2 {
        let other = driver.take_sent()[0];
        driver.reply_elsewhere(other, 8, 9, 1);
    }
    let again = driver.take_sent();
    assert_eq!(again.len(), 2, "all shards are called again");
    assert!(again.iter().all(|sent| sent.version == 9));
    for sent in again {
        driver.reply_rows(sent, 9);
    }
    let body = driver.answer().body.as_ref().expect("complete");
    assert_eq!((body.index_version, body.rows.as_json()), (9, "[0,32768]"));
}

#[test]
fn no_restart_that_would_miss_the_deadline() {
    let mut driver = Driver::start_with_coverage(&Fixture::default().view(1), 0.5);
    driver.advance(ms(60));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 7);
    driver.reply_elsewhere(sent[1], 8, 9, 1);
    for _ in 0..2 {
        let other = driver.take_sent()[0];
        driver.reply_elsewhere(other, 8, 9, 1);
    }
    let answer = driver.answer();
    assert_eq!(answer.trace.restarts, 0);
    assert_eq!(
        answer.body.as_ref().expect("half is enough").index_version,
        7
    );
}

/// Guards against endless restarts: the leaves of one shard drop each version before
/// it is requested, so that no snapshot is held by both shards.
#[test]
fn second_loss_of_the_snapshot_leaves_a_shard_uncovered() {
    let view = Fixture::default().view(1);
    let mut driver = Driver::start_with_coverage(&view, 0.5);
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 7);
    driver.reply_elsewhere(sent[1], 8, 8, 1);
    let mut next = 8;
    while driver.answer.is_none() {
        for sent in driver.take_sent() {
            if driver.rows_of(sent, 1).range.from == 0 {
                let version = if sent.version == 0 { 7 } else { sent.version };
                driver.reply_rows(sent, version);
            } else {
                next += 1;
                driver.reply_elsewhere(sent, next, next, 1);
            }
        }
        driver.advance(driver.now.after(Duration::from_millis(1)));
    }
    let body = driver.answer().body.as_ref().expect("half is enough");
    assert!(body.coverage.fraction < 1.0);
    assert_eq!(body.rows.as_json(), "[0]");
    assert_eq!(driver.answer().trace.restarts, 1);
}

#[test]
fn restarts_at_a_newer_epoch_once_the_view_has_it() {
    let fixture = Fixture::default();
    let mut driver = Driver::start(&fixture.view(1));
    for sent in driver.take_sent() {
        driver.reply_elsewhere(sent, 1, 9, 2);
    }
    for _ in 0..2 {
        for sent in driver.take_sent() {
            driver.reply_elsewhere(sent, 1, 9, 2);
        }
    }
    assert!(
        driver.answer.is_none(),
        "the query waits for the newer view"
    );
    let newer = Fixture {
        epoch: 2,
        shards: 4,
        ..fixture
    };
    driver.view = newer.view(2);
    driver.query.refresh(driver.view.clone());
    driver.advance(ms(2));
    let again = driver.take_sent();
    assert_eq!(again.len(), 4);
    for sent in again {
        assert_eq!(sent.epoch, 2);
        driver.reply_rows(sent, 9);
    }
    let body = driver.answer().body.as_ref().expect("complete");
    assert_eq!((body.partition_epoch, body.revision), (2, 2));
    assert_eq!(body.rows.as_json(), "[0,16384,32768,49152]");
}
