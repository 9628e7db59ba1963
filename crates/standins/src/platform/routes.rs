//! The HTTP API of the simulated platform.

use std::{sync::Arc, time::Duration};

use futures_lite::{FutureExt, future};
use guavacourse::{
    edge::http::json_response,
    modules::{catalog::stable_hash, members::Member, time::Time},
};
use http_types::{Method, Request, Response, StatusCode, headers};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use smol::Timer;

use super::{
    server::{Shared, State},
    store::WriteError,
};
use crate::{error::error_response, listener::ConnectionId, outage::Outage};

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);

/// Body of the response that grants a lease.
#[derive(Serialize)]
struct LeaseGrant {
    id: u64,
    ttl_ms: u64,
}

/// Answers one request. Never returns if a fault closes the connection instead.
pub(super) async fn answer(shared: Arc<Shared>, id: ConnectionId, request: Request) -> Response {
    let mut response = carry_out(&shared, id, request).await;
    let era = shared.lock().store.era;
    if era > 0 {
        response.insert_header("era", era.to_string());
    }
    response
}

async fn carry_out(shared: &Arc<Shared>, id: ConnectionId, mut request: Request) -> Response {
    let path = request.url().path();
    let path = percent_decode_str(path).decode_utf8_lossy().into_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    if segments == ["faults"] {
        return set_faults(shared, id, &mut request).await;
    }
    let faults = shared.lock().faults.clone();
    if faults.down != Outage::None {
        shared.listener.close(id);
        return future::pending().await;
    }
    if !faults.delay.is_zero() {
        Timer::after(faults.delay).await;
    }
    let method = request.method();
    match (method, segments.as_slice()) {
        (Method::Get, ["counters"]) => json_response(200, &shared.lock().counters),
        (Method::Get, ["instances"]) => list(shared, &request),
        (Method::Put, ["instances", _, _]) => register(shared, &mut request).await,
        (Method::Get, ["kv", ..]) => read(shared, &store_key(&path), &request).await,
        (Method::Put | Method::Delete, ["kv", ..])
        | (Method::Post | Method::Delete, ["leases", ..]) => {
            let response = write(shared, &path, &segments, &mut request).await;
            if response.status().is_success() && take_lost_reply(shared) {
                shared.listener.close(id);
                return future::pending().await;
            }
            response
        }
        _ => error_response(404, "no such call; see docs/PROTOCOLS.md"),
    }
}

async fn set_faults(shared: &Shared, id: ConnectionId, request: &mut Request) -> Response {
    match request.body_json().await {
        Ok(faults) => {
            shared.set_faults(faults, Some(id));
            Response::new(StatusCode::Ok)
        }
        Err(error) => error_response(400, &error.to_string()),
    }
}

/// Returns whether a fault loses the reply to this write, and counts it.
fn take_lost_reply(shared: &Shared) -> bool {
    let mut state = shared.lock();
    let Some(remaining) = state.faults.lost_replies.checked_sub(1) else {
        return false;
    };
    state.faults.lost_replies = remaining;
    true
}

/// Answers with the list and its `ETag`, or with 304 if the client already has
/// this list.
fn list(shared: &Shared, request: &Request) -> Response {
    shared.lock().counters.listings += 1;
    let listing = shared.list();
    let text = serde_json::to_string(&listing).unwrap_or_default();
    let etag = format!("\"{:016x}\"", stable_hash(text.as_bytes()));
    let cached = request.header(headers::IF_NONE_MATCH);
    let mut response = if cached.is_some_and(|cached| cached.as_str() == etag) {
        Response::new(StatusCode::NotModified)
    } else {
        json_response(200, &listing)
    };
    response.insert_header(headers::ETAG, etag);
    response
}

async fn register(shared: &Shared, request: &mut Request) -> Response {
    let member: Member = match request.body_json().await {
        Ok(member) => member,
        Err(error) => return error_response(400, &error.to_string()),
    };
    let now = shared.now();
    let mut state = shared.lock();
    state.counters.heartbeats += 1;
    state.instances.register(now, member);
    Response::new(StatusCode::Ok)
}

