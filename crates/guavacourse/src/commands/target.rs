//! Access to the platform's store and instance list.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::failure::Failure;
use crate::{
    edge::{
        operator,
        platform::{HttpInstanceList, HttpStore},
    },
    modules::head::{AcceptedChange, Head},
};

/// Arguments that name the platform.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(target), ignore_rustdoc)]
pub(super) struct Target {
    /// Address of the platform's store and instance list
    #[bpaf(long, env("GUAVACOURSE_PLATFORM"), argument("IP:PORT"))]
    platform: SocketAddr,
}

impl Target {
    /// Returns a client of the store.
    pub(super) fn store(&self) -> HttpStore {
        HttpStore::background(self.platform)
    }

    /// Returns a client of the instance list.
    pub(super) fn list(&self) -> HttpInstanceList {
        HttpInstanceList::new(self.platform)
    }

    /// Reads the configuration's head, which lists the latest accepted changes.
    pub(super) async fn head(&self) -> Result<Head, Failure> {
        let (_, head) = operator::read_head(&self.store()).await?;
        Ok(head)
    }

    /// Reads a revision, or the latest accepted one if none is given.
    pub(super) async fn revision(
        &self,
        revision: Option<u64>,
    ) -> Result<(AcceptedChange, String), Failure> {
        let head = self.head().await?;
        let found = match revision {
            Some(revision) => head.at(revision).ok_or(Failure::NoRevision(revision))?,
            None => head.current().ok_or(Failure::NothingAccepted)?,
        };
        let text = operator::read_body(&self.store(), found).await?;
        Ok((found.clone(), text))
    }
}
