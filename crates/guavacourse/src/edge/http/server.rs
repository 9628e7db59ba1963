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
    head::{Framing, MAX_HEAD_BYTES, MessageError, MessageKind, read_body, read_head, read_some},
    message,
};
use crate::edge::latch::Latch;

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
    mut stream: TcpStream,
    limits: Limits,
    handler: impl Fn(Request) -> F,
) -> io::Result<()>
where
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        let (request, close) = match read_request(&mut stream, &mut buf, &limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) => return reject(&mut stream, &limits, &error).await,
        };
        let method = request.method();
        let response = async { Some(handler(request).await) };
        let mut reader = stream.clone();
        let disconnected = async {
            wait_closed(&mut reader, &mut buf, limits.max_body).await;
            None
        };
        let Some(mut response) = response.or(disconnected).await else {
            return Ok(());
        };
        let close = close || limits.shutdown.announced();
        if close {
            response.insert_header(headers::CONNECTION, "close");
        }
        write(&mut stream, &limits, response, method).await?;
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
/// requests, sent nothing within the idle timeout, or the shutdown ended.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
) -> Result<Option<(Request, bool)>, MessageError> {
    if buf.is_empty() && !wait_request(stream, buf, limits).await? {
        return Ok(None);
    }
    let request = async {
        let head = read_head(stream, buf, MessageKind::Request, limits.max_head).await?;
        let fits = !matches!(head.framing, Framing::Length(length) if length > limits.max_body);
        if head.expect && fits {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let end = read_body(stream, buf, head, limits.max_body, |_| Ok(())).await?;
        let rest = buf.split_off(end);
        let message = std::mem::replace(buf, rest);
        let request = message::request(&message, head)?;
        if request.len().is_some_and(|length| length > limits.max_body) {
            return Err(MessageError::BodyTooLong(end - head.size, limits.max_body));
        }
        Ok(Some((request, head.close)))
    };
    let timed_out = async {
        Timer::after(limits.read_timeout).await;
        Err(MessageError::Io(io::ErrorKind::TimedOut.into()))
    };
    request.or(timed_out).await
}

/// Waits for the first byte of a request; false if none comes.
async fn wait_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
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
    read.or(idle).or(ended).await
}

/// Returns once the peer has closed the connection. Bytes of the next request are
/// appended to `buf`; after `limit` bytes it reads no more and never returns.
async fn wait_closed(stream: &mut TcpStream, buf: &mut Vec<u8>, limit: usize) {
    while buf.len() < limit {
        match read_some(stream, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    future::pending::<()>().await;
}

/// Answers a bad message with an error and closes the connection.
async fn reject(stream: &mut TcpStream, limits: &Limits, error: &MessageError) -> io::Result<()> {
    let status = match error {
        MessageError::ClosedIdle | MessageError::Truncated => return Ok(()),
        MessageError::Io(e) if e.kind() != io::ErrorKind::TimedOut => return Ok(()),
        MessageError::Io(_) => 408,
        MessageError::HeadTooLong(_) => 431,
        MessageError::BodyTooLong(..) => 413,
        MessageError::Chunk | MessageError::Syntax(_) | MessageError::Header(_) => 400,
        MessageError::Version(_) => 505,
        MessageError::NoMemory(_) => 503,
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
    write(stream, limits, response, Method::Post).await?;
    stream.close().await?;
    discard(stream).or(sleep(limits.read_timeout)).await
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

async fn write(
    stream: &mut TcpStream,
    limits: &Limits,
    response: Response,
    method: Method,
) -> io::Result<()> {
    let sent = async {
        let mut bytes = Vec::new();
        let mut encoder = async_h1::server::Encoder::new(response, method);
        encoder.read_to_end(&mut bytes).await?;
        stream.write_all(&bytes).await?;
        stream.flush().await
    };
    let timed_out = async {
        Timer::after(limits.write_timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    sent.or(timed_out).await
}
