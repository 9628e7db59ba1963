//! Reports crashes of leaves, and content that proved harmless, to the fleet.

use std::collections::VecDeque;

use super::{
    Admission,
    gate::DroppedCall,
    job::{Job, Step},
};
use crate::modules::{
    catalog::LeafId,
    collections::Set,
    crash_evidence::{CrashReport, CrashedLeaf, Finding, REPORT_DELAY},
    time::Time,
    view::View,
};

/// Maximum number of reports that wait; further ones are not made.
const MAX_WAITING: usize = 1_024;

/// What the relay has found out and not reported yet.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// Reports, and when each is due, in this order.
    waiting: VecDeque<(Time, CrashReport)>,
    /// Contents that were reported as harmless and are still suspected.
    completed: Set<u64>,
}

impl Findings {
    /// Returns when the next report is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.waiting.front().map(|(due, _)| *due)
    }

    /// Forgets reports of contents that the fleet no longer suspects.
    pub(super) fn retain_suspected(&mut self, view: &View) {
        self.completed
            .retain(|content| is_suspected(view, *content));
    }
}

impl Admission {
    /// Reports the crash of a leaf with these calls in flight: at once those that ran
    /// alone, the others after a delay, unless another leaf runs them meanwhile.
    pub(super) fn report_crash(&mut self, leaf: LeafId, calls: &[DroppedCall], now: Time) {
        let Some(crashed) = self.crashed_leaf(leaf) else {
            return;
        };
        for dropped in calls.iter().filter(|call| call.reported) {
            let report = CrashReport {
                content: dropped.call.fingerprint,
                leaf: crashed.clone(),
                alone: dropped.call.alone,
                trial: 0,
            };
            if report.alone {
                self.steps.push(Step::Report(Finding::Crashed(report)));
            } else if self.findings.waiting.len() < MAX_WAITING {
                let due = now.after(REPORT_DELAY);
                self.findings.waiting.push_back((due, report));
            }
        }
    }

    /// Reports a trial that its leaf may have begun and did not answer.
    pub(super) fn report_failed_trial(&mut self, job: &Job) {
        let Some(leaf) = self.crashed_leaf(job.call.leaf) else {
            return;
        };
        let report = CrashReport {
            content: job.part.fingerprint,
            leaf,
            alone: true,
            trial: job.part.trial,
        };
        self.steps.push(Step::Report(Finding::Crashed(report)));
    }

    /// Withdraws what was found against content that a leaf has answered.
    pub(super) fn report_completion(&mut self, job: &Job) {
        let content = job.part.fingerprint;
        self.findings
            .waiting
            .retain(|(_, report)| report.content != content);
        let suspected = is_suspected(&self.view, content);
        let new = suspected && self.findings.completed.insert(content);
        if new || job.part.is_trial() {
            self.steps.push(Step::Report(Finding::Completed(content)));
        }
    }

    /// Returns a leaf as it is named in reports.
    fn crashed_leaf(&self, leaf: LeafId) -> Option<CrashedLeaf> {
        let listed = self.view.incarnations.get(&leaf);
        Some(CrashedLeaf {
            name: self.name(leaf)?.to_owned(),
            born: listed.copied().unwrap_or_default(),
        })
    }

    /// Makes the reports that are due.
    pub(super) fn send_reports(&mut self, now: Time) {
        while self.findings.next_due().is_some_and(|due| due <= now) {
            if let Some((_, report)) = self.findings.waiting.pop_front() {
                self.steps.push(Step::Report(Finding::Crashed(report)));
            }
        }
    }
}

fn is_suspected(view: &View, content: u64) -> bool {
    view.suspected.contains(&content) || view.quarantined.contains(&content)
}
