//! Client of a single relay session, for tests and measurements.

use std::{net::SocketAddr, rc::Rc};

use smol::{
    LocalExecutor,
    channel::{Receiver, Sender, unbounded},
};

use crate::{
    edge::{fleet, wire},
    generated::wire_capnp::{session, sink},
    modules::call::{AttemptId, Part, Reply},
};

/// What a relay pushes to a session.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayMessage {
    /// Replies to attempts that have ended, batched as in one delivery.
    Replies(Vec<Reply>),
    /// The relay is leaving.
    Leaving,
    /// Fingerprints of contents that crash backend servers.
    Quarantined(Vec<u64>),
}

/// A session with one relay. Dropping it cancels its attempts.
pub struct RelayClient {
    session: session::Client,
    messages: Receiver<RelayMessage>,
    _link: fleet::Link,
}

impl RelayClient {
    /// Opens a session with the relay at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay cannot be reached or refuses.
    pub async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
    ) -> anyhow::Result<Self> {
        let link = fleet::connect(executor, address).await?;
        let response = link.node.relay_request().send().promise.await?;
        let mut request = response.get()?.get_relay()?.open_request();
        let (sender, messages) = unbounded();
        let mut params = request.get();
        params.set_entry("client");
        params.set_sink(capnp_rpc::new_client(Sink(sender)));
        let opened = request.send().promise.await?;
        let session = opened.get()?.get_session()?;
        Ok(Self {
            session,
            messages,
            _link: link,
        })
    }

    /// Submits parts.
    ///
    /// # Errors
    ///
    /// Returns the error that broke the session.
    pub async fn submit(&self, parts: &[Part]) -> anyhow::Result<()> {
        let mut request = self.session.submit_request();
        let list = request.get().init_parts(wire::list_len(parts.len()));
        wire::write_parts(list, parts);
        request.send().promise.await?;
        Ok(())
    }

    /// Cancels attempts.
    ///
    /// # Errors
    ///
    /// Returns the error that broke the session.
    pub async fn cancel(&self, attempts: &[AttemptId]) -> anyhow::Result<()> {
        let mut request = self.session.cancel_request();
        let mut list = request.get().init_attempts(wire::list_len(attempts.len()));
        for (i, attempt) in (0..).zip(attempts) {
            list.set(i, attempt.0);
        }
        request.send().promise.await?;
        Ok(())
    }

    /// Waits for the relay's next message; none once the session is broken.
    pub async fn next(&self) -> Option<RelayMessage> {
        self.messages.recv().await.ok()
    }
}

/// Receives the relay's messages and forwards them to the [`RelayClient`].
struct Sink(Sender<RelayMessage>);

impl Sink {
    fn forward(&self, message: RelayMessage) {
        // Fails only if the client was dropped.
        let _ = self.0.try_send(message);
    }
}

impl sink::Server for Sink {
    async fn deliver(
        self: Rc<Self>,
        params: sink::DeliverParams,
        _: sink::DeliverResults,
    ) -> capnp::Result<()> {
        let replies = wire::read_replies(params.get()?.get_replies()?)?;
        self.forward(RelayMessage::Replies(replies));
        Ok(())
    }

    async fn leaving(
        self: Rc<Self>,
        _: sink::LeavingParams,
        _: sink::LeavingResults,
    ) -> capnp::Result<()> {
        self.forward(RelayMessage::Leaving);
        Ok(())
    }

    async fn quarantine(
        self: Rc<Self>,
        params: sink::QuarantineParams,
        _: sink::QuarantineResults,
    ) -> capnp::Result<()> {
        let fingerprints = params.get()?.get_fingerprints()?.iter().collect();
        self.forward(RelayMessage::Quarantined(fingerprints));
        Ok(())
    }
}
