//! What a query that ran here or at a peer ends with.

use std::time::Duration;

use super::protocol::CallerAnswer;
use crate::modules::answer::ForwardedReply;

/// The end of a query. Every case has a form between processes, so that a caller gets the
/// same answer whichever process ran the query.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum QueryAnswer {
    /// Records of several shards.
    Records {
        /// The records.
        body: Vec<u8>,
        /// Signatures of the parts that they were taken from.
        signatures: Vec<String>,
        /// Services of the parts, by their position among those of the kind.
        services: Vec<u16>,
        /// Shards that are left out.
        missing: usize,
    },
    /// The reply of one leaf.
    Whole(ForwardedReply),
    /// The query has not run and never will.
    NotRun {
        /// Delay after which it may be repeated.
        retry_after: Duration,
        /// Why it has not run.
        reason: String,
    },
    /// The configuration in force has no such kind any more; the query has not run.
    UnknownKind,
    /// The deadline has passed; the query may have run.
    Late,
    /// The leaves failed; the query may have run.
    Failed,
}

impl QueryAnswer {
    /// Returns the answer to a query that has not run and that leaves take after
    /// `earliest`, with a random retry delay from then on.
    pub(super) fn not_run_until(earliest: Duration, reason: impl Into<String>) -> Self {
        Self::NotRun {
            retry_after: CallerAnswer::retry_delay(earliest),
            reason: reason.into(),
        }
    }
}

impl From<QueryAnswer> for CallerAnswer {
    fn from(answer: QueryAnswer) -> Self {
        match answer {
            QueryAnswer::Records {
                body,
                signatures,
                services,
                missing,
            } => Self::Records {
                body,
                signatures,
                services,
                missing,
            },
            QueryAnswer::Whole(reply) => Self::Whole(reply),
            QueryAnswer::NotRun {
                retry_after,
                reason,
            } => Self::NotRun {
                retry_after,
                reason,
            },
            QueryAnswer::UnknownKind => Self::NotFound,
            QueryAnswer::Late => Self::Late,
            QueryAnswer::Failed => Self::Failed,
        }
    }
}
