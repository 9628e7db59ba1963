//! Tests of the state machine that runs a non-idempotent action. A second attempt
//! while an earlier one may have run would run the action twice.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    action::{Action, ActionRequest, PlanError, REPLY_GRACE, Step, plan},
    call::{AttemptId, HeldVersions, NotRun, Outcome, Part, Reply, Rows, Unknown},
    catalog::{Catalog, LeafKey},
    inventory::{Address, Config},
    keys::KeyRange,
    load_balancer::Choice,
    time::Time,
    view::View,
};

const INVENTORY: &str = r#"
    epoch = 3
    [[services]]
    name = "booking"
    leaves = [{ name = "b1", from = 0, until = 100 }, { name = "b2", from = 0, until = 100 },
              { name = "b3", from = 0, until = 100 }, { name = "b4", from = 0, until = 100 }]
    [[kinds]]
    name = "book"
    class = "action"
    services = ["booking"]
    [[kinds]]
    name = "search"
    services = ["booking"]
"#;

const DEADLINE: Time = Time(100_000);

fn view() -> View {
    let config: Config = toml::from_str(INVENTORY).expect("a valid inventory");
    View {
        catalog: Arc::new(Catalog::new(1, &config)),
        ..View::default()
    }
}

fn choices(view: &View) -> Vec<Choice> {
    let leaves = view.catalog.leaves.iter();
    let choice = |(leaf, entry): (LeafKey, &guavacourse::modules::catalog::LeafEntry)| Choice {
        leaf,
        id: entry.id,
        relay: Address::default(),
    };
    leaves.map(choice).collect()
}

fn start(now: Time) -> (Action, Vec<Step>) {
    let view = view();
    let request = ActionRequest {
        kind: "book".to_owned(),
        key: 7,
        body: Arc::from(*b"{}"),
        deadline: DEADLINE,
        id: "e1.1.5".to_owned(),
    };
    Action::start(&view, request, &choices(&view), AttemptId(10), now)
}

/// Returns a retry budget that allows every further attempt.
fn unlimited() -> impl FnOnce(bool) -> Option<Vec<Choice>> {
    |_| Some(choices(&view()))
}

/// Returns a retry budget that allows only attempts that are not charged to it.
fn uncharged_only() -> impl FnOnce(bool) -> Option<Vec<Choice>> {
    |charged| (!charged).then(|| choices(&view()))
}

fn reply(attempt: u64, outcome: Outcome) -> Reply {
    Reply {
        attempt: AttemptId(attempt),
        queued: 0,
        service: Duration::ZERO,
        retry_after: Duration::ZERO,
        load: None,
        outcome,
    }
}

/// Runs an action whose attempts end with `outcomes`; returns each step as text.
fn run(outcomes: &[Outcome]) -> Vec<String> {
    let (mut action, mut steps) = start(Time(0));
    let mut shown: Vec<String> = steps.iter().map(show).collect();
    for (attempt, outcome) in (10..).zip(outcomes) {
        steps = action.on_reply(&reply(attempt, outcome.clone()), unlimited(), Time(1_000));
        shown.extend(steps.iter().map(show));
    }
    shown
}

fn show(step: &Step) -> String {
    match step {
        Step::Send { part, .. } => {
            let call = part.calls[0];
            format!(
                "send {} extra={} epoch={}",
                call.attempt.0, call.extra, part.epoch
            )
        }
        Step::Cancel { attempts, .. } => format!("cancel {}", attempts[0].0),
        Step::Finish(outcome) => format!("finish {outcome:?}"),
    }
}

