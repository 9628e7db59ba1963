//! The bootstrap capability of a process, and the listener that serves it.

use std::{net::TcpListener as StdListener, rc::Rc, time::Duration};

use futures_lite::future;
use smol::{LocalExecutor, Task, Timer, net::TcpListener};

use crate::{
    edge::{
        account::{CallerAccount, Clients},
        fleet,
    },
    generated::wire_capnp::{exchange, feed, handover, node, peer, queries, relay},
    modules::caller_memory::{InstanceLimits, RECEIVE_BUFFER},
};

/// Delay before the next connection is accepted while too many are still closing.
const CROWDED_DELAY: Duration = Duration::from_millis(5);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The capabilities that one process offers to the others.
#[derive(Clone, Default)]
pub(crate) struct NodeServer {
    /// Exchange of configuration and members.
    pub(crate) peer: Option<peer::Client>,
    /// Leaf calls; on a relay.
    pub(crate) relay: Option<relay::Client>,
    /// Actions whose tickets it issued; on an entry.
    pub(crate) handover: Option<handover::Client>,
    /// Changes of the registry that it has read; on a gateway.
    pub(crate) feed: Option<feed::Client>,
    /// Queries that it runs for other processes; on a gateway.
    pub(crate) queries: Option<queries::Client>,
    /// Exchange of the use of quotas; on a gateway.
    pub(crate) exchange: Option<exchange::Client>,
}

impl node::Server for NodeServer {
    async fn peer(
        self: Rc<Self>,
        _: node::PeerParams,
        mut results: node::PeerResults,
    ) -> capnp::Result<()> {
        let peer = self.peer.clone().ok_or_else(|| missing("peer"))?;
        results.get().set_peer(peer);
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        _: node::RelayParams,
        mut results: node::RelayResults,
    ) -> capnp::Result<()> {
        let relay = self.relay.clone().ok_or_else(|| missing("relay"))?;
        results.get().set_relay(relay);
        Ok(())
    }

    async fn handover(
        self: Rc<Self>,
        _: node::HandoverParams,
        mut results: node::HandoverResults,
    ) -> capnp::Result<()> {
        let handover = self.handover.clone().ok_or_else(|| missing("handover"))?;
        results.get().set_handover(handover);
        Ok(())
    }

    async fn feed(
        self: Rc<Self>,
        _: node::FeedParams,
        mut results: node::FeedResults,
    ) -> capnp::Result<()> {
        let feed = self.feed.clone().ok_or_else(|| missing("feed"))?;
        results.get().set_feed(feed);
        Ok(())
    }

    async fn queries(
        self: Rc<Self>,
        _: node::QueriesParams,
        mut results: node::QueriesResults,
    ) -> capnp::Result<()> {
        let queries = self.queries.clone().ok_or_else(|| missing("queries"))?;
        results.get().set_queries(queries);
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        _: node::ExchangeParams,
        mut results: node::ExchangeResults,
    ) -> capnp::Result<()> {
        let exchange = self.exchange.clone().ok_or_else(|| missing("exchange"))?;
        results.get().set_exchange(exchange);
        Ok(())
    }
}

/// Returns the account of the peers of a process whose instance sets no limits.
pub(crate) fn default_peers() -> CallerAccount {
    let limits = InstanceLimits::default().peers(RECEIVE_BUFFER);
    CallerAccount::of(Clients::Peers, limits)
}

/// Serves other processes until the future is dropped, which closes all
/// connections. Each takes a place in `account`.
pub(crate) async fn serve_fleet(
    listener: StdListener,
    node: Rc<NodeServer>,
    executor: Rc<LocalExecutor<'static>>,
    account: CallerAccount,
) {
    let mut connections: Vec<Task<()>> = Vec::new();
    let listener = match smol::Async::new(listener) {
        Ok(listener) => TcpListener::from(listener),
        Err(error) => {
            tracing::error!(%error, "cannot accept connections from other processes; restart the process");
            return;
        }
    };
    loop {
        connections.retain(|task| !task.is_finished());
        while account.is_crowded() {
            Timer::after(CROWDED_DELAY).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(seat) = account.open() else {
                    continue;
                };
                let node = Rc::clone(&node);
                connections.push(executor.spawn(async move {
                    if let Err(error) = fleet::serve(stream, node, seat).await {
                        tracing::debug!(%error, "a connection from another process broke");
                    }
                }));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer; raise the open-file limit");
                account.make_room();
                // The error comes again at once while descriptors are used up.
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
        // Connections that were told to close must run before others are accepted.
        future::yield_now().await;
    }
}

fn missing(capability: &str) -> capnp::Error {
    let message = format!("this process has no {capability}; ask one of the other role");
    capnp::Error::unimplemented(message)
}
