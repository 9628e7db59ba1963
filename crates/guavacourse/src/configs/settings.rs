//! The settings file of one process.

use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    entry::EntryConfig, ledger::LedgerConfig, log::LogConfig, node::NodeConfig, relay::RelayConfig,
};

/// All settings of one entry or relay process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// How an entry serves its callers.
    pub entry: EntryConfig,
    /// Limits on the tickets and outcomes that an entry keeps.
    pub ledger: LedgerConfig,
    /// How the log is written.
    pub log: LogConfig,
    /// Name, data centre and addresses of the process.
    pub node: NodeConfig,
    /// How a relay makes calls to backend servers.
    pub relay: RelayConfig,
}

/// Why a settings file was refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; give the path of a settings file with --config")]
    Read {
        /// The file.
        path: String,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {source}\ncorrect or remove the key")]
    Parse {
        /// The file.
        path: String,
        /// The parser's error, with the line.
        source: Box<toml::de::Error>,
    },
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: name.clone(),
            source,
        })?;
        toml::from_str(&text).map_err(|source| SettingsError::Parse {
            path: name,
            source: Box::new(source),
        })
    }
}
