//! Tests of single exchanges between a relay and a leaf.

use std::time::Duration;

use guavacourse::modules::call::{NotRun, Outcome, Unknown};
use guavacourse_standins::{LeafFaults, ReplyFault};

use super::harness::{Harness, action, describe, part};

#[test]
fn answers_every_call_of_a_part() {
    let harness = Harness::start(2);
    let outcomes = harness.run(part(1, &["a", "b", "c", "a"]));
    let descriptions: Vec<String> = outcomes.iter().map(describe).collect();
    assert_eq!(descriptions, ["rows 0..65536"; 4]);
    let unknown = harness.run(part(9, &["nobody"]));
    assert_eq!(unknown, [Outcome::NotRun(NotRun::NotOwner)]);
}

#[test]
fn never_exceeds_slots_and_connections() {
    let harness = Harness::start(2);
    let names = ["a"; 24];
    harness.run(part(1, &names));
    for first in (100..112).step_by(2) {
        harness.run(action(first, "a"));
    }
    let work = harness.leaf("a").work();
    assert_eq!((work.shed, work.rejected, work.finished), (0, 0, 30));
}

#[test]
fn reuses_connections_for_queries_only() {
    let harness = Harness::start(1);
    for first in 1..=5 {
        harness.run(part(first, &["a"]));
    }
    assert_eq!(harness.leaf("a").work().connections, 1);
    harness.run(action(10, "a"));
    harness.run(action(11, "a"));
    assert_eq!(harness.leaf("a").work().connections, 3);
    assert_eq!(harness.fleet.runs("action-10"), 1);
}

#[test]
fn classifies_faulty_replies() {
    let harness = Harness::start(1);
    let faults = [
        ReplyFault::CutShort,
        ReplyFault::MalformedRows,
        ReplyFault::WrongAttempt,
        ReplyFault::WrongCount,
        ReplyFault::MissingHeaders,
        ReplyFault::Lost,
    ];
    let mut seen = Vec::new();
    for (i, fault) in (0..).zip(faults) {
        let faults = LeafFaults {
            reply: Some(fault),
            ..LeafFaults::default()
        };
        harness.set_faults("a", faults);
        let outcome = harness.run(part(100 * (i + 1), &["a"])).remove(0);
        harness.set_faults("a", LeafFaults::default());
        let next = harness.run(part(100 * (i + 1) + 1, &["a"])).remove(0);
        seen.push(format!(
            "{fault:?}: {}, then {}",
            describe(&outcome),
            describe(&next)
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    CutShort: unknown: Closed, then rows 0..65536
    MalformedRows: unknown: Malformed, then rows 0..65536
    WrongAttempt: unknown: Mismatched, then rows 0..65536
    WrongCount: unknown: Malformed, then rows 0..65536
    MissingHeaders: unknown: Malformed, then rows 0..65536
    Lost: unknown: Closed, then rows 0..65536
    ");
}

#[test]
fn cancels_on_the_leaf_and_does_not_reuse_the_connection() {
    let harness = Harness::start(200);
    harness.submit(part(1, &["a"]));
    while harness.leaf("a").running() == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    harness.cancel(1);
    while harness.leaf("a").work().cancelled == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(harness.next(Duration::from_millis(50)), None);
    let outcome = harness.run(part(2, &["a"])).remove(0);
    assert_eq!(describe(&outcome), "rows 0..65536");
    assert_eq!(harness.leaf("a").work().connections, 2);
}

#[test]
fn a_late_reply_is_discarded() {
    let harness = Harness::start(100);
    let mut late = part(1, &["a"]);
    late.budget = Duration::from_millis(30);
    let outcome = harness.run(late).remove(0);
    assert_eq!(outcome, Outcome::Unknown(Unknown::Timeout));
    let next = harness.run(part(2, &["a"])).remove(0);
    assert_eq!(describe(&next), "rows 0..65536");
    assert_eq!(harness.next(Duration::from_millis(150)), None);
}

#[test]
fn an_unreachable_leaf_has_run_nothing() {
    let harness = Harness::start(1);
    harness.leaf("a").crash();
    while std::net::TcpStream::connect(harness.leaf("a").address()).is_ok() {
        std::thread::sleep(Duration::from_millis(1));
    }
    let outcome = harness.run(action(1, "a")).remove(0);
    assert_eq!(outcome, Outcome::NotRun(NotRun::Unreachable));
    assert_eq!(harness.fleet.runs("action-1"), 0);
}

#[test]
fn sends_an_action_once_even_if_its_reply_is_lost() {
    let harness = Harness::start(1);
    let faults = LeafFaults {
        reply: Some(ReplyFault::Lost),
        ..LeafFaults::default()
    };
    harness.set_faults("a", faults);
    let outcome = harness.run(action(1, "a")).remove(0);
    assert_eq!(outcome, Outcome::Unknown(Unknown::Closed));
    assert_eq!(harness.leaf("a").work().started, 1);
    assert_eq!(harness.fleet.runs("action-1"), 1);
}

#[test]
fn reports_which_versions_a_leaf_holds() {
    let harness = Harness::start(1);
    let mut pinned = part(1, &["a"]);
    pinned.version = 7;
    let outcome = harness.run(pinned).remove(0);
    assert_eq!(describe(&outcome), "elsewhere: 1..=1 in 1");
}
