//! Benefit of hedges when some calls are slow, and the extra calls that they cost.

use std::time::Duration;

use crate::{
    setup::{Faults, Setup},
    simulation::{Measurements, run},
};

/// Returns the setup with 1 in 100 calls taking ten times as long.
fn with_stragglers(setup: &Setup) -> Setup {
    setup.with_faults(Faults {
        stragglers: 0.01,
        ..Faults::default()
    })
}

/// Runs a setup with the plain policy, with the adaptive policy without hedges,
/// and with the whole adaptive policy, and prints the figures. Returns the first
/// and the last.
fn compare(name: &str, setup: &Setup) -> (Measurements, Measurements) {
    let mut unhedged = setup.clone();
    unhedged.kind.hedge_budget = 0.0;
    let plain = run(&setup.plain());
    let adaptive = run(setup);
    println!("{name}: plain    {plain}");
    println!("{name}: unhedged {}", run(&unhedged));
    println!("{name}: adaptive {adaptive}");
    (plain, adaptive)
}

#[test]
fn hedges_cut_the_tail_for_the_association() {
    let (plain, adaptive) = compare("association", &with_stragglers(&Setup::association()));
    assert!(adaptive.latency_ms(0.99) <= plain.latency_ms(0.99) / 3.0);
    assert!(adaptive.extra_fraction() <= 0.05);
}

#[test]
fn hedges_cut_the_tail_for_fanos() {
    let (plain, adaptive) = compare("fanos", &with_stragglers(&Setup::fanos()));
    assert!(adaptive.latency_ms(0.99) <= plain.latency_ms(0.99) / 3.0);
    assert!(adaptive.extra_fraction() <= 0.05);
}

#[test]
fn no_hedges_on_a_saturated_tier() {
    let setup = Setup {
        load: 1.2,
        duration: Duration::from_secs(3),
        ..with_stragglers(&Setup::association())
    };
    let (_, adaptive) = compare("saturated", &setup);
    println!(
        "saturated: hedged {:.2}%",
        adaptive.hedge_fraction() * 100.0
    );
    assert!(adaptive.hedge_fraction() <= 0.005);
}

#[test]
fn few_hedges_in_a_steady_state() {
    let setup = Setup {
        duration: Duration::from_secs(4),
        ..Setup::loopback()
    };
    let (_, adaptive) = compare("steady", &setup);
    println!("steady: hedged {:.2}%", adaptive.hedge_fraction() * 100.0);
    assert!(adaptive.hedge_fraction() <= 0.01);
}

#[test]
fn hedges_cut_the_tail_on_loopback() {
    let setup = Setup {
        duration: Duration::from_secs(4),
        ..with_stragglers(&Setup::loopback())
    };
    let (plain, adaptive) = compare("loopback", &setup);
    assert!(adaptive.latency_ms(0.99) <= plain.latency_ms(0.99) / 3.0);
    assert!(adaptive.extra_fraction() <= 0.05);
}
