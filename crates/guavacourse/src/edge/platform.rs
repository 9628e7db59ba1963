//! The platform's key-value store and instance list.
//!
//! [`Store`] and [`InstanceList`] are the interfaces that the system needs;
//! [`HttpStore`] and [`HttpInstanceList`] implement them over HTTP as
//! `docs/PROTOCOLS.md` specifies.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_types::{Method, Request, Response, StatusCode, Url, headers};
use serde::Deserialize;
use thiserror::Error;

use super::http::{ExchangeError, call, percent_encoded};
use crate::modules::{
    members::{Member, Role},
    partial_list::{PartialList, excerpt},
};

/// Maximum time for an answer of the store while a caller waits; a watch may take
/// longer by its own wait.
pub const FOREGROUND_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for an answer while no caller waits. It is longer because the
/// platform is slow at times.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call to the platform gave no usable answer.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform cannot have received the call.
    #[error("the platform cannot be reached, nothing was sent: {0}")]
    Unreachable(String),
    /// The reply was lost, and a write may have taken effect.
    #[error(
        "the platform's reply was lost ({0}); read the key to learn whether the write took effect"
    )]
    ReplyLost(String),
    /// The key has a different version from the one that the write expects.
    #[error("the key has version {present}; read it again and repeat the write on that version")]
    Conflict {
        /// Current version; 0 if the key is absent.
        present: u64,
    },
    /// The platform's rate limit is exceeded; nothing took effect.
    #[error("the platform's rate limit is exceeded, nothing took effect; try again later")]
    Busy,
    /// The value exceeds the platform's size limit; nothing took effect.
    #[error("the value exceeds the platform's limit of 1 MiB; make it smaller")]
    TooLarge,
    /// The answer does not follow the protocol.
    #[error("the platform answered with {0}, which violates its protocol; check its address")]
    Protocol(String),
}

impl PlatformError {
    /// Returns the error of an answer that cannot be decoded. The decoder's error may quote
    /// the answer, so only its start is kept.
    pub(crate) fn malformed(what: &str, error: &serde_json::Error) -> Self {
        Self::Protocol(format!("{what}: {}", excerpt(&error.to_string())))
    }

    /// Returns whether a write may have taken effect despite the error.
    #[must_use]
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::ReplyLost(_) | Self::Protocol(_))
    }
}

/// A value and the version that its last write gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedValue {
    /// Version of the key.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// The key has a newer version.
    Changed(VersionedValue),
    /// The key is absent.
    Absent,
    /// Nothing changed within the wait.
    Unchanged,
}

/// The platform's key-value store.
#[allow(async_fn_in_trait, reason = "callers run on threads of their own")]
pub trait Store {
    /// Reads a key; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no usable answer.
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, PlatformError>;

    /// Waits until the key's version is higher than `after`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no usable answer.
    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError>;

    /// Writes a key if it has version `if_version` (0: if it is absent), and
    /// returns the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::may_have_applied`] returns whether the write may have
    /// taken effect.
    async fn put(&self, key: &str, value: Vec<u8>, if_version: u64) -> Result<u64, PlatformError>;

    /// Deletes a key if it has version `if_version`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::may_have_applied`] returns whether the deletion may have
    /// taken effect.
    async fn delete(&self, key: &str, if_version: u64) -> Result<(), PlatformError>;
}

/// A reading of the instance list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Entity tag of the reading; empty if the platform sent none.
    pub tag: String,
    /// Every process and backend server in the list whose entry can be read.
    pub members: PartialList<Member>,
    /// Size of the answer's body in bytes.
    pub bytes: u32,
}

/// The platform's list of live and leaving instances. It lags behind the true
/// state.
#[allow(async_fn_in_trait, reason = "callers run on threads of their own")]
pub trait InstanceList {
    /// Returns every process and backend server in the list.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no usable answer.
    async fn list(&self) -> Result<Vec<Member>, PlatformError> {
        let listing = self.list_since("").await?;
        Ok(listing.unwrap_or_default().members.items)
    }

    /// Returns the list, or `None` if it has not changed since the reading with
    /// this tag.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no usable answer.
    async fn list_since(&self, tag: &str) -> Result<Option<Listing>, PlatformError>;

    /// Registers a process, or renews its registration as a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns why the registration failed; the next heartbeat repeats it.
    async fn register(&self, member: &Member) -> Result<(), PlatformError>;
}

