//! Tests planning, merging, deadlines, retries and refusals of queries.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    answer::Refusal,
    call::{NotRun, Unknown},
    inventory::{Class, Kind, Policy},
    load_balancer::LoadBalancer,
    query::{Query, QueryRequest, Step},
    view::View,
};

use crate::fixture::{DATA_CENTRES, Driver, Fixture, ms, request};

#[test]
fn one_part_per_relay() {
    let fixture = Fixture {
        shards: 8,
        replicas: 1,
        ..Fixture::default()
    };
    let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
    let (_, steps) = Query::start(fixture.view(1), &mut balancer, request(), ms(1)).expect("valid");
    let calls: Vec<usize> = steps
        .iter()
        .map(|step| match step {
            Step::Send { part, .. } => part.calls.len(),
            other => panic!("unexpected step {other:?}"),
        })
        .collect();
    assert_eq!(calls, [8]);
}

#[test]
fn merges_all_shards() {
    let mut driver = Driver::start(&Fixture::default().view(7));
    for sent in driver.take_sent() {
        driver.reply_rows(sent, 5);
    }
    let body = driver.answer().body.as_ref().expect("complete");
    insta::assert_json_snapshot!(serde_json::to_value(body).expect("the body serializes"));
}

#[test]
fn deadline_below_least_coverage() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 5);
    driver.advance(ms(200));
    insta::assert_json_snapshot!(
        driver
            .answer()
            .body
            .as_ref()
            .expect_err("coverage is too low")
    );
    assert_eq!(driver.cancelled.len(), 1);
}

#[test]
fn settles_with_the_least_coverage() {
    let kind = Kind {
        settle: Duration::from_millis(30),
        least_coverage: 0.5,
        ..Fixture::default().kind
    };
    let fixture = Fixture {
        kind,
        ..Fixture::default()
    };
    let mut driver = Driver::start(&fixture.view(1));
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 5);
    driver.advance(ms(30));
    assert!(driver.answer.is_none(), "answered before the settle age");
    driver.advance(ms(31));
    let body = driver.answer().body.as_ref().expect("half is enough");
    insta::assert_json_snapshot!(body.coverage);
    assert!(driver.answer().trace.settled);
}

#[test]
fn plain_policy_waits_for_all_shards_until_the_deadline() {
    let mut fixture = Fixture {
        policy: Policy::Plain,
        ..Fixture::default()
    };
    fixture.kind.settle = Duration::from_millis(30);
    fixture.kind.least_coverage = 0.5;
    let mut driver = Driver::start(&fixture.view(1));
    let first = driver.take_sent()[0];
    driver.reply_rows(first, 5);
    driver.advance(ms(31));
    assert!(driver.answer.is_none(), "answered at the settle age");
    driver.advance(driver.query.deadline());
    let body = driver.answer().body.as_ref().expect("half is enough");
    assert!((body.coverage.fraction - 0.5).abs() < f64::EPSILON);
}

#[test]
fn retries_on_another_replica() {
    for policy in [Policy::Adaptive, Policy::Plain] {
        let fixture = Fixture {
            shards: 1,
            policy,
            ..Fixture::default()
        };
        let mut driver = Driver::start(&fixture.view(1));
        let first = driver.take_sent()[0];
        driver.refuse(first, NotRun::Shed);
        let second = driver.take_sent()[0];
        assert_ne!(first.call.leaf, second.call.leaf);
        assert!(!second.call.extra);
        driver.reply_rows(second, 5);
        assert!(driver.answer().body.is_ok());
    }
}

#[test]
fn a_retry_after_a_call_that_may_have_run_is_extra_load() {
    let fixture = Fixture {
        shards: 1,
        ..Fixture::default()
    };
    let mut driver = Driver::start(&fixture.view(1));
    let first = driver.take_sent()[0];
    driver.reply_unknown(first, Unknown::Malformed);
    let second = driver.take_sent()[0];
    assert!(second.call.extra);
    driver.refuse(second, NotRun::Shed);
    driver.advance(ms(30));
    let third = driver.take_sent()[0];
    assert!(third.call.extra);
}

#[test]
fn overloaded_replicas_are_called_again_until_the_deadline() {
    check_called_again(NotRun::QueueFull);
}

