//! The registry that holds the configuration, the leaves and the fleet.

use std::{future::Future, time::Duration};

use thiserror::Error;

use crate::modules::{
    crash_evidence::{CrashReport, CrashedLeaf},
    directory::{ListReading, RegistryReading},
    era::Position,
};

/// Why a call to the registry failed.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// The registry no longer holds the changes since the requested revision.
    #[error("the registry no longer holds the requested changes; all of it is read again")]
    Compacted,
    /// The answer is too large to be received.
    #[error("the registry's answer is too large; all of the registry is read again in pages")]
    TooLarge,
    /// The registry has entered another era since the position that the call names, or
    /// the answer is of an earlier era.
    #[error("the registry was restored from an older copy; all of it is read again")]
    Restored,
    /// The registry cannot be reached, or currently refuses calls.
    #[error("the registry is unavailable: {0}; check its address and its load")]
    Unavailable(String),
}

/// The platform's registry of the configuration, the leaves and the fleet.
pub trait Registry {
    /// Reads the configuration and the processes of the fleet, but maybe not all leaves,
    /// in as few calls as possible.
    fn read_first(&self) -> impl Future<Output = Result<ListReading, RegistryError>>;

    /// Reads the whole registry, or as much of it as can be listed.
    fn read(&self) -> impl Future<Output = Result<ListReading, RegistryError>>;

    /// Waits for changes after a position, at most `wait`. Fails with
    /// [`RegistryError::Restored`] if the registry is in another era than `after`, even if
    /// it answers.
    fn watch(
        &self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<RegistryReading, RegistryError>>;

    /// Returns the highest era of the registry that is known, to which every reading
    /// belonged when it was returned; 0 if the registry names none.
    fn era(&self) -> u64;

    /// Records an era that a peer has seen.
    fn note_era(&self, era: u64);

    /// Writes reports of leaves that crashed.
    fn report_crashes(
        &self,
        reports: &[CrashReport],
    ) -> impl Future<Output = Result<(), RegistryError>>;

    /// Withdraws the reports of crashes under a content, in a way that processes can tell
    /// from the end of a report's lease.
    fn withdraw_crashes(
        &self,
        content: u64,
        leaves: &[CrashedLeaf],
    ) -> impl Future<Output = Result<(), RegistryError>>;

    /// Claims the trial of a content for this process. Returns false if another process
    /// holds it. A claim ends by itself after some seconds.
    fn claim_trial(&self, content: u64) -> impl Future<Output = Result<bool, RegistryError>>;

    /// Gives up the trial of a content, so that any process may claim it again.
    fn release_trial(&self, content: u64) -> impl Future<Output = Result<(), RegistryError>>;

    /// Registers this process, or renews its registration. `removed` says that the
    /// registration was seen to be removed, so that it is created again.
    fn register(&self, removed: bool) -> impl Future<Output = Result<(), RegistryError>>;

    /// Ends the registration of this process.
    fn deregister(&self) -> impl Future<Output = Result<(), RegistryError>>;
}
