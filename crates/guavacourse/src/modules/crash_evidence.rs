//! Combines what the processes of the fleet report about request content that crashes
//! backend servers.
//!
//! A process that loses a leaf knows only its own calls. Callers repeat a request at
//! any process, so the reports of all processes decide: content under which several
//! leaves have crashed, or one leaf that ran nothing else, is quarantined. That holds
//! for content which leaves ran before, too: data changes, and so does what it crashes.
//!
//! Leaves that fail together look the same, so no quarantine is final: a request with
//! the content is tried on one leaf from time to time, ever more rarely, until a leaf
//! answers it. `docs/design/crash-evidence.md` lists the kinds of evidence.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    collections::{Map, Set},
    time::Time,
};

/// Time in which a call that crashed its leaf may be answered by another leaf, which
/// shows that its content is harmless, before the crash is reported.
pub const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Number of crashed leaves from which content is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Maximum number of contents with reports; the oldest is evicted.
const MAX_CONTENTS: usize = 1_024;

/// Maximum number of reports kept for one content.
const MAX_REPORTS: usize = 64;

/// Time from a verdict to the first trial of the content.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Factor by which the time to the next trial grows with each that failed.
const TRIAL_DELAY_FACTOR: u32 = 8;

/// Longest time to the next trial.
pub const MAX_TRIAL_DELAY: Duration = Duration::from_mins(30);

/// Time for which content stays quarantined after a trial is due, if nobody sends it.
const FORGET_DELAY: Duration = Duration::from_mins(30);

/// A leaf that crashed. It may start again under its name, as another incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CrashedLeaf {
    /// Its name.
    pub name: String,
    /// Its incarnation; 0 if that is not known.
    pub born: u64,
}

/// A crash of a leaf while it ran a request, or a trial that its leaf did not answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CrashReport {
    /// Fingerprint of the request's content.
    pub content: u64,
    /// The leaf.
    pub leaf: CrashedLeaf,
    /// Whether the leaf ran nothing else.
    pub alone: bool,
    /// Number of the trial of quarantined content, from 1; 0 if it was none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub trial: u32,
}

/// The next trial of quarantined content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trial {
    /// Its number, from 1.
    pub number: u32,
    /// When it may begin.
    pub due: Time,
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
    /// The next trial, if the content is quarantined.
    trial: Option<Trial>,
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
                trial: None,
            });
        let known = reports.crashes.get(&report.leaf);
        let full = known.is_none() && reports.crashes.len() >= MAX_REPORTS;
        if known == Some(&report) || (full && report.trial == 0) {
            return false;
        }
        let decides = reports
            .trial
            .is_none_or(|trial| report.trial >= trial.number);
        reports.crashes.insert(report.leaf.clone(), report);
        if decides && reports.proved() {
            reports.schedule_trial(now);
        }
        true
    }

    /// Removes the report about a leaf because its entry is gone, unless the content is
    /// quarantined: entries end with their lease, which proves nothing. Returns whether
    /// there was one.
    pub fn remove(&mut self, content: u64, leaf: &CrashedLeaf) -> bool {
        !self.is_quarantined(content) && self.withdraw(content, leaf)
    }

    /// Removes the report about a leaf because a leaf has answered the content. Ends the
    /// quarantine if the other reports do not prove anything. Returns whether there was
    /// one.
    pub fn withdraw(&mut self, content: u64, leaf: &CrashedLeaf) -> bool {
        let Some(reports) = self.contents.get_mut(&content) else {
            return false;
        };
        if reports.crashes.remove(leaf).is_none() {
            return false;
        }
        if !reports.proved() {
            reports.trial = None;
        }
        if reports.crashes.is_empty() {
            self.contents.remove(&content);
        }
        true
    }

    /// Ends quarantines of content that nobody has sent for long. Returns whether there
    /// were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let count = self.contents.len();
        self.contents
            .retain(|_, reports| reports.expiry().is_none_or(|expiry| now < expiry));
        self.contents.len() != count
    }

    /// Returns when [`Self::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.contents.values().filter_map(Reports::expiry).min()
    }

    /// Returns whether content is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, content: u64) -> bool {
        let reports = self.contents.get(&content);
        reports.is_some_and(|reports| reports.trial.is_some())
    }

    /// Returns the contents that are quarantined.
    #[must_use]
    pub fn quarantined(&self) -> Set<u64> {
        self.select(|reports| reports.trial.is_some())
    }

    /// Returns the next trial of each content that is quarantined.
    #[must_use]
    pub fn trials(&self) -> Map<u64, Trial> {
        let contents = self.contents.iter();
        let trials = contents.map(|(content, reports)| Some((*content, reports.trial?)));
        trials.flatten().collect()
    }

    /// Returns the contents with reports that prove nothing yet.
    #[must_use]
    pub fn suspected(&self) -> Set<u64> {
        self.select(|reports| reports.trial.is_none())
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

    /// Schedules the trial that follows those that failed.
    fn schedule_trial(&mut self, now: Time) {
        let failed = self.crashes.values().map(|report| report.trial).max();
        let failed = failed.unwrap_or_default();
        let factor = TRIAL_DELAY_FACTOR.saturating_pow(failed);
        let delay = FIRST_TRIAL_DELAY.saturating_mul(factor);
        self.trial = Some(Trial {
            number: failed.saturating_add(1),
            due: now.after(delay.min(MAX_TRIAL_DELAY)),
        });
    }

    /// Returns when the quarantine ends, if there is one.
    fn expiry(&self) -> Option<Time> {
        self.trial.map(|trial| trial.due.after(FORGET_DELAY))
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde expects"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}
