//! Detection of relays that no longer answer.

use std::time::Duration;

use guavacourse::modules::{
    liveness::{LivenessAction, LivenessMonitor, Owed},
    time::Time,
};

const STEP: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Time {
    Time(millis * 1000)
}

/// Runs each check when it is due, until `end` (in milliseconds) or until the relay
/// is lost or must be pinged. Returns the results other than [`LivenessAction::NoAction`], with
/// their times in milliseconds.
fn run_checks(
    monitor: &mut LivenessMonitor,
    received: u64,
    owed: Owed,
    end: u64,
) -> Vec<(u64, LivenessAction)> {
    let mut results = Vec::new();
    let mut now = Time::default();
    while now < at(end) {
        now = now.after(STEP);
        if now < monitor.next_check(owed) {
            continue;
        }
        let result = monitor.check(received, owed, now);
        if result != LivenessAction::NoAction {
            results.push((now.0 / 1000, result));
        }
        if matches!(result, LivenessAction::Lost | LivenessAction::Ping) {
            break;
        }
    }
    results
}

#[test]
fn a_relay_that_does_not_acknowledge_is_suspected_then_lost() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    let results = run_checks(&mut monitor, 0, Owed::Acknowledgement, 5_000);
    assert_eq!(
        results,
        [
            (200, LivenessAction::Suspect),
            (1_000, LivenessAction::Lost)
        ]
    );
}

#[test]
fn a_distant_relay_gets_a_longer_timeout() {
    let mut monitor = LivenessMonitor::new(Duration::from_millis(100), at(0));
    let results = run_checks(&mut monitor, 0, Owed::Acknowledgement, 600);
    assert_eq!(results, [(400, LivenessAction::Suspect)]);
}

#[test]
fn a_relay_whose_leaves_are_slow_is_pinged_only() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    let results = run_checks(&mut monitor, 0, Owed::Results, 5_000);
    assert_eq!(results, [(200, LivenessAction::Ping)]);
}

#[test]
fn an_idle_session_ends_after_a_minute() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    let results = run_checks(&mut monitor, 0, Owed::Nothing, 60_000);
    assert_eq!(results, [(60_000, LivenessAction::Idle)]);
}

#[test]
fn a_relay_that_answers_again_gets_a_longer_timeout() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    let owed = Owed::Acknowledgement;
    assert_eq!(monitor.check(0, owed, at(200)), LivenessAction::Suspect);
    assert_eq!(monitor.check(1, owed, at(250)), LivenessAction::Recovered);
    monitor.restart_timeout(1, at(300));
    assert_eq!(monitor.check(1, owed, at(799)), LivenessAction::NoAction);
    assert_eq!(monitor.check(1, owed, at(800)), LivenessAction::Suspect);
}

#[test]
fn any_received_bytes_prove_that_a_relay_is_alive() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    for (received, now) in (1..20).zip((200..).step_by(200)) {
        let result = monitor.check(received, Owed::Acknowledgement, at(now));
        assert_eq!(result, LivenessAction::NoAction);
    }
}

#[test]
fn a_stalled_process_suspects_no_relay() {
    let mut monitor = LivenessMonitor::new(STEP, at(0));
    let owed = Owed::Acknowledgement;
    assert_eq!(monitor.check(0, owed, at(3_000)), LivenessAction::NoAction);
    assert_eq!(monitor.check(9, owed, at(3_200)), LivenessAction::NoAction);
}
