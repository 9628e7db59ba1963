//! Encodes text that becomes part of a request's target.

use std::fmt::Display;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded: all but the unreserved ones of RFC 3986 and the slash.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Percent-encodes a text for a path or for the value of a query parameter. Slashes are
/// kept.
#[must_use]
pub fn percent_encoded(text: &str) -> impl Display {
    utf8_percent_encode(text, ENCODED)
}