/// The store over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client of the store at `address`, for calls that a caller
    /// waits for.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: FOREGROUND_TIMEOUT,
        }
    }

    /// Creates a client with a longer timeout, for calls in the background.
    #[must_use]
    pub fn background(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: BACKGROUND_TIMEOUT,
        }
    }

    fn calls(self) -> Calls<'static> {
        Calls {
            store: self,
            era: None,
        }
    }
}

/// Value of a known era before the first answer.
const NOT_ANSWERED: u64 = u64::MAX;

/// The store over HTTP, with the era that its answers name. Clones share the era.
#[derive(Clone, Debug)]
pub struct EraStore {
    store: HttpStore,
    era: Arc<AtomicU64>,
}

impl EraStore {
    /// Creates a client of the store at `address`, for calls that a caller waits for.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        HttpStore::new(address).into()
    }

    /// Creates a client with a longer timeout, for calls in the background.
    #[must_use]
    pub fn background(address: SocketAddr) -> Self {
        HttpStore::background(address).into()
    }

    /// Returns the highest era that an answer has named, 0 if answers name none; `None`
    /// before the first answer.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        let era = self.era.load(Ordering::Relaxed);
        (era != NOT_ANSWERED).then_some(era)
    }

    fn calls(&self) -> Calls<'_> {
        Calls {
            store: self.store,
            era: Some(&self.era),
        }
    }
}

impl From<HttpStore> for EraStore {
    fn from(store: HttpStore) -> Self {
        Self {
            store,
            era: Arc::new(AtomicU64::new(NOT_ANSWERED)),
        }
    }
}

/// Calls of a client of the store.
struct Calls<'a> {
    store: HttpStore,
    /// Where the era of the answers is recorded.
    era: Option<&'a AtomicU64>,
}

impl Calls<'_> {
    async fn send(&self, request: Request, timeout: Duration) -> Result<Response, PlatformError> {
        let response = send(self.store.address, request, timeout).await?;
        let header = response.header("era");
        let named = header.and_then(|values| values.as_str().parse().ok());
        if let Some(era) = self.era {
            let named: u64 = named.unwrap_or_default();
            let highest = |known: u64| match known {
                NOT_ANSWERED => Some(named),
                known => Some(known.max(named)),
            };
            // The closure always returns a value, so that the update never fails.
            let _ = era.fetch_update(Ordering::Relaxed, Ordering::Relaxed, highest);
        }
        Ok(response)
    }
}

impl Store for Calls<'_> {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, PlatformError> {
        let request = request(self.store.address, Method::Get, &value_path(key))?;
        let mut response = self.send(request, self.store.timeout).await?;
        match response.status() {
            StatusCode::Ok => Ok(Some(read_value(&mut response).await?)),
            StatusCode::NotFound => Ok(None),
            _ => Err(status_error(&response)),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let path = value_path(key);
        let path = format!("{path}?after={after}&wait-ms={}", wait.as_millis());
        let request = request(self.store.address, Method::Get, &path)?;
        let mut response = self.send(request, wait + self.store.timeout).await?;
        match response.status() {
            StatusCode::Ok => Ok(WatchResult::Changed(read_value(&mut response).await?)),
            StatusCode::NotFound => Ok(WatchResult::Absent),
            StatusCode::NotModified => Ok(WatchResult::Unchanged),
            _ => Err(status_error(&response)),
        }
    }

    async fn put(&self, key: &str, value: Vec<u8>, if_version: u64) -> Result<u64, PlatformError> {
        let mut request = request(self.store.address, Method::Put, &value_path(key))?;
        request.insert_header("if-version", if_version.to_string());
        request.set_body(value);
        let response = self.send(request, self.store.timeout).await?;
        match response.status() {
            StatusCode::Ok => version(&response),
            _ => Err(status_error(&response)),
        }
    }

    async fn delete(&self, key: &str, if_version: u64) -> Result<(), PlatformError> {
        let mut request = request(self.store.address, Method::Delete, &value_path(key))?;
        request.insert_header("if-version", if_version.to_string());
        let response = self.send(request, self.store.timeout).await?;
        match response.status() {
            StatusCode::Ok => Ok(()),
            _ => Err(status_error(&response)),
        }
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, PlatformError> {
        self.calls().get(key).await
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        self.calls().watch(key, after, wait).await
    }

    async fn put(&self, key: &str, value: Vec<u8>, if_version: u64) -> Result<u64, PlatformError> {
        self.calls().put(key, value, if_version).await
    }

    async fn delete(&self, key: &str, if_version: u64) -> Result<(), PlatformError> {
        self.calls().delete(key, if_version).await
    }
}

