//! Calls HTTP/1.1 servers, one whole response at a time.

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
    head::{BadMessage, Framing, HEAD_MAX, Side, body, read_body, read_head},
    message::{self, ResponseHead},
};

/// Largest response body, in bytes.
const BODY_MAX: usize = 4 * 1024 * 1024;

/// Part of the time for which a server keeps an idle connection that it is used.
const KEPT_PART: f64 = 0.8;

/// Bytes set aside for a request; a longer one makes room for itself.
const REQUEST_BYTES: usize = 1024;

/// Why an exchange failed, and whether the server can have seen the request.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection: the server cannot have seen the request.
    #[error("no connection: {0}; check that the server runs at this address")]
    Unreachable(io::Error),
    /// The connection closed before a whole response: the server may have seen
    /// the request.
    #[error("the connection closed before a whole response: {0}")]
    Closed(io::Error),
    /// The response broke the protocol.
    #[error("the response broke HTTP/1.1: {0}")]
    Malformed(String),
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
    close: bool,
    /// Whether a response without a length ends with the connection.
    unframed: bool,
    /// For how long the server keeps an idle connection, if it says so.
    keep: Option<Duration>,
    /// When the last exchange ended.
    used: Instant,
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
            close: false,
            unframed: false,
            keep: None,
            used: Instant::now(),
        })
    }

    /// Takes responses without a length, which end with the connection.
    #[must_use]
    pub fn with_unframed(mut self, unframed: bool) -> Self {
        self.unframed = unframed;
        self
    }

    /// Returns the address that it was opened to.
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
        let mut bytes = Vec::with_capacity(REQUEST_BYTES);
        let mut encoder = async_h1::client::Encoder::new(request);
        let written = encoder.read_to_end(&mut bytes).await;
        written.map_err(ExchangeError::Closed)?;
        let (head, body) = self.exchange_bytes(&bytes).await?;
        message::response(&head, body).map_err(fault)
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
        // Saves a read that would find nothing yet.
        let socket: Arc<Async<StdStream>> = self.stream.clone().into();
        socket.readable().await.map_err(ExchangeError::Closed)?;
        let head = read_head(&mut self.stream, &mut self.buf, Side::Response, HEAD_MAX)
            .await
            .map_err(fault)?;
        if head.framing == Framing::Close && !self.unframed {
            return Err(fault(BadMessage::LengthRequired));
        }
        let end = read_body(&mut self.stream, &mut self.buf, head, BODY_MAX)
            .await
            .map_err(fault)?;
        self.close = head.close || self.buf.len() > end;
        self.buf.truncate(end);
        let message = std::mem::take(&mut self.buf);
        let parsed = message::response_head(&message, head).map_err(fault)?;
        let body = body(&message, head).map_err(fault)?;
        self.used = Instant::now();
        self.keep = parsed.keep_alive().or(self.keep);
        Ok((parsed, body))
    }

    /// Tells whether the server still keeps the idle connection, by its own
    /// word and with room to spare for a request on its way.
    #[must_use]
    pub fn kept(&self) -> bool {
        let limit = self.keep.map(|keep| keep.mul_f64(KEPT_PART));
        limit.is_none_or(|limit| self.used.elapsed() < limit)
    }

    /// Tells whether the server has kept an idle connection open and sent
    /// nothing on it.
    #[must_use]
    pub fn alive(&self) -> bool {
        let socket: Arc<Async<StdStream>> = self.stream.clone().into();
        let peeked = socket.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection, which withdraws its request, and waits until the
    /// server has closed too, but for no longer than `patience`.
    pub async fn hang_up(mut self, patience: Duration) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let closed = async {
            let mut rest = [0; 1024];
            while self.stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        };
        let late = async {
            Timer::after(patience).await;
        };
        closed.or(late).await;
    }

    /// Tells whether another exchange may follow: the server did not ask to
    /// close, and sent nothing beyond its response.
    #[must_use]
    pub fn reusable(&self) -> bool {
        !self.close && self.buf.is_empty()
    }

    async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await?;
        self.stream.flush().await
    }
}

/// Sends one request over a connection of its own.
///
/// # Errors
///
/// Returns how the exchange failed; only [`ExchangeError::Unreachable`] proves
/// that the server did not see the request.
pub async fn call(
    addr: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<Response, ExchangeError> {
    let late = async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout)
    };
    let exchange = async {
        let mut connection = Connection::open(addr)
            .await
            .map_err(ExchangeError::Unreachable)?;
        connection.exchange(request).await
    };
    exchange.or(late).await
}

fn fault(bad: BadMessage) -> ExchangeError {
    match bad {
        BadMessage::Io(e) => ExchangeError::Closed(e),
        BadMessage::Idle | BadMessage::Truncated => {
            ExchangeError::Closed(io::ErrorKind::UnexpectedEof.into())
        }
        other => ExchangeError::Malformed(other.to_string()),
    }
}
