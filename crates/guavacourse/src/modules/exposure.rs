//! Tracks whether a request may have run, over all its attempts.

use serde::{Deserialize, Serialize};

use super::call::{NotRun, Outcome};

/// How far a request, or one of its attempts, has got towards a backend server.
///
/// The order runs from the least to the most exposed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Exposure {
    /// No byte was sent to a backend server.
    #[default]
    Unsent,
    /// The backend server, or the relay in front of it, provably did not start it.
    Refused,
    /// A backend server may have run it, may be running it, or may still run it.
    MaybeRun,
}

impl Exposure {
    /// Returns the exposure that results from the outcome of one attempt.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::NotRun(NotRun::Cancelled) => Self::Unsent,
            Outcome::NotRun(_) | Outcome::Elsewhere(_) => Self::Refused,
            Outcome::Failed(_) | Outcome::Rows(_) | Outcome::Unknown(_) => Self::MaybeRun,
        }
    }

    /// Returns the combined exposure: the greater of the two.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns whether a refusal may state that the request did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        self != Self::MaybeRun
    }
}
