//! Decides when a broken session is reopened without a call that needs it.

use std::time::Duration;

/// Delay before the first try; it doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(500);

/// Tries after which only a call reopens the session.
const MAX_TRIES: u32 = 5;

/// Age from which a session counts as stable: if it breaks, the delays start
/// again from the first.
const STABLE_AGE: Duration = Duration::from_secs(10);

/// Exponential backoff for reopening one session.
#[derive(Clone, Debug, Default)]
pub struct ReopenBackoff {
    /// Tries since a session was last stable; `None` after an orderly end.
    tries: Option<u32>,
}

impl ReopenBackoff {
    /// Returns the delay before the next try; `None` if only a call opens the
    /// session.
    #[must_use]
    pub fn wait(&self) -> Option<Duration> {
        let tries = self.tries.filter(|tries| *tries < MAX_TRIES)?;
        Some(INITIAL_DELAY * 2_u32.pow(tries))
    }

    /// Records that the session broke at the given age, or could not be opened
    /// (an age of zero).
    pub fn broke(&mut self, age: Duration) {
        let tries = self.tries.filter(|_| age < STABLE_AGE);
        self.tries = Some(tries.map_or(0, |tries| tries + 1));
    }

    /// Records that the session ended in an orderly way.
    pub fn ended(&mut self) {
        self.tries = None;
    }
}
