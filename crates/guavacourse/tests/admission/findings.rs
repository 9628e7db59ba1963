//! Reports of crashes under forwarded requests.

use guavacourse::modules::{admission::Ending, call::Unknown, catalog::LeafId, inventory::Policy};

use super::harness::{CallSpec, Harness, call, failed};

const CONTENT: u64 = 666;

/// Time for which calls with suspected content are held, in milliseconds.
const HOLD_MILLIS: u64 = 300;

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
    insta::assert_snapshot!(steps_after_delay(&mut harness), @r#"report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "a", born: 0 }, alone: false, trial: 0 })"#);
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
    report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "b", born: 0 }, alone: true, trial: 0 })
    deliver 2: unknown: Closed
    "#);
    // The fleet decides, and lifts its verdict; this process refuses nothing by itself.
    harness.view.quarantined.insert(CONTENT);
    harness.publish();
    harness.submit(&forwarded(3, "c"));
    assert_eq!(harness.take_steps(), "deliver 3: not run: Quarantined");
    harness.view.quarantined.clear();
    harness.publish();
    harness.submit(&forwarded(4, "c"));
    harness.advance(HOLD_MILLIS);
    harness.admission.tick(harness.now);
    assert_eq!(harness.take_steps(), "dispatch 4 on a new connection");
}

fn trial(attempt: u64, leaf: &'static str) -> CallSpec {
    CallSpec {
        alone: true,
        trial: 2,
        ..forwarded(attempt, leaf)
    }
}

/// Starts the second trial of quarantined content on leaf `a`.
fn with_quarantined_trial() -> Harness {
    let mut harness = Harness::new();
    harness.view.quarantined.insert(CONTENT);
    harness.publish();
    harness.submit(&trial(1, "a"));
    assert_eq!(harness.take_steps(), "dispatch 1 on a new connection");
    harness
}

#[test]
fn a_trial_of_quarantined_content_that_is_answered_clears_it() {
    let mut harness = with_quarantined_trial();
    harness.answer(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    report Completed(666)
    deliver 1: rows
    ");
}

// Guards against content that is never released because leaves answer it with a failure.
#[test]
fn a_trial_that_a_leaf_answers_with_a_failure_clears_the_content() {
    let mut harness = with_quarantined_trial();
    harness.end(1, &failed(404));
    insta::assert_snapshot!(harness.take_steps(), @r"
    report Completed(666)
    deliver 1: failed with 404
    ");
}

// Guards against trials that go on because the crash itself is not noticed.
#[test]
fn a_trial_of_quarantined_content_without_an_answer_is_reported_once() {
    for reason in [Unknown::Closed, Unknown::Timeout, Unknown::Malformed] {
        let mut harness = with_quarantined_trial();
        harness.end(1, &Ending::Lost(reason));
        let steps = harness.take_steps();
        insta::allow_duplicates! {
            insta::assert_snapshot!(reports(&steps), @r#"report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "a", born: 0 }, alone: true, trial: 2 })"#);
        }
        harness.fail_probe("a");
        assert_eq!(reports(&harness.take_steps()), "");
        assert_eq!(reports(&steps_after_delay(&mut harness)), "");
    }
}

#[test]
fn a_trial_that_did_not_run_tells_nothing() {
    let mut harness = with_quarantined_trial();
    harness.end(1, &Ending::Unreachable);
    assert_eq!(harness.take_steps(), "deliver 1: not run: Unreachable");
}

/// Returns the lines of steps that report something.
fn reports(steps: &str) -> String {
    let lines = steps.lines().filter(|line| line.starts_with("report"));
    lines.collect::<Vec<_>>().join("\n")
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
    insta::assert_snapshot!(steps_after_delay(&mut harness), @r#"report Crashed(CrashReport { content: 666, leaf: CrashedLeaf { name: "a", born: 0 }, alone: false, trial: 0 })"#);
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

// Guards against a call that is lost as it starts, so that its leaf and all calls with its
// content wait for it without end.
#[test]
fn calls_that_wait_for_a_trial_on_one_leaf_run_one_after_the_other() {
    let mut harness = with_trial();
    harness.submit(&forwarded(3, "c"));
    harness.submit(&forwarded(4, "c"));
    harness.advance(HOLD_MILLIS + 1);
    harness.admission.tick(harness.now);
    assert_eq!(harness.take_steps(), "");
    harness.end(2, &Ending::Unreachable);
    let mut delivered = Vec::new();
    for _ in 0..2 {
        assert_eq!(harness.take_steps().matches("dispatch").count(), 1);
        let attempt = if harness.is_dispatched(3) { 3 } else { 4 };
        harness.answer(attempt);
        delivered.push(attempt);
    }
    delivered.sort_unstable();
    assert_eq!(delivered, [3, 4]);
}
