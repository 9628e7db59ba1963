//! Error responses.

use guavacourse::edge::http::json_response;
use http_types::Response;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Creates a response whose JSON body gives the error.
pub(crate) fn error_response(status: u16, error: &str) -> Response {
    json_response(status, &ErrorBody { error })
}
