//! Configuration files on the operator's machine.

use std::{fs, path::Path};

use super::failure::Failure;
use crate::modules::{check, inventory::Config};

/// Prefix of the first line of a file, which names the revision that it was edited
/// from.
const HEADER_PREFIX: &str = "# guavacourse revision ";

/// A configuration file.
#[derive(Debug)]
pub(super) struct ConfigFile {
    /// Revision that the file was edited from, if its header names one.
    pub(super) base: Option<u64>,
    /// Text of the file, without the header.
    pub(super) text: String,
}

impl ConfigFile {
    /// Reads a file and splits off its header.
    pub(super) fn read(path: &Path) -> Result<Self, Failure> {
        let text = fs::read_to_string(path).map_err(|source| Failure::File {
            path: path.to_owned(),
            source,
        })?;
        let header = text.split_once('\n').and_then(|(first, rest)| {
            let base = first.strip_prefix(HEADER_PREFIX)?.trim().parse().ok()?;
            Some((base, rest.to_owned()))
        });
        Ok(match header {
            Some((base, text)) => Self {
                base: Some(base),
                text,
            },
            None => Self { base: None, text },
        })
    }

    /// Parses and checks the configuration. Line numbers of faults count the
    /// header.
    pub(super) fn check(&self, path: &Path) -> Result<Config, Failure> {
        check::read(&self.text).map_err(|mut faults| {
            if self.base.is_some() {
                // The parser did not see the header, which is the first line.
                for fault in &mut faults {
                    fault.shift_line(1);
                }
            }
            Failure::Faults {
                path: path.to_owned(),
                faults,
            }
        })
    }
}

/// Returns the text of a revision with a header that names it.
pub(super) fn with_header(revision: u64, text: &str) -> String {
    format!("{HEADER_PREFIX}{revision}\n{text}")
}
