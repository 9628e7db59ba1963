//! Choice of replicas with a slow leaf, and with inaccurate reports of queue lengths.

use crate::{
    setup::{Faults, QueueReports, Setup, SlowLeaf},
    simulation::{Measurements, run},
};
use guavacourse::modules::time::Time;

const SLOW_FROM: Time = Time(3_000_000);
const SLOW_UNTIL: Time = Time(6_000_000);
const END: Time = Time(12_000_000);

/// Returns the setup with one leaf taking ten times as long for three seconds.
fn with_slow_leaf(setup: &Setup) -> Setup {
    setup.with_faults(Faults {
        slow_leaf: Some(SlowLeaf {
            dc: 0,
            from: SLOW_FROM,
            until: SLOW_UNTIL,
            factor: 10.0,
        }),
        ..Faults::default()
    })
}

/// Counts the calls to the slow leaf that started within a span.
fn slow_leaf_calls(measured: &Measurements, from: Time, until: Time) -> usize {
    let calls = measured.slow_leaf_calls.iter();
    calls.filter(|at| (from..until).contains(at)).count()
}

#[test]
fn slow_leaf_is_avoided_until_it_recovers() {
    let mut setup = with_slow_leaf(&Setup::association());
    setup.duration = END.since(Time::default());
    setup.kind.hedge_budget = 0.0;
    let span = SLOW_FROM..SLOW_UNTIL;
    let adaptive = run(&setup);
    println!(
        "slow leaf: plain    {}",
        run(&setup.plain()).within(span.clone())
    );
    println!("slow leaf: adaptive {}", adaptive.within(span));
    let calls = [
        slow_leaf_calls(&adaptive, Time(0), SLOW_FROM),
        slow_leaf_calls(&adaptive, SLOW_FROM, SLOW_UNTIL),
        slow_leaf_calls(&adaptive, Time(9_000_000), END),
    ];
    println!("slow leaf: calls before, while slow and from 3 s after: {calls:?}");
    assert!(calls[1] * 5 < calls[0], "the slow leaf is avoided");
    assert!(
        calls[2] * 2 > calls[0],
        "the leaf is used again after it has recovered"
    );
}

#[test]
fn misleading_reports_cost_little() {
    for (name, setup) in [
        ("association", Setup::association()),
        ("fanos", Setup::fanos()),
    ] {
        let run_with = |queue_reports| {
            let faults = Faults {
                stragglers: 0.01,
                queue_reports,
                ..Faults::default()
            };
            run(&setup.with_faults(faults))
        };
        let accurate = run_with(QueueReports::Accurate);
        println!("{name}: true reports     {accurate}");
        for (how, reported) in [
            ("inverted", QueueReports::Inverted),
            ("random", QueueReports::Random),
        ] {
            let inaccurate = run_with(reported);
            println!("{name}: {how} reports {inaccurate}");
            assert!(inaccurate.latency_ms(0.99) <= accurate.latency_ms(0.99) * 1.2);
        }
    }
}