#[test]
fn one_leaf_that_answers() {
    let rows = Rows {
        version: 1,
        newest: 1,
        epoch: 3,
        range: KeyRange::new(0, 100),
        body: Arc::from(*b"[]"),
        origin: None,
    };
    insta::assert_debug_snapshot!(run(&[Outcome::Rows(rows)]), @r#"
    [
        "send 10 extra=false epoch=3",
        "finish Done([91, 93])",
    ]
    "#);
}

#[test]
fn another_leaf_only_after_a_proven_refusal() {
    let held = HeldVersions {
        oldest: 1,
        newest: 1,
        epoch: 2,
    };
    let outcomes = [
        Outcome::NotRun(NotRun::Shed),
        Outcome::Elsewhere(held),
        Outcome::NotRun(NotRun::Draining),
    ];
    insta::assert_debug_snapshot!(run(&outcomes), @r#"
    [
        "send 10 extra=false epoch=3",
        "send 11 extra=true epoch=3",
        "send 12 extra=true epoch=3",
        "finish NotRun(Call(Draining))",
    ]
    "#);
}

#[test]
fn the_same_leaf_again_under_a_newer_epoch() {
    let (mut action, _) = start(Time(0));
    let held = HeldVersions {
        oldest: 1,
        newest: 1,
        epoch: 4,
    };
    let moved = reply(10, Outcome::Elsewhere(held));
    assert_eq!(action.required_epoch(&moved), Some(4));
    action.refresh(4);
    assert_eq!(action.required_epoch(&moved), None);
    let mut shown = Vec::new();
    let only = choices(&view())[..1].to_vec();
    for attempt in 10..13 {
        let moved = reply(attempt, Outcome::Elsewhere(held));
        action.refresh(attempt);
        let steps = action.on_reply(&moved, |_| Some(only.clone()), Time(1));
        shown.extend(steps.iter().map(show));
    }
    insta::assert_debug_snapshot!(shown, @r#"
    [
        "send 11 extra=true epoch=10",
        "send 12 extra=true epoch=11",
        "finish NotRun(Elsewhere)",
    ]
    "#);
}

#[test]
fn no_second_leaf_after_an_unknown_outcome() {
    for why in [
        Unknown::Closed,
        Unknown::Timeout,
        Unknown::Malformed,
        Unknown::Mismatched,
    ] {
        let shown = run(&[Outcome::NotRun(NotRun::Shed), Outcome::Unknown(why)]);
        assert_eq!(shown.len(), 3);
        assert_eq!(shown[2], format!("finish Unknown(Call({why:?}))"));
    }
}

#[test]
fn no_second_leaf_where_it_would_refuse_as_well() {
    for why in [NotRun::Quarantined, NotRun::Expired, NotRun::Cancelled] {
        let shown = run(&[Outcome::NotRun(why)]);
        assert_eq!(shown[1..], [format!("finish NotRun(Call({why:?}))")]);
    }
}

#[test]
fn suspected_content_is_tried_alone_elsewhere() {
    let (mut action, steps) = start(Time(0));
    let first = sent(&steps);
    assert_eq!((first.canary, first.alone), (true, false));
    let suspected = Outcome::NotRun(NotRun::Suspected);
    let steps = action.on_reply(&reply(10, suspected), uncharged_only(), Time(1));
    let trial = sent(&steps);
    assert_eq!((trial.canary, trial.alone), (false, true));
    assert_ne!(trial.calls[0].leaf, first.calls[0].leaf);
    let steps = action.on_reply(
        &reply(11, Outcome::Unknown(Unknown::Closed)),
        unlimited(),
        Time(2),
    );
    assert_eq!(show(&steps[0]), "finish Unknown(Call(Closed))");
}

#[test]
fn suspected_content_is_tried_alone_on_the_only_leaf() {
    let (mut action, steps) = start(Time(0));
    let only = vec![choices(&view())[0]];
    assert_eq!(sent(&steps).calls[0].leaf, only[0].id);
    let suspected = Outcome::NotRun(NotRun::Suspected);
    let steps = action.on_reply(&reply(10, suspected), |_| Some(only.clone()), Time(1));
    let trial = sent(&steps);
    assert_eq!((trial.alone, trial.calls[0].leaf), (true, only[0].id));
}

/// Returns the part that the only step sends.
fn sent(steps: &[Step]) -> Part {
    match steps {
        [Step::Send { part, .. }] => part.clone(),
        other => panic!("expected one call, got {other:?}"),
    }
}

#[test]
fn no_second_leaf_without_retry_budget() {
    let (mut action, _) = start(Time(0));
    let shed = reply(10, Outcome::NotRun(NotRun::Shed));
    let mut other = action.clone();
    let steps = action.on_reply(&shed, uncharged_only(), Time(1));
    assert_eq!(show(&steps[0]), "finish NotRun(Call(Shed))");
    let draining = reply(10, Outcome::NotRun(NotRun::Draining));
    let steps = other.on_reply(&draining, uncharged_only(), Time(1));
    assert_eq!(show(&steps[0]), "send 11 extra=true epoch=3");
}

#[test]
fn the_same_leaf_through_another_relay() {
    let view = view();
    let (mut action, _) = start(Time(0));
    let mut rerouted = choices(&view);
    rerouted.truncate(1);
    let unreachable = reply(10, Outcome::NotRun(NotRun::Unreachable));
    let mut same = action.clone();
    let steps = same.on_reply(&unreachable, |_| Some(rerouted.clone()), Time(1));
    assert_eq!(show(&steps[0]), "finish NotRun(Call(Unreachable))");
    rerouted[0].relay = "127.0.0.1:7".parse().map(Address).expect("an address");
    let steps = action.on_reply(&unreachable, |_| Some(rerouted), Time(1));
    assert_eq!(show(&steps[0]), "send 11 extra=true epoch=3");
}

#[test]
fn replies_to_other_attempts_are_dropped() {
    let (mut action, _) = start(Time(0));
    let stray = reply(11, Outcome::NotRun(NotRun::Shed));
    assert!(action.on_reply(&stray, unlimited(), Time(1)).is_empty());
    let closed = reply(10, Outcome::Unknown(Unknown::Closed));
    assert_eq!(action.on_reply(&closed, unlimited(), Time(1)).len(), 1);
    assert!(action.on_reply(&closed, unlimited(), Time(1)).is_empty());
}

#[test]
fn a_silent_relay_leaves_the_outcome_unknown() {
    let (mut action, _) = start(Time(0));
    assert_eq!(action.next_timer(), Some(DEADLINE.after(REPLY_GRACE)));
    assert!(action.on_timer(DEADLINE).is_empty());
    let steps = action.on_timer(DEADLINE.after(REPLY_GRACE));
    let shown: Vec<String> = steps.iter().map(show).collect();
    assert_eq!(shown, ["cancel 10", "finish Unknown(Call(Timeout))"]);
    assert_eq!(action.next_timer(), None);
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let (_, steps) = start(DEADLINE);
    assert_eq!(show(&steps[0]), "finish NotRun(Call(Expired))");
    let (mut action, _) = start(Time(0));
    let steps = action.on_reply(
        &reply(10, Outcome::NotRun(NotRun::Shed)),
        unlimited(),
        DEADLINE,
    );
    assert_eq!(show(&steps[0]), "finish NotRun(Call(Expired))");
}

#[test]
fn requests_that_cannot_be_planned() {
    let view = view();
    assert!(plan(&view, "book", 99).is_ok());
    assert_eq!(plan(&view, "book", 100), Err(PlanError::NoShard(100)));
    let query = PlanError::NotAction("search".to_owned());
    assert_eq!(plan(&view, "search", 1), Err(query));
    let unknown = PlanError::UnknownKind("x".to_owned());
    assert_eq!(plan(&view, "x", 1), Err(unknown));
}
