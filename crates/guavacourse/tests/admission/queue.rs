//! Slots, connections, queue order and early refusal.

use std::time::Duration;

use guavacourse::modules::{
    admission::ConnectionState,
    call::{AttemptId, NotRun},
    catalog::LeafId,
    inventory::Policy,
};

use super::harness::{CallSpec, Harness, SESSION, answered, call, refused};

/// Occupies both slots of leaf `a`, whose recorded service time is 10 ms.
fn busy() -> Harness {
    let mut harness = Harness::new();
    harness.submit(&call(100));
    harness.take_steps();
    harness.advance(10);
    harness.answer(100);
    harness.submit(&call(101));
    harness.submit(&call(102));
    harness.take_steps();
    harness
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn runs_as_many_calls_as_there_are_slots() {
    let mut harness = Harness::new();
    for attempt in 1..=4 {
        harness.submit(&call(attempt));
    }
    insta::assert_snapshot!(harness.take_steps(), @r"
    dispatch 1 on a new connection
    dispatch 2 on a new connection
    ");
    harness.answer(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    dispatch 3 on a kept connection
    ");
}

#[test]
fn runs_what_is_worth_most_per_slot_time_first() {
    let mut harness = busy();
    let queued = [(1, 1, 500), (2, 5, 900), (3, 5, 400), (4, 9, 900)];
    for (attempt, worth, budget) in queued {
        harness.submit(&CallSpec {
            worth,
            budget,
            ..call(attempt)
        });
    }
    let mut order = Vec::new();
    for attempt in [101, 102, 4, 3] {
        harness.answer(attempt);
        order.push(harness.take_steps());
    }
    insta::assert_snapshot!(order.join("\n"), @r"
    deliver 101: rows
    dispatch 4 on a kept connection
    deliver 102: rows
    dispatch 3 on a kept connection
    deliver 4: rows
    dispatch 2 on a kept connection
    deliver 3: rows
    dispatch 1 on a kept connection
    ");
}

#[test]
fn the_plain_policy_keeps_the_order_of_arrival() {
    let mut harness = Harness::with_policy(Policy::Plain, 1, 4);
    harness.submit(&call(1));
    for (attempt, worth) in [(2, 1), (3, 9)] {
        harness.submit(&CallSpec {
            worth,
            ..call(attempt)
        });
    }
    harness.take_steps();
    harness.advance(10);
    harness.answer(1);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    dispatch 2 on a kept connection
    ");
}

#[test]
fn refuses_calls_that_cannot_meet_their_deadline() {
    let mut harness = busy();
    harness.submit(&CallSpec {
        budget: 3,
        ..call(1)
    });
    harness.submit(&CallSpec {
        budget: 12,
        ..call(2)
    });
    insta::assert_snapshot!(harness.take_steps(), @"deliver 1: not run: Expired");
    harness.advance(8);
    harness.admission.tick(harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"deliver 2: not run: Expired");
}

#[test]
fn old_service_times_expire() {
    let mut harness = Harness::new();
    harness.submit(&call(1));
    harness.take_steps();
    harness.advance(900);
    harness.answer(1);
    let urgent = CallSpec {
        budget: 100,
        ..call(2)
    };
    harness.submit(&urgent);
    harness.advance(3_000);
    harness.submit(&CallSpec {
        attempt: 3,
        ..urgent
    });
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    deliver 2: not run: Expired
    dispatch 3 on a kept connection
    ");
}

#[test]
fn hedges_and_retries_run_last() {
    let mut harness = busy();
    let extra = |attempt| CallSpec {
        extra: true,
        worth: 9,
        ..call(attempt)
    };
    harness.submit(&extra(1));
    harness.submit(&call(2));
    harness.answer(101);
    harness.answer(102);
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 101: rows
    dispatch 2 on a kept connection
    deliver 102: rows
    dispatch 1 on a kept connection
    ");
}

#[test]
fn hedges_and_retries_are_refused_first() {
    let mut harness = busy();
    let extra = |attempt| CallSpec {
        extra: true,
        worth: 9,
        ..call(attempt)
    };
    for attempt in 1..=8 {
        harness.submit(&call(attempt));
    }
    harness.submit(&extra(9));
    harness.submit(&call(10));
    insta::assert_snapshot!(harness.take_steps(), @"deliver 9: not run: QueueFull");
}

#[test]
fn a_full_queue_refuses_the_call_of_least_worth() {
    let mut harness = Harness::with_policy(Policy::Adaptive, 1, 4);
    for attempt in 0..=1024 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    harness.submit(&call(5000));
    harness.submit(&CallSpec {
        worth: 9,
        ..call(5001)
    });
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 5000: not run: QueueFull
    deliver 1024: not run: QueueFull
    ");
}

#[test]
fn an_action_never_uses_a_kept_connection() {
    let mut harness = Harness::with_policy(Policy::Adaptive, 2, 2);
    let action = |attempt| CallSpec {
        action: true,
        ..call(attempt)
    };
    harness.submit(&call(1));
    harness.submit(&call(2));
    harness.take_steps();
    harness.answer(1);
    harness.answer(2);
    harness.submit(&action(3));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: rows
    deliver 2: rows
    close 1 kept to a
    ");
    harness.admission.closed(LeafId::of("a"), harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 3 on a new connection");
    assert_eq!(harness.admission.connections(LeafId::of("a")), [1, 1, 0]);
}

#[test]
fn a_cancelled_call_holds_its_slot_until_its_connection_closes() {
    let mut harness = busy();
    harness.submit(&call(1));
    harness
        .admission
        .cancel(SESSION, &[AttemptId(101)], harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"abandon 101");
    harness
        .admission
        .abandoned(harness.job_key(101), harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 1 on a new connection");
}

#[test]
fn a_late_reply_is_dropped_and_counted() {
    let mut harness = busy();
    harness
        .admission
        .cancel(SESSION, &[AttemptId(101)], harness.now);
    harness.take_steps();
    harness.answer(101);
    assert_eq!(harness.take_steps(), "");
    assert_eq!(harness.admission.counts().late, 1);
}

#[test]
fn a_running_call_ends_at_its_deadline() {
    let mut harness = Harness::new();
    harness.submit(&CallSpec {
        budget: 50,
        ..call(1)
    });
    harness.submit(&call(2));
    harness.take_steps();
    assert_eq!(
        harness.admission.next_tick(),
        Some(harness.now.after(millis(50)))
    );
    harness.advance(50);
    harness.admission.tick(harness.now);
    assert_eq!(harness.take_steps(), "expire 1");
    harness.answer(2);
    assert_eq!(harness.admission.next_tick(), None);
}

#[test]
fn a_session_that_ends_cancels_its_calls() {
    let mut harness = busy();
    harness.submit(&call(1));
    harness.admission.close(SESSION, harness.now);
    let mut steps: Vec<String> = harness.take_steps().lines().map(str::to_owned).collect();
    steps.sort();
    assert_eq!(steps, ["abandon 101", "abandon 102"]);
    assert_eq!(harness.admission.pending(), 2);
}

#[test]
fn a_shedding_leaf_gets_fewer_calls_at_a_time() {
    let mut harness = Harness::with_policy(Policy::Adaptive, 4, 8);
    for attempt in 1..=4 {
        harness.submit(&call(attempt));
    }
    harness.take_steps();
    harness.end(1, &refused(NotRun::Shed, 1, false));
    harness.end(2, &refused(NotRun::Shed, 1, false));
    harness.submit(&call(5));
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 1: not run: Shed
    deliver 2: not run: Shed
    ");
    harness.answer(3);
    for attempt in 6..=9 {
        harness.submit(&call(attempt));
    }
    insta::assert_snapshot!(harness.take_steps(), @r"
    deliver 3: rows
    dispatch 5 on a kept connection
    ");
}

#[test]
fn a_connection_being_closed_still_counts() {
    let mut harness = Harness::with_policy(Policy::Adaptive, 1, 4);
    harness.submit(&call(1));
    harness.submit(&call(2));
    harness.take_steps();
    let key = harness.job_key(1);
    let late = answered(1, false);
    harness
        .admission
        .finish(key, &late, ConnectionState::Closing, harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"deliver 1: rows");
    harness
        .admission
        .released(LeafId::of("a"), false, harness.now);
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 2 on a new connection");
}

/// Guards against refusals after a stall of the relay. The stall counts as service
/// time, although the leaf did not take it, and a leaf that shed calls gets few at
/// a time for a while, so a wait estimated from the mean service time and the
/// current limit would be too long.
#[test]
fn no_call_is_refused_for_a_stall_of_the_relay() {
    const QUEUED: u64 = 60;
    let mut harness = Harness::with_policy(Policy::Adaptive, 4, 8);
    for (attempt, took) in [(1, 10), (2, 1_500)] {
        harness.submit(&call(attempt));
        harness.take_steps();
        harness.advance(took);
        harness.answer(attempt);
    }
    for attempt in 3..=6 {
        harness.submit(&call(attempt));
        harness.take_steps();
        harness.end(attempt, &refused(NotRun::Shed, 1, false));
    }
    harness.take_steps();
    for attempt in 100..=100 + QUEUED {
        harness.submit(&CallSpec {
            budget: 5_000,
            ..call(attempt)
        });
    }
    insta::assert_snapshot!(harness.take_steps(), @"dispatch 100 on a kept connection");
}
