//! Reports of crashes under forwarded requests.

use guavacourse::modules::{catalog::LeafId, inventory::Policy};

use super::harness::{CallSpec, Harness, call};

const CONTENT: u64 = 666;

/// Time from a crash to its report, in milliseconds.
const REPORT_DELAY: u64 = 500;

fn forwarded(attempt: u64, leaf: &'static str) -> CallSpec {
    CallSpec {
        leaf,
        content: CONTENT,
        forwarded: true,
        ..call(attempt)
    }
}

/// Crashes a leaf under a forwarded call.
fn crash(harness: &mut Harness, attempt: u64, leaf: &'static str) {
    harness.submit(&forwarded(attempt, leaf));
    harness.take_steps();
    harness.drop_connection(attempt);
    harness.fail_probe(leaf);
    harness.take_steps();
}

/// Crashes leaf `a` under a call, and starts attempt 2 of it alone on leaf `b`.
fn with_trial() -> Harness {
    let mut harness = Harness::new();
    crash(&mut harness, 1, "a");
    harness.submit(&CallSpec {
        alone: true,
        ..forwarded(2, "b")
    });
    harness.take_steps();
    harness
}

/// Returns the steps after the time in which content may prove harmless.
fn steps_after_delay(harness: &mut Harness) -> String {
    harness.advance(REPORT_DELAY);
    harness.admission.tick(harness.now);
    harness.take_steps()
}

#[test]
fn a_crash_is_reported_unless_the_content_completes() {
    let mut harness = Harness::new();
    crash(&mut harness, 1, "a");
    assert_eq!(
        harness.admission.next_tick(),
        Some(
            harness
                .now
                .after(std::time::Duration::from_millis(REPORT_DELAY))
        )
    );
    insta::assert_snapshot!(steps_after_delay(&mut harness), @r#"report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "a", born: 0 }, alone: false })"#);
    assert_eq!(steps_after_delay(&mut harness), "");
}

#[test]
fn content_that_another_leaf_runs_is_not_reported() {
    let mut harness = with_trial();
    harness.answer(2);
    harness.take_steps();
    assert_eq!(steps_after_delay(&mut harness), "");
}

#[test]
fn a_trial_that_crashes_its_leaf_is_reported_at_once() {
    let mut harness = with_trial();
    harness.drop_connection(2);
    harness.fail_probe("b");
    insta::assert_snapshot!(harness.take_steps(), @r#"
    probe b
    report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "b", born: 0 }, alone: true })
    quarantine 666, then deliver 2: unknown: Closed
    "#);
}

#[test]
fn a_completed_content_that_the_fleet_suspects_is_reported_once() {
    let mut harness = Harness::new();
    harness.view.suspected.insert(CONTENT);
    harness.publish();
    harness.submit(&forwarded(1, "a"));
    harness.submit(&forwarded(2, "a"));
    harness.take_steps();
    harness.answer(1);
    harness.answer(2);
    insta::assert_snapshot!(harness.take_steps(), @r"
    report Completed(666)
    deliver 1: rows
    deliver 2: rows
    ");
}

#[test]
fn content_that_completed_before_the_crash_is_reported() {
    let mut harness = Harness::new();
    harness.submit(&forwarded(1, "a"));
    harness.take_steps();
    harness.answer(1);
    crash(&mut harness, 2, "a");
    insta::assert_snapshot!(steps_after_delay(&mut harness), @r#"report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "a", born: 0 }, alone: false })"#);
}

// A process of a large fleet may open a single connection to a leaf.
#[test]
fn a_crash_is_noticed_with_a_single_connection() {
    let mut harness = Harness::with_policy(Policy::Adaptive, 1, 1);
    harness.submit(&forwarded(1, "a"));
    harness.take_steps();
    harness.drop_connection(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    probe a
    deliver 1: unknown: Closed
    ");
    assert_eq!(harness.admission.connections(LeafId::of("a")), [0, 0, 1]);
    harness.fail_probe("a");
    assert_eq!(harness.admission.connections(LeafId::of("a")), [0, 0, 0]);
    assert_eq!(harness.admission.counts().crashed, 1);
}
