//! HTTP/1.1 with whole messages only.
//!
//! `async-h1` hands on a body shorter than its `content-length`, loses a
//! pipelined request, closes on a bad head without a response and takes no head
//! over 8 KB. So messages are read here as a whole and checked with `httparse`,
//! its own parser; `async-h1` writes responses and the product's own requests.

mod client;
mod head;
mod message;
mod server;

pub use client::{Connection, ExchangeError, call};
pub use head::{BadMessage, HEAD_MAX};
pub use message::{ResponseHead, Target};
pub use server::{Limits, Shutdown, json_response, serve};
