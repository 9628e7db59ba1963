//! Settings of a relay.

use serde::{Deserialize, Serialize};

/// How a relay makes calls to backend servers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayConfig {
    /// Number of threads: one serves entries and makes the decisions, the others
    /// make the calls to leaves. A single thread does both.
    pub threads: u16,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self { threads: 1 }
    }
}
