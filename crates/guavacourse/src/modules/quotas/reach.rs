//! Which processes do not answer exchanges.

use std::time::Duration;

use crate::modules::{collections::Map, time::Time};

/// Number of calls in a row without an answer after which a process is left out. One
/// late answer is no reason to choose another.
const MAX_FAILURES: u32 = 2;

/// Time for which a process is left out at first; it doubles with each further call that
/// it does not answer, up to the maximum. Longer ones would delay the exchange with a
/// process that has only just become the first of its data centre.
const MIN_PERIOD: Duration = Duration::from_secs(1);
const MAX_PERIOD: Duration = Duration::from_secs(2);

/// Processes that did not answer the last call.
#[derive(Clone, Debug, Default)]
pub struct Reach(Map<String, Silence>);

#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// Calls in a row without an answer.
    failures: u32,
    /// When it may be called again.
    until: Time,
}

impl Reach {
    /// Records that a process answered.
    pub fn answered(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Records that a process did not answer.
    pub fn failed(&mut self, name: &str, now: Time) {
        let silence = self.0.entry(name.to_owned()).or_default();
        silence.failures += 1;
        if let Some(steps) = silence.failures.checked_sub(MAX_FAILURES) {
            let period = MIN_PERIOD.saturating_mul(2_u32.saturating_pow(steps));
            silence.until = now.after(period.min(MAX_PERIOD));
        }
    }

    /// Returns whether a process may be called.
    #[must_use]
    pub fn answers(&self, name: &str, now: Time) -> bool {
        self.0.get(name).is_none_or(|silence| now >= silence.until)
    }

    /// Forgets processes that have left.
    pub fn retain(&mut self, member: impl Fn(&str) -> bool) {
        self.0.retain(|name, _| member(name));
    }
}
