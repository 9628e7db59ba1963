//! Ejection of leaves that fail, and their recovery.

use guavacourse::modules::{
    admission::Ending,
    call::{NotRun, Unknown},
};

use super::harness::{CallSpec, Harness, LEAF_NAMES, answered, call, refused};

/// Fails three calls on a leaf, from attempt `first` on.
fn fail(harness: &mut Harness, leaf: &'static str, first: u64) {
    for attempt in first..first + 3 {
        harness.submit(&CallSpec {
            leaf,
            ..call(attempt)
        });
        harness.take_steps();
        harness.end(attempt, &Ending::Lost(Unknown::Malformed));
    }
    harness.take_steps();
}

#[test]
fn a_failing_leaf_gets_one_call_at_a_time() {
    let mut harness = Harness::new();
    fail(&mut harness, "a", 1);
    for attempt in 10..=12 {
        harness.submit(&call(attempt));
    }
    insta::assert_snapshot!(harness.take_steps(), @r"
    dispatch 10 on a new connection
    deliver 11: not run: Ejected
    deliver 12: not run: Ejected
    ");
}

#[test]
fn the_limit_rises_slowly_after_an_ejection() {
    let mut harness = Harness::with_policy(guavacourse::modules::inventory::Policy::Adaptive, 4, 8);
    fail(&mut harness, "a", 1);
    let mut running = Vec::new();
    for round in 0..12 {
        harness.submit(&call(100 + round));
        harness.take_steps();
        harness.answer(100 + round);
        let first = 1_000 + round * 10;
        for attempt in first..first + 6 {
            harness.submit(&call(attempt));
        }
        let started = harness.take_steps().matches("dispatch").count();
        running.push(started);
        harness
            .admission
            .close(super::harness::SESSION, harness.now);
        for attempt in first..first + started as u64 {
            harness
                .admission
                .abandoned(harness.job_key(attempt), harness.now);
        }
        harness.take_steps();
    }
    insta::assert_debug_snapshot!(running, @r"
    [
        1,
        1,
        1,
        2,
        2,
        2,
        2,
        3,
        3,
        3,
        4,
        4,
    ]
    ");
}

#[test]
fn at_most_a_third_of_a_service_is_ejected() {
    let mut harness = Harness::new();
    for (i, leaf) in (0..).zip(LEAF_NAMES) {
        fail(&mut harness, leaf, 100 * i);
    }
    let mut refused = Vec::new();
    for (i, leaf) in (0..).zip(LEAF_NAMES) {
        for attempt in [10_000 + 2 * i, 10_001 + 2 * i] {
            harness.submit(&CallSpec {
                leaf,
                ..call(attempt)
            });
        }
        refused.push(harness.take_steps().matches("Ejected").count());
    }
    assert_eq!(refused, [1, 1, 0, 0, 0, 0]);
}

#[test]
fn an_unreachable_leaf_is_tried_again_after_a_pause() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.submit(&call(2));
    harness.submit(&call(3));
    harness.take_steps();
    harness.end(1, &Ending::Unreachable);
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 3: not run: Ejected
    deliver 1: not run: Unreachable
    deliver 4: not run: Ejected
    ");
    harness.end(2, &Ending::Unreachable);
    harness.advance(200);
    harness.submit(&call(5));
    harness.submit(&call(6));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 2: not run: Unreachable
    dispatch 5 on a new connection
    deliver 6: not run: Ejected
    ");
}

#[test]
fn a_new_incarnation_starts_slowly() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    harness.answer(1);
    harness.submit(&call(2));
    harness.take_steps();
    harness.end(2, &answered(2, false));
    harness.submit(&call(3));
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 2: rows
    dispatch 3 on a kept connection
    ");
}

#[test]
fn a_reply_without_an_incarnation_is_no_restart() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    harness.answer(1);
    harness.submit(&call(2));
    harness.take_steps();
    harness.end(2, &answered(0, false));
    harness.submit(&call(3));
    harness.submit(&call(4));
    assert_eq!(harness.take_steps().matches("dispatch").count(), 2);
}

#[test]
fn timeouts_near_the_expected_time_do_not_eject() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    harness.advance(10);
    harness.answer(1);
    for attempt in 2..=6 {
        harness.submit(&call(attempt));
        harness.take_steps();
        harness.advance(15);
        harness.end(attempt, &Ending::Lost(Unknown::Timeout));
    }
    harness.take_steps();
    harness.submit(&call(7));
    harness.submit(&call(8));
    assert_eq!(harness.take_steps().matches("dispatch").count(), 2);
}

#[test]
fn a_refusal_is_no_failure() {
    let mut harness = Harness::new();
    for attempt in 1..=5 {
        harness.submit(&call(attempt));
        harness.take_steps();
        harness.end(attempt, &refused(NotRun::Expired, 1, false));
    }
    harness.take_steps();
    assert_eq!(harness.admission.counts().ejected, 0);
}
