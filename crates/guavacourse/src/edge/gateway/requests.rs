//! Handles a request of a caller, from parsing it to the response.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use http_types::{Request, Response};

use super::{
    explain,
    peer_call::{self, PeerOutcome},
    protocol::{CallerAnswer, CallerRequest},
    query_answer::QueryAnswer,
    serve::Traffic,
    trials::{self, Admitted},
};
use crate::{
    edge::entry::QueryRunner,
    modules::{
        answer::{Answer, AnswerRows, Failure, Reason, Refusal},
        catalog::{KindEntry, stable_hash},
        customers::{Credential, Customer},
        query::{MIN_DEADLINE, QueryRequest, allowed_regions},
        view::View,
    },
};

/// Time reserved for an answer to reach its caller.
const DELIVERY_MARGIN: Duration = Duration::from_millis(12);

/// Minimum delay before a request that found no configuration may be repeated, and
/// the time over which such retries are spread: a process that starts while the
/// store is unavailable calls it again after at most 0.7 s, before jitter.
const MIN_UNREADY_DELAY: Duration = Duration::from_millis(250);
const UNREADY_JITTER: Duration = Duration::from_millis(500);

/// Returns the response to a request.
pub(super) async fn handle(traffic: &Rc<Traffic>, mut request: Request) -> Response {
    let body = request.body_bytes().await.unwrap_or_default();
    let answer = match traffic.callers.read(&request, body) {
        Ok(incoming) => forward(traffic, incoming).await,
        Err(fault) => CallerAnswer::Invalid(fault),
    };
    traffic.callers.write(answer)
}

/// Forwards a request to leaves, or to a peer that calls them.
async fn forward(traffic: &Traffic, mut incoming: CallerRequest) -> CallerAnswer {
    let started = traffic.clock.now();
    let view = traffic.view.load();
    if !view.ready() {
        return CallerAnswer::Query(QueryAnswer::NotRun {
            retry_after: MIN_UNREADY_DELAY + UNREADY_JITTER.mul_f64(fastrand::f64()),
            reason: "no configuration is in force here yet".to_owned(),
        });
    }
    let Some(kind) = view.catalog.forward_kind(&incoming.host, &incoming.path) else {
        return CallerAnswer::Query(QueryAnswer::UnknownKind);
    };
    let customer = match identify(traffic, &view, kind, &mut incoming) {
        Ok(customer) => customer,
        Err(answer) => return answer,
    };
    let name = kind.rules.name.clone();
    let mut time_limit = incoming.deadline.unwrap_or(kind.rules.deadline);
    if let Some(departure) = traffic.stopping.departure() {
        if !departure.takes(&kind.rules, time_limit) {
            return CallerAnswer::not_run("this process is leaving; repeat elsewhere");
        }
        time_limit = time_limit.min(departure.left);
    }
    let refused = customer
        .as_ref()
        .and_then(|customer| traffic.exchange.admit(&view, customer));
    if let Some(answer) = refused {
        let elapsed = traffic.clock.now().since(started);
        let label = result_label(&answer);
        traffic.entry_metrics.record_request(&name, label, elapsed);
        return answer;
    }
    let deadline = time_limit.saturating_sub(DELIVERY_MARGIN);
    let age = traffic.wait_times.borrow_mut().waited(&name, time_limit);
    let request = QueryRequest {
        kind: name.clone(),
        deadline: Some(deadline.max(MIN_DEADLINE)),
        least_coverage: None,
        body: Arc::from(incoming.body),
        forward: Some(Arc::new(incoming.forwarded)),
        age,
        customer: customer.clone(),
        only_services: Vec::new(),
        trial: 0,
    };
    let run = async {
        match delegate(traffic, &view, request).await {
            Ok(answer) => answer,
            Err(request) => run_locally(traffic, request).await,
        }
    };
    let expired = async {
        traffic.stopping.wait_expired().await;
        QueryAnswer::Late
    };
    let answer = run.or(expired).await;
    if let (Some(customer), QueryAnswer::NotRun { .. }) = (&customer, &answer) {
        traffic.exchange.refund(customer);
    }
    let answer = CallerAnswer::Query(answer);
    let elapsed = traffic.clock.now().since(started);
    traffic
        .entry_metrics
        .record_request(&name, result_label(&answer), elapsed);
    answer
}

/// Returns the customer of a request, if the configuration has customers. Leaves then
/// receive none of the headers by which the caller identified itself.
///
/// # Errors
///
/// Returns the answer to a request that is refused.
fn identify(
    traffic: &Traffic,
    view: &View,
    kind: &KindEntry,
    incoming: &mut CallerRequest,
) -> Result<Option<Arc<Customer>>, CallerAnswer> {
    let identity = std::mem::take(&mut incoming.identity);
    let Some(keyring) = &view.catalog.customers else {
        incoming.forwarded.caller = hash_identity(&identity);
        incoming.forwarded.headers.extend(identity);
        return Ok(None);
    };
    let forward = kind.rules.forward.as_ref();
    let anonymous = forward.is_some_and(|forward| forward.anonymous);
    let found = keyring.identify(&incoming.credential, anonymous);
    let age = traffic.freshness.age(traffic.clock.now());
    let has_key = matches!(incoming.credential, Credential::Key(_));
    if has_key && !traffic.revocation.accepts(age) {
        let reason = "this process cannot tell whether the key was revoked; repeat elsewhere";
        return Err(CallerAnswer::not_run(reason));
    }
    let customer = found.map_err(|denial| {
        explain::log_denial(traffic, &incoming.forwarded.id, &kind.rules.name, denial);
        CallerAnswer::Unauthorized(denial)
    })?;
    if let Some(customer) = &customer {
        incoming.forwarded.caller = stable_hash(customer.name.as_bytes());
    }
    Ok(customer)
}

