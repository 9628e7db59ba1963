//! Converts calls and replies between the core's types and Cap'n Proto messages.

use std::{sync::Arc, time::Duration};

use capnp::{Result, struct_list};

use crate::{
    generated::wire_capnp::{self as wire, reply},
    modules::{
        call::{AttemptId, Call, HeldVersions, NotRun, Outcome, Part, Reply, Rows, Unknown},
        catalog::LeafId,
        keys::KeyRange,
        time::micros,
    },
};

/// Writes the parts of a submission.
pub(crate) fn write_parts(mut list: struct_list::Builder<'_, wire::part::Owned>, parts: &[Part]) {
    for (i, part) in (0..).zip(parts) {
        let mut out = list.reborrow().get(i);
        out.set_kind(&part.kind);
        out.set_worth(part.worth);
        out.set_budget_micros(micros(part.budget));
        out.set_version(part.version);
        out.set_epoch(part.epoch);
        out.set_action(&part.action);
        out.set_fingerprint(part.fingerprint);
        out.set_body(&part.body);
        out.set_alone(part.alone);
        out.set_first(part.canary);
        let mut calls = out.init_calls(list_len(part.calls.len()));
        for (j, call) in (0..).zip(&part.calls) {
            let mut slot = calls.reborrow().get(j);
            slot.set_attempt(call.attempt.0);
            slot.set_leaf(call.leaf.0);
            slot.set_extra(call.extra);
        }
    }
}

/// Reads the parts of a submission.
pub(crate) fn read_parts(list: struct_list::Reader<'_, wire::part::Owned>) -> Result<Vec<Part>> {
    list.iter().map(read_part).collect()
}

fn read_part(part: wire::part::Reader<'_>) -> Result<Part> {
    let calls = part.get_calls()?.iter().map(|call| Call {
        attempt: AttemptId(call.get_attempt()),
        leaf: LeafId(call.get_leaf()),
        extra: call.get_extra(),
    });
    Ok(Part {
        kind: part.get_kind()?.to_string()?,
        worth: part.get_worth(),
        budget: Duration::from_micros(part.get_budget_micros()),
        version: part.get_version(),
        epoch: part.get_epoch(),
        action: part.get_action()?.to_string()?,
        revision: 0,
        age: Duration::ZERO,
        spare: 0,
        late: false,
        fingerprint: part.get_fingerprint(),
        body: Arc::from(part.get_body()?),
        calls: calls.collect(),
        alone: part.get_alone(),
        canary: part.get_first(),
        trial: 0,
        forward: None,
        customer: None,
    })
}

/// Writes a delivery of replies.
pub(crate) fn write_replies(mut list: struct_list::Builder<'_, reply::Owned>, replies: &[Reply]) {
    for (i, reply) in (0..).zip(replies) {
        let mut out = list.reborrow().get(i);
        out.set_attempt(reply.attempt.0);
        out.set_queued(reply.queued);
        out.set_service_micros(micros(reply.service));
        out.set_retry_micros(micros(reply.retry_after));
        match &reply.outcome {
            Outcome::Rows(rows) => write_rows(out.init_rows(), rows),
            Outcome::NotRun(reason) => out.set_not_run(not_run_to_wire(*reason)),
            Outcome::Unknown(reason) => out.set_unknown(unknown_to_wire(*reason)),
            // Only forwarded requests fail in this way, and their replies stay in
            // one process.
            Outcome::Failed(_) => out.set_unknown(wire::Unknown::Malformed),
            Outcome::Elsewhere(held) => {
                let mut slot = out.init_elsewhere();
                slot.set_oldest(held.oldest);
                slot.set_newest(held.newest);
                slot.set_epoch(held.epoch);
            }
        }
    }
}

fn write_rows(mut out: wire::rows::Builder<'_>, rows: &Rows) {
    out.set_version(rows.version);
    out.set_newest(rows.newest);
    out.set_epoch(rows.epoch);
    out.set_from(rows.range.from);
    out.set_until(rows.range.until);
    out.set_body(&rows.body);
}

/// Reads a delivery of replies.
pub(crate) fn read_replies(list: struct_list::Reader<'_, reply::Owned>) -> Result<Vec<Reply>> {
    list.iter().map(read_reply).collect()
}