/// Answers with a value. With the parameter `after`, first waits until the
/// version is above `after` or the key is removed, and answers with 304 if
/// neither happens within `wait-ms`.
async fn read(shared: &Shared, key: &str, request: &Request) -> Response {
    let after: Option<u64> = query_number(request, "after");
    let wait = Duration::from_millis(query_number(request, "wait-ms").unwrap_or(0));
    if !count_read(shared, after.is_some()) {
        return throttled_response();
    }
    let Some(after) = after else {
        return value_response(shared, key);
    };
    let changed = async {
        loop {
            let change = {
                let mut state = shared.lock();
                let current = state.store.get(key).map_or(0, |stored| stored.version);
                if current > after || (current == 0 && after > 0) {
                    break;
                }
                state.store.watch(key)
            };
            // The channel closes, with an error here, once the key has changed.
            let _ = change.recv().await;
        }
        value_response(shared, key)
    };
    let timed_out = async {
        Timer::after(wait.min(MAX_WATCH_WAIT)).await;
        Response::new(StatusCode::NotModified)
    };
    changed.or(timed_out).await
}

/// Counts a read or a watch. Returns false if it exceeds the rate.
fn count_read(shared: &Shared, watch: bool) -> bool {
    let now = shared.now();
    let mut state = shared.lock();
    if !state.reads.take(now) {
        state.counters.throttled += 1;
        return false;
    }
    if watch {
        state.counters.watches += 1;
    } else {
        state.counters.reads += 1;
    }
    true
}

fn value_response(shared: &Shared, key: &str) -> Response {
    let state = shared.lock();
    let Some(stored) = state.store.get(key) else {
        return Response::new(StatusCode::NotFound);
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(stored.value.clone());
    response.insert_header("version", stored.version.to_string());
    response
}

async fn write(shared: &Shared, path: &str, segments: &[&str], request: &mut Request) -> Response {
    let Ok(body) = request.body_bytes().await else {
        return error_response(400, "the body cannot be read");
    };
    if body.len() > MAX_VALUE_BYTES {
        return error_response(413, "the value is over 1 MiB; split it");
    }
    let now = shared.now();
    let mut state = shared.lock();
    if !state.writes.take(now) {
        state.counters.throttled += 1;
        return throttled_response();
    }
    state.counters.writes += 1;
    state.store.expire(now);
    let expected = header_number(request, "if-version");
    match (request.method(), segments) {
        (Method::Put, ["kv", ..]) => {
            let lease = header_number(request, "lease");
            match expected {
                Some(expected) => {
                    put_response(state.store.put(&store_key(path), body, expected, lease))
                }
                None => error_response(400, "header if-version is missing; 0 creates a key"),
            }
        }
        (Method::Delete, ["kv", ..]) => match expected {
            Some(expected) => write_response(state.store.delete(&store_key(path), expected)),
            None => error_response(400, "header if-version is missing"),
        },
        (Method::Post, ["leases"]) => grant(&mut state, now, request),
        (Method::Post, ["leases", id, "renew"]) => match id.parse() {
            Ok(id) => write_response(state.store.renew(now, id)),
            Err(_) => error_response(400, "the lease id is not a number"),
        },
        (Method::Delete, ["leases", id]) => match id.parse() {
            Ok(id) => {
                state.store.revoke(id);
                Response::new(StatusCode::Ok)
            }
            Err(_) => error_response(400, "the lease id is not a number"),
        },
        _ => error_response(404, "no such call; see docs/PROTOCOLS.md"),
    }
}

fn grant(state: &mut State, now: Time, request: &Request) -> Response {
    let Some(ttl_ms) = query_number(request, "ttl-ms") else {
        return error_response(400, "parameter ttl-ms is missing");
    };
    let id = state.store.grant(now, Duration::from_millis(ttl_ms));
    json_response(201, &LeaseGrant { id, ttl_ms })
}

fn put_response(result: Result<u64, WriteError>) -> Response {
    match result {
        Ok(version) => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header("version", version.to_string());
            response
        }
        Err(error) => write_response(Err(error)),
    }
}

fn write_response(result: Result<(), WriteError>) -> Response {
    match result {
        Ok(()) => Response::new(StatusCode::Ok),
        Err(WriteError::Conflict(current)) => {
            let mut response = Response::new(StatusCode::Conflict);
            response.insert_header("version", current.to_string());
            response
        }
        Err(WriteError::LeaseExpired) => Response::new(StatusCode::Gone),
    }
}

fn throttled_response() -> Response {
    error_response(429, "over the store's rate; call less often")
}

fn store_key(path: &str) -> String {
    path.trim_start_matches("/kv/").to_owned()
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.as_str().parse().ok()
}

fn query_number(request: &Request, name: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(key, _)| key == name)?;
    value.parse().ok()
}