/// Returns the hash of the headers by which a caller identifies itself; 0 for none.
fn hash_identity(headers: &[(String, String)]) -> u64 {
    headers.iter().fold(0, |hash, (name, value)| {
        hash ^ stable_hash(format!("{name}: {value}").as_bytes())
    })
}

/// Sends a query to the peer that should run it.
///
/// # Errors
///
/// Returns the query if it is to be run here.
async fn delegate(
    traffic: &Traffic,
    view: &Arc<View>,
    request: QueryRequest,
) -> Result<QueryAnswer, QueryRequest> {
    let sent = traffic.clock.now();
    let kind = view.catalog.kinds.get(&request.kind);
    let customer = request.customer.as_deref();
    let peer = kind.and_then(|kind| {
        let regions = allowed_regions(&kind.rules, customer);
        let mut balancer = traffic.balancer.borrow_mut();
        balancer.peer_for(view, kind, &regions, sent)
    });
    let Some(peer) = peer else {
        return Err(request);
    };
    let revision = view.catalog.revision;
    let outcome = peer_call::run(&traffic.peers, peer, revision, &request).await;
    let waited = traffic.clock.now().since(sent);
    match outcome {
        PeerOutcome::Completed(answer) => Ok(answer),
        PeerOutcome::Unknown => Ok(QueryAnswer::Failed),
        PeerOutcome::NotRun => Err(request.with_elapsed(waited, waited)),
    }
}

/// Runs a query in this process until its answer. Quarantined content is refused, or
/// runs as a trial.
pub(super) async fn run_locally(traffic: &Traffic, request: QueryRequest) -> QueryAnswer {
    let started = traffic.clock.now();
    let trial = match trials::admit(traffic, &request).await {
        Admitted::Freely => return run_query(traffic, request).await,
        Admitted::Trial(trial) => trial,
        Admitted::Refused(retry_after) => {
            let reason = Refusal::Quarantined.to_string();
            return QueryAnswer::not_run_until(retry_after, reason);
        }
    };
    let waited = traffic.clock.now().since(started);
    let request = QueryRequest {
        trial: trial.number,
        ..request.with_elapsed(waited, waited)
    };
    let answer = run_query(traffic, request).await;
    trial.finish(&answer);
    answer
}

async fn run_query(traffic: &Traffic, request: QueryRequest) -> QueryAnswer {
    let kind = request.kind.clone();
    let id = request.forward.as_ref().map(|forward| forward.id.clone());
    let id = id.unwrap_or_default();
    let runner = QueryRunner {
        clock: traffic.clock,
        view: &traffic.view,
        balancer: &traffic.balancer,
        calls: &traffic.router,
        call_counter: &traffic.entry_metrics.calls,
    };
    match runner.run(request).await {
        Ok(answer) => {
            explain::count_concessions(traffic, &answer);
            explain::log_incomplete(traffic, &id, &answer);
            from_answer(answer)
        }
        Err(refusal) => {
            explain::log_refusal(traffic, &id, &kind, &refusal);
            from_refusal(&refusal)
        }
    }
}

fn from_answer(answer: Answer) -> QueryAnswer {
    match answer.body {
        Ok(body) => match body.rows {
            AnswerRows::Whole(whole) => QueryAnswer::Whole(whole),
            AnswerRows::Records(records) => QueryAnswer::Records {
                body: records,
                signatures: body.signatures,
                services: body.services,
                missing: body.missing,
            },
            AnswerRows::Json(rows) => QueryAnswer::Records {
                body: rows.get().as_bytes().to_vec(),
                signatures: body.signatures,
                services: body.services,
                missing: body.missing,
            },
        },
        Err(failure) => from_failure(failure),
    }
}

fn from_failure(failure: Failure) -> QueryAnswer {
    if failure.not_run {
        let earliest = failure.retry_after.unwrap_or_default();
        return QueryAnswer::not_run_until(earliest, "no leaf could take the request");
    }
    match (failure.reply, failure.reason) {
        (Some(reply), _) => QueryAnswer::Whole(reply),
        (None, Reason::Deadline) => QueryAnswer::Late,
        (None, Reason::Coverage) => QueryAnswer::Failed,
    }
}

fn from_refusal(refusal: &Refusal) -> QueryAnswer {
    match refusal {
        Refusal::UnknownKind(_) => QueryAnswer::UnknownKind,
        Refusal::Contended { retry_after, .. } => QueryAnswer::NotRun {
            retry_after: *retry_after,
            reason: refusal.to_string(),
        },
        _ => QueryAnswer::not_run(refusal.to_string()),
    }
}

/// Returns the metrics label of an answer.
fn result_label(answer: &CallerAnswer) -> &'static str {
    match answer {
        CallerAnswer::Query(answer) => query_label(answer),
        CallerAnswer::Invalid(_) => "invalid",
        CallerAnswer::Unauthorized(_) => "unauthorized",
        CallerAnswer::OverQuota { .. } => "over-quota",
    }
}

fn query_label(answer: &QueryAnswer) -> &'static str {
    match answer {
        QueryAnswer::Records { missing: 0, .. } | QueryAnswer::Whole(_) => "served",
        QueryAnswer::Records { .. } => "partial",
        QueryAnswer::UnknownKind => "invalid",
        QueryAnswer::NotRun { .. } => "not-run",
        QueryAnswer::Late => "late",
        QueryAnswer::Failed => "failed",
    }
}
