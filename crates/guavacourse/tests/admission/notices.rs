//! What leaves ask for in their answers.

use std::{collections::HashSet, time::Duration};

use guavacourse::modules::{
    call::{AttemptId, NotRun},
    catalog::LeafId,
    inventory::LeafState,
    leaf_notice::LeafNotice,
    placement::{draining::DrainPeriod, load_report::LoadReport, warm_up::ColdLeaf},
    shares::Shares,
    time::Time,
};

use super::harness::{Harness, SESSION, call, refused};

fn limited(total: f64) -> LeafNotice {
    LeafNotice {
        limit: Some(total),
        ..LeafNotice::default()
    }
}

/// Lists leaf `a` with an incarnation.
fn list_incarnation(harness: &mut Harness, incarnation: u64) {
    harness
        .view
        .incarnations
        .insert(LeafId::of("a"), incarnation);
    harness.publish();
}

/// Answers an attempt with a notice.
fn answer(harness: &mut Harness, attempt: u64, notice: LeafNotice) {
    let key = harness.job_key(attempt);
    harness.admission.notice(key, notice, harness.now);
    harness.answer(attempt);
}

/// Submits calls and has each answered with a notice, one call each ten milliseconds.
/// Returns the number of calls that the leaf got.
fn calls_in(harness: &mut Harness, millis: u64, notice: LeafNotice, first: u64) -> usize {
    let mut got = 0;
    for attempt in first..first + millis / 10 {
        harness.submit(&call(attempt));
        if harness.take_steps().contains("dispatch") {
            got += 1;
            answer(harness, attempt, notice);
            harness.take_steps();
        }
        harness.advance(10);
    }
    got
}

/// Has the leaf name a limit in its first answer.
fn with_limit(total: f64) -> Harness {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    answer(&mut harness, 1, limited(total));
    harness
}

#[test]
fn calls_beyond_the_limit_are_deferred() {
    let mut harness = with_limit(10.0);
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Limited { leaf: "a", total: 10.0, own: 10.0 }
    deliver 1: rows
    "#);
    // The fleet uses 0.9 of the limit; two permits are saved.
    let got = calls_in(&mut harness, 4_000, limited(10.0), 100);
    assert!((36..=38).contains(&got), "{got}");
    harness.submit(&call(2));
    harness.submit(&call(3));
    harness.submit(&call(4));
    assert_eq!(harness.take_steps().matches("Deferred").count(), 3);
}

#[test]
fn queued_calls_are_deferred_when_the_limit_is_named() {
    let mut harness = Harness::new();
    for attempt in 1..4 {
        harness.submit(&call(attempt));
    }
    insta::assert_snapshot!(harness.take_steps(), @r"
    dispatch 1 on a new connection
    dispatch 2 on a new connection
    ");
    answer(&mut harness, 1, limited(1.0));
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Limited { leaf: "a", total: 1.0, own: 1.0 }
    deliver 3: not run: Deferred
    deliver 1: rows
    "#);
}

#[test]
fn an_answer_without_a_limit_ends_it() {
    let mut harness = with_limit(1.0);
    harness.take_steps();
    harness.advance(1_000);
    harness.submit(&call(2));
    harness.take_steps();
    answer(&mut harness, 2, LeafNotice::default());
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Unlimited { leaf: "a" }
    deliver 2: rows
    "#);
}

// Answers overtake each other on different connections.
#[test]
fn an_answer_to_an_earlier_call_does_not_end_the_limit() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.submit(&call(2));
    harness.take_steps();
    answer(&mut harness, 1, limited(1.0));
    answer(&mut harness, 2, LeafNotice::default());
    assert!(!harness.take_steps().contains("Unlimited"));
}

#[test]
fn a_limit_ends_if_no_answer_confirms_it() {
    let mut harness = with_limit(1.0);
    harness.take_steps();
    harness.advance(20_001);
    harness.submit(&call(2));
    harness.submit(&call(3));
    assert_eq!(harness.take_steps().matches("dispatch").count(), 2);
}

#[test]
fn a_new_incarnation_inherits_no_limit() {
    let mut harness = Harness::new();
    list_incarnation(&mut harness, 1);
    harness.submit(&call(1));
    harness.take_steps();
    answer(&mut harness, 1, limited(1.0));
    harness.take_steps();
    list_incarnation(&mut harness, 2);
    harness.submit(&call(2));
    harness.submit(&call(3));
    assert_eq!(harness.take_steps().matches("dispatch").count(), 2);
}

