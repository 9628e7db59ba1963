//! Builds the answer of a query that has ended.

use std::{sync::Arc, time::Duration};

use super::{Query, plan::Attempt};
use crate::modules::{
    answer::{
        Answer, AnswerBody, AnswerRows, AttemptStatus, AttemptTrace, Cause, Failure,
        ForwardedReply, Reason, concat_arrays,
    },
    inventory::Format,
    records,
    time::{Time, micros},
};

/// Returns the answer of a query: rows if its coverage is `enough`, otherwise a
/// failure.
pub(super) fn build_answer(query: &Query, enough: bool, reason: Reason, started: Time) -> Answer {
    let bodies: Vec<Arc<[u8]>> = query
        .slots
        .iter()
        .filter_map(|slot| slot.body.clone())
        .collect();
    let rows = if enough && !bodies.is_empty() {
        join_bodies(query, &bodies)
    } else {
        None
    };
    let coverage = query.tally.coverage();
    let revision = query.revision;
    let body = match rows {
        Some(rows) => Ok(AnswerBody {
            rows,
            signatures: signatures(query),
            services: service_indexes(query),
            missing: query.planned_shards().saturating_sub(bodies.len()),
            index_version: query.pin.version,
            partition_epoch: query.pin.epoch,
            coverage,
            revision,
        }),
        None => Err(Failure {
            reason,
            message: reason.to_string(),
            not_run: query.exposure.proves_not_run(),
            exposure: query.exposure,
            reply: query.failed_reply.clone(),
            retry_after: query
                .opens_at
                .map(|opens| opens.left(ended(query, started))),
            coverage,
            revision,
        }),
    };
    let mut trace = query.trace.clone();
    trace.attempts = trace_attempts(query, started);
    Answer { body, trace }
}

/// Returns when a query that was started at `started` ended.
fn ended(query: &Query, started: Time) -> Time {
    started.after(Duration::from_micros(query.trace.elapsed_us))
}

/// Joins the bodies in the format of the kind; `None` if they are not in that
/// format.
fn join_bodies(query: &Query, bodies: &[Arc<[u8]>]) -> Option<AnswerRows> {
    match query.params.format {
        Format::Json => concat_arrays(bodies).map(AnswerRows::Json),
        Format::Greatest(count) => {
            let count = usize::try_from(count).unwrap_or(usize::MAX);
            Some(AnswerRows::Records(records::greatest(bodies, count)))
        }
        Format::Whole => {
            let slot = query.slots.iter().find(|slot| slot.body.is_some())?;
            Some(AnswerRows::Whole(ForwardedReply {
                origin: slot.origin.clone()?,
                body: slot.body.clone()?,
            }))
        }
    }
}

fn signatures(query: &Query) -> Vec<String> {
    let merged = query.slots.iter().filter(|slot| slot.body.is_some());
    let origins = merged.filter_map(|slot| slot.origin.as_ref());
    origins.map(|origin| origin.signature.clone()).collect()
}

/// Returns the service indexes of the merged parts, in the order of their
/// signatures.
fn service_indexes(query: &Query) -> Vec<u16> {
    let merged = query.slots.iter().filter(|slot| slot.body.is_some());
    let only = query.request.only_services.as_slice();
    let places = merged.filter_map(|slot| match only {
        [] => u16::try_from(slot.service).ok(),
        only => only.get(slot.service).copied(),
    });
    places.collect()
}

fn trace_attempts(query: &Query, started: Time) -> Vec<AttemptTrace> {
    let notable = query
        .attempts
        .0
        .iter()
        .filter(|attempt| is_notable(attempt));
    let traced = notable.map(|attempt| AttemptTrace {
        leaf: query.view.catalog.leaf(attempt.leaf).map_or_else(
            || format!("unknown leaf {:016x}", attempt.leaf.0),
            |leaf| leaf.name.clone(),
        ),
        relay: attempt.relay,
        cause: attempt.cause,
        sent_us: micros(attempt.sent.since(started)),
        took_us: micros(attempt.ended_at.since(attempt.sent)),
        ended: attempt.status,
    });
    traced.collect()
}

/// Returns whether an attempt belongs in the trace: any but a merged first
/// call.
fn is_notable(attempt: &Attempt) -> bool {
    attempt.cause != Cause::First || attempt.status != AttemptStatus::Merged
}
