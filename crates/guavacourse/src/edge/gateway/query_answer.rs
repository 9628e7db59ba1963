//! What a query that ran here or at a peer ends with.

use std::time::Duration;

use crate::modules::answer::ForwardedReply;

/// Minimum delay before a request that found no capacity may be repeated: about the
/// duration of a few calls.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time over which the retries of refused requests are spread.
const RETRY_JITTER: Duration = Duration::from_millis(160);

/// The end of a query. Every case has a form between processes, so that a caller gets the
/// same answer whichever process ran the query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
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
    /// The configuration in force has no kind for the query, which has not run.
    UnknownKind,
    /// The deadline has passed; the query may have run.
    Late,
    /// The leaves failed; the query may have run.
    Failed,
}

impl QueryAnswer {
    /// Returns the answer to a query that has not run, with a random retry delay.
    pub(super) fn not_run(reason: impl Into<String>) -> Self {
        Self::not_run_until(Duration::ZERO, reason)
    }

    /// Returns the answer to a query that has not run and that leaves take after
    /// `earliest`, with a random retry delay from then on.
    pub(super) fn not_run_until(earliest: Duration, reason: impl Into<String>) -> Self {
        Self::NotRun {
            retry_after: earliest.max(MIN_RETRY_DELAY) + RETRY_JITTER.mul_f64(fastrand::f64()),
            reason: reason.into(),
        }
    }
}
