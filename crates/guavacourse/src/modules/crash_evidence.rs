//! Combines what the processes of the fleet report about request content that crashes
//! backend servers.
//!
//! A process that loses a leaf knows only its own calls. Callers repeat a request at
//! any process, so the reports of all processes decide: content under which several
//! leaves have crashed, or one leaf that ran nothing else, is quarantined. That holds
//! for content which leaves ran before, too: data changes, and so does what it crashes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    collections::{Map, Set},
    quarantine::QUARANTINE_DURATION,
    time::Time,
};

/// Time in which a call that crashed its leaf may be answered by another leaf, which
/// shows that its content is harmless, before the crash is reported.
pub const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Number of crashed leaves from which content is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Maximum number of contents with reports; the oldest is evicted.
const MAX_CONTENTS: usize = 1_024;

/// A leaf that crashed. It may start again under its name, as another incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CrashedLeaf {
    /// Its name.
    pub name: String,
    /// Its incarnation; 0 if that is not known.
    pub born: u64,
}

/// A crash of a leaf while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CrashReport {
    /// Fingerprint of the request's content.
    pub content: u64,
    /// The leaf.
    pub leaf: CrashedLeaf,
    /// Whether the leaf ran nothing else.
    pub alone: bool,
}

/// What a relay has found out about request content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// This process's own trials prove that the content crashes leaves.
    Quarantined(u64),
    /// A leaf crashed while it ran the content.
    Crashed(CrashReport),
    /// A leaf has run to completion content that the fleet suspects.
    Completed(u64),
}

/// Reports of the fleet by content.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    contents: Map<u64, Reports>,
}

/// Reports about one content.
#[derive(Clone, Debug)]
struct Reports {
    /// Reports by leaf.
    crashes: Map<CrashedLeaf, CrashReport>,
    /// When the first report arrived.
    since: Time,
    /// When the quarantine ends, if there is one.
    until: Option<Time>,
}

impl CrashEvidence {
    /// Adds a report. Returns whether it is new.
    pub fn add(&mut self, report: CrashReport, now: Time) -> bool {
        self.make_room(report.content);
        let reports = self
            .contents
            .entry(report.content)
            .or_insert_with(|| Reports {
                crashes: Map::default(),
                since: now,
                until: None,
            });
        let leaf = report.leaf.clone();
        if reports.until.is_some() || reports.crashes.get(&leaf) == Some(&report) {
            return false;
        }
        reports.crashes.insert(leaf, report);
        if reports.proved() {
            reports.until = Some(now.after(QUARANTINE_DURATION));
        }
        true
    }

    /// Removes the report about a leaf, unless the content is quarantined. Returns
    /// whether there was one.
    pub fn remove(&mut self, content: u64, leaf: &CrashedLeaf) -> bool {
        let Some(reports) = self.contents.get_mut(&content) else {
            return false;
        };
        if reports.until.is_some() || reports.crashes.remove(leaf).is_none() {
            return false;
        }
        if reports.crashes.is_empty() {
            self.contents.remove(&content);
        }
        true
    }

    /// Ends quarantines that have lasted long enough. Returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let count = self.contents.len();
        self.contents
            .retain(|_, reports| reports.until.is_none_or(|until| now < until));
        self.contents.len() != count
    }

    /// Returns when [`Self::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.contents.values().filter_map(|r| r.until).min()
    }

    /// Returns whether content is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, content: u64) -> bool {
        let reports = self.contents.get(&content);
        reports.is_some_and(|reports| reports.until.is_some())
    }

    /// Returns the contents that are quarantined.
    #[must_use]
    pub fn quarantined(&self) -> Set<u64> {
        self.select(|reports| reports.until.is_some())
    }

    /// Returns the contents with reports that prove nothing yet.
    #[must_use]
    pub fn suspected(&self) -> Set<u64> {
        self.select(|reports| reports.until.is_none())
    }

    /// Returns all reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.contents.values().flat_map(|r| r.crashes.values())
    }

    /// Returns the leaves that crashed under a content.
    #[must_use]
    pub fn leaves(&self, content: u64) -> Vec<CrashedLeaf> {
        let reports = self.contents.get(&content);
        let leaves = reports.into_iter().flat_map(|r| r.crashes.keys());
        let mut leaves: Vec<CrashedLeaf> = leaves.cloned().collect();
        leaves.sort_unstable();
        leaves
    }

    fn select(&self, wanted: impl Fn(&Reports) -> bool) -> Set<u64> {
        let found = self.contents.iter().filter(|(_, reports)| wanted(reports));
        found.map(|(content, _)| *content).collect()
    }

    /// Evicts the oldest content if another one does not fit.
    fn make_room(&mut self, content: u64) {
        if self.contents.len() < MAX_CONTENTS || self.contents.contains_key(&content) {
            return;
        }
        let oldest = self.contents.iter().min_by_key(|(_, r)| r.since);
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.contents.remove(&oldest);
        }
    }
}

impl Reports {
    /// Returns whether the reports prove that the content crashes leaves.
    fn proved(&self) -> bool {
        let alone = self.crashes.values().any(|report| report.alone);
        alone || self.crashes.len() >= CRASHES_TO_QUARANTINE
    }
}
