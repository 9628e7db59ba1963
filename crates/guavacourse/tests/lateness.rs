//! Lateness from which a call is worth a hedge.

use guavacourse::modules::lateness::Lateness;

/// Returns the lateness from which a call is worth a hedge if one in `period` calls
/// takes `slow` times the median, and the others take up to 1.5 times the median.
fn threshold(period: u32, slow: f64) -> f64 {
    let mut lateness = Lateness::default();
    for call in 0..4096_u32 {
        let ratio = 0.5 + f64::from(call % 64) / 64.0;
        let is_slow = call % period == period - 1;
        lateness.record(if is_slow { slow } else { ratio });
    }
    lateness.hedge_threshold()
}

#[test]
fn hedges_wait_until_calls_are_expected_to_outlast_them() {
    let none = threshold(u32::MAX, 1.0);
    let mild = threshold(100, 1.75);
    let few = threshold(100, 10.0);
    let many = threshold(10, 10.0);
    insta::assert_snapshot!(
        format!("none {none}, 1 in 100 by 1.75 {mild}, 1 in 100 by 10 {few}, 1 in 10 by 10 {many}"),
        @"none 1.5, 1 in 100 by 1.75 1.875, 1 in 100 by 10 1.5, 1 in 10 by 10 1"
    );
}

#[test]
fn cancelled_calls_count_as_longer_than_their_age() {
    let mut lateness = Lateness::default();
    for call in 0..4096_u32 {
        if call % 100 == 99 {
            lateness.record_cancelled(2.5);
        } else {
            lateness.record(0.5 + f64::from(call % 64) / 64.0);
        }
    }
    let threshold = lateness.hedge_threshold();
    assert!(threshold <= 1.5, "{threshold}");
}
