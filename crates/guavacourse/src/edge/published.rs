//! Snapshots that one thread publishes and others read.

use std::sync::{Arc, PoisonError, RwLock};

/// Holds the latest snapshot. Clones share the same holder.
#[derive(Debug, Default)]
pub struct Published<T>(Arc<RwLock<Arc<T>>>);

impl<T> Clone for Published<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Published<T> {
    /// Creates a holder with a first snapshot.
    #[must_use]
    pub fn new(first: T) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(first))))
    }

    /// Returns the latest snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<T> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the snapshot.
    pub fn store(&self, next: T) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
    }
}
