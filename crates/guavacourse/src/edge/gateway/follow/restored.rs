//! What a process does after the registry came back from an older copy.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{self, Receiver, Sender},
};

use super::{Follower, Registry, sources::VERSION_TIMEOUT};
use crate::modules::{
    crash_evidence::CrashReport,
    directory::{Change, RegistryReading},
};

/// Tells the tasks that write to the registry that it was restored.
pub(super) struct Restored {
    registration: (Sender<()>, Receiver<()>),
    reports: (Sender<()>, Receiver<()>),
}

impl Default for Restored {
    fn default() -> Self {
        Self {
            registration: channel::bounded(1),
            reports: channel::bounded(1),
        }
    }
}

impl Restored {
    pub(super) fn notify(&self) {
        // A full channel means that the task has not run since the last restore.
        let _ = self.registration.0.try_send(());
        let _ = self.reports.0.try_send(());
    }

    /// Waits for a restore, at most `interval`.
    pub(super) async fn registration(&self, interval: Duration) {
        let timeout = async {
            Timer::after(interval).await;
        };
        let restored = async {
            // An error means that this process is stopping.
            let _ = self.registration.1.recv().await;
        };
        restored.or(timeout).await;
    }
}

impl<R: Registry> Follower<R> {
    /// Writes the crashes that this process reported again after each restore, except
    /// those that were withdrawn.
    pub(super) async fn repeat_reports(&self) {
        while self.restored.reports.1.recv().await.is_ok() {
            let known: Vec<CrashReport> = {
                let directory = self.directory.borrow();
                directory.crashes().reports().cloned().collect()
            };
            let mut reports: Vec<CrashReport> = self.reported.borrow().iter().cloned().collect();
            reports.retain(|report| known.contains(report));
            if !reports.is_empty() {
                tracing::info!(?reports, "reports of crashes are written again");
                self.write(|| self.registry.report_crashes(&reports)).await;
            }
        }
    }

    /// Adds the configuration and the crashes that a live peer knows to the first reading
    /// of this process, if the registry has eras: it may be an older copy, whose
    /// configuration still accepts revoked keys.
    pub(super) async fn add_newer_version(&self, reading: &mut RegistryReading) {
        if self.registry.era() == 0 || self.asked_version.replace(true) {
            return;
        }
        let members = reading.changes.iter().filter_map(Change::member);
        let plan = self.readers.plan(members);
        let peers = plan.sources.iter().chain(&plan.backups).chain(&plan.remote);
        let asking = async {
            for peer in peers {
                if let Some(changes) = self.state_of(peer.address).await {
                    return changes;
                }
            }
            Vec::new()
        };
        let timeout = async {
            Timer::after(VERSION_TIMEOUT).await;
            tracing::warn!(
                "no peer has told its version of the configuration in time; that of the \
                 registry is used"
            );
            Vec::new()
        };
        let known = asking.or(timeout).await;
        let lasting = |change: &Change| matches!(change, Change::Deployed(_) | Change::Crashed(_));
        reading.changes.extend(known.into_iter().filter(lasting));
        // The newest version first, so that no older one is ever in force.
        reading
            .changes
            .sort_by_key(|change| std::cmp::Reverse(change.version()));
    }
}
