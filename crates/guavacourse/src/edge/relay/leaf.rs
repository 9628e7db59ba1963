//! Encodes calls to leaves and decodes their replies, as specified in
//! `docs/PROTOCOLS.md`.

use std::{fmt::Write, sync::Arc};

use serde::de::IgnoredAny;

use super::protocol::{LeafCall, LeafProtocol};
use crate::{
    edge::http::ResponseHead,
    modules::{
        admission::{Ending, LeafAnswer},
        call::{HeldVersions, NotRun, Outcome, Rows, Unknown},
        keys::KeyRange,
        time::micros,
    },
};

/// The protocol of leaves that implement guavacourse's own query and action
/// interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeProtocol;

impl LeafProtocol for NativeProtocol {
    fn encode(&self, call: &LeafCall<'_>) -> Option<Vec<u8>> {
        let part = &call.job.part;
        let path = if call.job.is_action() {
            "action"
        } else {
            "query"
        };
        let mut head = format!("POST /{path} HTTP/1.1\r\nhost: {}\r\n", call.address);
        let mut header = |name: &str, value: &dyn std::fmt::Display| {
            // Writing to a string cannot fail.
            let _ = write!(head, "{name}: {value}\r\n");
        };
        header("attempt", &call.call_id);
        header("kind", &part.kind);
        header("deadline-us", &micros(call.time_left));
        header("index-version", &part.version);
        header("partition-epoch", &part.epoch);
        if call.job.is_action() {
            header("action-id", &part.action);
        }
        header("content-type", &"application/octet-stream");
        header("content-length", &part.body.len());
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&part.body);
        Some(bytes)
    }

    fn decode(&self, call: &LeafCall<'_>, head: &ResponseHead, body: Vec<u8>) -> Ending {
        decode_reply(head, body, call.call_id)
    }
}

/// Decodes a whole reply. One that does not echo the call's id counts as lost.
fn decode_reply(response: &ResponseHead, body: Vec<u8>, call_id: u64) -> Ending {
    match number(response, "attempt") {
        Some(attempt) if attempt == call_id => {}
        Some(_) => return Ending::Lost(Unknown::Mismatched),
        None => return Ending::Lost(Unknown::Malformed),
    }
    let Some(outcome) = outcome(response, body) else {
        return Ending::Lost(Unknown::Malformed);
    };
    Ending::Answered(LeafAnswer {
        outcome,
        incarnation: number(response, "incarnation").unwrap_or_default(),
        draining: text(response, "state") == Some("draining"),
    })
}

fn outcome(response: &ResponseHead, body: Vec<u8>) -> Option<Outcome> {
    let reason = text(response, "not-run");
    match (response.status, reason) {
        (200, None) => rows(response, body).map(Outcome::Rows),
        (409, Some("snapshot")) => held_versions(response).map(Outcome::Elsewhere),
        (503, Some("shed")) => Some(Outcome::NotRun(NotRun::Shed)),
        (503, Some("draining")) => Some(Outcome::NotRun(NotRun::Draining)),
        (504, Some("expired")) => Some(Outcome::NotRun(NotRun::Expired)),
        (504, None) => Some(Outcome::Unknown(Unknown::Timeout)),
        _ => None,
    }
}

/// Reads the rows of a reply; none if `row-count` does not match their number.
fn rows(response: &ResponseHead, body: Vec<u8>) -> Option<Rows> {
    let rows: Vec<IgnoredAny> = serde_json::from_slice(&body).ok()?;
    if number(response, "row-count") != u64::try_from(rows.len()).ok() {
        return None;
    }
    let from = key_bound(response, "key-from")?;
    let until = key_bound(response, "key-until")?;
    Some(Rows {
        version: number(response, "index-version")?,
        newest: number(response, "index-newest")?,
        epoch: number(response, "partition-epoch")?,
        range: KeyRange::new(from, until),
        body: Arc::from(body),
        origin: None,
    })
}

fn held_versions(response: &ResponseHead) -> Option<HeldVersions> {
    Some(HeldVersions {
        oldest: number(response, "index-oldest")?,
        newest: number(response, "index-newest")?,
        epoch: number(response, "partition-epoch")?,
    })
}

fn key_bound(response: &ResponseHead, name: &str) -> Option<u32> {
    u32::try_from(number(response, name)?).ok()
}

fn number(response: &ResponseHead, name: &str) -> Option<u64> {
    text(response, name)?.parse().ok()
}

fn text<'a>(response: &'a ResponseHead, name: &str) -> Option<&'a str> {
    response.header(name)
}
