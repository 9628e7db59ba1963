//! The head of the configuration in the platform's store.
//!
//! The body of each revision is written first, under its own key. The head
//! names the accepted revision and is updated by compare-and-swap. It lists the
//! latest operations, so that an operator whose reply was lost can find out
//! whether their own took effect.

use serde::{Deserialize, Serialize};

use super::adoption::Stamp;

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Maximum number of accepted changes that the head lists. The bodies of older
/// ones are deleted.
pub const MAX_TRAIL: usize = 32;

/// Returns the key of a body. It includes the operation's id, so that operators
/// who race for a revision write to different keys.
#[must_use]
pub fn body_key(revision: u64, operation: &str) -> String {
    format!("config/{revision}/{operation}")
}

/// One accepted change of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default)]
pub struct AcceptedChange {
    /// Revision and digest of the accepted body.
    pub stamp: Stamp,
    /// Unique id of the operation that made the change.
    pub operation: String,
    /// Who made the change.
    pub author: String,
    /// Time of the change in seconds since 1970, by the operator's clock.
    pub seconds: u64,
}

/// Value of the head.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default)]
pub struct Head {
    /// Accepted changes, oldest first, at most [`MAX_TRAIL`].
    pub trail: Vec<AcceptedChange>,
}

impl Head {
    /// Returns the latest accepted change; `None` before the first.
    #[must_use]
    pub fn current(&self) -> Option<&AcceptedChange> {
        self.trail.last()
    }

    /// Returns the latest accepted revision; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |a| a.stamp.revision)
    }

    /// Returns the change that `operation` made, if the trail lists it.
    #[must_use]
    pub fn find(&self, operation: &str) -> Option<&AcceptedChange> {
        self.trail.iter().find(|a| a.operation == operation)
    }

    /// Returns the change that made `revision`, if the trail lists it.
    #[must_use]
    pub fn at(&self, revision: u64) -> Option<&AcceptedChange> {
        self.trail.iter().find(|a| a.stamp.revision == revision)
    }

    /// Returns the head with `next` appended, and the oldest change if the trail no
    /// longer lists it.
    #[must_use]
    pub fn with_change(&self, next: AcceptedChange) -> (Self, Option<AcceptedChange>) {
        let mut trail = self.trail.clone();
        trail.push(next);
        let oldest = (trail.len() > MAX_TRAIL).then(|| trail.remove(0));
        (Self { trail }, oldest)
    }
}
