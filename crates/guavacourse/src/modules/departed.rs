//! Remembers leaves that have said they are leaving.

use std::collections::VecDeque;

use super::{catalog::LeafId, collections::Map};

/// Maximum number of leaves remembered; the oldest is forgotten.
const MAX_LEAVES: usize = 4_096;

/// Leaves that have said they are leaving, with the incarnation that said so. A leaf
/// stays here while the instance list does not name it: its entry lapses at times, and
/// returns although the leaf is still leaving.
#[derive(Clone, Debug, Default)]
pub struct DepartedLeaves {
    order: VecDeque<LeafId>,
    incarnations: Map<LeafId, u64>,
}

impl DepartedLeaves {
    /// Records that a leaf is leaving; `incarnation` is 0 if it is not known.
    pub fn add(&mut self, leaf: LeafId, incarnation: u64) {
        if self.incarnations.insert(leaf, incarnation).is_some() {
            return;
        }
        self.order.push_back(leaf);
        if self.order.len() > MAX_LEAVES
            && let Some(oldest) = self.order.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Returns the incarnation of a leaf that said it was leaving.
    #[must_use]
    pub fn incarnation(&self, leaf: LeafId) -> Option<u64> {
        self.incarnations.get(&leaf).copied()
    }
}
