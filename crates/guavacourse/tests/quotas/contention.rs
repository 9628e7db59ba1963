//! Customers that exceed their quotas.

use std::time::Duration;

use guavacourse::modules::{
    customers::{Customer, Quota},
    quotas::{Quotas, Verdict},
    time::Time,
};

use crate::{
    fleet::{Fleet, TOLERANCE, count},
    steady::customers,
};

/// Guards against a customer that suddenly sends 7.5 times as much getting more than the
/// quota and the tolerance allow, whether it is large or small, and against the others
/// losing anything by it. What the quota allows must still be used.
#[test]
fn jump_is_kept_to_the_quota() {
    for (jumping, seed) in [(0, 21), (2, 22), (10, 23), (70, 24)] {
        let mut fleet = Fleet::large(customers(), seed);
        fleet.run(Duration::from_secs(12));
        fleet.clear();
        fleet.loads[jumping].factor = 7.5;
        fleet.run(Duration::from_secs(30));
        let tally = &fleet.tallies[jumping];
        let rate = fleet.loads[jumping].customer.quota.expect("a quota").rate;
        let wronged = fleet.wronged() - tally.wronged;
        fleet.check_bound();
        assert!(count(&tally.admitted) >= 0.85 * rate * 30.0);
        assert!(wronged <= 1);
    }
}

/// Guards against a lowered quota that is not binding: one window after the processes
/// have learned of it, at different times, at most the lower quota is admitted.
#[test]
fn lowered_quota_is_binding() {
    let mut fleet = Fleet::large(customers(), 25);
    fleet.run(Duration::from_secs(12));
    let quota = fleet.loads[0].customer.quota.as_mut().expect("a quota");
    quota.rate /= 4.0;
    quota.burst /= 4.0;
    for process in 0..62 {
        fleet.configure_one(process);
        fleet.run(Duration::from_millis(45));
    }
    fleet.run(Duration::from_secs(5));
    fleet.clear();
    fleet.run(Duration::from_secs(20));
    fleet.check_bound();
}

/// Guards against all refused requests being told to come back at the same moment: each
/// is given the next time at which there is room, at most 5 s ahead.
#[test]
fn retry_times_are_spread() {
    let customer = Customer {
        name: "c".to_owned(),
        quota: Some(Quota {
            rate: 10.0,
            burst: 10.0,
        }),
        ..Customer::default()
    };
    let mut quotas = Quotas::new(TOLERANCE, 26);
    quotas.configure([&customer], ["p"], Time::default());
    let mut retries = Vec::new();
    for request in 0..400 {
        let now = Time(request * 1_000);
        if let Verdict::Refused { retry_after, .. } = quotas.admit("c", now) {
            assert!(retry_after <= Duration::from_millis(5_100));
            retries.push(now.after(retry_after));
        }
    }
    assert!(retries.len() > 300);
    let inside = |retries: &[Time], second: u64| {
        let start = Time(second * 1_000_000);
        let end = start.after(Duration::from_secs(1));
        retries
            .iter()
            .filter(|at| (start..end).contains(at))
            .count()
    };
    // The first ones fill the 5 s in which there is room for 10 a second, and for those of
    // the slack that are granted: 65 in 5 s, of which 7.6 at once.
    for second in 1..4 {
        let inside = inside(&retries[..55], second);
        assert!((8..=15).contains(&inside), "{inside} in second {second}");
    }
    // There is no room for the others; they do not come back together either.
    for second in 3..5 {
        let inside = inside(&retries[65..], second);
        assert!((90..=190).contains(&inside), "{inside} in second {second}");
    }
}

/// Guards against a customer paying for requests that reached no leaf.
#[test]
fn refunds_make_room() {
    let customer = Customer {
        name: "c".to_owned(),
        quota: Some(Quota {
            rate: 0.1,
            burst: 3.0,
        }),
        ..Customer::default()
    };
    let mut quotas = Quotas::new(TOLERANCE, 27);
    quotas.configure([&customer], ["p"], Time::default());
    for request in 0..200 {
        assert_eq!(quotas.admit("c", Time(request * 1_000)), Verdict::Admitted);
        quotas.refund("c");
    }
}
