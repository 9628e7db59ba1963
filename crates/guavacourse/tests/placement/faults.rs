//! Tests how calls are placed while leaves are slow, lie about their load or lose answers.

use std::time::Duration;

use guavacourse::modules::placement::load_report::LoadReport;

use crate::replay::{Figures, LeafPlan, Plan, Reports, replay};

const FAULT_FROM: Duration = Duration::from_secs(10);
const FAULT_UNTIL: Duration = Duration::from_secs(18);
const LASTS: Duration = Duration::from_secs(35);

/// Returns 13 leaves of 3 slots and 120 ms of work that 25 processes call.
fn plan() -> Plan {
    let leaf = |n: usize| LeafPlan {
        region: n % 3,
        ..LeafPlan::default()
    };
    Plan {
        leaves: (0..13).map(leaf).collect(),
        slots: 3,
        work: Duration::from_millis(120),
        choosers: 25,
        rate: 60.0,
        lasts: LASTS,
        by_load: true,
        exchange: true,
        seed: 7,
    }
}

/// Returns 3 leaves of 4 slots and 15 ms of work that 60 processes call.
fn shard_plan() -> Plan {
    let mut plan = plan();
    plan.leaves.truncate(3);
    Plan {
        slots: 4,
        work: Duration::from_millis(15),
        choosers: 60,
        rate: 240.0,
        ..plan
    }
}

fn in_fault(at: Duration) -> bool {
    (FAULT_FROM..FAULT_UNTIL).contains(&at)
}

/// Returns the largest number of calls that one chooser sent to the first leaf from half a
/// second after the fault began until its end.
fn most_calls(figures: &Figures, choosers: usize) -> usize {
    let from = FAULT_FROM + Duration::from_millis(500);
    let sent = |chooser| {
        let calls = figures.calls.iter();
        let calls = calls.filter(|call| call.chooser == chooser && call.leaf == 0);
        calls
            .filter(|call| (from..FAULT_UNTIL).contains(&call.sent))
            .count()
    };
    (0..choosers).map(sent).max().unwrap_or_default()
}

/// Guards against calls that wait at a machine that has become 12 times slower, and against
/// one that stays unused after it has recovered.
#[test]
fn a_leaf_that_becomes_slow_is_left_and_used_again() {
    for exchange in [false, true] {
        let mut plan = Plan {
            exchange,
            ..shard_plan()
        };
        plan.leaves[0].pace = |at| if in_fault(at) { 1_200 } else { 100 };
        let figures = replay(&plan);
        let usual = figures.share(0, Duration::from_secs(5), FAULT_FROM);
        let slow = figures.share(0, FAULT_FROM + Duration::from_millis(500), FAULT_UNTIL);
        let most = most_calls(&figures, plan.choosers);
        let later = figures.share(0, FAULT_UNTIL + Duration::from_secs(4), LASTS);
        println!(
            "12 times slower, exchange {exchange}: share of calls {usual:.3}, {slow:.3} while slow, at most {most} of one chooser, {later:.3} from 4 s after"
        );
        assert!(slow < usual / 5.0);
        assert!(most <= 6);
        assert!(later > usual / 2.0);
    }
}

/// Guards against reports that take a leaf out of use or send most calls to it.
#[test]
fn false_reports_cost_a_bounded_factor() {
    /// A leaf that always reports a long queue, and is the near one of half of the
    /// processes, costs these the distance to another.
    const MAX_FACTOR: f64 = 1.5;
    let inverted: Reports = |report, _| LoadReport {
        running: report.slots.saturating_sub(report.running),
        waiting: 4_u32.saturating_sub(report.waiting),
        pace: report.pace.map(|pace| 10_000 / pace),
        ..report
    };
    let idle: Reports = |report, _| LoadReport {
        running: 0,
        waiting: 0,
        pace: Some(100),
        ..report
    };
    let busy: Reports = |report, _| LoadReport {
        running: report.slots,
        waiting: 50,
        pace: Some(1_200),
        ..report
    };
    let random: Reports = |report, rng| LoadReport {
        running: rng.u32(0..=report.slots),
        waiting: rng.u32(0..20),
        pace: Some([100, 250, 1_200][rng.usize(..3)]),
        ..report
    };
    let cases = [
        ("inverted", inverted),
        ("idle", idle),
        ("busy", busy),
        ("random", random),
    ];
    for (plan, size) in [(shard_plan(), 3), (plan(), 13)] {
        let truthful = replay(&plan).mean_latency();
        for (name, reports) in cases {
            for liars in [1, size] {
                let mut lying = plan.clone();
                for leaf in &mut lying.leaves[..liars] {
                    leaf.reports = reports;
                }
                let figures = replay(&lying);
                let factor = figures.mean_latency() / truthful;
                let shares = (0..size).map(|n| figures.share(n, Duration::from_secs(5), LASTS));
                let least = shares.fold(1.0, f64::min);
                println!(
                    "{name} reports of {liars} of {size}: {factor:.2} times the latency, least share {least:.3}"
                );
                assert!(factor < MAX_FACTOR, "{name}, {liars} of {size}");
                assert!(least > 0.0, "{name}, {liars} of {size}");
            }
        }
    }
}

/// Guards against each process learning only by its own losses that a leaf's answers are
/// lost.
#[test]
fn peers_observations_spare_calls_whose_answers_are_lost() {
    let mut plan = plan();
    for leaf in &mut plan.leaves[..6] {
        leaf.lost = |at| if in_fault(at) { 0.4 } else { 0.0 };
    }
    let lost = |figures: &Figures| -> f64 {
        (0..6)
            .map(|n| figures.share(n, FAULT_FROM + Duration::from_secs(2), FAULT_UNTIL))
            .sum()
    };
    let alone = replay(&Plan {
        exchange: false,
        ..plan.clone()
    });
    let shared = replay(&plan);
    let (before, alone, shared) = (lost(&replay(&plan.before())), lost(&alone), lost(&shared));
    println!(
        "6 of 13 leaves lose 40%: share of calls to them {before:.3} before, {alone:.3} alone, {shared:.3} shared"
    );
    assert!(shared < alone);
    assert!(shared < before / 2.0);
}
