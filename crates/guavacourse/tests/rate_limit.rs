//! How many calls a rate limit allows, in one process and in a fleet.

use std::time::Duration;

use guavacourse::modules::{
    catalog::LeafId, collections::Set, members::Member, rate_limit::RateLimit, shares::Shares,
    time::Time,
};

/// Length of the windows in which the calls to a leaf are counted.
const WINDOW_MILLIS: u64 = 4_000;

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

/// Returns the most calls in a window; `calls` are in order.
fn most_in_window(calls: &[u64]) -> usize {
    let windows = calls.iter().enumerate().map(|(first, start)| {
        let inside = calls[first..].iter();
        inside.take_while(|at| **at < start + WINDOW_MILLIS).count()
    });
    windows.max().unwrap_or_default()
}

/// Returns when a fleet makes calls to a leaf that takes `total` a second; each process
/// wants to make one in each of these milliseconds.
fn fleet_calls(processes: usize, total: f64, wanted: impl Fn(u64) -> bool) -> Vec<u64> {
    let members: Vec<Member> = (0..processes)
        .map(|number| member(&number.to_string(), ["a", "b", "c"][number % 3], 100))
        .collect();
    let limits = (0_u64..).zip(&members).filter_map(|(draw, own)| {
        let shares = Shares::new(&own.name, &members, Set::default());
        let share = shares.for_leaf(LeafId::of("leaf"), "single", "a", total);
        (share.fraction > 0.0).then(|| RateLimit::new(total * share.fraction, draw, at(0)))
    });
    let mut limits: Vec<RateLimit> = limits.collect();
    let mut calls = Vec::new();
    for millis in (0..60_000).step_by(5).filter(|millis| wanted(*millis)) {
        let granted = limits.iter_mut().map(|limit| limit.take(at(millis)));
        let granted = granted.filter(|granted| *granted).count();
        calls.extend(std::iter::repeat_n(millis, granted));
    }
    calls
}

/// Returns the most calls that a leaf may get in a window.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number is rounded down"
)]
fn allowed(total: f64) -> usize {
    let calls = 1.5 * total * Duration::from_millis(WINDOW_MILLIS).as_secs_f64() + 5.0;
    calls as usize
}

#[test]
fn a_process_makes_calls_at_the_rate() {
    let calls = fleet_calls(1, 10.0, |_| true);
    assert!((600..=601).contains(&calls.len()), "{}", calls.len());
    assert!(most_in_window(&calls) <= 41);
}

#[test]
fn a_fleet_of_any_size_keeps_to_the_limit() {
    for processes in [1, 7, 89, 295, 540] {
        for total in [1.0, 2.5, 26.0, 200.0] {
            let calls = fleet_calls(processes, total, |_| true);
            let most = most_in_window(&calls);
            assert!(most <= allowed(total), "{processes}, {total}: {most}");
        }
    }
}

// All processes save permits while there is no load, and the load returns everywhere at
// the same moment.
#[test]
fn permits_saved_while_idle_do_not_exceed_the_limit() {
    for processes in [7, 89, 295, 540] {
        for total in [1.0, 2.5, 26.0] {
            let calls = fleet_calls(processes, total, |millis| millis % 20_000 >= 15_000);
            let most = most_in_window(&calls);
            assert!(most <= allowed(total), "{processes}, {total}: {most}");
        }
    }
}

#[test]
fn the_next_permit_is_known() {
    let mut limit = RateLimit::new(2.0, 123_456, at(0));
    let next = limit.next_permit();
    assert_eq!(next, Time(123_456));
    assert!(!limit.take(next.before(Duration::from_millis(1))));
    assert!(limit.take(next));
    assert_eq!(limit.next_permit(), next.after(Duration::from_millis(500)));
}

#[test]
fn a_few_permits_of_a_fast_rate_are_saved() {
    let mut limit = RateLimit::new(40.0, 0, at(0));
    let granted = (0..100).filter(|_| limit.take(at(10_000))).count();
    assert_eq!(granted, 10);
}

#[test]
fn a_higher_rate_takes_effect_within_its_interval() {
    let mut limit = RateLimit::new(0.1, 1, at(0));
    limit.set_rate(10.0, at(0));
    assert!(limit.next_permit() <= at(100));
}

fn member(name: &str, data_centre: &str, power: u32) -> Member {
    Member {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        power,
        ..Member::default()
    }
}

#[test]
fn the_shares_of_a_leaf_add_up_to_its_limit() {
    let members = [
        member("a-1", "a", 500),
        member("a-2", "a", 120),
        member("b-1", "b", 500),
        member("b-2", "b", 120),
        member("b-3", "b", 120),
    ];
    let fan_out: Set<String> = ["wide".to_owned()].into_iter().collect();
    let fraction = |own: &str, service: &str, data_centre: &str, total: f64| {
        let shares = Shares::new(own, &members, fan_out.clone());
        let leaf = LeafId::of("leaf");
        shares.for_leaf(leaf, service, data_centre, total).fraction
    };
    for service in ["wide", "single"] {
        for data_centre in ["a", "b", "without-processes"] {
            let fractions = members
                .iter()
                .map(|own| fraction(&own.name, service, data_centre, 10.0));
            let total: f64 = fractions.sum();
            assert!(
                (total - 1.0).abs() < 1e-9,
                "{service} {data_centre}: {total}"
            );
        }
    }
    let expected = [("a-1", 0.35), ("a-2", 0.35), ("b-1", 0.1)];
    for (own, expected) in expected {
        let got = fraction(own, "single", "a", 10.0);
        assert!((got - expected).abs() < 1e-9, "{own}: {got}");
    }
    // Weak processes leave the leaves of such queries to the strong ones.
    assert!(fraction("a-2", "wide", "a", 10.0) <= 0.0);
}

#[test]
fn a_slow_limit_is_shared_by_a_few_processes_near_the_leaf() {
    let members: Vec<Member> = (0..300)
        .map(|number| member(&number.to_string(), ["a", "b", "c"][number % 3], 100))
        .collect();
    let share = |own: &Member| {
        let shares = Shares::new(&own.name, &members, Set::default());
        shares.for_leaf(LeafId::of("leaf"), "single", "a", 2.0)
    };
    let callers = members.iter().filter(|own| share(own).fraction > 0.0);
    let callers: Vec<&Member> = callers.collect();
    assert_eq!(callers.len(), 9);
    assert!(callers.iter().all(|own| own.data_centre == "a"));
    assert_eq!(share(&members[0]).callers, 300);
}
