//! Ranges of the key space over which a service is partitioned.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of keys in the key space of each service.
pub const KEY_SPACE: u32 = 65_536;

/// A half-open range of keys, `from` included and `until` excluded.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct KeyRange {
    /// First key of the range.
    pub from: u32,
    /// First key after the range.
    pub until: u32,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self {
        from: 0,
        until: KEY_SPACE,
    };

    /// Creates the range of keys from `from`, included, to `until`, excluded.
    #[must_use]
    pub fn new(from: u32, until: u32) -> Self {
        Self { from, until }
    }

    /// Returns the number of keys in the range.
    #[must_use]
    pub fn width(self) -> u32 {
        self.until.saturating_sub(self.from)
    }

    /// Returns whether `key` lies in the range.
    #[must_use]
    pub fn contains(self, key: u32) -> bool {
        (self.from..self.until).contains(&key)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.from, self.until)
    }
}
