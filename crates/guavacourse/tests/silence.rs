//! Detection of relays that no longer answer.

use std::time::Duration;

use guavacourse::modules::{
    silence::{Owed, Sign, Silence},
    time::Time,
};

const STEP: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Time {
    Time(millis * 1000)
}

/// Runs each check when it is due, until `end` (in milliseconds) or until the relay
/// is lost or must be pinged. Returns the results other than [`Sign::Fine`], with
/// their times in milliseconds.
fn run_checks(silence: &mut Silence, received: u64, owed: Owed, end: u64) -> Vec<(u64, Sign)> {
    let mut results = Vec::new();
    let mut now = Time::default();
    while now < at(end) {
        now = now.after(STEP);
        if now < silence.wake(owed) {
            continue;
        }
        let result = silence.look(received, owed, now);
        if result != Sign::Fine {
            results.push((now.0 / 1000, result));
        }
        if matches!(result, Sign::Lost | Sign::Ping) {
            break;
        }
    }
    results
}

#[test]
fn a_relay_that_does_not_acknowledge_is_suspected_then_lost() {
    let mut silence = Silence::new(STEP, at(0));
    let results = run_checks(&mut silence, 0, Owed::Acknowledgement, 5_000);
    assert_eq!(results, [(200, Sign::Suspect), (1_000, Sign::Lost)]);
}

#[test]
fn a_distant_relay_gets_a_longer_timeout() {
    let mut silence = Silence::new(Duration::from_millis(100), at(0));
    let results = run_checks(&mut silence, 0, Owed::Acknowledgement, 600);
    assert_eq!(results, [(400, Sign::Suspect)]);
}

#[test]
fn a_relay_whose_leaves_are_slow_is_pinged_only() {
    let mut silence = Silence::new(STEP, at(0));
    let results = run_checks(&mut silence, 0, Owed::Results, 5_000);
    assert_eq!(results, [(200, Sign::Ping)]);
}

#[test]
fn an_idle_session_ends_after_a_minute() {
    let mut silence = Silence::new(STEP, at(0));
    let results = run_checks(&mut silence, 0, Owed::Nothing, 60_000);
    assert_eq!(results, [(60_000, Sign::Idle)]);
}

#[test]
fn a_relay_that_answers_again_gets_a_longer_timeout() {
    let mut silence = Silence::new(STEP, at(0));
    let owed = Owed::Acknowledgement;
    assert_eq!(silence.look(0, owed, at(200)), Sign::Suspect);
    assert_eq!(silence.look(1, owed, at(250)), Sign::Back);
    silence.ask(1, at(300));
    assert_eq!(silence.look(1, owed, at(799)), Sign::Fine);
    assert_eq!(silence.look(1, owed, at(800)), Sign::Suspect);
}

#[test]
fn any_received_bytes_prove_that_a_relay_is_alive() {
    let mut silence = Silence::new(STEP, at(0));
    for (received, now) in (1..20).zip((200..).step_by(200)) {
        let result = silence.look(received, Owed::Acknowledgement, at(now));
        assert_eq!(result, Sign::Fine);
    }
}

#[test]
fn a_stalled_process_suspects_no_relay() {
    let mut silence = Silence::new(STEP, at(0));
    let owed = Owed::Acknowledgement;
    assert_eq!(silence.look(0, owed, at(3_000)), Sign::Fine);
    assert_eq!(silence.look(9, owed, at(3_200)), Sign::Fine);
}
