//! What the reports of several processes prove about request content.

use std::time::Duration;

use guavacourse::modules::{
    crash_evidence::{
        CrashEvidence, CrashReport, CrashedLeaf, FIRST_TRIAL_DELAY, MAX_TRIAL_DELAY, Trial,
    },
    time::Time,
};

const CONTENT: u64 = 666;

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

fn report(content: u64, leaf: &str) -> CrashReport {
    CrashReport {
        content,
        leaf: crashed(leaf),
        alone: false,
        trial: 0,
    }
}

fn crashed(leaf: &str) -> CrashedLeaf {
    CrashedLeaf {
        name: leaf.to_owned(),
        born: 1,
    }
}

#[test]
fn three_crashed_leaves_quarantine_content() {
    let mut evidence = CrashEvidence::default();
    for leaf in ["a", "b"] {
        assert!(evidence.add(report(CONTENT, leaf), at(1)));
    }
    assert!(!evidence.is_quarantined(CONTENT));
    assert!(evidence.suspected().contains(&CONTENT));
    assert!(evidence.add(report(CONTENT, "c"), at(2)));
    assert!(evidence.is_quarantined(CONTENT));
    assert!(evidence.suspected().is_empty());
    assert_eq!(evidence.leaves(CONTENT), ["a", "b", "c"].map(crashed));
}

#[test]
fn two_processes_that_lose_the_same_leaf_count_once() {
    let mut evidence = CrashEvidence::default();
    assert!(evidence.add(report(CONTENT, "a"), at(1)));
    assert!(!evidence.add(report(CONTENT, "a"), at(2)));
    evidence.add(report(CONTENT, "b"), at(3));
    assert!(!evidence.is_quarantined(CONTENT));
}

// A leaf that crashed may start again under its name.
#[test]
fn a_leaf_that_crashes_again_in_its_next_incarnation_counts_again() {
    let mut evidence = CrashEvidence::default();
    for born in 1..4 {
        let report = CrashReport {
            leaf: CrashedLeaf {
                name: "a".to_owned(),
                born,
            },
            ..report(CONTENT, "a")
        };
        assert!(evidence.add(report, at(born)));
    }
    assert!(evidence.is_quarantined(CONTENT));
}

#[test]
fn a_leaf_that_ran_nothing_else_quarantines_content() {
    let mut evidence = CrashEvidence::default();
    evidence.add(
        CrashReport {
            alone: true,
            ..report(CONTENT, "a")
        },
        at(1),
    );
    assert!(evidence.is_quarantined(CONTENT));
}

#[test]
fn a_removed_report_no_longer_counts() {
    let mut evidence = CrashEvidence::default();
    evidence.add(report(CONTENT, "a"), at(1));
    evidence.add(report(CONTENT, "b"), at(1));
    assert!(evidence.remove(CONTENT, &crashed("a")));
    evidence.add(report(CONTENT, "c"), at(1));
    assert!(!evidence.is_quarantined(CONTENT));
}

// The entries of the reports end with their lease, or while the registry is away.
#[test]
fn a_quarantine_outlasts_the_entries_of_its_reports() {
    let mut evidence = CrashEvidence::default();
    for leaf in ["a", "b", "c"] {
        evidence.add(report(CONTENT, leaf), at(1));
    }
    for leaf in ["a", "b", "c"] {
        assert!(!evidence.remove(CONTENT, &crashed(leaf)));
    }
    let end = at(1).after(FIRST_TRIAL_DELAY + MAX_TRIAL_DELAY);
    assert!(!evidence.expire(end.before(Duration::from_millis(1))));
    assert!(evidence.is_quarantined(CONTENT));
    assert_eq!(evidence.next_expiry(), Some(end));
    assert!(evidence.expire(end));
    assert!(evidence.quarantined().is_empty());
}

#[test]
fn the_number_of_contents_is_bounded() {
    let mut evidence = CrashEvidence::default();
    for content in 0..5_000 {
        evidence.add(report(content, "a"), at(content));
    }
    assert_eq!(evidence.suspected().len(), 1_024);
    assert!(evidence.suspected().contains(&4_999));
}

/// Returns evidence that quarantines the content since 1 ms.
fn quarantined() -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for leaf in ["a", "b", "c"] {
        evidence.add(report(CONTENT, leaf), at(1));
    }
    evidence
}

fn failed_trial(number: u32, leaf: &str) -> CrashReport {
    CrashReport {
        alone: true,
        trial: number,
        ..report(CONTENT, leaf)
    }
}

// Guards against a verdict on content that crashed no leaf, which nothing could lift.
#[test]
fn a_quarantine_ends_once_a_leaf_has_answered_the_content() {
    let mut evidence = quarantined();
    assert!(evidence.withdraw(CONTENT, &crashed("a")));
    assert!(!evidence.is_quarantined(CONTENT));
    assert!(evidence.suspected().contains(&CONTENT));
    assert!(evidence.withdraw(CONTENT, &crashed("b")));
    assert!(evidence.withdraw(CONTENT, &crashed("c")));
    assert!(!evidence.withdraw(CONTENT, &crashed("c")));
    assert!(evidence.suspected().is_empty());
}

#[test]
fn a_report_that_comes_late_is_withdrawn_with_the_others() {
    let mut evidence = quarantined();
    assert!(evidence.add(report(CONTENT, "d"), at(2)));
    assert_eq!(evidence.leaves(CONTENT).len(), 4);
    assert_eq!(evidence.trials()[&CONTENT], trial(1, 2_001));
}

fn trial(number: u32, due: u64) -> Trial {
    Trial {
        number,
        due: at(due),
    }
}

#[test]
fn trials_grow_rare() {
    let mut evidence = quarantined();
    assert_eq!(evidence.trials()[&CONTENT], trial(1, 2_001));
    let mut delays = Vec::new();
    for number in 1..6 {
        let begun = evidence.trials()[&CONTENT].due;
        evidence.add(failed_trial(number, &format!("t{number}")), begun);
        let next = evidence.trials()[&CONTENT];
        assert_eq!(next.number, number + 1);
        delays.push(next.due.since(begun).as_secs());
    }
    assert_eq!(delays, [16, 128, 1_024, 1_800, 1_800]);
    assert!(evidence.is_quarantined(CONTENT));
}

// A process that starts learns of all trials at once.
#[test]
fn a_process_that_starts_goes_on_with_the_next_trial() {
    for trials in [[1, 2], [2, 1]] {
        let mut evidence = quarantined();
        for number in trials {
            evidence.add(failed_trial(number, &format!("t{number}")), at(5_000));
        }
        assert_eq!(evidence.trials()[&CONTENT], trial(3, 133_000));
        let mut evidence = CrashEvidence::default();
        for number in trials {
            evidence.add(failed_trial(number, &format!("t{number}")), at(5_000));
        }
        assert_eq!(evidence.trials()[&CONTENT], trial(3, 133_000));
    }
}

#[test]
fn the_number_of_reports_is_bounded() {
    let mut evidence = CrashEvidence::default();
    for leaf in 0..100 {
        evidence.add(report(CONTENT, &format!("i-{leaf}")), at(leaf));
    }
    assert_eq!(evidence.reports().count(), 64);
    assert!(evidence.add(failed_trial(1, "t"), at(200)));
    assert_eq!(evidence.trials()[&CONTENT].number, 2);
}
