//! One query that a peer runs for this process.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

use super::{
    peers::Peers,
    query_answer::QueryAnswer,
    query_wire::{self, Reply},
};
use crate::{
    edge::pool::PooledConnection,
    generated::wire_capnp::{Declined, queries},
    modules::{inventory::Address, query::QueryRequest, time::Time},
};

/// Interval between pings to a peer that runs a query.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// Time without an answer to a ping after which a peer that runs a query counts as
/// lost, and the query with it. A process that has used up its processor time may be
/// silent for 100 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the deadline for which the answer of a peer is still awaited.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

/// How a call to a peer ended.
#[derive(Debug)]
pub(super) enum PeerOutcome {
    /// The peer ran the query.
    Completed(QueryAnswer),
    /// The peer provably did not run it.
    NotRun,
    /// The peer may have run it, and was lost or late.
    Unknown,
}

/// How the exchange with a peer ended.
enum Exchange {
    /// The peer replied.
    Reply(Reply),
    /// There is no connection to the peer.
    NotConnected,
    /// The connection broke, or the peer is silent.
    Broken,
    /// The deadline passed.
    Late,
}

/// Lets a peer run a query that was planned under a revision of the
/// configuration. Dropping the future cancels the query.
pub(super) async fn run(
    peers: &Rc<Peers>,
    peer: Address,
    revision: u64,
    request: &QueryRequest,
) -> PeerOutcome {
    let sent = peers.now();
    peers.with_state(|state| state.sent(peer, sent));
    let call = PeerCall {
        peers,
        peer,
        sent,
        running: Cell::new(true),
    };
    let exchange = call.run(revision, request).await;
    call.finish(exchange)
}

/// A query that a peer runs. Dropping it cancels the query.
struct PeerCall<'a> {
    peers: &'a Rc<Peers>,
    peer: Address,
    sent: Time,
    /// Whether the peer may still run the query.
    running: Cell<bool>,
}

impl PeerCall<'_> {
    async fn run(&self, revision: u64, request: &QueryRequest) -> Exchange {
        let Some(connection) = self.peers.connect(self.peer).await else {
            tracing::info!(peer = %self.peer.0, "a peer does not answer; the query runs locally");
            return Exchange::NotConnected;
        };
        let waited = self.peers.now().since(self.sent);
        let round_trip = self.peers.with_state(|state| state.round_trip(self.peer));
        let request = request.with_elapsed(waited + round_trip, waited);
        let answer = async {
            match call(&connection.capability, &request, revision).await {
                Ok(reply) => Exchange::Reply(reply),
                Err(error) => {
                    tracing::info!(peer = %self.peer.0, %error, "a query was lost with the \
                        connection to a peer");
                    Exchange::Broken
                }
            }
        };
        let silent = async {
            self.watch(&connection).await;
            tracing::info!(peer = %self.peer.0, "a query was lost: its peer answers no pings");
            Exchange::Broken
        };
        let left = request.deadline.unwrap_or_default();
        let timeout = async {
            Timer::after(left + DEADLINE_SLACK).await;
            Exchange::Late
        };
        answer.or(silent).or(timeout).await
    }

    /// Returns once the peer is lost.
    async fn watch(&self, connection: &PooledConnection<queries::Client>) {
        loop {
            Timer::after(PING_INTERVAL).await;
            if !self
                .peers
                .ping(self.peer, connection, SILENCE_TIMEOUT)
                .await
            {
                return;
            }
        }
    }

    /// Updates the state of the peer after the call.
    fn finish(&self, exchange: Exchange) -> PeerOutcome {
        self.running.set(false);
        let (peer, sent, now) = (self.peer, self.sent, self.peers.now());
        match exchange {
            Exchange::Reply(Reply::Completed(answer)) => {
                self.peers
                    .with_state(|state| state.answered(peer, sent, now));
                PeerOutcome::Completed(answer)
            }
            Exchange::Reply(Reply::Declined(Declined::Revision)) => {
                self.peers.with_state(|state| state.cancelled(peer));
                PeerOutcome::NotRun
            }
            Exchange::Reply(Reply::Declined(_)) => {
                self.peers.with_state(|state| state.failed(peer, now));
                PeerOutcome::NotRun
            }
            Exchange::NotConnected => {
                self.peers.mark_lost(peer);
                PeerOutcome::NotRun
            }
            Exchange::Broken | Exchange::Late => {
                self.peers.mark_lost(peer);
                PeerOutcome::Unknown
            }
        }
    }
}

impl Drop for PeerCall<'_> {
    fn drop(&mut self) {
        if self.running.get() {
            self.peers.with_state(|state| state.cancelled(self.peer));
        }
    }
}

async fn call(
    capability: &queries::Client,
    request: &QueryRequest,
    revision: u64,
) -> capnp::Result<Reply> {
    let mut call = capability.run_request();
    query_wire::write_query(call.get().init_query(), request, revision);
    let answer = call.send().promise.await?;
    query_wire::read_result(answer.get()?.get_result()?)
}
