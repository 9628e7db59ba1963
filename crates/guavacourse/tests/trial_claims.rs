//! When a process asks for the trial of quarantined content.

use std::time::Duration;

use guavacourse::modules::{
    crash_evidence::Trial,
    time::Time,
    trial_claims::{ClaimEnd, Permission, TrialClaims},
};

const CONTENT: u64 = 7;

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

fn ask(claims: &mut TrialClaims, now: u64) -> Permission {
    let trial = Trial {
        number: 1,
        due: at(2_000),
    };
    claims.ask(CONTENT, trial, at(now))
}

fn refuse(millis: u64) -> Permission {
    Permission::Refuse(Duration::from_millis(millis))
}

#[test]
fn a_trial_is_claimed_once_when_it_is_due() {
    let mut claims = TrialClaims::default();
    assert_eq!(ask(&mut claims, 500), refuse(1_500));
    assert_eq!(ask(&mut claims, 2_000), Permission::Claim);
    assert_eq!(ask(&mut claims, 2_001), refuse(500));
}

// Guards against callers that repeat the content and load the registry while no leaf runs.
#[test]
fn fruitless_claims_are_made_ever_more_rarely() {
    let mut claims = TrialClaims::default();
    let mut now = 2_000;
    let mut waits = Vec::new();
    for _ in 0..5 {
        assert_eq!(ask(&mut claims, now), Permission::Claim);
        claims.end(CONTENT, ClaimEnd::Fruitless, 3, at(now));
        let Permission::Refuse(wait) = ask(&mut claims, now) else {
            panic!("a claim at once");
        };
        waits.push(wait.as_millis());
        now += u64::try_from(wait.as_millis()).expect("short");
    }
    assert_eq!(waits, [500, 1_000, 2_000, 4_000, 4_000]);
}

#[test]
fn each_process_of_a_large_fleet_claims_more_rarely() {
    let mut claims = TrialClaims::default();
    assert_eq!(ask(&mut claims, 2_000), Permission::Claim);
    claims.end(CONTENT, ClaimEnd::Fruitless, 90, at(2_000));
    assert_eq!(ask(&mut claims, 2_000), refuse(4_500));
}
