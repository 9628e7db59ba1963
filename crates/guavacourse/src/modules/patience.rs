//! How long callers have waited before their request came.

use std::time::Duration;

use super::collections::Map;

/// Kinds that are remembered; callers cannot make this grow.
const KINDS_MAX: usize = 1_024;

/// The longest time that callers have allowed for a request, by kind: that is
/// what they begin with, and what is missing from it has passed already.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    longest: Map<String, Duration>,
}

impl Patience {
    /// Returns for how long the caller of a request has waited who allows `left`
    /// from now on.
    pub fn age(&mut self, kind: &str, left: Duration) -> Duration {
        if let Some(longest) = self.longest.get_mut(kind) {
            *longest = left.max(*longest);
            return longest.saturating_sub(left);
        }
        if self.longest.len() >= KINDS_MAX {
            self.longest.clear();
        }
        self.longest.insert(kind.to_owned(), left);
        Duration::ZERO
    }
}
