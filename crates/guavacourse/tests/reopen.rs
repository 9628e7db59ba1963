//! Backoff before a broken session is reopened.

use std::time::Duration;

use guavacourse::modules::reopen::ReopenBackoff;

const UNSTABLE_AGE: Duration = Duration::from_secs(9);
const STABLE_AGE: Duration = Duration::from_secs(10);

/// Returns the delays in milliseconds after sessions that broke at the given ages.
fn delays(ages: &[Duration]) -> Vec<Option<u128>> {
    let mut reopen = ReopenBackoff::default();
    let delays = ages.iter().map(|age| {
        reopen.broke(*age);
        reopen.wait().map(|wait| wait.as_millis())
    });
    delays.collect()
}

#[test]
fn delays_double_until_the_tries_run_out() {
    let expected = [500, 1_000, 2_000, 4_000, 8_000].map(Some);
    assert_eq!(delays(&[Duration::ZERO; 6])[..5], expected);
    assert_eq!(delays(&[Duration::ZERO; 6])[5], None);
}

#[test]
fn a_stable_session_resets_the_delays() {
    let ages = [UNSTABLE_AGE, UNSTABLE_AGE, STABLE_AGE, UNSTABLE_AGE];
    let expected = [500, 1_000, 500, 1_000].map(Some);
    assert_eq!(delays(&ages), expected);
}

#[test]
fn no_reopening_after_an_orderly_end() {
    let mut reopen = ReopenBackoff::default();
    reopen.broke(UNSTABLE_AGE);
    reopen.ended();
    assert_eq!(reopen.wait(), None);
}