// Guards against giving up with most of the time left: beside other work on the machine,
// the calls of a thousand queries waited for one leaf, and its relay refused the last
// ones as expired.
#[test]
fn replicas_that_refuse_calls_as_expired_are_called_again_until_the_deadline() {
    check_called_again(NotRun::Expired);
}

/// Checks that a query goes on calling replicas that refuse its calls with `reason`.
fn check_called_again(reason: NotRun) {
    let fixture = Fixture {
        shards: 1,
        ..Fixture::default()
    };
    let mut driver = Driver::start(&fixture.view(1));
    for round in 1..8 {
        for sent in driver.take_sent() {
            driver.refuse(sent, reason);
        }
        driver.advance(ms(10 * round));
    }
    let last = driver.take_sent()[0];
    driver.reply_rows(last, 5);
    assert!(driver.answer().body.is_ok());
}

#[test]
fn plain_policy_retries_once() {
    let fixture = Fixture {
        shards: 1,
        policy: Policy::Plain,
        ..Fixture::default()
    };
    let mut driver = Driver::start(&fixture.view(1));
    for _ in 0..2 {
        let sent = driver.take_sent()[0];
        driver.refuse(sent, NotRun::Shed);
    }
    let failure = driver.answer().body.as_ref().expect_err("both refused");
    assert!(failure.not_run);
    assert!(driver.sent.is_empty());
}

#[test]
fn refusals_name_the_remedy() {
    let query = Fixture::default();
    let action = Fixture {
        kind: Kind {
            class: Class::Action,
            ..query.kind.clone()
        },
        ..query.clone()
    };
    let valid = request();
    let unknown_kind = QueryRequest {
        kind: "gang-despatch".to_owned(),
        ..valid.clone()
    };
    let zero_deadline = QueryRequest {
        deadline: Some(Duration::ZERO),
        ..valid.clone()
    };
    let coverage_above_one = QueryRequest {
        least_coverage: Some(1.5),
        ..valid.clone()
    };
    let refuse = |view: Arc<View>, request: QueryRequest| -> Refusal {
        let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
        Query::start(view, &mut balancer, request, ms(1)).expect_err("refused")
    };
    let refusals = [
        refuse(Arc::new(View::default()), valid.clone()),
        refuse(query.view(1), unknown_kind),
        refuse(action.view(1), valid.clone()),
        refuse(
            Fixture {
                services: 0,
                ..query.clone()
            }
            .view(1),
            valid,
        ),
        refuse(query.view(1), zero_deadline),
        refuse(query.view(1), coverage_above_one),
    ];
    let messages: Vec<String> = refusals.iter().map(ToString::to_string).collect();
    insta::assert_debug_snapshot!(messages);
}

#[test]
fn a_query_without_a_relay_is_sent_once_there_is_one() {
    let fixture = Fixture {
        services: 1,
        shards: 2,
        ..Fixture::default()
    };
    let full = fixture.view(1);
    let mut empty = View::clone(&full);
    empty.relays.clear();
    let mut driver = Driver::start(&Arc::new(empty));
    assert!(driver.take_sent().is_empty());
    driver.advance(ms(30));
    driver.query.refresh(full);
    driver.advance(ms(60));
    assert_eq!(driver.take_sent().len(), 2);
}

#[test]
fn overload_refuses_whole_queries_before_they_start() {
    let fixture = Fixture {
        shards: 2,
        ..Fixture::default()
    };
    let view = fixture.view(1);
    let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
    for round in 0..40 {
        let mut driver = Driver::start_with(&view, balancer, request(), ms(1 + 1_000 * round));
        while driver.answer.is_none() {
            for sent in driver.take_sent() {
                driver.refuse(sent, NotRun::Shed);
            }
            let later = driver.now.after(Duration::from_millis(10));
            driver.advance(later);
        }
        balancer = driver.balancer;
    }
    let now = ms(100_000);
    let first = Query::start(Arc::clone(&view), &mut balancer, request(), now);
    assert!(first.is_ok());
    let second = Query::start(Arc::clone(&view), &mut balancer, request(), now);
    let refusal = second.expect_err("the throttle admits only one query");
    assert!(matches!(refusal, Refusal::Overloaded(_)), "{refusal}");
}
