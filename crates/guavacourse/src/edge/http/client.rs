//! HTTP/1.1 client that reads each response as a whole.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream as StdStream},
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Request, Response};
use smol::{Async, Timer, net::TcpStream};
use thiserror::Error;

use super::{
    head::{BodyLimit, Framing, MAX_HEAD_BYTES, MessageError, MessageKind, read_body, read_head},
    message::{self, ResponseHead},
    receive_memory::ReceiveMemory,
};

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of a connection that may be discarded while it is being closed.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Fraction of a server's keep-alive timeout for which an idle connection is
/// reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// Initial capacity of the buffer of a request, in bytes. It grows as needed.
const REQUEST_CAPACITY: usize = 1024;

/// Why an exchange failed, and whether the server can have seen the request.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be opened: the server cannot have seen the request.
    #[error("no connection: {0}; check that the server runs at this address")]
    Unreachable(io::Error),
    /// The connection closed before a whole response: the server may have seen
    /// the request.
    #[error("the connection closed before a whole response: {0}")]
    Closed(io::Error),
    /// The response violated the protocol.
    #[error("the response broke HTTP/1.1: {0}")]
    Malformed(String),
    /// The body of the response is over the limit: the server has seen the request.
    #[error("the response is too large: {0}")]
    TooLarge(String),
    /// No response in time: the server may have seen the request.
    #[error("no response in time")]
    Timeout,
}

/// A connection to one server. It carries one exchange at a time and must be
/// dropped after an error or an abandoned exchange.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    buf: Vec<u8>,
    /// Whether the connection cannot carry another exchange.
    must_close: bool,
    /// Whether a response without a length, which ends when the connection
    /// closes, is accepted.
    allow_close_delimited: bool,
    /// The server's last announced keep-alive timeout, if any.
    keep_alive: Option<Duration>,
    /// When the last exchange ended.
    last_used: Instant,
    /// Memory for the responses of this connection and others, if it is limited.
    memory: Option<ReceiveMemory>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the socket's error; nothing was sent.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            address: addr,
            stream,
            buf: Vec::new(),
            must_close: false,
            allow_close_delimited: false,
            keep_alive: None,
            last_used: Instant::now(),
            memory: None,
        })
    }

    /// Limits the memory for the responses of this connection together with all others
    /// that share `memory`.
    #[must_use]
    pub fn with_memory(mut self, memory: ReceiveMemory) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Sets whether responses without a length, which end when the connection
    /// closes, are accepted.
    #[must_use]
    pub fn with_close_delimited(mut self, allow: bool) -> Self {
        self.allow_close_delimited = allow;
        self
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error after which the server may have seen the request.
    pub async fn exchange(&mut self, request: Request) -> Result<Response, ExchangeError> {
        let mut bytes = Vec::with_capacity(REQUEST_CAPACITY);
        let mut encoder = async_h1::client::Encoder::new(request);
        let written = encoder.read_to_end(&mut bytes).await;
        written.map_err(ExchangeError::Closed)?;
        let (head, body) = self.exchange_bytes(&bytes).await?;
        message::response(&head, body).map_err(exchange_error)
    }

    /// Sends the bytes of a whole request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error after which the server may have seen the request.
    pub async fn exchange_bytes(
        &mut self,
        request: &[u8],
    ) -> Result<(ResponseHead, Vec<u8>), ExchangeError> {
        self.send(request).await.map_err(ExchangeError::Closed)?;
        // Avoids a read before the response has arrived.
        let socket: Arc<Async<StdStream>> = self.stream.clone().into();
        socket.readable().await.map_err(ExchangeError::Closed)?;
        let mut share = self.memory.as_ref().map(ReceiveMemory::share);
        let head = read_head(
            &mut self.stream,
            &mut self.buf,
            MessageKind::Response,
            MAX_HEAD_BYTES,
            &mut share,
        )
        .await
        .map_err(exchange_error)?;
        if head.framing == Framing::CloseDelimited && !self.allow_close_delimited {
            return Err(exchange_error(MessageError::LengthRequired));
        }
        let read = read_body(
            &mut self.stream,
            &mut self.buf,
            head,
            BodyLimit::of_response(MAX_BODY_BYTES),
            &mut share,
        );
        let end = read.await.map_err(|error| {
            // The connection may stay open for a while, until the server has closed it.
            self.buf = Vec::new();
            exchange_error(error)
        })?;
        self.must_close = head.close || self.buf.len() > end;
        self.buf.truncate(end);
        let message = std::mem::take(&mut self.buf);
        let parsed = message::response_head(&message, head).map_err(exchange_error)?;
        let body = message::body(message, head);
        self.last_used = Instant::now();
        self.keep_alive = parsed.keep_alive().or(self.keep_alive);
        Ok((parsed, body))
    }

    /// Returns whether the server should still keep the idle connection open by its
    /// own keep-alive timeout, with a margin for a request on its way.
    #[must_use]
    pub fn within_keep_alive(&self) -> bool {
        let limit = self
            .keep_alive
            .map(|timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION));
        limit.is_none_or(|limit| self.last_used.elapsed() < limit)
    }

    /// Returns whether an idle connection is still open and has no unread bytes.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let socket: Arc<Async<StdStream>> = self.stream.clone().into();
        let peeked = socket.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection, which cancels its request, and waits until the
    /// server has closed too, but no longer than `timeout`, and not if the server goes
    /// on sending.
    pub async fn close(mut self, timeout: Duration) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let closed = async {
            let mut rest = [0; 1024];
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match self.stream.read(&mut rest).await {
                    Ok(size) if size > 0 => discarded += size,
                    _ => return,
                }
            }
        };
        let timed_out = async {
            Timer::after(timeout).await;
        };
        closed.or(timed_out).await;
    }

    /// Returns whether another exchange may follow: the server did not ask to
    /// close, and sent nothing beyond its response.
    #[must_use]
    pub fn reusable(&self) -> bool {
        !self.must_close && self.buf.is_empty()
    }

    async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await?;
        self.stream.flush().await
    }
}

/// Sends one request over a new connection.
///
/// # Errors
///
/// Returns why the exchange failed; only [`ExchangeError::Unreachable`] proves
/// that the server did not see the request.
pub async fn call(
    addr: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<Response, ExchangeError> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout)
    };
    let exchange = async {
        let mut connection = Connection::open(addr)
            .await
            .map_err(ExchangeError::Unreachable)?;
        connection.exchange(request).await
    };
    exchange.or(timed_out).await
}

fn exchange_error(error: MessageError) -> ExchangeError {
    match error {
        MessageError::Io(e) => ExchangeError::Closed(e),
        MessageError::ClosedIdle | MessageError::Truncated => {
            ExchangeError::Closed(io::ErrorKind::UnexpectedEof.into())
        }
        error @ MessageError::BodyTooLong(..) => ExchangeError::TooLarge(error.to_string()),
        other => ExchangeError::Malformed(other.to_string()),
    }
}