impl Store for EraStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, PlatformError> {
        self.calls().get(key).await
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        self.calls().watch(key, after, wait).await
    }

    async fn put(&self, key: &str, value: Vec<u8>, if_version: u64) -> Result<u64, PlatformError> {
        self.calls().put(key, value, if_version).await
    }

    async fn delete(&self, key: &str, if_version: u64) -> Result<(), PlatformError> {
        self.calls().delete(key, if_version).await
    }
}

/// The instance list over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
}

/// Body of the answer to a read of the list.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ListBody {
    instances: PartialList<Member>,
}

impl HttpInstanceList {
    /// Creates a client of the instance list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl InstanceList for HttpInstanceList {
    async fn list_since(&self, tag: &str) -> Result<Option<Listing>, PlatformError> {
        let mut request = request(self.address, Method::Get, "/instances")?;
        if !tag.is_empty() {
            request.insert_header(headers::IF_NONE_MATCH, tag);
        }
        let mut response = send(self.address, request, BACKGROUND_TIMEOUT).await?;
        match response.status() {
            StatusCode::Ok => {}
            StatusCode::NotModified => return Ok(None),
            _ => return Err(status_error(&response)),
        }
        let tag = response.header(headers::ETAG);
        let tag = tag.map(|values| values.as_str().to_owned());
        let text = read_body(&mut response).await?;
        let mut body: ListBody = serde_json::from_str(&String::from_utf8_lossy(&text))
            .map_err(|e| PlatformError::malformed("an invalid instance list", &e))?;
        body.instances
            .require(|member| !member.name.is_empty(), "it has no name");
        Ok(Some(Listing {
            tag: tag.unwrap_or_default(),
            members: body.instances,
            bytes: u32::try_from(text.len()).unwrap_or(u32::MAX),
        }))
    }

    async fn register(&self, member: &Member) -> Result<(), PlatformError> {
        let name = percent_encoded(&member.name);
        let path = format!("/instances/{name}/{}", role_name(member.role));
        let mut request = request(self.address, Method::Put, &path)?;
        let text =
            serde_json::to_string(member).map_err(|e| PlatformError::Protocol(e.to_string()))?;
        request.set_body(text);
        request.set_content_type(http_types::mime::JSON);
        let response = send(self.address, request, BACKGROUND_TIMEOUT).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(status_error(&response))
    }
}

/// Returns the path of a key's value.
fn value_path(key: &str) -> String {
    format!("/kv/{}", percent_encoded(key))
}

/// Returns the name of a role in request paths.
fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Relay => "relay",
        Role::Leaf => "leaf",
    }
}

fn request(address: SocketAddr, method: Method, path: &str) -> Result<Request, PlatformError> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|e| PlatformError::Unreachable(format!("path {path}: {e}")))?;
    Ok(Request::new(method, url))
}

async fn send(
    address: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<Response, PlatformError> {
    call(address, request, timeout).await.map_err(|e| match e {
        ExchangeError::Unreachable(e) => PlatformError::Unreachable(e.to_string()),
        other => PlatformError::ReplyLost(other.to_string()),
    })
}

async fn read_value(response: &mut Response) -> Result<VersionedValue, PlatformError> {
    let version = version(response)?;
    let value = read_body(response).await?;
    Ok(VersionedValue { version, value })
}

async fn read_body(response: &mut Response) -> Result<Vec<u8>, PlatformError> {
    let read = response.body_bytes().await;
    read.map_err(|e| PlatformError::Protocol(e.to_string()))
}

fn version(response: &Response) -> Result<u64, PlatformError> {
    let header = response.header("version");
    let parsed = header.and_then(|values| values.as_str().parse().ok());
    parsed.ok_or_else(|| PlatformError::Protocol("no version header".to_owned()))
}

fn status_error(response: &Response) -> PlatformError {
    match response.status() {
        StatusCode::Conflict => PlatformError::Conflict {
            present: version(response).unwrap_or_default(),
        },
        StatusCode::TooManyRequests => PlatformError::Busy,
        StatusCode::PayloadTooLarge => PlatformError::TooLarge,
        other => PlatformError::Protocol(format!("status {other}")),
    }
}