#[test]
fn a_change_of_the_fleet_changes_the_share() {
    let mut harness = with_limit(10.0);
    harness.take_steps();
    let members = ["a", "b", "c", "d"].map(|name| guavacourse::modules::members::Member {
        name: name.to_owned(),
        ..Default::default()
    });
    harness.view.shares = Shares::new("a", &members, HashSet::default());
    harness.publish();
    let got = calls_in(&mut harness, 4_000, limited(10.0), 100);
    assert!((8..=10).contains(&got), "{got}");
}

#[test]
fn a_deferred_call_says_when_the_leaf_takes_the_next() {
    let mut harness = with_limit(1.0);
    harness.take_steps();
    harness.submit(&call(2));
    harness.take_steps();
    let opens = harness.retry_after.expect("deferred");
    assert!(opens <= Duration::from_millis(1_112));
    harness.now = Time(harness.now.0 + u64::try_from(opens.as_micros()).expect("short"));
    harness.submit(&call(3));
    assert!(harness.take_steps().starts_with("dispatch 3"));
}

/// Has a leaf of incarnation 5 say that it is leaving.
fn leaving() -> Harness {
    let mut harness = Harness::new();
    list_incarnation(&mut harness, 5);
    for attempt in 1..4 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    let notice = LeafNotice {
        leaving: true,
        ..LeafNotice::default()
    };
    answer(&mut harness, 1, notice);
    harness
}

#[test]
fn a_leaf_that_leaves_gets_no_new_call_and_ends_the_others() {
    let mut harness = leaving();
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Leaving { leaf: "a" }
    deliver 3: not run: Draining
    deliver 1: rows
    deliver 4: not run: Draining
    "#);
    harness.answer(2);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 2: rows
    close 2 kept to a
    ");
}

#[test]
fn a_leaf_that_leaves_stays_out_when_its_entry_returns() {
    let mut harness = leaving();
    harness.answer(2);
    harness.take_steps();
    let leaf = harness.remove_leaf("a");
    harness.admission.closed(LeafId::of("a"), harness.now);
    harness.admission.closed(LeafId::of("a"), harness.now);
    harness.add_leaf(leaf.clone());
    harness.submit(&call(4));
    assert_eq!(harness.take_steps(), "deliver 4: not run: Draining");
    list_incarnation(&mut harness, 6);
    harness.submit(&call(5));
    assert!(harness.take_steps().contains("dispatch 5"));
}

fn pausing(millis: u64) -> LeafNotice {
    LeafNotice {
        pause: Some(Duration::from_millis(millis)),
        ..LeafNotice::default()
    }
}

/// Refuses an attempt with a notice.
fn refuse(harness: &mut Harness, attempt: u64, notice: LeafNotice) {
    let key = harness.job_key(attempt);
    harness.admission.notice(key, notice, harness.now);
    harness.end(attempt, &refused(NotRun::Shed, 0, false));
}

/// Has a leaf turn a call away and ask for a pause of a second.
fn paused() -> Harness {
    let mut harness = Harness::new();
    for attempt in 1..4 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    refuse(&mut harness, 1, pausing(1_000));
    harness
}

#[test]
fn a_pause_defers_waiting_and_new_calls() {
    let mut harness = paused();
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Paused { leaf: "a", pause: 1s }
    deliver 3: not run: Deferred
    deliver 1: not run: Shed
    deliver 4: not run: Deferred
    "#);
    let left = harness.retry_after.expect("deferred");
    let bounds = Duration::from_secs(1)..=Duration::from_millis(1_100);
    assert!(bounds.contains(&left), "{left:?}");
}

#[test]
fn an_answer_to_an_earlier_call_does_not_end_a_pause() {
    let mut harness = paused();
    answer(&mut harness, 2, LeafNotice::default());
    harness.take_steps();
    harness.submit(&call(4));
    assert_eq!(harness.take_steps(), "deliver 4: not run: Deferred");
}

#[test]
fn one_call_at_a_time_goes_to_a_leaf_after_its_pause() {
    let mut harness = paused();
    harness.answer(2);
    harness.take_steps();
    harness.advance(1_101);
    for attempt in 4..7 {
        harness.submit(&call(attempt));
    }
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Resumed { leaf: "a" }
    dispatch 4 on a kept connection
    "#);
    answer(&mut harness, 4, LeafNotice::default());
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 4: rows
    dispatch 5 on a kept connection
    ");
}

