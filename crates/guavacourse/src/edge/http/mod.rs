//! HTTP/1.1 client and server that read each message as a whole.
//!
//! `async-h1` accepts a body shorter than its `content-length`, loses a pipelined
//! request, closes the connection on a bad head without a response, and supports
//! no head over 8 KB. This module therefore reads whole messages itself and checks
//! them with `httparse`, the parser that `async-h1` uses; `async-h1` only encodes
//! responses, and requests passed as [`http_types::Request`].

mod client;
mod encoding;
mod head;
mod message;
mod receive_memory;
mod server;

pub use super::account::{CallerAccount, Cause, Seat};
pub use client::{Connection, ExchangeError, call};
pub use encoding::percent_encoded;
pub use head::{MAX_HEAD_BYTES, MessageError};
pub use message::{ResponseHead, Target, is_header_value, set_header, status};
pub use receive_memory::ReceiveMemory;
pub use server::{Limits, Shutdown, json_response, serve, serve_seated};
