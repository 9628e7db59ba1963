//! Draining of leaves, and of the relay itself.

use guavacourse::modules::{call::NotRun, catalog::LeafId, inventory::LeafState};

use super::harness::{Harness, answered, call, refused};

/// Makes leaf `a`, in incarnation 7, report that it is draining; the instance list
/// still has incarnation 6.
fn draining() -> Harness {
    let mut harness = Harness::new();
    harness.view.incarnations.insert(LeafId::of("a"), 6);
    harness.publish();
    harness.submit(&call(1));
    harness.submit(&call(2));
    harness.submit(&call(3));
    harness.take_steps();
    harness.end(1, &answered(7, true));
    harness
}

#[test]
fn a_reported_drain_stops_new_calls_at_once() {
    let mut harness = draining();
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 3: not run: Draining
    deliver 1: rows
    ");
    harness.submit(&call(4));
    harness.end(2, &answered(7, true));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 4: not run: Draining
    deliver 2: rows
    close 2 kept to a
    ");
}

#[test]
fn a_draining_refusal_stops_new_calls() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    harness.end(1, &refused(NotRun::Draining, 7, true));
    harness.submit(&call(2));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: not run: Draining
    close 1 kept to a
    deliver 2: not run: Draining
    ");
}

#[test]
fn a_lagging_list_does_not_end_a_reported_drain() {
    let mut harness = draining();
    harness.take_steps();
    for listed in [6, 7] {
        harness.view.incarnations.insert(LeafId::of("a"), listed);
        harness.publish();
        harness.submit(&call(10 + listed));
    }
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 16: not run: Draining
    deliver 17: not run: Draining
    ");
}

#[test]
fn another_reply_does_not_end_a_reported_drain() {
    let mut harness = draining();
    harness.end(2, &answered(7, false));
    harness.take_steps();
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @"deliver 4: not run: Draining");
}

#[test]
fn a_new_incarnation_ends_the_drain_and_starts_slowly() {
    let mut harness = draining();
    harness.take_steps();
    harness.end(2, &answered(7, true));
    harness.view.incarnations.insert(LeafId::of("a"), 8);
    harness.publish();
    harness.take_steps();
    harness.submit(&call(4));
    harness.submit(&call(5));
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 4 on a new connection");
}

#[test]
fn a_late_drain_report_of_an_earlier_incarnation_is_ignored() {
    let mut harness = draining();
    harness.view.incarnations.insert(LeafId::of("a"), 8);
    harness.publish();
    harness.end(2, &answered(7, true));
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 3: not run: Draining
    deliver 1: rows
    deliver 2: rows
    dispatch 4 on a kept connection
    ");
}

#[test]
fn the_instance_list_and_the_operators_stop_new_calls() {
    let mut harness = Harness::new();
    for attempt in 1..=3 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    harness.view.leaving.insert(LeafId::of("a"));
    harness.publish();
    harness.submit(&call(4));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 3: not run: Draining
    deliver 4: not run: Draining
    ");
    harness.view.leaving.clear();
    harness.set_state("a", LeafState::Leaving);
    harness.submit(&call(5));
    insta::assert_snapshot!(harness.take_steps(), @"deliver 5: not run: Draining");
    harness.set_state("a", LeafState::Serving);
    harness.answer(1);
    harness.submit(&call(6));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    dispatch 6 on a kept connection
    ");
}

#[test]
fn a_leaving_relay_finishes_its_pending_calls() {
    let mut harness = Harness::new();
    for attempt in 1..=3 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    harness.admission.leave();
    harness.submit(&call(4));
    harness.answer(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 4: not run: Leaving
    deliver 1: rows
    dispatch 3 on a kept connection
    ");
    harness.answer(2);
    harness.take_steps();
    harness.answer(3);
    assert_eq!(harness.admission.pending(), 0);
}
