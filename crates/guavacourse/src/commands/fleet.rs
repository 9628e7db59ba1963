//! Finds the entries of the fleet and sends them HTTP requests.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use http_types::{Method, Request, Url};
use serde::de::DeserializeOwned;

use super::{
    failure::Failure,
    target::{Target, target},
};
use crate::{
    edge::{http, platform::InstanceList},
    modules::{inventory::Config, members::Role},
};

/// Timeout of a request to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Arguments that name the entries to ask.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(fleet), ignore_rustdoc)]
pub(super) struct Fleet {
    /// Address on which an entry serves callers, to ask it too
    #[bpaf(long, argument("IP:PORT"))]
    entry: Vec<SocketAddr>,
    #[bpaf(external)]
    target: Target,
}

impl Fleet {
    /// Returns the entries by the address on which they serve callers, with their
    /// names: those that the operator names and those of the instance list, or of
    /// the accepted inventory if the list is empty or cannot be read.
    ///
    /// # Errors
    ///
    /// Returns the list's error if the list cannot be read and the operator names no
    /// entry.
    pub(super) async fn entries(&self) -> Result<BTreeMap<SocketAddr, String>, Failure> {
        let mut entries: BTreeMap<SocketAddr, String> = BTreeMap::new();
        let named = self.entry.iter();
        entries.extend(named.map(|entry| (*entry, entry.to_string())));
        let listed = self.target.list().list().await;
        let members = listed.iter().flatten().filter(|m| m.role == Role::Entry);
        let known = members.filter(|m| m.callers.0.port() != 0);
        entries.extend(known.map(|m| (m.callers.0, m.name.clone())));
        match (listed, entries.is_empty()) {
            (Ok(members), _) if !members.is_empty() => return Ok(entries),
            (Err(error), true) => return Err(error.into()),
            _ => {}
        }
        if let Ok((_, text)) = self.target.revision(None).await
            && let Ok(config) = toml::from_str::<Config>(&text)
        {
            let instances = config.instances.into_iter();
            entries.extend(instances.map(|i| (i.callers.0, i.name)));
        }
        Ok(entries)
    }
}

/// Gets a JSON document from an entry. Returns `None` if there is no answer or it
/// is not JSON of this type.
pub(super) async fn get<T: DeserializeOwned>(entry: SocketAddr, path: &str) -> Option<T> {
    let url = Url::parse(&format!("http://{entry}{path}")).ok()?;
    let request = Request::new(Method::Get, url);
    let mut response = http::call(entry, request, ENTRY_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.body_json().await.ok()
}
