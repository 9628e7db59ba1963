//! Failures of the subcommands: messages, kinds and exit codes.

use std::path::PathBuf;

use thiserror::Error;

use super::Exit;
use crate::{
    edge::platform::PlatformError,
    modules::{check::Fault, commit::CommitOutcome},
};

/// Why a subcommand failed. The messages name the remedy.
#[derive(Debug, Error)]
pub(super) enum Failure {
    /// The file cannot be read.
    #[error("{}: {source}; give the path of a readable TOML file", .path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The configuration has faults.
    #[error("{}: the configuration has faults", .path.display())]
    Faults { path: PathBuf, faults: Vec<Fault> },
    /// Neither the file nor `--base` names the revision that the file was edited
    /// from.
    #[error(
        "revision {revision} is accepted, and the file does not say which revision it was edited \
         from; look at `guavacourse diff {}`, then apply it with --base {revision}",
        .path.display()
    )]
    NoBase { path: PathBuf, revision: u64 },
    /// The store does not hold the revision.
    #[error(
        "the store does not hold revision {0}; `guavacourse history` lists those that it holds"
    )]
    NoRevision(u64),
    /// No entry has a trace of the request.
    #[error(
        "no entry knows request {0}; each keeps its latest 4096, and --entry names one that the \
         instance list lacks"
    )]
    NoRequest(String),
    /// No configuration has been accepted yet.
    #[error("no configuration has been accepted yet; apply a file")]
    NothingAccepted,
    /// The change was not accepted.
    #[error("{0}")]
    NotAccepted(Box<CommitOutcome>),
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
}

impl Failure {
    /// Returns the failure's kind, for scripts.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::File { .. } => "file",
            Self::Faults { .. } => "faults",
            Self::NoBase { .. } => "no-base",
            Self::NoRequest(_) => "no-request",
            Self::NoRevision(_) => "no-revision",
            Self::NothingAccepted => "nothing-accepted",
            Self::NotAccepted(outcome) => match **outcome {
                CommitOutcome::Conflict { .. } => "conflict",
                CommitOutcome::Unknown(_) => "unknown",
                _ => "unavailable",
            },
            Self::Platform(_) => "unavailable",
        }
    }

    /// Returns the exit code.
    pub(super) fn exit(&self) -> Exit {
        match self {
            Self::File { .. }
            | Self::NoRequest(_)
            | Self::NoRevision(_)
            | Self::NothingAccepted => Exit::Failed,
            Self::Faults { .. } => Exit::Refused,
            Self::NoBase { .. } => Exit::Conflict,
            Self::NotAccepted(outcome) => match **outcome {
                CommitOutcome::Conflict { .. } => Exit::Conflict,
                CommitOutcome::Unknown(_) => Exit::Unknown,
                _ => Exit::Unavailable,
            },
            Self::Platform(_) => Exit::Unavailable,
        }
    }

    /// Returns one message for each fault of the configuration, or the failure's
    /// message.
    pub(super) fn messages(&self) -> Vec<String> {
        let Self::Faults { path, faults } = self else {
            return vec![self.to_string()];
        };
        let message = |fault: &Fault| format!("{}: {fault}", path.display());
        faults.iter().map(message).collect()
    }
}
