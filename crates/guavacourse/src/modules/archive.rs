//! Keeps the bodies of the latest configuration revisions, from which deltas for
//! peers are made.

use std::sync::Arc;

use super::{adoption::Stamp, delta::Delta};

/// Number of revisions whose bodies are kept.
const MAX_REVISIONS: usize = 4;

/// The body of one configuration revision.
#[derive(Debug)]
pub struct Body {
    /// Revision and digest of the body.
    pub stamp: Stamp,
    /// The text, as the operator applied it.
    pub text: String,
}

/// The latest bodies, oldest first. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    bodies: Vec<Arc<Body>>,
}

/// What a peer needs to reach the newest body.
#[derive(Clone, Debug)]
pub enum Transfer {
    /// The lines that changed since the revision that the peer holds.
    Delta(Delta),
    /// The whole body.
    Whole(Arc<Body>),
}

impl Archive {
    /// Adds the newest body and drops the oldest if there are too many.
    pub fn push(&mut self, body: Body) {
        self.bodies.push(Arc::new(body));
        let surplus = self.bodies.len().saturating_sub(MAX_REVISIONS);
        self.bodies.drain(..surplus);
    }

    /// Returns the newest body.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<Body>> {
        self.bodies.last()
    }

    /// Returns the body of a revision, if it is kept.
    #[must_use]
    pub fn find(&self, revision: u64) -> Option<Arc<Body>> {
        let found = self.bodies.iter().find(|b| b.stamp.revision == revision);
        found.map(Arc::clone)
    }

    /// Returns what to send to a peer that holds revision `have`; `None` if there
    /// is no body yet. A delta that is no shorter than the body is not used.
    #[must_use]
    pub fn transfer(&self, have: u64) -> Option<Transfer> {
        let newest = self.newest()?;
        let Some(base) = self.find(have) else {
            return Some(Transfer::Whole(Arc::clone(newest)));
        };
        let delta = Delta::between(&base.text, &newest.text);
        let added = delta.hunks.iter().flat_map(|h| &h.added);
        let bytes: usize = added.map(String::len).sum();
        if bytes >= newest.text.len() {
            return Some(Transfer::Whole(Arc::clone(newest)));
        }
        Some(Transfer::Delta(delta))
    }
}
