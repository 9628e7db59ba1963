//! Estimates how long callers have already waited when their request arrives.

use std::time::Duration;

use super::collections::Map;

/// Largest number of kinds for which a timeout is kept, so that callers cannot
/// make the map grow without limit.
const MAX_KINDS: usize = 1_024;

/// The longest time left that requests have arrived with, by kind. It is taken for
/// the timeout that callers start with, so a request with less time left has
/// already waited for the difference.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    longest: Map<String, Duration>,
}

impl WaitEstimator {
    /// Returns how long the caller of a request with `left` until its timeout has
    /// already waited.
    pub fn waited(&mut self, kind: &str, left: Duration) -> Duration {
        if let Some(longest) = self.longest.get_mut(kind) {
            *longest = left.max(*longest);
            return longest.saturating_sub(left);
        }
        if self.longest.len() >= MAX_KINDS {
            self.longest.clear();
        }
        self.longest.insert(kind.to_owned(), left);
        Duration::ZERO
    }
}
