//! How a non-idempotent action ended, as reported to callers and other entries.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::call::{NotRun, Unknown};

/// Overhead of a shared body in bytes: its reference counts and the allocator's
/// rounding.
const ARC_OVERHEAD_BYTES: usize = 32;

/// How an action ended. Each resend of the action gets the same outcome.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ActionOutcome {
    /// It ran once. Holds the JSON array of rows that the leaf returned.
    Done(#[serde(with = "json_text")] Arc<[u8]>),
    /// It provably did not run, and no copy of it can run any more.
    NotRun(NotRunCause),
    /// It may have run, or may still run, at most once.
    Unknown(UnknownCause),
}

impl ActionOutcome {
    /// Returns the number of bytes that the outcome holds on the heap.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        match self {
            Self::Done(body) => body.len() + ARC_OVERHEAD_BYTES,
            Self::NotRun(_) | Self::Unknown(_) => 0,
        }
    }
}

/// Why an action did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunCause {
    /// The leaf holds another partition epoch.
    Elsewhere,
    /// The ticket is too old; this was the caller's first try.
    Expired,
    /// The entry's configuration has no such kind of action, or no shard for
    /// its key.
    Unplanned,
    /// The instance that minted the ticket is gone; this was the caller's
    /// first try.
    IssuerGone,
    /// The instance that minted the ticket cannot be reached; this was the
    /// caller's first try.
    IssuerUnreachable,
    /// No leaf of the shard accepts new work.
    NoReplica,
    /// No configuration is in force.
    NotReady,
    /// The entry has reached its limit of running actions.
    Overloaded,
    /// The platform's store does not answer; this was the caller's first try.
    StoreDown,
    /// A relay or a leaf refused the call.
    #[serde(untagged)]
    Call(NotRun),
}

impl NotRunCause {
    /// Returns the remedy to suggest to the caller.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Unplanned => "compare the kind and key with what `guavacourse get` lists",
            Self::StoreDown => "fetch a ticket from /tickets, which needs no store, and resend",
            Self::Call(NotRun::Quarantined) => {
                "change the request: its content has crashed backend servers"
            }
            Self::Call(NotRun::Expired) => "resend with a new id and a longer deadline-ms",
            _ => "resend with a new ticket or a new idempotency-key",
        }
    }
}

/// Why it is not known whether an action ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownCause {
    /// The store was restored from an older copy, which may have lost the claim of an
    /// earlier try.
    ClaimLost,
    /// The ticket is older than the time for which outcomes are kept.
    Expired,
    /// The request went to the instance that minted the ticket; its reply was
    /// lost.
    HandoverLost,
    /// The instance that minted the ticket has stopped or restarted.
    IssuerGone,
    /// The instance that minted the ticket cannot be reached.
    IssuerUnreachable,
    /// The action is still running at the caller's deadline.
    StillRunning,
    /// The platform's store does not answer, and an earlier try may have run.
    StoreDown,
    /// The leaf's reply was lost or unusable.
    #[serde(untagged)]
    Call(Unknown),
}

impl UnknownCause {
    /// Returns the remedy to suggest to the caller.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::IssuerUnreachable => {
                "resend with the same id to learn the outcome; if that fails for the retention \
                 time, look up by a query whether it took effect"
            }
            _ if self.is_transient() => {
                "resend with the same id to learn the outcome; do not use a new id"
            }
            _ => "look up by a query whether it took effect before using a new id",
        }
    }

    /// Returns the outcome to report for a request that was not started here.
    ///
    /// Only the caller knows whether an earlier copy may have run. If this is the
    /// caller's first try, a request that was not passed on did not run.
    #[must_use]
    pub fn to_outcome(self, first: bool) -> ActionOutcome {
        let not_run = match self {
            Self::Expired => Some(NotRunCause::Expired),
            Self::IssuerGone => Some(NotRunCause::IssuerGone),
            Self::IssuerUnreachable => Some(NotRunCause::IssuerUnreachable),
            Self::StoreDown => Some(NotRunCause::StoreDown),
            Self::ClaimLost | Self::HandoverLost | Self::StillRunning | Self::Call(_) => None,
        };
        match not_run {
            Some(cause) if first => ActionOutcome::NotRun(cause),
            _ => ActionOutcome::Unknown(self),
        }
    }

    /// Returns whether a resend with the same id may learn the outcome.
    #[must_use]
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            Self::HandoverLost | Self::IssuerUnreachable | Self::StillRunning | Self::StoreDown
        )
    }
}

impl From<NotRun> for NotRunCause {
    fn from(why: NotRun) -> Self {
        Self::Call(why)
    }
}

impl From<Unknown> for UnknownCause {
    fn from(why: Unknown) -> Self {
        Self::Call(why)
    }
}

impl fmt::Display for NotRunCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl fmt::Display for UnknownCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Serialises JSON bytes as a string.
mod json_text {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serializer, ser::Error};

    pub(super) fn serialize<S: Serializer>(
        body: &Arc<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let text = std::str::from_utf8(body).map_err(S::Error::custom)?;
        serializer.serialize_str(text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u8]>, D::Error> {
        let text = String::deserialize(deserializer)?;
        Ok(Arc::from(text.into_bytes()))
    }
}
