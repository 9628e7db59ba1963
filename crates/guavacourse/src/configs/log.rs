//! Settings of the log.

use serde::{Deserialize, Serialize};

/// How a process writes its log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogConfig {
    /// Minimum level or a filter by module, such as `info` or `guavacourse=debug`.
    pub filter: String,
    /// Writes one JSON object a line.
    pub json: bool,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            filter: "info".to_owned(),
            json: false,
        }
    }
}
