//! HTTP handlers for non-idempotent actions and their tickets, as described in
//! docs/actions.md.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use futures_lite::FutureExt;
use http_types::{Request, Response};
use serde::Serialize;
use serde_json::value::RawValue;
use smol::{Timer, channel::bounded};

use super::{
    callers::{self, ApiContext, HttpError},
    state::ThreadState,
    ticket_ledger::{self, TicketAdmission},
};
use crate::{
    edge::http::json_response,
    modules::{
        action::{ActionRequest, PlanError, plan},
        call::Unknown,
        catalog::stable_hash,
        claims::store_key,
        keys::KEY_SPACE,
        ledger::Serial,
        outcome::{ActionOutcome, NotRunCause, UnknownCause},
        tickets::{Ticket, TicketError, TicketOrigin},
        time::micros,
    },
};

/// Result of a request that brings an action.
#[derive(Clone, Debug)]
pub(crate) enum ActionResult {
    /// The outcome of the action.
    Outcome(ActionOutcome),
    /// The id was used for another request.
    Mismatch,
}

/// The id under which a caller sends an action.
enum ActionId {
    Ticket(Ticket),
    /// The caller's own idempotency key, and its key in the store.
    Key(String, String),
}

impl ActionId {
    /// Returns the id as callers, operators and leaves see it.
    fn name(&self) -> String {
        match self {
            Self::Ticket(ticket) => ticket.action_id(),
            Self::Key(key, _) => format!("key:{key}"),
        }
    }
}

/// Response body of `POST /tickets`.
#[derive(Debug, Serialize)]
struct TicketBody {
    ticket: String,
}

/// Response body of an action that ran.
#[derive(Debug, Serialize)]
struct DoneBody<'a> {
    id: &'a str,
    rows: &'a RawValue,
}

/// Response body of an action that has no rows to return.
#[derive(Debug, Serialize)]
struct ActionErrorBody<'a> {
    error: &'static str,
    id: &'a str,
    reason: String,
    message: &'static str,
}

/// Trace of an action, shown by `guavacourse explain`.
#[derive(Debug, Serialize)]
struct ActionTrace<'a> {
    kind: &'a str,
    /// Id of the action: its ticket without the tag, or its key.
    action: &'a str,
    result: &'static str,
    /// Why there are no rows, if there are none.
    reason: Option<String>,
    elapsed_us: u64,
}

/// Mints a ticket. A leaving entry first asks another entry for one, because a
/// ticket can run only on the process that minted it.
pub(crate) async fn mint(state: &ThreadState, context: &ApiContext) -> Response {
    let leaving = context.leaving.load(Ordering::Relaxed);
    let minted = if leaving {
        state.mint_on_peer(&context.instance).await
    } else {
        None
    };
    let ticket = minted.unwrap_or_else(|| state.tickets.mint(state.now()).to_string());
    json_response(200, &TicketBody { ticket })
}

/// Runs an action or repeats its outcome, and records a trace under
/// `request_id`.
pub(crate) async fn handle_action(
    state: &Rc<ThreadState>,
    request_id: &str,
    kind: &str,
    request: &mut Request,
) -> Response {
    let started = state.now();
    let executed = execute_request(state, kind, request).await;
    let (result, response) = match executed {
        Ok((action, result)) => {
            let trace = ActionTrace {
                kind,
                action: &action,
                result: result_name(&result),
                reason: reason(&result),
                elapsed_us: micros(state.now().since(started)),
            };
            state.shared.record_trace(request_id, &trace);
            (trace.result, result_response(&action, &result))
        }
        Err(error) => (error.body.error, error.response()),
    };
    let good = result == "served";
    state.shared.record_request(kind, result, good, started);
    response
}

async fn execute_request(
    state: &Rc<ThreadState>,
    kind: &str,
    request: &mut Request,
) -> Result<(String, ActionResult), HttpError> {
    let id = action_id(request)?;
    if let ActionId::Ticket(ticket) = &id {
        state.tickets.origin(ticket).map_err(bad_ticket)?;
    }
    let first_try = parse_first_try(request)?;
    let action = read_action(state, kind, &id, request).await?;
    let name = id.name();
    let timeout = async {
        Timer::after(action.deadline.left(state.now())).await;
        ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::StillRunning))
    };
    let result = state
        .execute(id, action.clone(), first_try)
        .or(timeout)
        .await;
    Ok((name, result))
}