fn read_reply(reply: reply::Reader<'_>) -> Result<Reply> {
    let outcome = match reply.which()? {
        reply::Which::Rows(rows) => Outcome::Rows(read_rows(rows?)?),
        reply::Which::NotRun(reason) => Outcome::NotRun(not_run_from_wire(reason?)),
        reply::Which::Unknown(reason) => Outcome::Unknown(unknown_from_wire(reason?)),
        reply::Which::Elsewhere(held) => {
            let held = held?;
            Outcome::Elsewhere(HeldVersions {
                oldest: held.get_oldest(),
                newest: held.get_newest(),
                epoch: held.get_epoch(),
            })
        }
    };
    Ok(Reply {
        attempt: AttemptId(reply.get_attempt()),
        queued: reply.get_queued(),
        service: Duration::from_micros(reply.get_service_micros()),
        retry_after: Duration::from_micros(reply.get_retry_micros()),
        load: None,
        outcome,
    })
}

fn read_rows(rows: wire::rows::Reader<'_>) -> Result<Rows> {
    Ok(Rows {
        version: rows.get_version(),
        newest: rows.get_newest(),
        epoch: rows.get_epoch(),
        range: KeyRange::new(rows.get_from(), rows.get_until()),
        body: Arc::from(rows.get_body()?),
        origin: None,
    })
}

/// Writes a list of numbers.
pub(crate) fn write_numbers(mut list: capnp::primitive_list::Builder<'_, u64>, numbers: &[u64]) {
    for (i, number) in (0..).zip(numbers) {
        list.set(i, *number);
    }
}

/// Returns the length of a Cap'n Proto list, which holds at most 2^29 - 1 elements.
pub(crate) fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn not_run_to_wire(reason: NotRun) -> wire::NotRun {
    match reason {
        // Only leaves of forwarded requests distinguish these.
        NotRun::Declined | NotRun::Shed => wire::NotRun::Shed,
        NotRun::Draining => wire::NotRun::Draining,
        NotRun::Unreachable => wire::NotRun::Unreachable,
        NotRun::Expired => wire::NotRun::Expired,
        NotRun::QueueFull => wire::NotRun::QueueFull,
        NotRun::Cancelled => wire::NotRun::Cancelled,
        NotRun::NotOwner => wire::NotRun::NotOwner,
        NotRun::Leaving => wire::NotRun::Leaving,
        NotRun::Quarantined => wire::NotRun::Quarantined,
        NotRun::Ejected => wire::NotRun::Ejected,
        NotRun::Suspected => wire::NotRun::Suspected,
        NotRun::Deferred => wire::NotRun::Deferred,
    }
}

fn not_run_from_wire(reason: wire::NotRun) -> NotRun {
    match reason {
        wire::NotRun::Shed => NotRun::Shed,
        wire::NotRun::Draining => NotRun::Draining,
        wire::NotRun::Unreachable => NotRun::Unreachable,
        wire::NotRun::Expired => NotRun::Expired,
        wire::NotRun::QueueFull => NotRun::QueueFull,
        wire::NotRun::Cancelled => NotRun::Cancelled,
        wire::NotRun::NotOwner => NotRun::NotOwner,
        wire::NotRun::Leaving => NotRun::Leaving,
        wire::NotRun::Quarantined => NotRun::Quarantined,
        wire::NotRun::Ejected => NotRun::Ejected,
        wire::NotRun::Suspected => NotRun::Suspected,
        wire::NotRun::Deferred => NotRun::Deferred,
    }
}

fn unknown_to_wire(reason: Unknown) -> wire::Unknown {
    match reason {
        Unknown::Closed => wire::Unknown::Closed,
        Unknown::Timeout => wire::Unknown::Timeout,
        Unknown::Malformed => wire::Unknown::Malformed,
        Unknown::Mismatched => wire::Unknown::Mismatched,
        Unknown::Exhausted => wire::Unknown::Exhausted,
    }
}

fn unknown_from_wire(reason: wire::Unknown) -> Unknown {
    match reason {
        wire::Unknown::Closed => Unknown::Closed,
        wire::Unknown::Timeout => Unknown::Timeout,
        wire::Unknown::Malformed => Unknown::Malformed,
        wire::Unknown::Mismatched => Unknown::Mismatched,
        wire::Unknown::Exhausted => Unknown::Exhausted,
    }
}
