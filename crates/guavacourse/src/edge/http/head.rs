//! Reads whole HTTP/1.1 messages and rejects ambiguous ones. Headers are parsed
//! by `httparse`.

use std::{borrow::Cow, future::poll_fn, io, pin::Pin, task::Poll};

use futures_lite::AsyncRead;
use thiserror::Error;

use crate::modules::caller_memory::NoRoom;

/// Default limit on the size of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of headers in a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Maximum size of the line with the size of a chunk and its extensions, in bytes. An
/// incomplete line is parsed again with each read.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 2 * 1024;

/// Fraction by which a buffer grows: less than by doubling, so that a buffer takes little
/// more than the bytes in it.
const GROWTH_DIVISOR: usize = 4;

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
    /// The syntax of a chunk is invalid, its size line is too long, or trailers follow the
    /// chunks.
    #[error("a chunk of the body is not valid; send its size in hexadecimal, then its bytes")]
    Chunk,
    /// The messages that are being read together take too much memory.
    #[error("the messages being read take over {0} bytes; send smaller ones")]
    NoMemory(usize),
    /// Other callers need the memory or the connection, or use up the memory.
    #[error("the process has no room for the request, which has not run; repeat it later")]
    Crowded,
    /// The socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

impl From<NoRoom> for MessageError {
    fn from(NoRoom: NoRoom) -> Self {
        Self::Crowded
    }
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

/// Largest body of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BodyLimit {
    /// Bytes that a length may announce.
    length: usize,
    /// Bytes that chunks may add up to.
    chunks: usize,
    /// Bytes that are read, including the framing of chunks.
    received: usize,
}

impl BodyLimit {
    /// Limits the body of a request to `size` bytes. Its framing takes no memory, and time
    /// limits it: chunks of any size are legal.
    pub(super) fn of_request(size: usize) -> Self {
        Self {
            length: size,
            chunks: size,
            received: usize::MAX,
        }
    }

    /// Limits the body of a response to `size` bytes, or to twice as many with the framing
    /// of chunks: a server in trouble may send chunks without end.
    pub(super) fn of_response(size: usize) -> Self {
        let received = size.saturating_mul(2);
        Self {
            length: size,
            chunks: received,
            received,
        }
    }
}

/// Accounts for the memory and the progress of the message that is being read.
pub(super) trait Meter {
    /// Records that `size` bytes of the message have arrived. The framing of chunks is not
    /// part of the message.
    fn moved(&mut self, _size: usize) {}

    /// Records that the buffer takes `size` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error that rejects the message.
    fn hold(&mut self, size: usize) -> Result<(), MessageError>;

    /// Returns once more bytes may be read.
    async fn wait_room(&self) {}
}

/// Reads from `stream` until `buf` holds a whole head, and checks it. A head of
/// over `limit` bytes is rejected, and one for which `meter` finds no room.
pub(super) async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
    kind: MessageKind,
    limit: usize,
    meter: &mut impl Meter,
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
        match read_metered(stream, buf, meter).await? {
            0 if empty => return Err(MessageError::ClosedIdle),
            0 => return Err(MessageError::Truncated),
            size => meter.moved(size),
        }
    }
}

/// Reads from `stream` until `buf` holds the whole message of `head`, and returns where
/// in `buf` it ends. Chunks are decoded as they arrive: their framing is not kept. A body
/// over `limit` is rejected as soon as its length, or the size of a chunk, shows it, and
/// one for which `meter` finds no room.
pub(super) async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
    head: Head,
    limit: BodyLimit,
    meter: &mut impl Meter,
) -> Result<usize, MessageError> {
    let mut chunks = Chunks::new(head.size, limit.chunks);
    let mut received = buf.len().saturating_sub(head.size);
    loop {
        let end = match head.framing {
            Framing::Length(length) if length > limit.length => {
                return Err(MessageError::BodyTooLong(length, limit.length));
            }
            Framing::Length(length) => (received >= length).then_some(head.size + length),
            Framing::Chunked => {
                let decoded = chunks.end;
                let end = chunks.decode(buf)?;
                meter.moved(chunks.end - decoded);
                end
            }
            Framing::CloseDelimited => None,
        };
        if let Some(end) = end {
            return Ok(end);
        }
        if received > limit.received {
            return Err(MessageError::BodyTooLong(received, limit.length));
        }
        match read_metered(stream, buf, meter).await? {
            0 if head.framing == Framing::CloseDelimited => return Ok(buf.len()),
            0 => return Err(MessageError::Truncated),
            size => {
                received = received.saturating_add(size);
                if head.framing != Framing::Chunked {
                    meter.moved(size);
                }
            }
        }
    }
}

