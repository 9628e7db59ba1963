//! Settings of the ticket ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits on the tickets and outcomes that an entry keeps.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LedgerConfig {
    /// Time for which a ticket may first be used after it was minted, and for
    /// which its outcome is kept after it ended.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Maximum size of the kept outcomes, in bytes; above it the oldest are dropped
    /// before their retention ends.
    pub kept_bytes: usize,
    /// Maximum number of concurrent actions; further ones are refused as not run.
    pub running: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            kept_bytes: 8 * 1024 * 1024,
            running: 1024,
        }
    }
}
