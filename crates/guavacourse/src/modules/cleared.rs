//! Remembers request content that a backend server has recently run without
//! crashing.

use std::{collections::VecDeque, time::Duration};

use super::{collections::Map, time::Time};

/// Maximum number of contents remembered; the oldest is evicted.
const MAX_CONTENTS: usize = 4_096;

/// Age at which content no longer counts as harmless, because the index behind
/// the backend servers changes.
const CLEARED_TTL: Duration = Duration::from_mins(10);

/// Fingerprints of harmless content, with the time when it last ran.
#[derive(Clone, Debug, Default)]
pub struct ClearedContents {
    order: VecDeque<u64>,
    times: Map<u64, Time>,
}

impl ClearedContents {
    /// Records that a backend server ran content to completion.
    pub fn add(&mut self, content: u64, now: Time) {
        if self.times.insert(content, now).is_some() {
            return;
        }
        self.order.push_back(content);
        if self.order.len() > MAX_CONTENTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.times.remove(&oldest);
        }
    }

    /// Returns whether content is known to be harmless.
    #[must_use]
    pub fn contains(&self, content: u64, now: Time) -> bool {
        let seen = self.times.get(&content);
        seen.is_some_and(|seen| now.since(*seen) < CLEARED_TTL)
    }
}
