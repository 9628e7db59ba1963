//! Answers peers on a traffic thread, and passes what they send to the control
//! thread.

use std::time::Duration;

use capnp::{Error, capability::Rc as CapRc};
use smol::{
    Timer,
    channel::{Receiver, Sender},
};

use super::{
    peers,
    state::Shared,
    summary::{LocalStatus, Summary},
};
use crate::{
    edge::{clock::Clock, published::Published},
    generated::wire_capnp::peer,
    modules::{adoption::Stamp, archive::Transfer, blocklist::BlockedContent},
};

/// Time between two checks whether fingerprints are blocked.
const BLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of checks whether fingerprints are blocked.
const MAX_BLOCK_CHECKS: u32 = 200;

/// A message from another thread to the control thread.
#[derive(Debug)]
pub(super) enum Message {
    /// A peer opened an exchange.
    Summary(Summary),
    /// The operators' command offered a body.
    Offer(Stamp, String),
    /// A request with this fingerprint crashed backend servers.
    Quarantine(u64),
    /// The process is leaving.
    Leave,
}

/// Answers peers on behalf of the control thread. Each traffic thread creates its
/// servers from its own clone.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    status: Published<LocalStatus>,
    inbox: Sender<Message>,
    clock: Clock,
}

impl PeerHandle {
    pub(super) fn new(
        status: Published<LocalStatus>,
        inbox: Sender<Message>,
        clock: Clock,
    ) -> Self {
        Self {
            status,
            inbox,
            clock,
        }
    }

    /// Creates the server of the peer interface for one connection.
    pub(crate) fn client(&self) -> peer::Client {
        capnp_rpc::new_client(PeerServer {
            handle: self.clone(),
        })
    }

    /// Blocks the fingerprint of a request that crashed backend servers, here and
    /// at the peers.
    pub fn quarantine(&self, fingerprint: u64) {
        self.post(Message::Quarantine(fingerprint));
    }

    /// Blocks fingerprints and waits until every thread of this process can see
    /// them, for at most [`MAX_BLOCK_CHECKS`] checks.
    pub(crate) async fn block(&self, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            self.quarantine(*fingerprint);
        }
        let published = || {
            let blocked = self.status.load().blocklist.fingerprints();
            fingerprints.iter().all(|f| blocked.contains(f))
        };
        for _ in 0..MAX_BLOCK_CHECKS {
            if published() {
                return;
            }
            Timer::after(BLOCK_CHECK_INTERVAL).await;
        }
    }

    /// Announces that the process is leaving. Blocks until the inbox has room,
    /// because no exchange repeats this message.
    pub(super) fn leave(&self) {
        if self.inbox.send_blocking(Message::Leave).is_err() {
            tracing::warn!("the control thread has ended; peers learn from the instance list");
        }
    }

    fn post(&self, message: Message) {
        if let Err(e) = self.inbox.try_send(message) {
            tracing::warn!(
                "dropped a message to the control thread: {e}; only a peer's summary is repeated, \
                 by its next exchange"
            );
        }
    }
}

/// Handles the messages of other threads until the inbox is closed.
pub(super) async fn receive(shared: &Shared, inbox: &Receiver<Message>) {
    while let Ok(message) = inbox.recv().await {
        match message {
            Message::Summary(summary) => peers::on_summary(shared, &summary),
            Message::Offer(stamp, text) => shared.adopt(stamp, text, "the operators' command"),
            Message::Quarantine(fingerprint) => {
                let blocked = BlockedContent {
                    fingerprint,
                    age: Duration::ZERO,
                };
                shared.block(&[blocked]);
            }
            Message::Leave => shared.leave(),
        }
    }
}

/// Serves the peer interface on one connection.
struct PeerServer {
    handle: PeerHandle,
}

impl peer::Server for PeerServer {
    async fn exchange(
        self: CapRc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let summary = Summary::read(params.get()?.get_summary()?)?;
        if !summary.name.as_str().is_empty() {
            self.handle.post(Message::Summary(summary));
        }
        let status = self.handle.status.load();
        status.write(results.get().init_summary(), self.handle.clock.now());
        Ok(())
    }

    async fn fetch(
        self: CapRc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let have = params.get()?.get_have();
        let status = self.handle.status.load();
        let mut out = results.get();
        out.set_revision(status.stamp.revision);
        out.set_digest(status.stamp.digest);
        match status.archive.transfer(have) {
            None => {}
            Some(Transfer::Whole(body)) => out.set_body(body.text.as_bytes()),
            Some(Transfer::Delta(delta)) => {
                let text = serde_json::to_vec(&delta).map_err(|e| Error::failed(e.to_string()))?;
                out.set_delta(true);
                out.set_body(&text);
            }
        }
        Ok(())
    }

    async fn members(
        self: CapRc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let digests: Vec<u32> = params.get()?.get_digests()?.iter().collect();
        let status = self.handle.status.load();
        let records = status.listed.differing(&digests, self.handle.clock.now());
        let text = serde_json::to_vec(&records).map_err(|e| Error::failed(e.to_string()))?;
        results.get().set_records(&text);
        Ok(())
    }

    async fn offer(
        self: CapRc<Self>,
        params: peer::OfferParams,
        _: peer::OfferResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let stamp = Stamp {
            revision: params.get_revision(),
            digest: params.get_digest(),
        };
        let text = String::from_utf8(params.get_body()?.to_vec())
            .map_err(|e| Error::failed(format!("the body is not UTF-8: {e}")))?;
        self.handle.post(Message::Offer(stamp, text));
        Ok(())
    }
}
