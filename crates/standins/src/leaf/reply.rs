//! Builds the replies of a simulated leaf, both correct and faulty.

use futures_lite::io::Cursor;
use guavacourse::edge::http::json_response;
use http_types::{Body, Response};

use super::{
    faults::{Health, ReplyFault},
    rows::Row,
    state::ServedIndex,
};
use crate::error::error_response;

/// Number of bytes that a truncated reply announces but does not send.
const MISSING_BYTES: usize = 16;

/// Headers that every reply carries: the attempt of its call and the state of
/// the leaf.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommonHeaders {
    pub(super) attempt: u64,
    pub(super) served: ServedIndex,
    pub(super) incarnation: u64,
    pub(super) state: Health,
    pub(super) load: u32,
}

/// Why a call was not answered with rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The leaf does not serve the index version or the partition epoch.
    Snapshot,
    Shed,
    Draining,
    /// The deadline had passed on arrival.
    Expired,
    /// The deadline passed during the work.
    Overrun,
}

/// Creates the reply to a call that is not answered with rows.
pub(super) fn refusal(headers: &CommonHeaders, reason: Refusal) -> Response {
    let (status, error, not_run) = match reason {
        Refusal::Snapshot => (409, "snapshot", true),
        Refusal::Shed => (503, "shed", true),
        Refusal::Draining => (503, "draining", true),
        Refusal::Expired => (504, "expired", true),
        Refusal::Overrun => (504, "late", false),
    };
    let mut response = error_response(status, error);
    insert_common_headers(&mut response, headers);
    if not_run {
        response.insert_header("not-run", error);
    }
    response
}

/// Creates the reply to a call that is answered with rows, with `fault` applied
/// if there is one.
pub(super) fn rows(
    headers: &CommonHeaders,
    version: u64,
    rows: &[Row],
    fault: Option<ReplyFault>,
) -> Response {
    let mut response = json_response(200, &rows);
    let served = headers.served;
    insert_common_headers(&mut response, headers);
    response.insert_header("index-version", version.to_string());
    response.insert_header("key-from", served.range.from.to_string());
    response.insert_header("key-until", served.range.until.to_string());
    response.insert_header("row-count", rows.len().to_string());
    let Some(fault) = fault else {
        return response;
    };
    match fault {
        ReplyFault::CutShort => response.set_body(truncated_body(rows)),
        ReplyFault::MalformedRows => response.set_body("[{\"leaf\":"),
        ReplyFault::WrongAttempt => set_header(&mut response, "attempt", headers.attempt ^ 1),
        ReplyFault::WrongRange => {
            set_header(
                &mut response,
                "key-until",
                u64::from(served.range.until / 2),
            );
        }
        ReplyFault::WrongCount => set_header(&mut response, "row-count", rows.len() as u64 + 1),
        ReplyFault::WrongVersion => set_header(&mut response, "index-version", version + 1),
        ReplyFault::WrongEpoch => set_header(&mut response, "partition-epoch", served.epoch + 1),
        ReplyFault::MissingHeaders => remove_headers(&mut response),
        ReplyFault::Lost => {}
    }
    response
}

fn insert_common_headers(response: &mut Response, headers: &CommonHeaders) {
    set_header(response, "attempt", headers.attempt);
    set_header(response, "index-oldest", headers.served.versions.oldest);
    set_header(response, "index-newest", headers.served.versions.newest);
    set_header(response, "partition-epoch", headers.served.epoch);
    set_header(response, "incarnation", headers.incarnation);
    set_header(response, "load", u64::from(headers.load));
    let state = match headers.state {
        Health::Serving => "serving",
        Health::Draining => "draining",
    };
    response.insert_header("state", state);
}

fn set_header(response: &mut Response, name: &str, value: u64) {
    response.insert_header(name, value.to_string());
}

/// Creates a body that ends before its announced length.
fn truncated_body(rows: &[Row]) -> Body {
    let text = serde_json::to_vec(rows).unwrap_or_default();
    let announced = text.len() + MISSING_BYTES;
    Body::from_reader(Cursor::new(text), Some(announced))
}

fn remove_headers(response: &mut Response) {
    let names = [
        "attempt",
        "incarnation",
        "index-newest",
        "index-oldest",
        "index-version",
        "key-from",
        "key-until",
        "load",
        "partition-epoch",
        "row-count",
        "state",
    ];
    for name in names {
        response.remove_header(name);
    }
}
