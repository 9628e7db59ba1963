//! HTTP client that sends requests to an entry and reads its answers.

use std::{net::SocketAddr, time::Duration};

use guavacourse::edge::http::{Connection, ExchangeError};
use http_types::{Method, Request, Response, Url};
use serde_json::Value;
use smol::Timer;
use smol::future::FutureExt;

/// Maximum time to wait for an answer after connecting.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller with one connection to an entry, which is reopened after an error.
#[derive(Debug)]
pub struct Caller {
    entry: SocketAddr,
    connection: Option<Connection>,
}

/// An entry's answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Id of the request, if the entry returned one.
    pub id: Option<String>,
    /// JSON body; null if it is not JSON.
    pub body: Value,
}

/// Name and value of a request header.
pub type Header<'a> = (&'a str, &'a str);

impl Caller {
    /// Creates a caller of the entry at `entry`, which connects on the first request.
    #[must_use]
    pub fn new(entry: SocketAddr) -> Self {
        Self {
            entry,
            connection: None,
        }
    }

    /// Returns whether a connection is kept open for another request.
    #[must_use]
    pub fn connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends `GET path`.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    pub async fn get(&mut self, path: &str) -> Result<Answer, ExchangeError> {
        self.send(Method::Get, path, &[], b"").await
    }

    /// Sends `POST path` with headers and a body.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    pub async fn post(
        &mut self,
        path: &str,
        headers: &[Header<'_>],
        body: &[u8],
    ) -> Result<Answer, ExchangeError> {
        self.send(Method::Post, path, headers, body).await
    }

    async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: &[u8],
    ) -> Result<Answer, ExchangeError> {
        let request = request(self.entry, method, path, headers, body)?;
        let timeout = async {
            Timer::after(ANSWER_TIMEOUT).await;
            Err(ExchangeError::Timeout)
        };
        // Taken out of `self`, so that the connection of a failed or abandoned
        // exchange is never reused.
        let idle = self.connection.take().filter(Connection::is_open);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(self.entry)
                .await
                .map_err(ExchangeError::Unreachable)?,
        };
        let response = connection.exchange(request).or(timeout).await?;
        if connection.reusable() {
            self.connection = Some(connection);
        }
        read_answer(response).await
    }
}

fn request(
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &[Header<'_>],
    body: &[u8],
) -> Result<Request, ExchangeError> {
    let url = Url::parse(&format!("http://{entry}{path}"))
        .map_err(|e| ExchangeError::Malformed(e.to_string()))?;
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    Ok(request)
}

async fn read_answer(mut response: Response) -> Result<Answer, ExchangeError> {
    let id = response.header("request-id").map(|v| v.as_str().to_owned());
    let body = response
        .body_bytes()
        .await
        .map_err(|e| ExchangeError::Malformed(e.to_string()))?;
    Ok(Answer {
        status: response.status().into(),
        id,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}
