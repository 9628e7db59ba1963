//! How old the control thread's knowledge of the registry is, for the traffic thread.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::modules::time::Time;

/// Value while nothing is known.
const NEVER: u64 = 0;

/// When the process last knew that it was up to date. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness(Arc<AtomicU64>);

impl Freshness {
    /// Records that the process was up to date at `at`. Times before one that was
    /// recorded are ignored.
    pub(super) fn record(&self, at: Time) {
        self.0.fetch_max(at.0.max(NEVER + 1), Ordering::Relaxed);
    }

    /// Returns the time since the process last knew that it was up to date; `None` if it
    /// never did.
    pub(super) fn age(&self, now: Time) -> Option<Duration> {
        let at = self.0.load(Ordering::Relaxed);
        (at != NEVER).then(|| now.since(Time(at)))
    }
}
