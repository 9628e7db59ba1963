//! Entries of the registry that cannot be read.

use super::DirectoryEvent;
use crate::modules::{
    collections::{Map, Set},
    partial_list::excerpt,
};

/// Maximum number of entries that are remembered and reported. Others are only counted.
const MAX_ENTRIES: usize = 256;

/// Maximum number of different faults of one entry that are reported.
const MAX_FAULTS: u32 = 4;

/// Counts entries that cannot be read, and reports each fault once.
#[derive(Debug, Default)]
pub(super) struct UnreadableEntries {
    /// Reported entries, by the start of their key.
    reported: Map<String, ReportedFault>,
    count: u64,
}

/// What was reported of an entry.
#[derive(Debug, Default)]
struct ReportedFault {
    /// The fault that was reported last.
    last: String,
    /// Number of reports.
    reports: u32,
}

impl UnreadableEntries {
    /// Counts an entry. Returns an event if its fault is to be reported.
    pub(super) fn record(&mut self, key: &str, fault: &str) -> Option<DirectoryEvent> {
        self.count += 1;
        let (key, fault) = (excerpt(key), excerpt(fault));
        if !self.reported.contains_key(key) && self.reported.len() >= MAX_ENTRIES {
            return None;
        }
        let known = self.reported.entry(key.to_owned()).or_default();
        if known.reports >= MAX_FAULTS || (known.reports > 0 && known.last == fault) {
            return None;
        }
        known.reports += 1;
        fault.clone_into(&mut known.last);
        Some(DirectoryEvent::Unreadable {
            key: key.to_owned(),
            fault: fault.to_owned(),
        })
    }

    /// Forgets the reports of the entries that are not among `keys`.
    pub(super) fn retain(&mut self, keys: &Set<String>) {
        let kept: Set<&str> = keys.iter().map(|key| excerpt(key)).collect();
        self.reported.retain(|key, _| kept.contains(key.as_str()));
    }

    /// Returns how often an entry could not be read.
    pub(super) fn count(&self) -> u64 {
        self.count
    }
}
