//! Decides whether keys are accepted by a process that may not know of revoked ones.

use std::time::Duration;

/// How soon a revoked key must be refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Revocation {
    /// Age of the configuration from which no key is accepted, because it may have been
    /// revoked meanwhile; `None` accepts the keys that were known last.
    pub strict_limit: Option<Duration>,
}

impl Revocation {
    /// Returns whether keys are accepted by a process that last knew `age` ago that it
    /// was up to date (`None`: never).
    #[must_use]
    pub fn accepts(&self, age: Option<Duration>) -> bool {
        let Some(limit) = self.strict_limit else {
            return true;
        };
        age.is_some_and(|age| age <= limit)
    }
}
