//! Requests and answers of callers, and the protocol that translates them.

use std::{fmt, time::Duration};

use http_types::{Request, Response};

use crate::modules::{
    answer::ForwardedReply,
    call::ForwardedRequest,
    customers::{Credential, Denial},
};

/// Minimum delay before a request that found no capacity may be repeated: about the
/// duration of a few calls.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time over which the retries of refused requests are spread.
const RETRY_JITTER: Duration = Duration::from_millis(160);

/// A caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Host that the request names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// The request as leaves receive it, without the body.
    pub forwarded: ForwardedRequest,
    /// Headers that say who the caller is. They are forwarded only if the configuration
    /// has no customers.
    pub identity: Vec<(String, String)>,
    /// How the request identifies its customer.
    pub credential: Credential,
    /// Body.
    pub body: Vec<u8>,
    /// Time that the caller waits for the answer, if the request gives it.
    pub deadline: Option<Duration>,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
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
    /// The request is invalid; the text names what to change.
    Invalid(String),
    /// No kind matches the request.
    NotFound,
    /// The request has no key that a customer holds.
    Unauthorized(Denial),
    /// The request has not run and never will.
    NotRun {
        /// Delay after which it may be repeated.
        retry_after: Duration,
        /// Why the request has not run.
        reason: String,
    },
    /// The customer's quota is used up. The request has not run and never will.
    OverQuota {
        /// Delay after which it may be repeated.
        retry_after: Duration,
        /// Why the request has not run.
        reason: String,
    },
    /// The deadline has passed; the request may have run.
    Late,
    /// The leaves failed; the request may have run.
    Failed,
}

impl CallerAnswer {
    /// Returns the answer to a request that has not run, with a random retry delay.
    pub(super) fn not_run(reason: impl Into<String>) -> Self {
        Self::not_run_until(Duration::ZERO, reason)
    }

    /// Returns the answer to a request that has not run and that leaves take after
    /// `earliest`, with a random retry delay from then on.
    pub(super) fn not_run_until(earliest: Duration, reason: impl Into<String>) -> Self {
        Self::NotRun {
            retry_after: Self::retry_delay(earliest),
            reason: reason.into(),
        }
    }

    /// Returns the delay after which a request that leaves take after `earliest` may be
    /// repeated, with jitter.
    pub(super) fn retry_delay(earliest: Duration) -> Duration {
        earliest.max(MIN_RETRY_DELAY) + RETRY_JITTER.mul_f64(fastrand::f64())
    }
}

/// Translates between the protocol of callers and the gateway's types.
pub trait CallerProtocol: fmt::Debug + Send + Sync {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the request and what to change.
    fn read(&self, request: &Request, body: Vec<u8>) -> Result<CallerRequest, String>;

    /// Translates an answer into a response.
    fn write(&self, answer: CallerAnswer) -> Response;

    /// Returns whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
}
