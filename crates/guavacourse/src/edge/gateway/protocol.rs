//! Requests and answers of callers, and the protocol that translates them.

use std::{fmt, time::Duration};

use http_types::{Request, Response};

use super::query_answer::QueryAnswer;
use crate::modules::{
    call::ForwardedRequest,
    customers::{Credential, Denial},
};

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
    /// What a query ended with.
    Query(QueryAnswer),
    /// The request is invalid; the text names what to change.
    Invalid(String),
    /// The request has no key that a customer holds.
    Unauthorized(Denial),
    /// The customer's quota is used up. The request has not run and never will.
    OverQuota {
        /// Delay after which it may be repeated.
        retry_after: Duration,
        /// Why the request has not run.
        reason: String,
    },
}

impl CallerAnswer {
    /// Returns the answer to a request that has not run, with a random retry delay.
    pub(super) fn not_run(reason: impl Into<String>) -> Self {
        Self::Query(QueryAnswer::not_run(reason))
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
