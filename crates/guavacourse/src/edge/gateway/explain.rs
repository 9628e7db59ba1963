//! Tells in the log what became of requests that were not answered in full.
//!
//! The lines are bounded: `docs/OPERATIONS.md` tells how to read them.

use super::serve::Traffic;
use crate::modules::{
    answer::{Answer, Refusal},
    line_budget::Line,
};

/// Writes a line on an answer that leaves shards out, or on a failure.
pub(super) fn answer(traffic: &Traffic, id: &str, answer: &Answer) {
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

/// Writes a line on a request that was refused before any call.
pub(super) fn refusal(traffic: &Traffic, id: &str, kind: &str, refusal: &Refusal) {
    if may_write(traffic) {
        let revision = traffic.view.load().catalog.revision;
        tracing::info!(request = id, kind, revision, %refusal, "a request was refused");
    }
}

/// Tells whether another line on a request may be written, and how many were
/// left out before.
fn may_write(traffic: &Traffic) -> bool {
    match traffic.lines.borrow_mut().count(traffic.clock.now()) {
        Line::LeaveOut => false,
        Line::Write { left_out } => {
            if left_out > 0 {
                tracing::info!(left_out, "lines on requests were left out");
            }
            true
        }
    }
}