impl ThreadState {
    /// Runs an action or repeats its outcome, on the entry that its id belongs
    /// to. The action goes on if the future is dropped.
    async fn execute(
        self: &Rc<Self>,
        id: ActionId,
        request: ActionRequest,
        first_try: bool,
    ) -> ActionResult {
        let (_, store_key) = match id {
            ActionId::Ticket(ticket) => {
                return self.execute_ticket(&ticket, request, first_try).await;
            }
            ActionId::Key(key, store_key) => (key, store_key),
        };
        let owner = Rc::clone(self);
        let (sender, result) = bounded(1);
        self.tasks.spawn(&self.executor, async move {
            let result = owner.execute_key(&store_key, request, first_try).await;
            let _ = sender.try_send(result);
        });
        let unknown = ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::StillRunning));
        result.recv().await.unwrap_or(unknown)
    }

    /// Runs the action of a ticket or repeats its outcome, on this entry or on
    /// the one that minted the ticket.
    ///
    /// `first_try` is true if the caller has sent no other copy.
    pub(crate) async fn execute_ticket(
        self: &Rc<Self>,
        ticket: &Ticket,
        request: ActionRequest,
        first_try: bool,
    ) -> ActionResult {
        let result = match self.tickets.origin(ticket) {
            Ok(TicketOrigin::Own(serial)) => self.execute_own(serial, request).await,
            Ok(TicketOrigin::Other) => self.hand_over(ticket, &request).await,
            // A mismatched tag comes from another incarnation.
            Ok(TicketOrigin::PastIncarnation) | Err(_) => {
                ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::IssuerGone))
            }
        };
        match result {
            ActionResult::Outcome(ActionOutcome::Unknown(cause)) => {
                ActionResult::Outcome(cause.to_outcome(first_try))
            }
            other => other,
        }
    }

    /// Runs the action of a ticket that this entry minted, or repeats its
    /// outcome. The action goes on if the future is dropped.
    pub(crate) async fn execute_own(
        self: &Rc<Self>,
        serial: Serial,
        request: ActionRequest,
    ) -> ActionResult {
        let admission = self.tickets.begin(serial, request.digest(), self.now());
        ActionResult::Outcome(match admission {
            TicketAdmission::Run(waiting) => {
                self.spawn_action(serial, request);
                ticket_ledger::wait_outcome(&waiting).await
            }
            TicketAdmission::Wait(waiting) => ticket_ledger::wait_outcome(&waiting).await,
            TicketAdmission::Ended(outcome) => outcome,
            TicketAdmission::Mismatch => return ActionResult::Mismatch,
            TicketAdmission::Expired => ActionOutcome::Unknown(UnknownCause::Expired),
        })
    }

    fn spawn_action(self: &Rc<Self>, serial: Serial, request: ActionRequest) {
        let owner = Rc::clone(self);
        self.tasks.spawn(&self.executor, async move {
            let outcome = owner.run_action(request).await;
            owner.tickets.finish(serial, &outcome, owner.now());
        });
    }
}

async fn read_action(
    state: &ThreadState,
    kind: &str,
    id: &ActionId,
    request: &mut Request,
) -> Result<ActionRequest, HttpError> {
    let key = partition_key(request)?;
    let requested = callers::deadline(request)?;
    let body = callers::body(request).await?;
    if serde_json::from_slice::<&RawValue>(&body).is_err() {
        return Err(HttpError::bad_request(
            "the body is not JSON; send a JSON value",
        ));
    }
    let view = state.shared.view.load();
    if !view.ready() {
        let message = "no configuration is in force here yet; resend the same id to another entry";
        return Err(HttpError::new(503, "not-ready", message));
    }
    plan(&view, kind, key).map_err(HttpError::from)?;
    let max = view.catalog.kinds[kind].rules.deadline;
    let span = requested.map_or(max, |requested| requested.min(max));
    Ok(ActionRequest {
        kind: kind.to_owned(),
        key,
        body: Arc::from(body),
        deadline: state.now().after(span),
        id: id.name(),
    })
}

