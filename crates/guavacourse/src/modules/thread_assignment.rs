//! Assigns leaves to the threads of a relay.

use super::{catalog::LeafId, collections::Map};

/// Assigns leaves to threads in turn, in the order in which they are first seen. A
/// leaf stays with its thread, which holds its connections.
#[derive(Debug)]
pub struct ThreadAssignment {
    threads: usize,
    leaves: Map<LeafId, usize>,
}

impl ThreadAssignment {
    /// Creates an assignment to `threads` threads, at least one.
    #[must_use]
    pub fn new(threads: usize) -> Self {
        Self {
            threads: threads.max(1),
            leaves: Map::default(),
        }
    }

    /// Returns the index of the thread that calls a leaf, and assigns one if the
    /// leaf is new.
    pub fn thread(&mut self, leaf: LeafId) -> usize {
        let next = self.leaves.len() % self.threads;
        *self.leaves.entry(leaf).or_insert(next)
    }
}
