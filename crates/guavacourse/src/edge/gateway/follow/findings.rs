//! Writes to the registry what the traffic thread finds out about request content.

use std::iter;

use smol::channel::{self, Receiver, Sender};

use super::{Follower, Registry, RegistryError, pause::Backoff};
use crate::modules::{
    crash_evidence::{CrashReport, Finding},
    directory::Change,
};

/// Maximum number of findings that wait for the registry; further ones are dropped.
const MAX_WAITING: usize = 256;

/// Maximum number of findings that are written together.
const MAX_BATCH: usize = 16;

/// Maximum number of written reports that are kept, so that they can be written again.
const MAX_REMEMBERED: usize = 256;

/// Creates the channel from the traffic thread to the control thread.
pub(in crate::edge::gateway) fn channel() -> (Sender<Finding>, Receiver<Finding>) {
    channel::bounded(MAX_WAITING)
}

/// Passes a finding to the control thread.
pub(in crate::edge::gateway) fn pass_on(findings: &Sender<Finding>, finding: Finding) {
    if findings.try_send(finding).is_err() {
        tracing::warn!("too many crashes of leaves wait for the registry; one is not reported");
    }
}

impl<R: Registry> Follower<R> {
    /// Applies findings here at once, and writes them to the registry for the other
    /// processes.
    pub(super) async fn report_findings(&self) {
        while let Ok(first) = self.setup.findings.recv().await {
            let more = iter::from_fn(|| self.setup.findings.try_recv().ok());
            let batch: Vec<Finding> = iter::once(first).chain(more).take(MAX_BATCH).collect();
            let reports: Vec<CrashReport> = batch.iter().filter_map(crash).cloned().collect();
            self.apply_changes(reports.iter().cloned().map(Change::Crashed).collect());
            if !reports.is_empty() {
                tracing::info!(?reports, "leaves crashed while they ran requests");
                self.remember(&reports);
                self.write(|| self.registry.report_crashes(&reports)).await;
            }
            for content in batch.iter().filter_map(completed) {
                self.withdraw(content).await;
            }
        }
    }

    /// Keeps the reports for a registry that loses them.
    fn remember(&self, reports: &[CrashReport]) {
        let mut reported = self.reported.borrow_mut();
        reported.extend(reports.iter().cloned());
        let surplus = reported.len().saturating_sub(MAX_REMEMBERED);
        reported.drain(..surplus);
    }

    /// Withdraws the reports against content that proved harmless.
    async fn withdraw(&self, content: u64) {
        let leaves = self.directory.borrow().crashes().leaves(content);
        let quarantined = self.directory.borrow().crashes().is_quarantined(content);
        tracing::info!(content, ?leaves, "suspected request content is harmless");
        let withdrawn = leaves.iter().map(|leaf| Change::CrashWithdrawn {
            content,
            leaf: leaf.clone(),
        });
        self.apply_changes(withdrawn.collect());
        for leaves in leaves.chunks(MAX_BATCH) {
            self.write(|| self.registry.withdraw_crashes(content, leaves))
                .await;
        }
        if quarantined {
            self.release_trial(content).await;
        }
    }

    /// Writes to the registry until that succeeds.
    pub(super) async fn write<F>(&self, write: impl Fn() -> F)
    where
        F: Future<Output = Result<(), RegistryError>>,
    {
        let mut backoff = Backoff::default();
        while let Err(error) = write().await {
            backoff.wait(&error).await;
        }
        backoff.reset();
    }
}

fn crash(finding: &Finding) -> Option<&CrashReport> {
    match finding {
        Finding::Crashed(report) => Some(report),
        Finding::Quarantined(_) | Finding::Completed(_) => None,
    }
}

fn completed(finding: &Finding) -> Option<u64> {
    match finding {
        Finding::Completed(content) => Some(*content),
        Finding::Quarantined(_) | Finding::Crashed(_) => None,
    }
}
