//! What an era of the registry allows.
//!
//! After an outage the registry may be restored from an older copy. Its era then rises
//! by one; revisions and lease ids go back and are given out again. Everything that was
//! read or granted belongs to the era of the answer that it came with.

mod lost_claims;

use serde::{Deserialize, Serialize};

pub use self::lost_claims::{ERA_KEY, EraRecord};

/// A position in the history of the registry: later eras come after earlier ones,
/// whatever their revisions.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The era; 0 if the registry names none.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl Position {
    /// Returns whether a state at this position comes from an older copy than a state at
    /// `known`: entries that it lacks may only be lost. That is not so for a process that
    /// knows nothing yet, or whose registry named no era until now.
    #[must_use]
    pub fn is_restored_after(self, known: Self) -> bool {
        known.era > 0 && self.era > known.era
    }
}

/// A lease, and the era that granted it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lease {
    /// Its id; 0 if there is none.
    pub id: u64,
    /// The era of the registry that granted it.
    pub era: u64,
}

impl Lease {
    /// Returns whether the lease may be renewed or ended in the era `current`. In a later
    /// era its id may belong to another holder.
    #[must_use]
    pub fn is_held_in(self, current: u64) -> bool {
        self.id != 0 && self.era == current
    }
}
