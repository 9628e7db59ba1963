//! Fingerprints of request content that crashed backend servers, as exchanged
//! between peers. Each expires at an age that all processes count alike.

use std::time::Duration;

use super::{
    collections::{Map, Set},
    time::Time,
};

/// Age at which a fingerprint is allowed again.
pub const BLOCK_DURATION: Duration = Duration::from_mins(30);

/// Maximum number of blocked fingerprints; the oldest is evicted.
const MAX_ENTRIES: usize = 256;

/// A fingerprint and how long ago it was first blocked.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BlockedContent {
    /// Hash of kind and body of the request.
    pub fingerprint: u64,
    /// Time since it was blocked.
    pub age: Duration,
}

/// The blocked fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Blocklist {
    /// When each fingerprint expires.
    expiries: Map<u64, Time>,
}

impl Blocklist {
    /// Blocks a fingerprint; returns whether it was not blocked before.
    pub fn add(&mut self, blocked: BlockedContent, now: Time) -> bool {
        let remaining = BLOCK_DURATION.saturating_sub(blocked.age);
        if remaining.is_zero() || self.expiries.contains_key(&blocked.fingerprint) {
            return false;
        }
        self.make_room();
        self.expiries
            .insert(blocked.fingerprint, now.after(remaining));
        true
    }

    /// Removes expired fingerprints; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.expiries.len();
        self.expiries.retain(|_, expiry| *expiry > now);
        self.expiries.len() < before
    }

    /// Returns the blocked fingerprints with their ages.
    #[must_use]
    pub fn entries(&self, now: Time) -> Vec<BlockedContent> {
        let entry = |(fingerprint, expiry): (&u64, &Time)| BlockedContent {
            fingerprint: *fingerprint,
            age: BLOCK_DURATION.saturating_sub(expiry.left(now)),
        };
        let mut entries: Vec<BlockedContent> = self.expiries.iter().map(entry).collect();
        entries.sort_unstable_by_key(|b| b.fingerprint);
        entries
    }

    /// Returns the blocked fingerprints.
    #[must_use]
    pub fn fingerprints(&self) -> Set<u64> {
        self.expiries.keys().copied().collect()
    }

    fn make_room(&mut self) {
        if self.expiries.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self.expiries.iter().min_by_key(|(_, expiry)| **expiry);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.expiries.remove(&fingerprint);
        }
    }
}
