//! Reports of crashes of leaves in the directory.

use super::{Change, Directory, DirectoryEvent};
use crate::modules::{
    crash_evidence::{CrashReport, CrashedLeaf},
    time::Time,
};

impl Directory {
    /// Records a crash of a leaf. Returns whether it is new.
    pub(super) fn record_crash(&mut self, report: CrashReport, now: Time) -> bool {
        let content = report.content;
        let known = self.crashes.is_quarantined(content);
        if !self.crashes.add(report.clone(), now) {
            return false;
        }
        self.changes.push(Change::Crashed(report));
        if !known && self.crashes.is_quarantined(content) {
            let leaves = self.crashes.leaves(content);
            self.events
                .push(DirectoryEvent::Quarantined { content, leaves });
        }
        true
    }

    /// Forgets a crash of a leaf. Returns whether it was known.
    pub(super) fn forget_crash(&mut self, content: u64, leaf: CrashedLeaf) -> bool {
        let known = self.crashes.remove(content, &leaf);
        if known {
            self.changes.push(Change::CrashGone { content, leaf });
        }
        known
    }

    /// Withdraws the report of a crash. Returns whether it was known.
    pub(super) fn withdraw_crash(&mut self, content: u64, leaf: CrashedLeaf) -> bool {
        let quarantined = self.crashes.is_quarantined(content);
        let known = self.crashes.withdraw(content, &leaf);
        if known {
            self.changes.push(Change::CrashWithdrawn { content, leaf });
        }
        if quarantined && !self.crashes.is_quarantined(content) {
            self.events.push(DirectoryEvent::Released { content });
        }
        known
    }
}
