//! The request whose content crashes its leaf.

use super::bench::{Ask, Bench, answered, ask};

const POISON: u64 = 666;
const INNOCENT: u64 = 1;

fn call(attempt: u64, leaf: &'static str, content: u64) -> Ask {
    Ask {
        leaf,
        content,
        ..ask(attempt)
    }
}

fn alone(attempt: u64, leaf: &'static str, content: u64) -> Ask {
    Ask {
        alone: true,
        extra: true,
        ..call(attempt, leaf, content)
    }
}

/// Crashes leaf `a` with the poison and an innocent call in flight.
fn crashed() -> Bench {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", POISON));
    bench.submit(&call(2, "a", INNOCENT));
    bench.steps();
    bench.cut(1);
    bench.cut(2);
    bench.dead("a");
    bench
}

#[test]
fn it_is_tried_once_more_and_alone_then_refused() {
    let mut bench = crashed();
    insta::assert_snapshot!(bench.steps(), @r"
    probe a
    deliver 1: unknown: Closed
    probe a
    deliver 2: unknown: Closed
    ");
    bench.submit(&alone(3, "b", POISON));
    bench.submit(&call(4, "b", 4));
    insta::assert_snapshot!(bench.steps(), @"dispatch 3 on a new connection");
    bench.cut(3);
    bench.dead("b");
    insta::assert_snapshot!(bench.steps(), @r"
    probe b
    dispatch 4 on a new connection
    quarantine 666, then deliver 3: unknown: Closed
    ");
    bench.submit(&call(5, "c", POISON));
    bench.submit(&alone(6, "c", POISON));
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 5: not run: Quarantined
    deliver 6: not run: Quarantined
    ");
}

#[test]
fn the_innocent_call_is_cleared() {
    let mut bench = crashed();
    bench.submit(&alone(3, "b", INNOCENT));
    bench.steps();
    bench.answer(3);
    bench.submit(&call(4, "c", INNOCENT));
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 3: rows
    dispatch 4 on a new connection
    ");
}

#[test]
fn it_runs_with_nothing_else_on_its_leaf() {
    let mut bench = crashed();
    bench.submit(&call(3, "b", 3));
    bench.submit(&alone(4, "b", POISON));
    bench.submit(&call(5, "b", 5));
    bench.steps();
    bench.answer(3);
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 3: rows
    dispatch 4 on a new connection
    ");
    bench.answer(4);
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 4: rows
    dispatch 5 on a kept connection
    ");
}

#[test]
fn two_trials_of_one_content_never_overlap() {
    let mut bench = crashed();
    bench.submit(&alone(3, "b", POISON));
    bench.submit(&alone(4, "c", POISON));
    insta::assert_snapshot!(bench.steps(), @r"
    probe a
    deliver 1: unknown: Closed
    probe a
    deliver 2: unknown: Closed
    dispatch 3 on a new connection
    ");
    bench.cut(3);
    insta::assert_snapshot!(bench.steps(), @r"
    probe b
    deliver 4: not run: Quarantined
    ");
}

#[test]
fn a_cut_trial_is_not_followed_by_another() {
    let mut bench = crashed();
    bench.submit(&alone(3, "b", POISON));
    bench.steps();
    bench.cut(3);
    bench.submit(&alone(4, "c", POISON));
    insta::assert_snapshot!(bench.steps(), @r"
    probe b
    deliver 4: not run: Quarantined
    ");
}

#[test]
fn a_resend_waits_for_the_verdict() {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", POISON));
    bench.steps();
    bench.cut(1);
    bench.submit(&call(2, "b", POISON));
    bench.submit(&call(3, "b", 3));
    insta::assert_snapshot!(bench.steps(), @r"
    probe a
    deliver 1: unknown: Closed
    dispatch 3 on a new connection
    ");
    bench.wait(200);
    bench.core.tick(bench.now);
    assert_eq!(bench.steps(), "");
    bench.answer(3);
    bench.wait(200);
    bench.core.tick(bench.now);
    bench.submit(&call(4, "b", 4));
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 3: rows
    dispatch 2 on a new connection
    ");
}

#[test]
fn a_resend_runs_at_once_when_its_content_is_cleared() {
    let mut bench = crashed();
    bench.submit(&call(3, "b", INNOCENT));
    bench.submit(&call(4, "b", INNOCENT));
    bench.steps();
    bench.core.clear(&[INNOCENT], bench.now);
    insta::assert_snapshot!(bench.steps(), @r"
    dispatch 4 on a new connection
    dispatch 3 on a new connection
    ");
}

#[test]
fn a_resend_is_refused_when_its_content_is_quarantined() {
    let mut bench = crashed();
    bench.submit(&call(3, "b", POISON));
    bench.submit(&alone(4, "c", POISON));
    bench.steps();
    bench.cut(4);
    insta::assert_snapshot!(bench.steps(), @r"
    probe c
    deliver 3: not run: Quarantined
    ");
}

#[test]
fn a_queued_call_waits_once_its_content_is_suspected() {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", POISON));
    for attempt in 2..=4 {
        bench.submit(&call(attempt, "b", if attempt == 4 { POISON } else { 2 }));
    }
    bench.steps();
    bench.cut(1);
    bench.answer(2);
    bench.answer(3);
    insta::assert_snapshot!(bench.steps(), @r"
    probe a
    deliver 1: unknown: Closed
    deliver 2: rows
    deliver 3: rows
    ");
}

#[test]
fn a_closed_connection_to_a_live_leaf_blames_nobody() {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", INNOCENT));
    bench.steps();
    bench.cut(1);
    bench.submit(&call(2, "a", 2));
    bench.steps();
    bench.answer(2);
    bench.submit(&call(3, "b", INNOCENT));
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 2: rows
    dispatch 3 on a new connection
    ");
}

#[test]
fn a_quick_restart_is_known_by_the_incarnation() {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", 9));
    bench.steps();
    bench.answer(1);
    bench.submit(&alone(2, "a", POISON));
    bench.steps();
    bench.cut(2);
    bench.submit(&call(3, "a", 3));
    bench.steps();
    bench.end(3, &answered(2, false));
    insta::assert_snapshot!(bench.steps(), @r"
    quarantine 666, then deliver 2: unknown: Closed
    deliver 3: rows
    ");
}

#[test]
fn a_trial_runs_to_its_end_though_withdrawn() {
    let mut bench = crashed();
    bench.submit(&alone(3, "b", POISON));
    bench.steps();
    bench.core.close(super::bench::SESSION, bench.now);
    assert_eq!(bench.steps(), "");
    bench.cut(3);
    bench.dead("b");
    insta::assert_snapshot!(bench.steps(), @r"
    probe b
    quarantine 666, then nothing
    ");
}

#[test]
fn the_word_of_peers_counts() {
    let mut bench = Bench::new();
    bench.submit(&call(1, "a", 9));
    bench.submit(&call(2, "a", 9));
    bench.submit(&call(3, "a", POISON));
    bench.steps();
    bench.view.quarantined.insert(POISON);
    bench.publish();
    bench.submit(&call(4, "b", POISON));
    bench.answer(1);
    insta::assert_snapshot!(bench.steps(), @r"
    deliver 3: not run: Quarantined
    deliver 4: not run: Quarantined
    deliver 1: rows
    ");
}

// trouble-1 of lclra-roster: replies that leaves lost held every retry for
// 300 ms, or refused it.
#[test]
fn a_forwarded_call_whose_reply_was_lost_is_repeated_at_once() {
    let forwarded = |attempt, leaf| Ask {
        forwarded: true,
        extra: attempt > 1,
        ..call(attempt, leaf, INNOCENT)
    };
    let mut bench = Bench::new();
    bench.submit(&forwarded(1, "a"));
    bench.steps();
    bench.cut(1);
    bench.submit(&forwarded(2, "b"));
    bench.steps();
    bench.cut(2);
    bench.submit(&forwarded(3, "c"));
    insta::assert_snapshot!(bench.steps(), @r"
    probe b
    deliver 2: unknown: Closed
    dispatch 3 on a new connection
    ");
}

#[test]
fn a_forwarded_call_that_was_under_way_at_a_crash_is_a_suspect() {
    let forwarded = |attempt, leaf| Ask {
        forwarded: true,
        ..call(attempt, leaf, POISON)
    };
    let mut bench = Bench::new();
    bench.submit(&forwarded(1, "a"));
    bench.steps();
    bench.cut(1);
    bench.dead("a");
    bench.steps();
    bench.submit(&forwarded(2, "b"));
    insta::assert_snapshot!(bench.steps(), @"");
}