#[test]
fn a_leaf_may_ask_for_another_pause() {
    let mut harness = paused();
    harness.answer(2);
    harness.take_steps();
    harness.advance(1_101);
    harness.submit(&call(4));
    harness.take_steps();
    refuse(&mut harness, 4, pausing(500));
    insta::assert_snapshot!(harness.take_steps(), @r#"
    note Paused { leaf: "a", pause: 500ms }
    deliver 4: not run: Shed
    "#);
    harness.advance(499);
    harness.submit(&call(5));
    assert_eq!(harness.take_steps(), "deliver 5: not run: Deferred");
}

#[test]
fn a_long_pause_is_capped() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    refuse(&mut harness, 1, pausing(86_400_000));
    harness.advance(10 * 60 * 1_000 + 251);
    harness.submit(&call(2));
    assert!(harness.take_steps().contains("dispatch 2"));
}

#[test]
fn a_new_incarnation_inherits_no_pause() {
    let mut harness = Harness::new();
    list_incarnation(&mut harness, 1);
    harness.submit(&call(1));
    harness.take_steps();
    refuse(&mut harness, 1, pausing(60_000));
    harness.take_steps();
    list_incarnation(&mut harness, 2);
    harness.submit(&call(2));
    assert!(harness.take_steps().contains("dispatch 2"));
}

// A call to a leaf that failed is hedged at once, and cancelled when the other leaf answers.
#[test]
fn a_cancelled_call_after_a_pause_still_learns_of_the_next() {
    let mut harness = paused();
    harness.answer(2);
    harness.take_steps();
    harness.advance(1_101);
    harness.submit(&call(4));
    harness.take_steps();
    harness
        .admission
        .cancel(SESSION, &[AttemptId(4)], harness.now);
    assert_eq!(harness.take_steps(), "");
    refuse(&mut harness, 4, pausing(500));
    insta::assert_snapshot!(harness.take_steps(), @r#"note Paused { leaf: "a", pause: 500ms }"#);
    harness.submit(&call(5));
    assert_eq!(harness.take_steps(), "deliver 5: not run: Deferred");
}

/// Lists leaf `a` as leaving; it may be called until `until`.
fn list_leaving(harness: &mut Harness, until: Time) {
    harness.set_state("a", LeafState::Leaving);
    harness.view.draining.insert(LeafId::of("a"), until);
    harness.view.drain_period = DrainPeriod::new(Duration::from_secs(1));
    harness.publish();
}

/// Returns what a leaf answers that reports the pace of its machine.
fn with_pace(leaving: bool) -> LeafNotice {
    LeafNotice {
        leaving,
        load: Some(LoadReport {
            running: 1,
            waiting: 0,
            slots: 2,
            pace: Some(100),
        }),
        ..LeafNotice::default()
    }
}

/// Guards against a shard without leaves while one that leaves still serves, and against
/// calls to it later than allowed.
#[test]
fn a_leaving_leaf_that_reports_its_pace_is_called_for_a_while() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    answer(&mut harness, 1, with_pace(false));
    let until = harness.now.after(Duration::from_secs(2));
    list_leaving(&mut harness, until);
    harness.submit(&call(2));
    assert!(harness.take_steps().contains("dispatch 2"));
    // Its own word allows 0.7 of the drain time from then on.
    harness.advance(100);
    answer(&mut harness, 2, with_pace(true));
    harness.take_steps();
    harness.advance(600);
    harness.submit(&call(3));
    assert!(harness.take_steps().contains("dispatch 3"));
    harness.answer(3);
    harness.advance(200);
    harness.take_steps();
    harness.submit(&call(4));
    assert!(harness.take_steps().contains("Draining"));
}

/// Guards against a change for leaves of which no load is known.
#[test]
fn a_leaving_leaf_without_a_pace_gets_no_calls() {
    let mut harness = Harness::new();
    let until = harness.now.after(Duration::from_secs(2));
    list_leaving(&mut harness, until);
    harness.submit(&call(1));
    assert!(harness.take_steps().contains("Draining"));
}

/// Guards against calls that crash a leaf which is still cold.
#[test]
fn a_cold_leaf_gets_its_rate_until_it_is_warm() {
    let mut harness = Harness::new();
    let cold = ColdLeaf {
        rate: 10.0,
        until: harness.now.after(Duration::from_secs(4)),
    };
    harness.view.cold.insert(LeafId::of("a"), cold);
    harness.publish();
    let got = calls_in(&mut harness, 4_000, LeafNotice::default(), 100);
    assert!((30..=38).contains(&got), "{got}");
    let got = calls_in(&mut harness, 1_000, LeafNotice::default(), 1_000);
    assert_eq!(got, 100);
}
