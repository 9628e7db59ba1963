//! Tests late, duplicate and swapped replies, and the exposure that a failure
//! reports.

use guavacourse::modules::{
    answer::Failure,
    call::{AttemptId, NotRun, Outcome, Unknown},
    exposure::Exposure,
};

use crate::fixture::{Driver, Fixture, address, ms};

#[test]
fn duplicate_reply_is_dropped_and_counted() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 7);
    driver.reply_rows(sent[0], 7);
    driver.refuse(sent[0], NotRun::Shed);
    assert!(driver.sent.is_empty());
    driver.reply_rows(sent[1], 7);
    let answer = driver.answer();
    assert_eq!(
        answer.body.as_ref().expect("complete").rows.as_json(),
        "[0,32768]"
    );
    assert_eq!((answer.trace.dropped, driver.balancer.dropped()), (2, 2));
}

#[test]
fn late_reply_is_dropped_and_counted() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    driver.advance(ms(200));
    assert_eq!(driver.cancelled.len(), 2);
    driver.reply_rows(sent[0], 7);
    assert_eq!(driver.balancer.dropped(), 1);
}

#[test]
fn reply_to_an_unknown_attempt_is_dropped() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let mut other = driver.sent[0];
    other.call.attempt = AttemptId(u64::MAX);
    let rows = driver.rows_of(other, 7);
    driver.reply(other.call, Outcome::Rows(rows));
    assert!(driver.answer.is_none());
    assert_eq!(driver.balancer.dropped(), 1);
}

/// Guards against rows under the wrong keys: two shards' replies are swapped, so that
/// each call gets the rows of the other one's key range.
#[test]
fn swapped_replies_are_not_merged() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    let swapped = [driver.rows_of(sent[1], 7), driver.rows_of(sent[0], 7)];
    for (sent, rows) in sent.iter().zip(swapped) {
        driver.reply(sent.call, Outcome::Rows(rows));
    }
    assert!(driver.answer.is_none());
    for sent in driver.take_sent() {
        driver.reply_rows(sent, 7);
    }
    let answer = driver.answer();
    assert_eq!(answer.trace.mismatched, 2);
    assert_eq!(
        answer.body.as_ref().expect("complete").rows.as_json(),
        "[0,32768]"
    );
}

#[test]
fn attempts_are_unique_in_a_process() {
    let mut first = guavacourse::modules::load_balancer::LoadBalancer::new("dc-a").with_thread(1);
    let mut second = guavacourse::modules::load_balancer::LoadBalancer::new("dc-a").with_thread(2);
    let ids = [
        first.next_attempt(),
        first.next_attempt(),
        second.next_attempt(),
    ];
    assert_eq!(ids.map(|id| id.0 >> 48), [1, 1, 2]);
    assert_ne!(ids[0], ids[1]);
}

/// Ends every call of a query with `outcome` and returns the failure.
fn fail_all(outcome: &Outcome) -> Failure {
    let mut driver = Driver::start(&Fixture::default().view(1));
    while driver.answer.is_none() {
        for sent in driver.take_sent() {
            driver.reply(sent.call, outcome.clone());
        }
        driver.advance(driver.now.after(std::time::Duration::from_millis(5)));
    }
    let answer = driver.answer.expect("the query has finished");
    answer.body.expect_err("no key is covered")
}

#[test]
fn not_run_only_if_every_attempt_was_refused() {
    let refused = fail_all(&Outcome::NotRun(NotRun::Shed));
    assert!(refused.not_run);
    for why in [Unknown::Closed, Unknown::Timeout, Unknown::Malformed] {
        assert!(!fail_all(&Outcome::Unknown(why)).not_run, "{why:?}");
    }
}

#[test]
fn pending_attempt_at_the_deadline_may_have_run() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    driver.advance(ms(200));
    let failure = driver.answer().body.as_ref().expect_err("no reply");
    assert_eq!(
        (failure.not_run, failure.exposure),
        (false, Exposure::MaybeRun)
    );
}

#[test]
fn one_unknown_attempt_outweighs_refusals() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    driver.reply_unknown(sent[0], Unknown::Timeout);
    driver.refuse(sent[1], NotRun::Shed);
    while driver.answer.is_none() {
        for sent in driver.take_sent() {
            driver.refuse(sent, NotRun::Shed);
        }
        driver.advance(driver.now.after(std::time::Duration::from_millis(5)));
    }
    assert!(!driver.answer().body.as_ref().expect_err("refused").not_run);
}

#[test]
fn unsent_query_is_not_run() {
    let fixture = Fixture::default();
    let mut view = crate::fixture::view(&fixture.config(), 1);
    view.relays.clear();
    let mut driver = Driver::start(&std::sync::Arc::new(view));
    driver.advance(ms(200));
    let failure = driver.answer().body.as_ref().expect_err("no relay");
    assert_eq!(
        (failure.not_run, failure.exposure),
        (true, Exposure::Unsent)
    );
}

#[test]
fn exposure_merge_keeps_the_greater() {
    use Exposure::{MaybeRun, Refused, Unsent};
    assert_eq!(Unsent.merge(Refused), Refused);
    assert_eq!(Refused.merge(Unsent), Refused);
    assert_eq!(Refused.merge(MaybeRun), MaybeRun);
    assert_eq!(MaybeRun.merge(Refused), MaybeRun);
    assert_eq!(
        [Unsent, Refused, MaybeRun].map(Exposure::proves_not_run),
        [true, true, false]
    );
}

#[test]
fn failed_link_moves_calls_to_the_next_relay() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    let down = sent[0].relay;
    driver.balancer.relay_down(down, ms(1));
    for sent in &sent {
        driver.reply_unknown(*sent, Unknown::Closed);
    }
    let again = driver.take_sent();
    assert_eq!(
        again.len(),
        2,
        "both are sent at once: the content is not suspected"
    );
    assert!(again.iter().all(|sent| sent.relay != down));
    assert!([1, 2, 3].map(address).contains(&again[0].relay));
}
