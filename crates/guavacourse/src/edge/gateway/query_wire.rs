//! Converts queries that a peer runs, and their results, between the core's types
//! and Cap'n Proto.

use std::{sync::Arc, time::Duration};

use capnp::{Result, primitive_list, text_list};

use super::query_answer::QueryAnswer;
use crate::{
    edge::wire::list_len,
    generated::wire_capnp::{Declined, query, records, result, whole},
    modules::{
        answer::ForwardedReply,
        call::{ForwardedRequest, Origin},
        query::QueryRequest,
        time::micros,
    },
};

/// Reply of a peer to a query.
#[derive(Debug)]
pub(super) enum Reply {
    /// The peer ran the query.
    Completed(QueryAnswer),
    /// The peer declined the query and did not run it.
    Declined(Declined),
}

/// Writes a query that was planned under a revision of the configuration.
pub(super) fn write_query(mut out: query::Builder<'_>, request: &QueryRequest, revision: u64) {
    out.set_kind(&request.kind);
    out.set_revision(revision);
    out.set_budget_micros(micros(request.deadline.unwrap_or_default()));
    out.set_age_micros(micros(request.age));
    out.set_body(&request.body);
    if let Some(least) = request.least_coverage {
        out.set_least_coverage(least);
    }
    write_positions(
        out.reborrow()
            .init_services(list_len(request.only_services.len())),
        &request.only_services,
    );
    if let Some(customer) = &request.customer {
        out.set_customer(&customer.name);
    }
    let Some(forward) = &request.forward else {
        return;
    };
    out.set_method(&forward.method);
    out.set_target(&forward.target);
    out.set_id(&forward.id);
    out.set_caller(forward.caller);
    let mut headers = out.init_headers(list_len(forward.headers.len()));
    for (index, (name, value)) in (0..).zip(&forward.headers) {
        let mut header = headers.reborrow().get(index);
        header.set_name(name);
        header.set_value(value);
    }
}

/// A query of a peer.
pub(super) struct PeerQuery {
    /// The query, without its customer.
    pub(super) request: QueryRequest,
    /// Revision of the configuration under which it was planned.
    pub(super) revision: u64,
    /// Name of the customer; empty if it has none.
    pub(super) customer: String,
}

/// Reads a query.
pub(super) fn read_query(query: query::Reader<'_>) -> Result<PeerQuery> {
    let mut headers = Vec::new();
    for header in query.get_headers()? {
        let name = header.get_name()?.to_string()?;
        headers.push((name, header.get_value()?.to_string()?));
    }
    let only_services: Vec<u16> = query.get_services()?.iter().collect();
    let forward = ForwardedRequest {
        method: query.get_method()?.to_string()?,
        target: query.get_target()?.to_string()?,
        id: query.get_id()?.to_string()?,
        headers,
        caller: query.get_caller(),
    };
    let request = QueryRequest {
        kind: query.get_kind()?.to_string()?,
        deadline: Some(Duration::from_micros(query.get_budget_micros())),
        least_coverage: Some(query.get_least_coverage()).filter(|least| *least >= 0.0),
        body: Arc::from(query.get_body()?),
        forward: Some(Arc::new(forward)),
        age: Duration::from_micros(query.get_age_micros()),
        customer: None,
        only_services,
        trial: 0,
    };
    Ok(PeerQuery {
        request,
        revision: query.get_revision(),
        customer: query.get_customer()?.to_string()?,
    })
}

/// Writes the result of a query.
pub(super) fn write_result(mut out: result::Builder<'_>, reply: &Reply) {
    match reply {
        Reply::Declined(reason) => out.set_declined(*reason),
        Reply::Completed(QueryAnswer::Records {
            body,
            signatures,
            services,
            missing,
        }) => {
            let mut records = out.init_records();
            records.set_body(body);
            records.set_missing(list_len(*missing));
            write_positions(
                records.reborrow().init_services(list_len(services.len())),
                services,
            );
            write_signatures(
                records.init_signatures(list_len(signatures.len())),
                signatures,
            );
        }
        Reply::Completed(QueryAnswer::Whole(reply)) => write_whole(out.init_whole(), reply),
        Reply::Completed(QueryAnswer::NotRun {
            retry_after,
            reason,
        }) => {
            out.set_retry_micros(micros(*retry_after));
            out.set_not_run(reason);
        }
        // The kind was there when the query was accepted.
        Reply::Completed(QueryAnswer::UnknownKind) => out.set_declined(Declined::Revision),
        Reply::Completed(QueryAnswer::Late) => out.set_late(()),
        Reply::Completed(QueryAnswer::Failed) => out.set_failed(()),
    }
}

fn write_whole(mut out: whole::Builder<'_>, reply: &ForwardedReply) {
    let origin = &reply.origin;
    out.set_status(origin.status);
    out.set_signature(&origin.signature);
    out.set_media(&origin.media);
    out.set_body(&reply.body);
}

fn read_whole(whole: whole::Reader<'_>) -> Result<ForwardedReply> {
    let origin = Origin {
        status: whole.get_status(),
        signature: whole.get_signature()?.to_string()?,
        media: whole.get_media()?.to_string()?,
    };
    Ok(ForwardedReply {
        origin: Arc::new(origin),
        body: Arc::from(whole.get_body()?),
    })
}

fn write_signatures(mut list: text_list::Builder<'_>, signatures: &[String]) {
    for (index, signature) in (0..).zip(signatures) {
        list.set(index, signature);
    }
}

fn write_positions(mut list: primitive_list::Builder<'_, u16>, positions: &[u16]) {
    for (index, position) in (0..).zip(positions) {
        list.set(index, *position);
    }
}

/// Reads the result of a query.
pub(super) fn read_result(result: result::Reader<'_>) -> Result<Reply> {
    Ok(match result.which()? {
        result::Which::Declined(reason) => Reply::Declined(reason?),
        result::Which::Records(records) => Reply::Completed(read_records(records?)?),
        result::Which::Whole(whole) => Reply::Completed(QueryAnswer::Whole(read_whole(whole?)?)),
        result::Which::NotRun(why) => Reply::Completed(QueryAnswer::NotRun {
            retry_after: Duration::from_micros(result.get_retry_micros()),
            reason: why?.to_string()?,
        }),
        result::Which::Late(()) => Reply::Completed(QueryAnswer::Late),
        result::Which::Failed(()) => Reply::Completed(QueryAnswer::Failed),
    })
}

fn read_records(records: records::Reader<'_>) -> Result<QueryAnswer> {
    let mut signatures = Vec::new();
    for signature in records.get_signatures()? {
        signatures.push(signature?.to_string()?);
    }
    let missing = usize::try_from(records.get_missing()).unwrap_or(usize::MAX);
    Ok(QueryAnswer::Records {
        body: records.get_body()?.to_vec(),
        signatures,
        services: records.get_services()?.iter().collect(),
        missing,
    })
}
