//! Reads whole HTTP/1.1 messages and rejects ambiguous ones. Headers are parsed
//! by `httparse`.

use std::{future::poll_fn, io, ops::Range, pin::Pin, task::Poll};

use futures_lite::AsyncRead;
use thiserror::Error;

/// Default limit on the size of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of headers in a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 2 * 1024;

/// Why a message was rejected. The text names the error and the remedy.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The peer closed the connection before the first byte of a message.
    #[error("the connection closed between messages")]
    ClosedIdle,
    /// The peer closed the connection within a message.
    #[error("the message was cut short; send it again whole")]
    Truncated,
    /// The head is longer than the limit.
    #[error("the head is over {0} bytes; send fewer or shorter headers")]
    HeadTooLong(usize),
    /// The body is longer than the limit.
    #[error("the body of {0} bytes or more is over the limit of {1}; send a smaller one")]
    BodyTooLong(usize, usize),
    /// The syntax of the head is invalid.
    #[error("the head is not HTTP/1.1: {0}")]
    Syntax(String),
    /// A header or the target is missing, repeated or has an invalid value.
    #[error("{0}")]
    Header(String),
    /// The version is not HTTP/1.1.
    #[error("HTTP/1.{0} is not served; use HTTP/1.1")]
    Version(u8),
    /// A transfer coding other than a single `chunked`.
    #[error("this transfer-encoding is not served; send content-length or chunked")]
    TransferCoding,
    /// A response without a length where one is required.
    #[error("the response has no content-length and is not chunked; send its length")]
    LengthRequired,
    /// The syntax of a chunk is invalid, or trailers follow the chunks.
    #[error("a chunk of the body is not valid; send its size in hexadecimal, then its bytes")]
    Chunk,
    /// The messages that are being read together take too much memory.
    #[error("the messages being read take over {0} bytes; send smaller ones")]
    NoMemory(usize),
    /// The socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

/// Whether a message is a request or a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MessageKind {
    /// A request: must have a `host` header.
    Request,
    /// A response: one without a length ends when the connection closes.
    Response,
}

/// Where the body of a message ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// After this number of bytes.
    Length(usize),
    /// After the last chunk.
    Chunked,
    /// When the connection closes.
    CloseDelimited,
}

/// Size, body framing and connection options of a checked head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Head {
    /// Size of the head in bytes, including its blank line.
    pub size: usize,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the sender waits for `100 Continue`.
    pub expect: bool,
    /// Whether the sender asks to close the connection after this exchange.
    pub close: bool,
}

/// Reads from `stream` until `buf` holds a whole head, and checks it. A head of
/// over `limit` bytes is rejected.
pub(super) async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
    kind: MessageKind,
    limit: usize,
) -> Result<Head, MessageError> {
    let mut seen = 0;
    loop {
        match head_size(buf, seen) {
            Some(end) if end <= limit => return check_head(&buf[..end], kind),
            None if buf.len() <= limit => {}
            _ => return Err(MessageError::HeadTooLong(limit)),
        }
        seen = buf.len();
        let empty = buf.is_empty();
        if read_some(stream, buf).await? == 0 {
            return Err(if empty {
                MessageError::ClosedIdle
            } else {
                MessageError::Truncated
            });
        }
    }
}

/// Reads from `stream` until `buf` holds the whole message of `head`, and
/// returns where in `buf` it ends. A body that announces over `limit` bytes, or
/// has not ended after twice as many, is rejected. `reserve` is called with the size of
/// the message so far, and may reject it.
pub(super) async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
    head: Head,
    limit: usize,
    mut reserve: impl FnMut(usize) -> Result<(), MessageError>,
) -> Result<usize, MessageError> {
    let mut chunks = Chunks::default();
    loop {
        let received = buf.len().saturating_sub(head.size);
        let end = match head.framing {
            Framing::Length(length) if length > limit => {
                return Err(MessageError::BodyTooLong(length, limit));
            }
            Framing::Length(length) => (received >= length).then_some(length),
            Framing::Chunked => {
                while chunks.next(&buf[head.size..])?.is_some() {}
                chunks.end()
            }
            Framing::CloseDelimited => None,
        };
        if let Some(end) = end {
            return Ok(head.size + end);
        }
        if received > limit.saturating_mul(2) {
            return Err(MessageError::BodyTooLong(received, limit));
        }
        reserve(buf.len())?;
        if read_some(stream, buf).await? == 0 {
            return match head.framing {
                Framing::CloseDelimited => Ok(buf.len()),
                _ => Err(MessageError::Truncated),
            };
        }
    }
}

/// Returns the decoded body of a whole message.
pub(super) fn body(message: &[u8], head: Head) -> Result<Vec<u8>, MessageError> {
    let rest = &message[head.size..];
    if head.framing != Framing::Chunked {
        return Ok(rest.to_vec());
    }
    let mut chunks = Chunks::default();
    let mut decoded = Vec::with_capacity(rest.len());
    while let Some(data) = chunks.next(rest)? {
        decoded.extend_from_slice(&rest[data]);
    }
    chunks.end().ok_or(MessageError::Truncated)?;
    Ok(decoded)
}

/// Finds the chunks of a body, each once while the body grows.
#[derive(Debug, Default)]
struct Chunks {
    /// Where the next chunk begins.
    position: usize,
    /// Whether the last chunk was found.
    ended: bool,
}

