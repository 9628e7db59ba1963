//! Canary calls, whose content no leaf is known to have run, and their duplicates.

use guavacourse::modules::call::NotRun;

use super::harness::{CallSpec, Harness, SESSION, call, refused};

const CONTENT: u64 = 666;

/// Returns a call whose content no leaf is known to have run.
fn canary(attempt: u64, leaf: &'static str) -> CallSpec {
    CallSpec {
        leaf,
        canary: true,
        content: CONTENT,
        ..call(attempt)
    }
}

/// Submits three calls with the same content to leaf `a`; the first runs as the
/// canary.
fn submit_duplicates() -> Harness {
    let mut harness = Harness::new();
    for attempt in 1..=3 {
        harness.submit(&canary(attempt, "a"));
    }
    assert_eq!(harness.take_steps(), "dispatch 1 on a new connection");
    harness
}

#[test]
fn duplicates_run_once_the_canary_has_succeeded() {
    let mut harness = submit_duplicates();
    harness.answer(1);
    harness.submit(&canary(4, "b"));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    dispatch 2 on a kept connection
    dispatch 3 on a new connection
    dispatch 4 on a new connection
    ");
}

#[test]
fn duplicates_are_refused_once_the_canary_lost_its_connection() {
    let mut harness = submit_duplicates();
    harness.drop_connection(1);
    harness.submit(&canary(4, "b"));
    insta::assert_snapshot!(harness.take_steps(), @r"
    probe a
    deliver 1: unknown: Closed
    deliver 2: not run: Suspected
    deliver 3: not run: Suspected
    deliver 4: not run: Suspected
    ");
}

#[test]
fn a_duplicate_becomes_the_canary_if_the_first_did_not_run() {
    let mut harness = submit_duplicates();
    harness.end(1, &refused(NotRun::Shed, 1, false));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: not run: Shed
    dispatch 2 on a kept connection
    ");
}

#[test]
fn a_cancelled_canary_runs_to_its_end() {
    let mut harness = submit_duplicates();
    harness.admission.close(SESSION, harness.now);
    assert_eq!(harness.take_steps(), "");
    harness.submit(&canary(4, "a"));
    harness.drop_connection(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    probe a
    deliver 4: not run: Suspected
    ");
}

#[test]
fn a_duplicate_is_refused_at_its_deadline() {
    let mut harness = submit_duplicates();
    harness.advance(1_000);
    harness.admission.tick(harness.now);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 2: not run: Expired
    deliver 3: not run: Expired
    expire 1
    ");
}

#[test]
fn other_content_does_not_wait() {
    let mut harness = submit_duplicates();
    harness.submit(&CallSpec {
        content: 1,
        ..canary(4, "a")
    });
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 4 on a new connection");
}
