//! Keeps the most recent requests so that operators can look one up.

use std::collections::VecDeque;

use super::collections::Map;

/// Largest number of recent requests that one process keeps.
pub const MAX_RECENT: usize = 4096;

/// Entries for the most recent requests, by request id.
#[derive(Clone, Debug)]
pub struct RecentRequests<T> {
    order: VecDeque<String>,
    entries: Map<String, T>,
}

impl<T> Default for RecentRequests<T> {
    fn default() -> Self {
        Self {
            order: VecDeque::new(),
            entries: Map::default(),
        }
    }
}

impl<T> RecentRequests<T> {
    /// Adds `entry`, and removes the oldest one beyond [`MAX_RECENT`].
    pub fn push(&mut self, id: impl Into<String>, entry: T) {
        let id = id.into();
        if self.entries.insert(id.clone(), entry).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_RECENT
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }

    /// Returns the entry of a request, if it is still kept.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&T> {
        self.entries.get(id)
    }
}
