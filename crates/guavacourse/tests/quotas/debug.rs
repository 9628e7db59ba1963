use crate::{fleet::Fleet, steady::customers};
use std::time::Duration;
#[test]
fn debug_levels() {
    let mut fleet = Fleet::large(customers(), 22);
    fleet.run(Duration::from_secs(12));
    fleet.clear();
    fleet.loads[2].factor = 7.5;
    let q = fleet.loads[2].customer.quota.unwrap();
    let mut level = q.burst;
    let mut last = 0;
    for _ in 0..30 {
        fleet.run(Duration::from_millis(100));
        let n = fleet.tallies[2].admitted.len();
        level = (level + q.rate * 0.1 - (n - last) as f64).min(q.burst);
        let l = fleet.levels(2);
        let f = |a: &[f64]| {
            a.iter()
                .map(|x| format!("{x:.0}"))
                .collect::<Vec<_>>()
                .join(" ")
        };
        println!(
            "{:?} +{} true {level:.0} firsts&strong {} | rest {}",
            fleet.now.0 / 1000,
            n - last,
            f(&l[..12]),
            f(&l[12..])
        );
        last = n;
    }
}
