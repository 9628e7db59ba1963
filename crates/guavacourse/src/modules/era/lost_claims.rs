//! When claims of callers' own keys may have been lost with an older copy of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Key of the record in the store.
pub const ERA_KEY: &str = "eras/claims";

/// Largest difference that is allowed for between the clocks of two machines.
const CLOCK_SKEW: Duration = Duration::from_mins(1);

/// The era of the store that the fleet has acknowledged. It is kept in the store, so that
/// a process which starts later knows of the restore; a store that goes back to an older
/// copy loses it too, and then it names an era that has passed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EraRecord {
    /// The era.
    pub era: u64,
    /// When a process first noticed it, in milliseconds since the Unix epoch; 0 if no
    /// claim was lost when it began.
    pub noticed: u64,
}

impl EraRecord {
    /// Returns the record to write once the store is in `era` and holds `found`; `None` if
    /// that names the era already. Without any record, claims may have been lost unless
    /// the era is the first.
    #[must_use]
    pub fn acknowledge(found: Option<Self>, era: u64, now: u64) -> Option<Self> {
        let first = found.is_none() && era <= 1;
        let known = found.is_some_and(|found| found.era >= era);
        (!known).then_some(Self {
            era,
            noticed: if first { 0 } else { now },
        })
    }

    /// Returns whether a key without a claim may have had one that was lost. Claims older
    /// than `retention` are not needed any more.
    #[must_use]
    pub fn claims_lost(self, now: u64, retention: Duration) -> bool {
        let kept = u64::try_from((retention + CLOCK_SKEW).as_millis()).unwrap_or(u64::MAX);
        self.noticed > 0 && now < self.noticed.saturating_add(kept)
    }
}