impl Chunks {
    /// Returns where the body ends; none if it is not whole yet.
    fn end(&self) -> Option<usize> {
        self.ended.then_some(self.position)
    }

    /// Returns the position of the next chunk's data; none if it is not whole yet, or
    /// the body has ended. Trailers are rejected.
    fn next(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, MessageError> {
        const CRLF: &[u8] = b"\r\n";
        if self.ended {
            return Ok(None);
        }
        let parsed = httparse::parse_chunk_size(&bytes[self.position..]);
        let parsed = parsed.map_err(|_| MessageError::Chunk)?;
        let httparse::Status::Complete((head, size)) = parsed else {
            return Ok(None);
        };
        let start = self.position + head;
        let size = usize::try_from(size).map_err(|_| MessageError::Chunk)?;
        let end = start.checked_add(size).ok_or(MessageError::Chunk)?;
        let after = end.checked_add(CRLF.len()).ok_or(MessageError::Chunk)?;
        let Some(terminator) = bytes.get(end..after) else {
            return Ok(None);
        };
        if terminator != CRLF {
            return Err(MessageError::Chunk);
        }
        self.position = after;
        self.ended = size == 0;
        Ok((!self.ended).then_some(start..end))
    }
}

/// Reads once from the socket, appends the bytes to `buf` and returns their
/// number. If the future is dropped, `buf` is unchanged.
pub(super) async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
) -> io::Result<usize> {
    let start = buf.len();
    poll_fn(|context| {
        buf.resize(start + READ_BYTES, 0);
        let read = Pin::new(&mut *stream).poll_read(context, &mut buf[start..]);
        let size = match &read {
            Poll::Ready(Ok(size)) => *size,
            _ => 0,
        };
        buf.truncate(start + size);
        read
    })
    .await
}

fn head_size(buf: &[u8], seen: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let start = seen.saturating_sub(END.len());
    let found = buf[start..].windows(END.len()).position(|w| w == END)?;
    Some(start + found + END.len())
}

fn check_head(bytes: &[u8], kind: MessageKind) -> Result<Head, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let syntax = |e: httparse::Error| MessageError::Syntax(e.to_string());
    let mut no_body = false;
    let (parsed, version, headers) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let parsed = request.parse(bytes).map_err(syntax)?;
            check_target(request.path.unwrap_or_default())?;
            (parsed, request.version, request.headers)
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response.parse(bytes).map_err(syntax)?;
            no_body = matches!(response.code, Some(204 | 304));
            (parsed, response.version, response.headers)
        }
    };
    if parsed != httparse::Status::Complete(bytes.len()) {
        let message = "an empty line comes early; end each line with CRLF";
        return Err(MessageError::Syntax(message.to_owned()));
    }
    if version != Some(1) {
        return Err(MessageError::Version(version.unwrap_or_default()));
    }
    let mut head = check_headers(headers, kind, bytes.len())?;
    if no_body {
        head.framing = Framing::Length(0);
    }
    Ok(head)
}

/// Returns an error if a request target is not a path.
fn check_target(target: &str) -> Result<(), MessageError> {
    if target.starts_with('/') {
        return Ok(());
    }
    let message = format!("the target `{target}` is not a path; start it with a slash");
    Err(MessageError::Header(message))
}

fn check_headers(
    headers: &[httparse::Header<'_>],
    kind: MessageKind,
    head_bytes: usize,
) -> Result<Head, MessageError> {
    let mut length = None;
    let mut chunked = false;
    let mut host = false;
    let mut head = Head {
        size: head_bytes,
        framing: Framing::CloseDelimited,
        expect: false,
        close: false,
    };
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| MessageError::Header(format!("header {} is not UTF-8", header.name)))?;
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            if length.is_some() {
                let message = "content-length is given twice; send it once";
                return Err(MessageError::Header(message.to_owned()));
            }
            length = Some(parse_length(value)?);
        } else if is("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case("chunked") {
                return Err(MessageError::TransferCoding);
            }
            chunked = true;
        } else if is("host") {
            if host {
                let message = "host is given twice; send it once";
                return Err(MessageError::Header(message.to_owned()));
            }
            host = true;
        } else if is("expect") {
            head.expect = value.eq_ignore_ascii_case("100-continue");
        } else if is("connection") {
            head.close |= asks_to_close(value);
        }
    }
    if kind == MessageKind::Request && !host {
        let message = "header host is missing; add it";
        return Err(MessageError::Header(message.to_owned()));
    }
    head.framing = match (length, chunked, kind) {
        (Some(_), true, _) => {
            let message = "content-length and transfer-encoding are both given; send one of them";
            return Err(MessageError::Header(message.to_owned()));
        }
        (Some(length), false, _) => Framing::Length(length),
        (None, true, _) => Framing::Chunked,
        (None, false, MessageKind::Request) => Framing::Length(0),
        (None, false, MessageKind::Response) => Framing::CloseDelimited,
    };
    head.close |= head.framing == Framing::CloseDelimited;
    Ok(head)
}

fn asks_to_close(value: &str) -> bool {
    let mut tokens = value.split(',').map(str::trim);
    tokens.any(|token| token.eq_ignore_ascii_case("close"))
}

fn parse_length(value: &str) -> Result<usize, MessageError> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let parsed = if digits { value.parse().ok() } else { None };
    parsed.ok_or_else(|| {
        MessageError::Header(format!(
            "content-length `{value}` is not a number of bytes; send the body's length"
        ))
    })
}
