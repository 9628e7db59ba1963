//! The HTTP interface for callers, as described in docs/API.md.

use std::{
    rc::Rc,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http_types::{Method, Request, Response};
use serde::Serialize;

use super::{
    actions,
    state::{MAX_DEADLINE, ThreadState},
};
use crate::{
    edge::{
        http::{json_response, set_header},
        metrics::Metrics,
    },
    modules::{
        answer::{AnswerBody, AnswerRows, Failure, Reason, Refusal},
        burn::KindBurn,
        coverage::Coverage,
        members::Member,
        query::QueryRequest,
    },
};

/// State that the HTTP handlers of all threads of an entry share, besides
/// [`SharedState`](super::state::SharedState).
#[derive(Clone)]
pub(crate) struct ApiContext {
    /// Name of the instance.
    pub(crate) instance: String,
    /// Incarnation of the entry.
    pub(crate) incarnation: u64,
    /// Whether the entry is leaving.
    pub(crate) leaving: Arc<AtomicBool>,
    /// Number of the next request.
    pub(crate) next_request: Arc<AtomicU64>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
}

/// Response body of a refused request.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    /// Kind of the error, for programs.
    pub(crate) error: &'static str,
    /// What is wrong and what to do, for people.
    pub(crate) message: String,
}

/// An error response with its HTTP status.
#[derive(Debug)]
pub(crate) struct HttpError {
    /// HTTP status.
    pub(crate) status: u16,
    /// Response body.
    pub(crate) body: ErrorBody,
}

impl HttpError {
    /// Creates an error.
    pub(crate) fn new(status: u16, error: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            body: ErrorBody { error, message },
        }
    }

    /// Creates the error of an invalid request.
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(400, "bad-request", message)
    }

    /// Returns the error as a response.
    pub(crate) fn response(&self) -> Response {
        json_response(self.status, &self.body)
    }
}

impl From<Refusal> for HttpError {
    fn from(refusal: Refusal) -> Self {
        let (status, error) = match refusal {
            Refusal::UnknownKind(_) => (404, "unknown-kind"),
            Refusal::NotReady => (503, "not-ready"),
            Refusal::Overloaded(_) | Refusal::Contended { .. } => (503, "overloaded"),
            Refusal::Quarantined => (503, "not-run"),
            _ => (400, "bad-request"),
        };
        Self::new(status, error, refusal.to_string())
    }
}

/// Response body of a query that was served.
#[derive(Debug, Serialize)]
struct QueryBody<'a> {
    rows: &'a AnswerRows,
    index_version: u64,
    partition_epoch: u64,
    revision: u64,
    revision_age_ms: u64,
    coverage: &'a Coverage,
}

/// Response body of a query that failed.
#[derive(Debug, Serialize)]
struct FailureBody<'a> {
    error: &'static str,
    reason: Reason,
    message: &'a str,
    revision: u64,
    coverage: &'a Coverage,
}

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
struct StatusBody<'a> {
    instance: &'a str,
    incarnation: u64,
    ready: bool,
    leaving: bool,
    revision: u64,
    revision_age_ms: u64,
    partition_epoch: u64,
    leaves: usize,
    entries: &'a [Member],
    relays: &'a [Member],
    quarantined: usize,
    refused_revisions: u64,
    late_replies: u64,
}

/// Handles one request of a caller or operator.
pub(crate) async fn handle(
    state: &Rc<ThreadState>,
    context: &ApiContext,
    mut request: Request,
) -> Response {
    let path = request.url().path().to_owned();
    let mut segments = path.trim_matches('/').splitn(2, '/');
    let head = segments.next().unwrap_or_default();
    let rest = segments.next().unwrap_or_default();
    match (request.method(), head, rest) {
        (Method::Post, "query", kind) => {
            let id = context.request_id();
            let mut response = query(state, &id, kind, &mut request)
                .await
                .unwrap_or_else(|error| error.response());
            set_request_id(&mut response, &id);
            response
        }
        (Method::Post, "actions", kind) => {
            let id = context.request_id();
            let mut response = actions::handle_action(state, &id, kind, &mut request).await;
            set_request_id(&mut response, &id);
            response
        }
        (Method::Post, "tickets", "") => actions::mint(state, context).await,
        (Method::Get, "ready", "") => ready(state, context),
        (Method::Get, "status", "") => status(state, context),
        (Method::Get, "burn", "") => burn(state),
        (Method::Get, "explain", id) => explain(state, id),
        (Method::Get, "metrics", "") => scrape(context).await,
        _ => HttpError::new(404, "not-found", format!("no `{path}`; see docs/API.md")).response(),
    }
}

/// Names the request in a response. An instance whose name is not ASCII cannot.
fn set_request_id(response: &mut Response, id: &str) {
    if let Err(error) = set_header(response, "request-id", id) {
        tracing::warn!(%error, "a response names no request; give the instance an ASCII name");
    }
}

impl ApiContext {
    /// Returns an id for a new request, unique among all entries.
    pub(crate) fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{number}", self.instance, self.incarnation)
    }
}

