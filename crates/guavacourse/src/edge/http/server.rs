//! HTTP/1.1 server that reads each request as a whole.

use std::{
    future::Future,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use http_types::{Method, Request, Response, StatusCode, headers};
use serde::Serialize;
use smol::{Timer, net::TcpStream};

use super::{
    head::{
        BodyLimit, Framing, MAX_HEAD_BYTES, MessageError, MessageKind, Meter, read_body, read_head,
        read_some,
    },
    message,
};
use crate::edge::{
    account::{CallerAccount, Cause, Seat},
    latch::Latch,
};

/// Bytes of the next requests that are read while a request runs. Reading shows whether
/// the peer has closed the connection; what it sends beyond them waits in the socket.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Size of the pieces in which a response is encoded and written, in bytes.
const WRITE_BYTES: usize = 16 * 1024;

/// Longest wait for the peer to read why its connection is closed for others.
const EVICTION_LINGER: Duration = Duration::from_millis(100);

/// Delay after which a request that found no room may be repeated, in seconds.
const RETRY_SECONDS: &str = "1";

/// Limits of one connection.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Longest wait for the first byte of a request.
    pub idle_timeout: Duration,
    /// Longest time from a request's first byte to its last.
    pub read_timeout: Duration,
    /// Longest time for writing a response, and so for the peer to read it.
    pub write_timeout: Duration,
    /// Progress of the server's shutdown.
    pub shutdown: Shutdown,
    /// Account of the memory and the connections of all callers.
    pub account: CallerAccount,
}

/// Progress of a server's shutdown. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    announced: Arc<AtomicBool>,
    ended: Latch,
}

impl Shutdown {
    /// Closes each connection after its next response, which announces it with
    /// `connection: close`. Idle connections stay open: a request may already be on
    /// its way.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections too.
    pub fn end(&self) {
        self.announce();
        self.ended.set();
    }

    fn announced(&self) -> bool {
        self.announced.load(Ordering::Relaxed)
    }

    /// Returns once idle connections are closed.
    pub(crate) async fn wait_ended(&self) {
        self.ended.wait().await;
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head: MAX_HEAD_BYTES,
            max_body: 64 * 1024,
            idle_timeout: Duration::from_mins(1),
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            shutdown: Shutdown::default(),
            account: CallerAccount::default(),
        }
    }
}

/// Body of an error response that the HTTP layer itself sends.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: &'static str,
    message: String,
}

/// Serves one connection until either side closes it.
///
/// The future that `handler` returned is dropped, which cancels its work, when the
/// peer disconnects. `handler` receives only whole requests.
///
/// # Errors
///
/// Returns the socket's error if reading or writing fails.
pub async fn serve<F>(
    stream: TcpStream,
    limits: Limits,
    handler: impl Fn(Request) -> F,
) -> io::Result<()>
where
    F: Future<Output = Response>,
{
    match limits.account.open() {
        Some(seat) => serve_seated(stream, limits, seat, handler).await,
        None => Ok(()),
    }
}

/// Serves one connection that has a place in the account of its listener, as [`serve`]
/// does.
///
/// # Errors
///
/// Returns the socket's error if reading or writing fails.
pub async fn serve_seated<F>(
    mut stream: TcpStream,
    limits: Limits,
    seat: Seat,
    handler: impl Fn(Request) -> F,
) -> io::Result<()>
where
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        let read = read_request(&mut stream, &mut buf, &limits, &seat).await;
        let (request, close) = match read {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) => {
                drop(std::mem::take(&mut buf));
                return reject(&mut stream, &limits, &error, &seat).await;
            }
        };
        let method = request.method();
        let response = async { Some(handler(request).await) };
        let mut reader = stream.clone();
        let disconnected = async {
            wait_closed(&mut reader, &mut buf, &seat).await;
            None
        };
        let Some(mut response) = response.or(disconnected).await else {
            return Ok(());
        };
        let close = close || limits.shutdown.announced();
        if close {
            response.insert_header(headers::CONNECTION, "close");
        }
        seat.answer(response.len().unwrap_or_default() + buf.capacity());
        let evicted = async {
            seat.evicted().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let written = write(&mut stream, &limits, response, method, &seat);
        evicted.or(written).await?;
        if close {
            return stream.close().await;
        }
    }
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let text = serde_json::to_string(body).unwrap_or_default();
    response.set_body(text);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Reads one whole request; returns it and whether its sender asks to close the
/// connection afterwards. Returns none if the peer closed the connection between
/// requests, sent nothing within the idle timeout, or the shutdown ended, or if the
/// connection makes room for others before a request has begun.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
    seat: &Seat,
) -> Result<Option<(Request, bool)>, MessageError> {
    seat.wait();
    let idle = buf.is_empty();
    if idle && !wait_request(stream, buf, limits, seat).await? {
        return Ok(None);
    }
    seat.begin();
    let mut meter = SeatMeter(seat);
    let request = async {
        meter.moved(buf.len());
        meter.hold(buf.capacity())?;
        let kind = MessageKind::Request;
        let head = read_head(stream, buf, kind, limits.max_head, &mut meter).await?;
        let fits = !matches!(head.framing, Framing::Length(length) if length > limits.max_body);
        if head.expect && fits {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let limit = BodyLimit::of_request(limits.max_body);
        let end = read_body(stream, buf, head, limit, &mut meter).await?;
        let rest = buf.split_off(end);
        let message = std::mem::replace(buf, rest);
        let request = message::request(message, head)?;
        seat.run(end + buf.capacity())?;
        Ok(Some((request, head.close)))
    };
    let timed_out = async {
        Timer::after(limits.read_timeout).await;
        Err(MessageError::Io(io::ErrorKind::TimedOut.into()))
    };
    let evicted = async {
        match seat.evicted().await {
            Cause::Connections => Err(MessageError::ClosedIdle),
            Cause::Memory | Cause::Refused => Err(MessageError::Crowded),
        }
    };
    evicted.or(request).or(timed_out).await
}

/// Charges a connection for the request that it receives.
struct SeatMeter<'a>(&'a Seat);

