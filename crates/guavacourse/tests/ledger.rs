//! Tests of the ledger, which runs each ticket of an entry at most once. A serial
//! whose record was removed may have run, so it must not run again.

use std::{sync::Arc, time::Duration};

use guavacourse::{
    configs::ledger::LedgerConfig,
    modules::{
        ledger::{Digest, Ledger, LedgerAdmission, RECORD_BYTES, Serial},
        outcome::{ActionOutcome, NotRunCause},
        time::Time,
    },
};

const RETENTION: Duration = Duration::from_secs(10);

fn ledger() -> Ledger {
    Ledger::new(LedgerConfig {
        retention: RETENTION,
        kept_bytes: 4 * record_bytes(),
        running: 2,
    })
}

fn record_bytes() -> usize {
    RECORD_BYTES + done().heap_bytes()
}

fn digest(body: &str) -> Digest {
    Digest::of("book-gang", 7, body.as_bytes())
}

fn done() -> ActionOutcome {
    ActionOutcome::Done(Arc::from(*b""))
}

fn at(seconds: u64) -> Time {
    Time(seconds * 1_000_000)
}

#[test]
fn a_serial_runs_once_and_its_outcome_is_repeated() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    assert_eq!(
        ledger.begin(serial, digest("a"), at(1)),
        LedgerAdmission::Run
    );
    assert_eq!(
        ledger.begin(serial, digest("a"), at(2)),
        LedgerAdmission::Running
    );
    ledger.finish(serial, done(), at(2));
    let again = ledger.begin(serial, digest("a"), at(3));
    assert_eq!(again, LedgerAdmission::Ended(done()));
}

#[test]
fn another_request_with_the_same_ticket_is_a_mismatch() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    ledger.begin(serial, digest("a"), at(1));
    let other = ledger.begin(serial, digest("b"), at(1));
    assert_eq!(other, LedgerAdmission::Mismatch);
}

#[test]
fn serials_never_repeat_within_a_microsecond() {
    let mut ledger = ledger();
    let drawn: Vec<Serial> = (0..100).map(|_| ledger.allocate(at(1))).collect();
    assert!(drawn.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(ledger.is_empty());
}

#[test]
fn a_ticket_unused_for_the_retention_never_runs() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    let late = ledger.begin(serial, digest("a"), at(12));
    assert_eq!(late, LedgerAdmission::Expired);
}

#[test]
fn a_serial_with_an_expired_record_never_runs_again() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    ledger.begin(serial, digest("a"), at(11));
    ledger.finish(serial, done(), at(11));
    let kept = ledger.begin(serial, digest("a"), at(20));
    assert_eq!(kept, LedgerAdmission::Ended(done()));
    let gone = ledger.begin(serial, digest("a"), at(21));
    assert_eq!(gone, LedgerAdmission::Expired);
    assert!(ledger.is_empty());
}

#[test]
fn a_clock_that_steps_back_never_lowers_the_floor() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    ledger.allocate(at(30));
    let floor = ledger.floor();
    assert_eq!(
        ledger.begin(serial, digest("a"), at(1)),
        LedgerAdmission::Expired
    );
    assert_eq!(ledger.floor(), floor);
}

#[test]
fn the_record_of_a_running_action_never_expires() {
    let mut ledger = ledger();
    let serial = ledger.allocate(at(1));
    ledger.begin(serial, digest("a"), at(1));
    let hours_later = at(10_000);
    let again = ledger.begin(serial, digest("a"), hours_later);
    assert_eq!(again, LedgerAdmission::Running);
    ledger.finish(serial, done(), hours_later);
    let again = ledger.begin(serial, digest("a"), hours_later);
    assert_eq!(again, LedgerAdmission::Ended(done()));
}

#[test]
fn bytes_are_bounded_and_what_is_evicted_never_runs_again() {
    let mut ledger = ledger();
    let serials: Vec<Serial> = (0..10).map(|_| ledger.allocate(at(1))).collect();
    for serial in &serials {
        let admission = ledger.begin(*serial, digest("a"), at(1));
        assert_eq!(admission, LedgerAdmission::Run);
        ledger.finish(*serial, done(), at(1));
        assert!(ledger.bytes() <= 4 * record_bytes());
    }
    assert_eq!(ledger.len(), 4);
    let evicted = ledger.begin(serials[0], digest("a"), at(1));
    assert_eq!(evicted, LedgerAdmission::Expired);
}

#[test]
fn over_the_running_limit_a_serial_is_refused_for_good() {
    let mut ledger = ledger();
    let serials: Vec<Serial> = (0..3).map(|_| ledger.allocate(at(1))).collect();
    assert_eq!(
        ledger.begin(serials[0], digest("a"), at(1)),
        LedgerAdmission::Run
    );
    assert_eq!(
        ledger.begin(serials[1], digest("a"), at(1)),
        LedgerAdmission::Run
    );
    let refused = LedgerAdmission::Ended(ActionOutcome::NotRun(NotRunCause::Overloaded));
    assert_eq!(ledger.begin(serials[2], digest("a"), at(1)), refused);
    ledger.finish(serials[0], done(), at(1));
    assert_eq!(ledger.begin(serials[2], digest("a"), at(1)), refused);
}
