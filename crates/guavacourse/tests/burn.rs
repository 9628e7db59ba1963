//! Tests of burn rates over several windows, and of the limit on recent requests.

use std::time::Duration;

use guavacourse::modules::{
    burn::{Burn, Counts},
    catalog::Catalog,
    inventory::{Config, Kind},
    recent::{MAX_RECENT, RecentRequests},
    time::Time,
};

fn catalog() -> Catalog {
    let kind = Kind {
        name: "shift".to_owned(),
        worth: 3,
        objective: 0.9,
        ..Kind::default()
    };
    let config = Config {
        kinds: vec![kind],
        ..Config::default()
    };
    Catalog::new(1, &config)
}

#[test]
fn old_failures_leave_the_short_windows() {
    let mut burn = Burn::default();
    let start = Time::default();
    burn.record("shift", false, start);
    burn.record("shift", true, start.after(Duration::from_mins(2)));
    let report = burn.report(&catalog(), start.after(Duration::from_secs(130)));
    insta::assert_json_snapshot!(report);
}

#[test]
fn burn_rate_is_failed_over_allowed_fraction() {
    let counts = Counts { good: 8, total: 10 };
    assert!((counts.burn_rate(0.9) - 2.0).abs() < 1e-9);
    assert!((Counts::default().burn_rate(0.9)).abs() < 1e-9);
    assert!(counts.burn_rate(1.0).is_infinite());
}

#[test]
fn recent_requests_are_bounded() {
    let mut recent = RecentRequests::default();
    for id in 0..=MAX_RECENT {
        recent.push(id.to_string(), id);
    }
    assert_eq!(recent.get("0"), None);
    assert_eq!(recent.get("1"), Some(&1));
}
