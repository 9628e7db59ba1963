//! Customers and ranks that share the limit of one kind.

use std::collections::VecDeque;

use guavacourse::modules::{
    contention::fair::FairShares,
    throttle::{Claim, Throttle},
    time::Time,
};

use crate::fleet::ms;

/// Queries that the leaves serve at a time; more are not served whole.
const CAPACITY: usize = 12;
/// Time of a query in milliseconds.
const DURATION: u64 = 100;
const END: u64 = 30_000;

/// Runs queries of customers for 30 s, given the interval in milliseconds at which each
/// sends. Returns the numbers of queries that each sent and had served in the last 20 s.
fn run(intervals: &[u64], start: impl Fn(&mut Throttle, usize, Time) -> bool) -> Vec<[u32; 2]> {
    let mut throttle = Throttle::default();
    let mut running: VecDeque<(u64, usize, bool)> = VecDeque::new();
    let mut results = vec![[0, 0]; intervals.len()];
    for now in 1..END {
        while running.front().is_some_and(|(end, _, _)| *end <= now) {
            let (_, customer, served) = running.pop_front().expect("there is one");
            if served {
                throttle.served();
                results[customer][1] += u32::from(now > END / 3);
            } else {
                throttle.starved(ms(now));
            }
        }
        for (customer, interval) in intervals.iter().enumerate() {
            // Customers do not send at the same moment.
            if !(now + customer as u64 * 37).is_multiple_of(*interval) {
                continue;
            }
            results[customer][0] += u32::from(now > END / 3);
            if start(&mut throttle, customer, ms(now)) {
                let served = running.len() < CAPACITY;
                running.push_back((now + DURATION, customer, served));
            }
        }
    }
    results
}

/// Returns the fraction of the queries that was served.
fn fraction<'a>(results: impl IntoIterator<Item = &'a [u32; 2]>) -> f64 {
    let sum = |(sent, served), [a, b]: &[u32; 2]| (sent + a, served + b);
    let (sent, served) = results.into_iter().fold((0, 0), sum);
    f64::from(served) / f64::from(sent)
}

// Guards against a customer without a quota that sends 20 times its usual rate crowding
// out 20 customers that send theirs, each of which needs a twentieth of the capacity.
#[test]
fn small_customers_are_served_beside_one_that_sends_20_times_its_usual() {
    let mut intervals = vec![200; 21];
    intervals[0] = 10;
    let shared = run(&intervals, |throttle, _, _| throttle.start());
    let fair = run(&intervals, |throttle, customer, now| {
        let customer = customer.to_string();
        let claim = Claim {
            customer: &customer,
            worth: 1,
        };
        throttle.start_for(claim, now).is_ok()
    });
    let [before, small] = [fraction(&shared[1..]), fraction(&fair[1..])];
    let overall = fraction(&fair);
    assert!(
        small >= overall,
        "small customers {small}, overall {overall}"
    );
    assert!(
        small > before + 0.15,
        "small customers {small}, {before} without"
    );
    for customer in &fair[1..] {
        assert!(
            fraction([customer]) >= overall / 4.0,
            "{customer:?} of {overall}"
        );
    }
}

// Guards against refusing requests of a higher rank in favour of those of a lower one.
#[test]
fn requests_of_lower_worth_are_refused_first() {
    let intervals = [20, 7];
    let worth = [10, 1];
    let results = run(&intervals, |throttle, customer, now| {
        // Both belong to one customer, so that only the worth decides.
        let claim = Claim {
            customer: "",
            worth: worth[customer],
        };
        throttle.start_for(claim, now).is_ok()
    });
    let [high, low] = [fraction([&results[0]]), fraction([&results[1]])];
    assert!(high > 0.8, "high {high}, low {low}");
}

// Guards against memory that grows with the names of customers.
#[test]
fn the_number_of_remembered_customers_is_bounded() {
    let mut shares = FairShares::default();
    for number in 0..10_000 {
        shares.started(&number.to_string(), ms(number));
    }
    assert!(shares.customers() <= 256, "{}", shares.customers());
}

// Guards against letting in the only customer of a kind above the limit.
#[test]
fn a_single_customer_is_not_below_its_share() {
    let mut shares = FairShares::default();
    assert!(!shares.below_share("", ms(1)));
    shares.started("", ms(1));
    assert!(!shares.below_share("", ms(2)));
    assert!(shares.below_share("other", ms(2)));
    let later = ms(60_000);
    assert!(!shares.below_share("other", later), "an old burst counts");
}
