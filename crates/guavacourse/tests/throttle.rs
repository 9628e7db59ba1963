//! Limit on the concurrent queries of one kind.

use std::time::Duration;

use guavacourse::modules::{throttle::Throttle, time::Time};

/// Runs rounds of 100 queries, with a fleet that can serve `capacity` queries at a
/// time. Returns the number of queries served in each round.
fn run_rounds(throttle: &mut Throttle, count: u64, capacity: usize) -> Vec<usize> {
    let mut all = Vec::new();
    for round in 1..=count {
        let now = Time::default().after(Duration::from_millis(100 * round));
        let started = (0..100).filter(|_| throttle.start()).count();
        // If more queries run than the fleet has capacity for, none is served whole.
        let served = if started > capacity { 0 } else { started };
        for _ in 0..served {
            throttle.served();
        }
        for _ in served..started {
            throttle.starved(now);
        }
        all.push(served);
    }
    all
}

#[test]
fn limit_falls_until_whole_queries_are_served() {
    let mut throttle = Throttle::default();
    let served = run_rounds(&mut throttle, 60, 20);
    let last: usize = served[40..].iter().sum();
    assert!(last >= 250, "served {last} of at most 400 queries");
    assert_eq!(throttle.running(), 0);
}

#[test]
fn limit_rises_when_capacity_returns() {
    let mut throttle = Throttle::default();
    run_rounds(&mut throttle, 40, 2);
    let served = run_rounds(&mut throttle, 200, 100);
    assert_eq!(served.last(), Some(&100));
}

#[test]
fn one_query_is_always_admitted() {
    let mut throttle = Throttle::default();
    run_rounds(&mut throttle, 100, 0);
    assert!(throttle.start());
}

#[test]
fn queries_that_end_for_other_reasons_do_not_count() {
    let mut throttle = Throttle::default();
    for _ in 0..10_000 {
        assert!(throttle.start());
        throttle.ended();
    }
    assert_eq!(throttle.running(), 0);
}
