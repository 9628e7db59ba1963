//! Log of the latest changes of a directory, for peers that follow it.
//!
//! A follower sends the position of the last change that it applied and gets the
//! changes after it. It gets the whole state if those changes are no longer held
//! or the position is of another incarnation.

use std::collections::VecDeque;

use super::directory::Change;

/// Maximum number of changes kept. A follower that has missed more gets the
/// whole state.
const MAX_CHANGES: usize = 1_024;

/// A position in the journal of one incarnation of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Incarnation of the process; 0 means none.
    pub incarnation: u64,
    /// Sequence number of the last change that was applied.
    pub sequence: u64,
}

/// What a follower needs to catch up.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// The changes since its cursor.
    Since(Vec<Change>),
    /// The whole state, because its cursor is unknown here.
    FullState,
}

/// The latest changes, numbered in sequence.
#[derive(Debug)]
pub struct Journal {
    incarnation: u64,
    sequence: u64,
    changes: VecDeque<Change>,
}

impl Journal {
    /// Creates the empty journal of an incarnation.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            changes: VecDeque::new(),
        }
    }

    /// Appends changes, and drops the oldest ones that exceed the bound.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            self.sequence += 1;
            self.changes.push_back(change);
        }
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
    }

    /// Returns the position of the latest change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Returns what a follower at `cursor` needs to catch up.
    #[must_use]
    pub fn since(&self, cursor: Cursor) -> CatchUp {
        let missed = self.sequence.checked_sub(cursor.sequence);
        let missed = missed.and_then(|missed| usize::try_from(missed).ok());
        let available = missed.filter(|missed| *missed <= self.changes.len());
        match available {
            Some(missed) if cursor.incarnation == self.incarnation => {
                let start = self.changes.len() - missed;
                CatchUp::Since(self.changes.range(start..).cloned().collect())
            }
            _ => CatchUp::FullState,
        }
    }
}
