//! Customers that exceed their quotas.

use std::time::Duration;

use crate::{fleet::Fleet, steady::customers};

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
        assert!(tally.admitted.len() as f64 >= 0.85 * rate * 30.0);
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
