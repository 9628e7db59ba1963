//! Parts of the handling of forwarded requests: budgets of extra calls that the
//! fleet shares, splits by weight, merged records, and the rules of their kinds.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    catalog::Catalog,
    collections::Set,
    extra::{ExtraBudgets, ExtraLimits, ExtraReason},
    forwarding::Route,
    inventory::{Config, Format, Forward, Kind},
    members::Member,
    records::greatest,
    round_robin::WeightedRoundRobin,
    shares::Shares,
    time::Time,
    wait_estimator::WaitEstimator,
};
use proptest::prelude::*;

const LIMITS: ExtraLimits = ExtraLimits {
    ratio: 0.2,
    fixed: 54.0,
    window: Duration::from_secs(10),
};

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

/// Returns the budgets of one process in a fleet of `members` equal processes.
fn budgets(members: u32) -> ExtraBudgets {
    let members: Vec<Member> = (0..members).map(|n| member(&n.to_string(), 250)).collect();
    let mut budgets = ExtraBudgets::new(LIMITS);
    budgets.set_shares(Shares::new("0", &members, Set::default()));
    budgets
}

fn member(name: &str, power: u32) -> Member {
    Member {
        name: name.to_owned(),
        power,
        ..Member::default()
    }
}

/// Spends extra calls until the budget allows no more, and returns their number.
fn spend_all(budgets: &mut ExtraBudgets, why: ExtraReason, now: Time) -> u32 {
    let mut count = 0;
    while budgets.spend("desk", why, now) {
        count += 1;
    }
    count
}

#[test]
fn members_share_the_fixed_number_and_use_the_ratio_of_their_own_requests() {
    let mut budgets = budgets(6);
    for _ in 0..100 {
        budgets.request("desk", at(20_000));
    }
    // (100 x 0.2 + 54 / 6) x 0.9
    assert_eq!(spend_all(&mut budgets, ExtraReason::Retry, at(20_000)), 26);
    assert!(!budgets.spend("desk", ExtraReason::Hedge, at(29_000)));
    assert!(budgets.spend("other", ExtraReason::Hedge, at(20_000)));
}

#[test]
fn hedges_leave_room_for_retries() {
    let mut budgets = budgets(6);
    for _ in 0..100 {
        budgets.request("desk", at(20_000));
    }
    assert_eq!(spend_all(&mut budgets, ExtraReason::Hedge, at(20_000)), 15);
    assert_eq!(spend_all(&mut budgets, ExtraReason::Retry, at(20_000)), 11);
}

#[test]
fn the_fixed_share_of_a_restarted_process_grows_over_a_window() {
    let mut budgets = budgets(6);
    assert!(!budgets.spend("desk", ExtraReason::Retry, at(100)));
    // 54 / 6 x 0.5 x 0.9
    assert_eq!(spend_all(&mut budgets, ExtraReason::Retry, at(5_000)), 4);
}

proptest! {
    /// No sliding window of 10 s contains more extra calls than its budget,
    /// whatever the times of requests and extra calls. The bound counts the
    /// requests of that window, of the one before or of the one that starts 5 s
    /// earlier, whichever has the most.
    #[test]
    fn no_sliding_window_is_overspent(steps in prop::collection::vec((1u64..400, 0u8..3), 1..600)) {
        let mut budgets = budgets(3);
        let mut now = 20_000;
        let mut requests = Vec::new();
        let mut extras = Vec::new();
        for (gap, action) in steps {
            now += gap;
            if action == 0 {
                budgets.request("desk", at(now));
                requests.push(now);
            } else if budgets.spend("desk", ExtraReason::Retry, at(now)) {
                extras.push(now);
            }
        }
        let within = |times: &[u64], from: u64, until: u64| {
            times.iter().filter(|time| (from..until).contains(*time)).count()
        };
        for start in &extras {
            let until = start + 10_000;
            let current = within(&requests, *start, until);
            let before = within(&requests, start.saturating_sub(10_000), *start);
            let straddling = within(&requests, start.saturating_sub(5_000), start + 5_000);
            let max_requests = current.max(before).max(straddling);
            let allowed = f64::from(u32::try_from(max_requests).unwrap()) * 0.2 + 54.0 / 3.0;
            let spent = f64::from(u32::try_from(within(&extras, *start, until)).unwrap());
            prop_assert!(
                spent <= allowed,
                "{spent} extra calls of {allowed} allowed in the window from {start} ms"
            );
        }
    }

    /// Each block of 100 requests is split by weight, to within 4 requests for each
    /// service.
    #[test]
    fn every_run_is_split_by_weight(weights in prop::collection::vec(0.0f64..10.0, 1..5)) {
        prop_assume!(weights.iter().sum::<f64>() > 0.1);
        let total: f64 = weights.iter().sum();
        let mut round_robin = WeightedRoundRobin::default();
        let chosen: Vec<usize> = (0..400).map(|_| round_robin.next(&weights)).collect();
        for run in chosen.chunks(100) {
            for (index, weight) in weights.iter().enumerate() {
                let count = run.iter().filter(|chosen| **chosen == index).count();
                let share = f64::from(u32::try_from(count).unwrap());
                prop_assert!((share - 100.0 * weight / total).abs() <= 4.0);
            }
        }
    }
}

