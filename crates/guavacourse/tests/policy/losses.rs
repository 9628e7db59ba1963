//! Loss of a data centre: its leaves and its relay, but not its entry.

use crate::{
    setup::{Faults, Setup},
    simulation::run,
};
use guavacourse::modules::time::Time;

/// When the data centre is lost.
const LOST_AT: Time = Time(5_000_000);
/// When coverage must be back: 2 s after the loss.
const RECOVERED_BY: Time = Time(7_000_000);
const END: Time = Time(10_000_000);

#[test]
fn coverage_is_back_within_two_seconds() {
    for (name, setup) in [
        ("association", Setup::association()),
        ("fanos", Setup::fanos()),
    ] {
        let setup = Setup {
            duration: END.since(Time::default()),
            ..setup.with_faults(Faults {
                lost_dc: Some((0, LOST_AT)),
                ..Faults::default()
            })
        };
        let plain = run(&setup.plain());
        let adaptive = run(&setup);
        for (policy, measured) in [("plain   ", &plain), ("adaptive", &adaptive)] {
            println!(
                "{name}: {policy} first 2 s {}",
                measured.within(LOST_AT..RECOVERED_BY)
            );
            println!(
                "{name}: {policy} from 2 s  {}",
                measured.within(RECOVERED_BY..END)
            );
        }
        let (plain, adaptive) = (
            plain.within(RECOVERED_BY..END),
            adaptive.within(RECOVERED_BY..END),
        );
        assert!(adaptive.mean_coverage() >= 0.999);
        assert!(adaptive.latency_ms(0.99) < plain.latency_ms(0.99));
    }
}
