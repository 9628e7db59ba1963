//! Counts how calls are placed and what is shared, for the metrics of the process.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a call that is placed by load goes to its leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementCause {
    /// The leaf is in the region of the process.
    Near,
    /// The leaf is in another region and expected to answer about as soon.
    Spread,
    /// The latest report of the leaf came from a peer.
    PeerReport,
}

/// A number that the traffic thread changes and the metrics read.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Returns the number.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, number: usize) {
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        self.0.fetch_add(number, Ordering::Relaxed);
    }
}

/// Numbers of calls and observations since the thread started.
#[derive(Debug, Default)]
pub struct PlacementCounts {
    /// Calls placed by load on a leaf in the region of the process.
    pub near: Count,
    /// Calls placed by load on a leaf in another region.
    pub spread: Count,
    /// Calls placed by load on a leaf whose latest report came from a peer.
    pub peer_report: Count,
    /// Observations sent to peers.
    pub sent: Count,
    /// Observations received from peers.
    pub received: Count,
    /// Received ones with a report that was newer than the one known.
    pub merged: Count,
}

impl PlacementCounts {
    pub(super) fn add_call(&self, cause: PlacementCause) {
        let count = match cause {
            PlacementCause::Near => &self.near,
            PlacementCause::Spread => &self.spread,
            PlacementCause::PeerReport => &self.peer_report,
        };
        count.add(1);
    }
}
