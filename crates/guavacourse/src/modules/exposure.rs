//! Whether a request can have run, seen over all its attempts.

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
    /// No byte has left for a backend server.
    #[default]
    Unsent,
    /// A backend server, or the relay before it, provably did not start it.
    Refused,
    /// A backend server may have run it, may be running it, or may run it yet.
    MaybeRun,
}

impl Exposure {
    /// Returns the exposure that the outcome of one attempt leaves.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::NotRun(NotRun::Cancelled) => Self::Unsent,
            Outcome::NotRun(_) | Outcome::Elsewhere(_) => Self::Refused,
            Outcome::Failed(_) | Outcome::Rows(_) | Outcome::Unknown(_) => Self::MaybeRun,
        }
    }

    /// Returns the exposure of both taken together: the greater one.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }

    /// Tells whether a refusal may say that the request did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        self != Self::MaybeRun
    }
}
