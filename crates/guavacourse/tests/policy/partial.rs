//! Partial answers by kind: one kind favours low tail latency, another full
//! coverage.

use std::time::Duration;

use guavacourse::modules::inventory::Kind;

use crate::{
    setup::{Faults, Setup},
    simulation::{Measurements, run},
};

/// Age from which the kind that favours low tail latency accepts a coverage of 0.9.
const SETTLE_AGE: Duration = Duration::from_millis(12);

fn run_kind(name: &str, settle: Duration, least_coverage: f64) -> Measurements {
    let setup = Setup::association();
    let setup = Setup {
        kind: Kind {
            settle,
            least_coverage,
            ..setup.kind.clone()
        },
        ..setup
    };
    let measured = run(&setup.with_faults(Faults {
        stragglers: 0.01,
        ..Faults::default()
    }));
    println!("{name}: {measured}");
    measured
}

#[test]
fn settle_age_bounds_the_tail_of_its_kind_only() {
    let tail = run_kind("weighs the tail", SETTLE_AGE, 0.9);
    let coverage = run_kind("weighs coverage", Duration::ZERO, 1.0);
    assert!(tail.latency_ms(0.99) < coverage.latency_ms(0.99));
    assert!(tail.mean_coverage() > 0.99);
    assert!((coverage.mean_coverage() - 1.0).abs() < f64::EPSILON);
}
