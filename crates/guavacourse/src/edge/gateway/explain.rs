//! Logs requests that were refused, failed or answered without all shards.
//!
//! The number of lines is limited; `docs/OPERATIONS.md` explains how to read them.

use super::serve::Traffic;
use crate::modules::{
    answer::{Answer, Refusal},
    customers::Denial,
    line_budget::LineDecision,
};

/// Counts the shards that an answer concedes to other queries.
pub(super) fn count_concessions(traffic: &Traffic, answer: &Answer) {
    let trace = &answer.trace;
    traffic
        .entry_metrics
        .record_concessions(&trace.kind, trace.left_out, trace.held);
}

/// Logs an answer that leaves shards out, or a failure.
pub(super) fn log_incomplete(traffic: &Traffic, id: &str, answer: &Answer) {
    let trace = &answer.trace;
    let (outcome, missing, not_run, revision) = match &answer.body {
        Ok(body) if body.missing == 0 => return,
        Ok(body) => ("partial", body.missing, false, body.revision),
        Err(failure) => (
            "failed",
            failure.coverage.missing.len(),
            failure.not_run,
            failure.revision,
        ),
    };
    if !may_write(traffic) {
        return;
    }
    tracing::info!(
        request = id,
        kind = trace.kind,
        left_out = trace.left_out,
        held = trace.held,
        outcome,
        missing,
        not_run,
        revision,
        shards = trace.shards,
        elapsed_us = trace.elapsed_us,
        settled = trace.settled,
        calls = trace.calls,
        hedges = trace.hedges,
        retries = trace.retries,
        denied = trace.denied,
        attempts = ?trace.attempts,
        "a request was not answered in full"
    );
}

/// Logs a request that was refused before any call, and counts why it found no room.
pub(super) fn log_refusal(traffic: &Traffic, id: &str, kind: &str, refusal: &Refusal) {
    if let Refusal::Contended { cause, .. } = refusal {
        traffic.entry_metrics.record_shortage(kind, cause.label());
    }
    if may_write(traffic) {
        let revision = traffic.view.load().catalog.revision;
        tracing::info!(request = id, kind, revision, %refusal, "a request was refused");
    }
}

/// Logs a request without a key that a customer holds.
pub(super) fn log_denial(traffic: &Traffic, id: &str, kind: &str, denial: Denial) {
    if may_write(traffic) {
        let revision = traffic.view.load().catalog.revision;
        tracing::info!(request = id, kind, revision, %denial, "a request was denied");
    }
}

/// Returns whether another line about a request may be written, and logs how many
/// were left out before.
fn may_write(traffic: &Traffic) -> bool {
    match traffic.line_budget.borrow_mut().count(traffic.clock.now()) {
        LineDecision::LeaveOut => false,
        LineDecision::Write { left_out } => {
            if left_out > 0 {
                tracing::info!(left_out, "log lines about requests were left out");
            }
            true
        }
    }
}
