//! Settings of an entry.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How an entry serves its callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EntryConfig {
    /// Maximum size of a request body, in bytes.
    pub body_max: usize,
    /// Time for which an entry that shuts down still accepts callers, because the
    /// load balancer takes a while to stop sending them.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Threads that serve callers.
    pub threads: u16,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            body_max: 64 * 1024,
            linger: Duration::from_secs(2),
            threads: 2,
        }
    }
}
