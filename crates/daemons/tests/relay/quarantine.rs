//! Tests of the quarantine of content that crashes leaves, across several relays.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::call::{NotRun, Outcome, Part, Unknown};
use guavacourse_standins::LeafFaults;

use super::harness::{Harness, describe, part};

const POISON_FINGERPRINT: u64 = 666;

/// Starts leaves that crash on a body with the crash marker and refuse connections
/// for 200 ms afterwards.
fn start_with_crash_marker(millis: u64) -> Harness {
    let harness = Harness::start(millis);
    harness.fleet.set_faults(&LeafFaults {
        crash_marker: "poison".to_owned(),
        restart: Duration::from_millis(200),
        ..LeafFaults::default()
    });
    harness
}

fn poison_part(attempt: u64, leaf: &str) -> Part {
    Part {
        body: Arc::from(&b"poison"[..]),
        fingerprint: POISON_FINGERPRINT,
        ..part(attempt, &[leaf])
    }
}

fn alone(part: Part) -> Part {
    Part {
        alone: true,
        ..part
    }
}

fn crashes(harness: &Harness) -> u64 {
    harness.fleet.work().crashes
}

#[test]
fn poison_crashes_at_most_two_leaves_through_two_relays() {
    let mut harness = start_with_crash_marker(1);
    harness.add_relay();
    let first = harness.select_relay(0).run(poison_part(1, "a")).remove(0);
    assert_eq!(first, Outcome::Unknown(Unknown::Closed));
    // The caller repeats the request through the same relay before the content is
    // quarantined.
    harness.submit(poison_part(2, "b"));
    // The entry retries the first call alone, through another relay.
    let tried = harness
        .select_relay(1)
        .run(alone(poison_part(1, "b")))
        .remove(0);
    assert_eq!(tried, Outcome::Unknown(Unknown::Closed));
    assert_eq!(harness.announced(), [POISON_FINGERPRINT]);
    assert_eq!(*harness.quarantined.lock().unwrap(), [POISON_FINGERPRINT]);
    // The control threads pass the quarantine on to the first relay.
    harness.publish(|view| view.quarantined.extend([POISON_FINGERPRINT]));
    let resent = harness.select_relay(0).replies(1).remove(0);
    assert_eq!(resent.outcome, Outcome::NotRun(NotRun::Quarantined));
    std::thread::sleep(Duration::from_millis(400));
    for relay in 0..2 {
        for (attempt, leaf) in [(10, "a"), (11, "b"), (12, "c")] {
            let outcome = harness
                .select_relay(relay)
                .run(poison_part(attempt, leaf))
                .remove(0);
            assert_eq!(outcome, Outcome::NotRun(NotRun::Quarantined));
            let outcome = harness
                .run(alone(poison_part(attempt + 10, leaf)))
                .remove(0);
            assert_eq!(outcome, Outcome::NotRun(NotRun::Quarantined));
        }
    }
    assert_eq!(crashes(&harness), 2);
}

#[test]
fn innocent_calls_on_the_crashed_leaf_are_answered() {
    let harness = start_with_crash_marker(100);
    harness.submit(part(1, &["a"]));
    while harness.leaf("a").running() == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    harness.submit(poison_part(2, "a"));
    let outcomes: Vec<Outcome> = harness.replies(2).into_iter().map(|r| r.outcome).collect();
    assert_eq!(
        outcomes,
        [
            Outcome::Unknown(Unknown::Closed),
            Outcome::Unknown(Unknown::Closed)
        ]
    );
    harness.submit(alone(part(1, &["b"])));
    harness.submit(alone(poison_part(2, "b")));
    let outcomes: Vec<String> = harness
        .replies(2)
        .iter()
        .map(|r| describe(&r.outcome))
        .collect();
    assert_eq!(outcomes, ["rows 0..65536", "unknown: Closed"]);
    assert_eq!(harness.announced(), [POISON_FINGERPRINT]);
    let again = harness.run(part(1, &["c"])).remove(0);
    assert_eq!(describe(&again), "rows 0..65536");
    assert_eq!(*harness.quarantined.lock().unwrap(), [POISON_FINGERPRINT]);
    assert_eq!(crashes(&harness), 2);
}

#[test]
fn detects_the_crash_of_a_leaf_that_restarts_at_once() {
    let harness = start_with_crash_marker(1);
    harness.fleet.set_faults(&LeafFaults {
        crash_marker: "poison".to_owned(),
        restart: Duration::ZERO,
        ..LeafFaults::default()
    });
    harness.run(part(1, &["a", "b"]));
    harness.run(poison_part(2, "a"));
    harness.run(alone(poison_part(3, "b")));
    harness.run(part(4, &["a", "b"]));
    assert_eq!(harness.announced(), [POISON_FINGERPRINT]);
    assert_eq!(crashes(&harness), 2);
}
