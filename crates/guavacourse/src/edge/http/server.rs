//! Serves HTTP/1.1 connections, one whole request at a time.

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
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    net::TcpStream,
};

use super::{
    head::{BadMessage, Framing, HEAD_MAX, Side, fill, read_body, read_head},
    message,
};

/// Bounds on one connection.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest wait for the first byte of a request.
    pub idle: Duration,
    /// Longest time that a request may take to arrive.
    pub arrival: Duration,
    /// Longest time that the peer may take to read a response.
    pub write: Duration,
    /// How far the server's shutdown has got.
    pub shutdown: Shutdown,
}

/// How far the shutdown of a server has got. Clones share it.
#[derive(Clone, Debug)]
pub struct Shutdown {
    announced: Arc<AtomicBool>,
    end: Sender<()>,
    ended: Receiver<()>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (end, ended) = bounded(1);
        Self {
            announced: Arc::default(),
            end,
            ended,
        }
    }
}

impl Shutdown {
    /// Asks each peer to close its connection after its next response. Idle
    /// connections stay open: a request may be on its way.
    pub fn announce(&self) {
        self.announced.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections too.
    pub fn end(&self) {
        self.announce();
        self.end.close();
    }

    fn announced(&self) -> bool {
        self.announced.load(Ordering::Relaxed)
    }

    /// Returns once the shutdown has ended.
    async fn wait_ended(&self) {
        // Nothing is ever sent: the error says that the channel is closed.
        let _ = self.ended.recv().await;
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: HEAD_MAX,
            body: 64 * 1024,
            idle: Duration::from_mins(1),
            arrival: Duration::from_secs(5),
            write: Duration::from_secs(5),
            shutdown: Shutdown::default(),
        }
    }
}

/// Body of an error that the HTTP layer itself answers.
#[derive(Debug, Serialize)]
struct Refusal {
    error: &'static str,
    message: String,
}

/// Serves one connection until either side closes it.
///
/// `handler` is dropped, and its work withdrawn, when the peer goes away. A
/// request never reaches `handler` unless it is whole.
///
/// # Errors
///
/// Returns the error of the socket, if it fails.
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
            Err(bad) => return refuse(&mut stream, &limits, &bad).await,
        };
        let method = request.method();
        let answer = async { Some(handler(request).await) };
        let mut watched = stream.clone();
        let gone = async {
            wait_closed(&mut watched, &mut buf, limits.body).await;
            None
        };
        let Some(mut response) = answer.or(gone).await else {
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

/// Reads one whole request and whether its sender wants to close after it.
/// Returns none if the peer closed, or stayed silent, between requests.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
) -> Result<Option<(Request, bool)>, BadMessage> {
    if buf.is_empty() && !wait_first(stream, buf, limits).await? {
        return Ok(None);
    }
    let whole = async {
        let head = read_head(stream, buf, Side::Request, limits.head).await?;
        let fits = !matches!(head.framing, Framing::Length(length) if length > limits.body);
        if head.expect && fits {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let end = read_body(stream, buf, head, limits.body).await?;
        let rest = buf.split_off(end);
        let message = std::mem::replace(buf, rest);
        let request = message::request(&message, head)?;
        if request.len().is_some_and(|length| length > limits.body) {
            return Err(BadMessage::BodyTooLong(end - head.size, limits.body));
        }
        Ok(Some((request, head.close)))
    };
    let late = async {
        Timer::after(limits.arrival).await;
        Err(BadMessage::Io(io::ErrorKind::TimedOut.into()))
    };
    whole.or(late).await
}

/// Waits for the first byte of a request; false if none comes.
async fn wait_first(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
) -> Result<bool, BadMessage> {
    let read = async { Ok(fill(stream, buf).await? > 0) };
    let idle = async {
        Timer::after(limits.idle).await;
        Ok(false)
    };
    let ended = async {
        limits.shutdown.wait_ended().await;
        Ok(false)
    };
    read.or(idle).or(ended).await
}

/// Returns once the peer has closed. Bytes of a next request stay in `buf`.
async fn wait_closed(stream: &mut TcpStream, buf: &mut Vec<u8>, limit: usize) {
    while buf.len() < limit {
        match fill(stream, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    future::pending::<()>().await;
}

/// Answers a bad message and closes.
async fn refuse(stream: &mut TcpStream, limits: &Limits, bad: &BadMessage) -> io::Result<()> {
    let status = match bad {
        BadMessage::Idle | BadMessage::Truncated => return Ok(()),
        BadMessage::Io(e) if e.kind() != io::ErrorKind::TimedOut => return Ok(()),
        BadMessage::Io(_) => 408,
        BadMessage::HeadTooLong(_) => 431,
        BadMessage::BodyTooLong(..) => 413,
        BadMessage::Chunk | BadMessage::Syntax(_) | BadMessage::Header(_) => 400,
        BadMessage::Version(_) => 505,
        BadMessage::Coding | BadMessage::LengthRequired => 501,
    };
    let message = match bad {
        BadMessage::Io(_) => "the request did not arrive in time; send it whole at once".to_owned(),
        other => other.to_string(),
    };
    let refusal = Refusal {
        error: "bad-request",
        message,
    };
    let mut response = json_response(status, &refusal);
    response.insert_header(headers::CONNECTION, "close");
    write(stream, limits, response, Method::Post).await?;
    stream.close().await?;
    discard(stream).or(after(limits.arrival)).await
}

/// Reads on until the peer closes. A socket that closes with bytes unread
/// resets the connection, which can destroy the response on its way.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut unread = Vec::new();
    while fill(stream, &mut unread).await? > 0 {
        unread.clear();
    }
    Ok(())
}

async fn after(span: Duration) -> io::Result<()> {
    Timer::after(span).await;
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
    let late = async {
        Timer::after(limits.write).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    sent.or(late).await
}