/// Reads once from the socket, as [`read_some`] does, and tells `meter` what the buffer
/// takes.
async fn read_metered(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
    meter: &mut impl Meter,
) -> Result<usize, MessageError> {
    meter.wait_room().await;
    let size = read_some(stream, buf).await?;
    meter.hold(buf.capacity())?;
    Ok(size)
}

/// Decodes the chunks of a body in place while it arrives.
#[derive(Debug)]
struct Chunks {
    /// Where the decoded bytes end and those not decoded yet begin.
    end: usize,
    /// Bytes that the chunks so far have announced, and may announce.
    announced: usize,
    limit: usize,
    /// What comes next.
    next: Next,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// The size of a chunk.
    Size,
    /// This number of bytes of a chunk.
    Data(usize),
    /// The line end after a chunk; the last chunk is the empty one.
    LineEnd {
        /// Whether the chunk was the last.
        last: bool,
    },
}

impl Chunks {
    /// Starts a body of up to `limit` bytes at this position of the buffer.
    fn new(start: usize, limit: usize) -> Self {
        Self {
            end: start,
            announced: 0,
            limit,
            next: Next::Size,
        }
    }

    /// Decodes the bytes that have arrived. Returns where the body ends in the buffer; none
    /// if it is not whole yet. Trailers are rejected.
    fn decode(&mut self, buf: &mut Vec<u8>) -> Result<Option<usize>, MessageError> {
        let mut position = self.end;
        let mut ended = false;
        while !ended {
            let rest = &buf[position..];
            match self.next {
                Next::Size => {
                    let start = &rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)];
                    let parsed = httparse::parse_chunk_size(start);
                    let (line, size) = match parsed.map_err(|_| MessageError::Chunk)? {
                        httparse::Status::Complete(parsed) => parsed,
                        httparse::Status::Partial if start.len() == MAX_CHUNK_LINE_BYTES => {
                            return Err(MessageError::Chunk);
                        }
                        httparse::Status::Partial => break,
                    };
                    position += line;
                    let size = usize::try_from(size).map_err(|_| MessageError::Chunk)?;
                    self.announced = self.announced.saturating_add(size);
                    if self.announced > self.limit {
                        return Err(MessageError::BodyTooLong(self.announced, self.limit));
                    }
                    self.next = match size {
                        0 => Next::LineEnd { last: true },
                        size => Next::Data(size),
                    };
                }
                Next::Data(_) if rest.is_empty() => break,
                Next::Data(left) => {
                    let size = left.min(rest.len());
                    buf.copy_within(position..position + size, self.end);
                    self.end += size;
                    position += size;
                    self.next = match left - size {
                        0 => Next::LineEnd { last: false },
                        left => Next::Data(left),
                    };
                }
                Next::LineEnd { last } => {
                    const CRLF: &[u8] = b"\r\n";
                    let Some(line_end) = rest.get(..CRLF.len()) else {
                        break;
                    };
                    if line_end != CRLF {
                        return Err(MessageError::Chunk);
                    }
                    position += CRLF.len();
                    self.next = Next::Size;
                    ended = last;
                }
            }
        }
        buf.drain(self.end..position);
        Ok(ended.then_some(self.end))
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
        if buf.capacity() - start < READ_BYTES {
            buf.reserve_exact(READ_BYTES.max(start / GROWTH_DIVISOR));
        }
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
        let value = String::from_utf8_lossy(header.value);
        if kind == MessageKind::Request && matches!(value, Cow::Owned(_)) {
            let message = format!("header {} is not UTF-8", header.name);
            return Err(MessageError::Header(message));
        }
        let value = value.as_ref();
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
