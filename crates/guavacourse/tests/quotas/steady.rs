//! Customers that keep to their quotas.

use std::time::Duration;

use crate::fleet::{Fleet, Load};

/// Returns the customers of the deployment: 73 with 120 requests a second, of which the
/// customer of rank k has a part in proportion to 1/k^1.2.
pub fn customers() -> Vec<Load> {
    let weights: Vec<f64> = (1..=73).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let usual = weights.iter().map(|weight| 120.0 * weight / total);
    let loads = usual
        .enumerate()
        .map(|(n, usual)| Load::usual(&format!("c-{n}"), usual));
    loads.collect()
}

/// Guards against refusals of customers that keep to their quotas: almost no request is
/// refused, those of the small customers included, which have less than one request per
/// process in a minute.
#[test]
fn usual_load_is_not_refused() {
    let mut fleet = Fleet::large(customers(), 11);
    fleet.run(Duration::from_secs(10));
    fleet.clear();
    fleet.run(Duration::from_mins(1));
    let (asked, refused) = fleet.refused();
    let wronged = fleet.wronged();
    assert!(refused * 500 <= asked, "{refused} of {asked}");
    assert!(wronged * 2_000 <= asked, "{wronged} of {asked}");
    fleet.check_bound();
}

/// Guards against small customers being refused because each process has only a small
/// part of their quota.
#[test]
fn small_customers_are_not_refused() {
    let loads = (0..40).map(|n| Load::new(&format!("c-{n}"), 0.3, 0.5, 1.0));
    let mut fleet = Fleet::large(loads.collect(), 12);
    fleet.run(Duration::from_secs(10));
    fleet.clear();
    fleet.run(Duration::from_mins(2));
    let (asked, refused) = fleet.refused();
    assert!(refused * 100 <= asked, "{refused} of {asked}");
    assert_eq!(fleet.wronged(), 0);
    fleet.check_bound();
}