#[test]
fn the_greatest_records_of_all_parts_are_kept() {
    let part = |letters: &str| -> Arc<[u8]> {
        let bytes: Vec<u8> = letters.bytes().flat_map(|l| [l; 16]).collect();
        bytes.into()
    };
    let mut remainder = part("z").to_vec();
    remainder.truncate(15);
    let parts = [part("ca"), part("bc"), part(""), remainder.into()];
    assert_eq!(greatest(&parts, 3), part("ccb").to_vec());
    assert_eq!(greatest(&parts, 9), part("ccba").to_vec());
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let kind = |name: &str, host: &str, prefix: &str| Kind {
        name: name.to_owned(),
        forward: Some(Forward {
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            ..Forward::default()
        }),
        ..Kind::default()
    };
    let config = Config {
        kinds: vec![
            kind("short", "h", "/a/"),
            kind("long", "h", "/a/b/"),
            kind("other", "g", "/"),
        ],
        ..Config::default()
    };
    let catalog = Catalog::new(1, &config);
    let name = |host: &str, path: &str| {
        let found = catalog.forward_kind(host, path);
        found
            .map(|kind| kind.rules.name.clone())
            .unwrap_or_default()
    };
    assert_eq!(name("h", "/a/b/c"), "long");
    assert_eq!(name("h", "/a/bc"), "short");
    assert_eq!(name("h", "/b/"), "");
    assert_eq!(name("g", "/a/b/c"), "other");
    assert_eq!(name("f", "/a/b/c"), "");
}

#[test]
fn the_age_of_a_request_is_the_longest_time_left_minus_its_own() {
    let mut estimator = WaitEstimator::default();
    let ms = Duration::from_millis;
    assert_eq!(estimator.waited("search", ms(980)), ms(0));
    assert_eq!(estimator.waited("search", ms(1_000)), ms(0));
    assert_eq!(estimator.waited("search", ms(985)), ms(15));
    assert_eq!(estimator.waited("other", ms(10)), ms(0));
}

#[test]
fn a_query_settles_in_time_for_its_target_and_its_time_limit() {
    let ms = Duration::from_millis;
    let route = |format| Route {
        format,
        limit: ms(1_000),
        rank: 1,
        forward: Forward {
            target: ms(250),
            ..Forward::default()
        },
        ..Route::default()
    };
    let query = Kind::from(route(Format::Greatest(20)));
    assert!(query.settle < ms(250) && query.settle > ms(200));
    assert!(query.deadline < ms(1_000) && query.deadline > ms(900));
    let single = Kind::from(route(Format::Whole));
    assert_eq!(single.settle, Duration::ZERO);
    let ranks = [0, 1, 2, 99].map(|rank| {
        Kind::from(Route {
            rank,
            ..route(Format::Whole)
        })
        .worth
    });
    assert!(
        ranks.is_sorted_by(|a, b| a >= b) && ranks[3] > 0,
        "{ranks:?}"
    );
}

#[test]
fn strong_processes_get_most_of_the_services_of_queries_over_many_shards() {
    let strong = ["s-1", "s-2"].map(|name| member(name, 500));
    let weak = ["w-1", "w-2", "w-3"].map(|name| member(name, 120));
    let members: Vec<Member> = strong.into_iter().chain(weak).collect();
    let fan_out_services: Set<String> = ["shard".to_owned()].into_iter().collect();
    let of = |own: &str, service: &str| {
        Shares::new(own, &members, fan_out_services.clone()).for_service(service)
    };
    let sum = |service: &str| -> f64 { members.iter().map(|m| of(&m.name, service)).sum() };
    assert!((of("s-1", "shard") - 0.45).abs() < 1e-9);
    assert!((of("w-1", "desk") - 0.2).abs() < 1e-9);
    assert!((sum("shard") - 1.0).abs() < 1e-9);
    assert!((sum("desk") - 1.0).abs() < 1e-9);
}

#[test]
fn equal_processes_share_all_services_equally() {
    let members = ["a", "b", "c", "d"].map(|name| member(name, 250));
    let fan_out_services: Set<String> = ["shard".to_owned()].into_iter().collect();
    let shares = Shares::new("a", &members, fan_out_services);
    assert!((shares.for_service("shard") - 0.25).abs() < 1e-9);
    assert!((shares.for_service("desk") - 0.25).abs() < 1e-9);
}
