//! Ensures that an answer is drawn from one index version and one partition epoch.

use super::{call::Rows, keys::KeyRange};

/// The snapshot of the index that one answer is drawn from.
///
/// Version 0 means that no version is pinned yet: leaves are asked for their newest
/// version, and the first usable reply pins its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pin {
    /// Index version; 0 before it is pinned.
    pub version: u64,
    /// Partition epoch of the plan.
    pub epoch: u64,
    lowered: bool,
    restarted: bool,
}

/// Index versions that a leaf is known to hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownVersions {
    /// Oldest version; 0 if not known.
    pub oldest: u64,
    /// Newest version.
    pub newest: u64,
}

impl KnownVersions {
    /// Returns whether the leaf may hold `version`; 0 stands for its newest.
    #[must_use]
    pub fn may_hold(self, version: u64) -> bool {
        version == 0 || (self.oldest..=self.newest).contains(&version)
    }
}

/// Returns the newest version that all holders are known to hold. Holders whose
/// versions are not known are ignored. If the newest version of one holder is older
/// than the oldest of another, returns the latter, because versions move forward.
pub fn shared_version(known: impl IntoIterator<Item = Option<KnownVersions>>) -> Option<u64> {
    let shared = known.into_iter().flatten().reduce(|a, b| KnownVersions {
        oldest: a.oldest.max(b.oldest),
        newest: a.newest.min(b.newest),
    });
    shared.map(|known| known.newest.max(known.oldest))
}

/// What to do with the rows of one reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowsVerdict {
    /// Merge them: they belong to the pinned snapshot.
    Merge,
    /// Ask the same leaf again, now for the pinned version.
    AskAgain,
    /// Merge them: the pin was lowered to their version, and rows of other versions
    /// must be requested again.
    Lowered,
    /// Never merge them: they belong to another snapshot or key range.
    Discard,
}

impl Pin {
    /// Creates a pin without a version: leaves are asked for their newest one.
    #[must_use]
    pub fn unpinned(epoch: u64) -> Self {
        Self {
            version: 0,
            epoch,
            lowered: false,
            restarted: false,
        }
    }

    /// Pins the version that all leaves share, if none is pinned yet.
    pub fn pin_shared_version(&mut self, known: impl IntoIterator<Item = Option<KnownVersions>>) {
        if self.version == 0 {
            self.version = shared_version(known).unwrap_or_default();
        }
    }

    /// Decides what to do with rows that were requested at version `asked` for the
    /// `planned` keys, and pins or lowers the version if they call for it.
    pub fn classify(&mut self, asked: u64, planned: KeyRange, rows: &Rows) -> RowsVerdict {
        let valid = rows.version > 0 && rows.epoch == self.epoch && rows.range == planned;
        if !valid {
            return RowsVerdict::Discard;
        }
        if self.version == 0 {
            self.version = rows.version;
        }
        if rows.version == self.version {
            return RowsVerdict::Merge;
        }
        if asked != 0 {
            return RowsVerdict::Discard;
        }
        if rows.version > self.version {
            return RowsVerdict::AskAgain;
        }
        if self.lowered || self.restarted {
            return RowsVerdict::Discard;
        }
        self.lowered = true;
        self.version = rows.version;
        RowsVerdict::Lowered
    }

    /// Returns whether the only restart that a query may make has happened.
    #[must_use]
    pub fn restarted(&self) -> bool {
        self.restarted
    }

    /// Moves the pin to another snapshot after a shard no longer holds this
    /// one. Happens once per query; returns whether it did.
    pub fn restart(&mut self, version: u64, epoch: u64) -> bool {
        let moved = version != self.version || epoch != self.epoch;
        let allowed = moved && !self.restarted && epoch >= self.epoch;
        if allowed {
            self.version = version;
            self.epoch = epoch;
            self.restarted = true;
        }
        allowed
    }
}