fn action_id(request: &Request) -> Result<ActionId, HttpError> {
    match (
        header(request, "ticket"),
        header(request, "idempotency-key"),
    ) {
        (Some(ticket), None) => ticket.parse().map(ActionId::Ticket).map_err(bad_ticket),
        (None, Some(key)) => {
            let store_key = store_key(key)
                .map_err(|e| HttpError::bad_request(format!("header idempotency-key: {e}")))?;
            Ok(ActionId::Key(key.to_owned(), store_key))
        }
        (None, None) => Err(HttpError::bad_request(
            "header ticket or idempotency-key is missing; fetch a ticket by POST /tickets",
        )),
        (Some(_), Some(_)) => Err(HttpError::bad_request(
            "headers ticket and idempotency-key are both given; send one of them",
        )),
    }
}

impl From<PlanError> for HttpError {
    fn from(error: PlanError) -> Self {
        let (status, name) = match error {
            PlanError::UnknownKind(_) => (404, "unknown-kind"),
            PlanError::NotAction(_) | PlanError::NoShard(_) => (400, "bad-request"),
        };
        Self::new(status, name, error.to_string())
    }
}

fn bad_ticket(error: TicketError) -> HttpError {
    HttpError::bad_request(format!("header ticket: {error}"))
}

fn parse_first_try(request: &Request) -> Result<bool, HttpError> {
    match header(request, "first-try") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(HttpError::bad_request(format!(
            "header first-try is `{other}`; give true or false"
        ))),
    }
}

/// Returns the key that selects the shard: the header `key`, or a hash of the
/// header `subject`.
fn partition_key(request: &Request) -> Result<u32, HttpError> {
    if let Some(key) = callers::number_header(request, "key")? {
        return Ok(key);
    }
    let Some(subject) = header(request, "subject") else {
        return Err(HttpError::bad_request(
            "header key or subject is missing; give a number or a name",
        ));
    };
    let hash = stable_hash(subject.as_bytes()) % u64::from(KEY_SPACE);
    Ok(u32::try_from(hash).unwrap_or_default())
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

fn result_name(result: &ActionResult) -> &'static str {
    match result {
        ActionResult::Outcome(ActionOutcome::Done(_)) => "served",
        ActionResult::Outcome(ActionOutcome::NotRun(_)) => "not-run",
        ActionResult::Outcome(ActionOutcome::Unknown(_)) => "unknown-outcome",
        ActionResult::Mismatch => "mismatch",
    }
}

fn reason(result: &ActionResult) -> Option<String> {
    match result {
        ActionResult::Outcome(ActionOutcome::NotRun(cause)) => Some(cause.to_string()),
        ActionResult::Outcome(ActionOutcome::Unknown(cause)) => Some(cause.to_string()),
        ActionResult::Outcome(ActionOutcome::Done(_)) | ActionResult::Mismatch => None,
    }
}

fn result_response(id: &str, result: &ActionResult) -> Response {
    let error = result_name(result);
    match result {
        ActionResult::Outcome(ActionOutcome::Done(body)) => done_response(id, body),
        ActionResult::Outcome(ActionOutcome::NotRun(cause)) => {
            let status = not_run_status(*cause);
            error_response(status, error, id, cause.to_string(), cause.remedy())
        }
        ActionResult::Outcome(ActionOutcome::Unknown(cause)) => {
            let status = unknown_status(*cause);
            error_response(status, error, id, cause.to_string(), cause.remedy())
        }
        ActionResult::Mismatch => error_response(
            409,
            error,
            id,
            "mismatch".to_owned(),
            "the id was used for another kind, key or body; use a new one for a new request",
        ),
    }
}

fn done_response(id: &str, body: &[u8]) -> Response {
    match serde_json::from_slice(body) {
        Ok(rows) => json_response(200, &DoneBody { id, rows }),
        Err(_) => error_response(
            502,
            "unknown-outcome",
            id,
            "malformed".to_owned(),
            "the action ran, but its rows are not JSON; look up by a query what it did",
        ),
    }
}

fn error_response(
    status: u16,
    error: &'static str,
    id: &str,
    reason: String,
    message: &'static str,
) -> Response {
    let body = ActionErrorBody {
        error,
        id,
        reason,
        message,
    };
    json_response(status, &body)
}

fn not_run_status(cause: NotRunCause) -> u16 {
    match cause {
        NotRunCause::Unplanned => 400,
        _ => 503,
    }
}

fn unknown_status(cause: UnknownCause) -> u16 {
    match cause {
        UnknownCause::StillRunning | UnknownCause::Call(Unknown::Timeout) => 504,
        _ => 502,
    }
}