impl Meter for SeatMeter<'_> {
    fn moved(&mut self, size: usize) {
        self.0.moved(size);
    }

    fn hold(&mut self, size: usize) -> Result<(), MessageError> {
        Ok(self.0.charge(size)?)
    }

    async fn wait_room(&self) {
        self.0.wait_room().await;
    }
}

/// Waits for the first byte of a request; false if none comes.
async fn wait_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
    seat: &Seat,
) -> Result<bool, MessageError> {
    let read = async { Ok(read_some(stream, buf).await? > 0) };
    let idle = async {
        Timer::after(limits.idle_timeout).await;
        Ok(false)
    };
    let ended = async {
        limits.shutdown.wait_ended().await;
        Ok(false)
    };
    let evicted = async {
        seat.evicted().await;
        Ok(false)
    };
    evicted.or(read).or(idle).or(ended).await
}

/// Returns once the peer has closed the connection. Bytes of the next requests are
/// appended to `buf`; after [`READ_AHEAD_BYTES`], or without room for more, it reads no
/// more and never returns.
async fn wait_closed(stream: &mut TcpStream, buf: &mut Vec<u8>, seat: &Seat) {
    while buf.len() < READ_AHEAD_BYTES {
        let capacity = buf.capacity();
        match read_some(stream, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if !seat.read_ahead(buf.capacity().saturating_sub(capacity)) {
            break;
        }
    }
    future::pending::<()>().await;
}

/// Answers a bad message with an error and closes the connection.
async fn reject(
    stream: &mut TcpStream,
    limits: &Limits,
    error: &MessageError,
    seat: &Seat,
) -> io::Result<()> {
    let status = match error {
        MessageError::ClosedIdle | MessageError::Truncated => return Ok(()),
        MessageError::Io(e) if e.kind() != io::ErrorKind::TimedOut => return Ok(()),
        MessageError::Io(_) => 408,
        MessageError::HeadTooLong(_) => 431,
        MessageError::BodyTooLong(..) => 413,
        MessageError::Chunk | MessageError::Syntax(_) | MessageError::Header(_) => 400,
        MessageError::Version(_) => 505,
        MessageError::NoMemory(_) | MessageError::Crowded => 503,
        MessageError::TransferCoding | MessageError::LengthRequired => 501,
    };
    let message = match error {
        MessageError::Io(_) => {
            "the request did not arrive in time; send it whole at once".to_owned()
        }
        other => other.to_string(),
    };
    let body = ErrorBody {
        error: "bad-request",
        message,
    };
    let mut response = json_response(status, &body);
    response.insert_header(headers::CONNECTION, "close");
    let crowded = matches!(error, MessageError::Crowded);
    if crowded {
        response.insert_header(headers::RETRY_AFTER, RETRY_SECONDS);
    }
    seat.answer(0);
    let linger = if crowded {
        EVICTION_LINGER
    } else {
        limits.read_timeout
    };
    let closed = async {
        write(stream, limits, response, Method::Post, seat).await?;
        stream.close().await?;
        discard(stream).await
    };
    let evicted = async {
        if crowded {
            future::pending::<()>().await;
        }
        seat.evicted().await;
        Ok(())
    };
    evicted.or(closed).or(sleep(linger)).await
}

/// Reads and discards bytes until the peer closes the connection. Closing a socket
/// with unread bytes resets the connection, which can lose the response on its way.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut discarded = Vec::new();
    while read_some(stream, &mut discarded).await? > 0 {
        discarded.clear();
    }
    Ok(())
}

async fn sleep(duration: Duration) -> io::Result<()> {
    Timer::after(duration).await;
    Ok(())
}

/// Writes a response in pieces, so that it is not held a second time.
async fn write(
    stream: &mut TcpStream,
    limits: &Limits,
    response: Response,
    method: Method,
    seat: &Seat,
) -> io::Result<()> {
    let written = async {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let mut piece = Vec::with_capacity(WRITE_BYTES);
        loop {
            piece.clear();
            let mut part = (&mut encoder).take(WRITE_BYTES as u64);
            if part.read_to_end(&mut piece).await? == 0 {
                return stream.flush().await;
            }
            let mut rest = &piece[..];
            while !rest.is_empty() {
                let size = stream.write(rest).await?;
                if size == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                seat.moved(size);
                rest = &rest[size..];
            }
        }
    };
    let timed_out = async {
        Timer::after(limits.write_timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    written.or(timed_out).await
}