async fn query(
    state: &ThreadState,
    id: &str,
    kind: &str,
    request: &mut Request,
) -> Result<Response, HttpError> {
    let started = state.now();
    let request = QueryRequest {
        kind: kind.to_owned(),
        deadline: deadline(request)?,
        least_coverage: least_coverage(request)?,
        body: Arc::from(body(request).await?),
        forward: None,
        age: Duration::ZERO,
        customer: None,
        only_services: Vec::new(),
        trial: 0,
    };
    let answer = match state.run_query(request).await {
        Ok(answer) => answer,
        Err(refusal) => {
            let error = HttpError::from(refusal);
            state
                .shared
                .record_request(kind, error.body.error, false, started);
            return Err(error);
        }
    };
    let good = answer.body.is_ok();
    let result = if good { "served" } else { "failed" };
    state.shared.record_request(kind, result, good, started);
    state.shared.record_trace(id, &answer.trace);
    Ok(match &answer.body {
        Ok(body) => answer_response(state, body),
        Err(failure) => failure_response(failure),
    })
}

fn answer_response(state: &ThreadState, body: &AnswerBody) -> Response {
    json_response(
        200,
        &QueryBody {
            rows: &body.rows,
            index_version: body.index_version,
            partition_epoch: body.partition_epoch,
            revision: body.revision,
            revision_age_ms: revision_age(state),
            coverage: &body.coverage,
        },
    )
}

fn failure_response(failure: &Failure) -> Response {
    let error = if failure.not_run {
        "not-run"
    } else {
        "too-little-coverage"
    };
    json_response(
        503,
        &FailureBody {
            error,
            reason: failure.reason,
            message: &failure.message,
            revision: failure.revision,
            coverage: &failure.coverage,
        },
    )
}

/// Returns the time since the configuration came into force here, in
/// milliseconds.
fn revision_age(state: &ThreadState) -> u64 {
    let view = state.shared.view.load();
    let age = state.now().since(view.adopted);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the body of a request. The HTTP server has checked that it is
/// complete.
pub(crate) async fn body(request: &mut Request) -> Result<Vec<u8>, HttpError> {
    let body = request.body_bytes().await;
    body.map_err(|_| HttpError::bad_request("the body cannot be read; send it again"))
}

/// Returns the deadline in the header `deadline-ms`, if there is one.
pub(crate) fn deadline(request: &Request) -> Result<Option<Duration>, HttpError> {
    let Some(millis) = number_header::<u64>(request, "deadline-ms")? else {
        return Ok(None);
    };
    let span = Duration::from_millis(millis);
    if span.is_zero() || span > MAX_DEADLINE {
        let max = MAX_DEADLINE.as_millis();
        let message = format!("header deadline-ms is {millis}; give 1 to {max}");
        return Err(HttpError::bad_request(message));
    }
    Ok(Some(span))
}

fn least_coverage(request: &Request) -> Result<Option<f64>, HttpError> {
    let least = number_header::<f64>(request, "least-coverage")?;
    if least.is_some_and(|part| !(0.0..=1.0).contains(&part)) {
        return Err(HttpError::bad_request(
            "header least-coverage is not between 0 and 1; give a part such as 0.9",
        ));
    }
    Ok(least)
}

/// Returns the number in a header, if the header is present.
pub(crate) fn number_header<T: std::str::FromStr>(
    request: &Request,
    name: &str,
) -> Result<Option<T>, HttpError> {
    let Some(value) = request.header(name) else {
        return Ok(None);
    };
    let text = value.as_str();
    text.parse()
        .map(Some)
        .map_err(|_| HttpError::bad_request(format!("header {name} is `{text}`; give a number")))
}

fn ready(state: &ThreadState, context: &ApiContext) -> Response {
    if context.leaving.load(Ordering::Relaxed) {
        return HttpError::new(503, "leaving", "this entry leaves; use another").response();
    }
    let view = state.shared.view.load();
    if !view.ready() {
        return HttpError::from(Refusal::NotReady).response();
    }
    if view.relays.is_empty() {
        return HttpError::new(503, "not-ready", "no relay is known yet; use another entry")
            .response();
    }
    json_response(200, &"ready")
}

fn status(state: &ThreadState, context: &ApiContext) -> Response {
    let view = state.shared.view.load();
    let leaving = context.leaving.load(Ordering::Relaxed);
    json_response(
        200,
        &StatusBody {
            instance: &context.instance,
            incarnation: context.incarnation,
            ready: view.ready() && !leaving,
            leaving,
            revision: view.catalog.revision,
            revision_age_ms: revision_age(state),
            partition_epoch: view.catalog.epoch,
            leaves: view.catalog.leaves.len(),
            entries: &view.entries,
            relays: &view.relays,
            quarantined: view.quarantined.len(),
            refused_revisions: view.refused,
            late_replies: state.sessions.late_replies(),
        },
    )
}

fn burn(state: &ThreadState) -> Response {
    let view = state.shared.view.load();
    let now = state.now();
    let burn = state
        .shared
        .burn
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let report: Vec<KindBurn> = burn.report(&view.catalog, now);
    json_response(200, &report)
}

fn explain(state: &ThreadState, id: &str) -> Response {
    let recent = state
        .shared
        .recent
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let Some(text) = recent.get(id) else {
        let message = format!("no recent request `{id}` here; ask the entry that it names");
        return HttpError::new(404, "not-found", message).response();
    };
    let mut response = Response::new(200);
    response.set_body(text.clone());
    response.set_content_type(http_types::mime::JSON);
    response
}

async fn scrape(context: &ApiContext) -> Response {
    let metrics = context.metrics.clone();
    let page = smol::unblock(move || metrics.scrape()).await;
    let mut response = Response::new(200);
    response.set_body(page);
    response
}
