//! Connections to the peers that run queries, or parts of them, for this process.
//!
//! A query that was sent to a peer is not run here as well, because the peer may
//! already have called leaves for it, as often as its attempts allow. Therefore a
//! peer that has not answered recently is pinged before it is sent a query.

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_lite::FutureExt;
use smol::{LocalExecutor, Task, Timer};

use crate::{
    edge::{
        clock::Clock,
        pool::{Pool, PooledConnection},
    },
    generated::wire_capnp::queries,
    modules::{
        collections::Map, delegation::Delegation, inventory::Address, load_balancer::LoadBalancer,
        time::Time,
    },
};

/// Longest wait for a new connection to a peer; open connections are reused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a peer counts as alive after it answered.
const ALIVE_PERIOD: Duration = Duration::from_millis(200);

/// Time within which a live peer answers the ping before a query, in addition to the
/// travel time. Otherwise the query is run here, which does no harm.
const PING_TIMEOUT: Duration = Duration::from_millis(60);

/// Delay before each probe of a lost peer, and the maximum number of probes:
/// together longer than a peer takes to restart.
const PROBE_DELAY: Duration = Duration::from_millis(300);
const MAX_PROBES: u32 = 100;

/// The peers of one traffic thread.
pub(super) struct Peers {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    balancer: Rc<RefCell<LoadBalancer>>,
    pool: Pool<queries::Client>,
    /// Tasks that probe whether a lost peer is alive again.
    probes: RefCell<Map<Address, Task<()>>>,
}

impl Peers {
    /// Creates the state without any connection; tasks run on `executor`.
    pub(super) fn new(
        executor: &Rc<LocalExecutor<'static>>,
        clock: Clock,
        balancer: &Rc<RefCell<LoadBalancer>>,
    ) -> Self {
        Self {
            executor: Rc::clone(executor),
            clock,
            balancer: Rc::clone(balancer),
            pool: Pool::new(executor, |node| {
                node.queries_request().send().pipeline.get_queries()
            }),
            probes: RefCell::default(),
        }
    }

    /// Cancels all probes and closes all connections.
    pub(super) async fn close(&self) {
        let probes = self.probes.take();
        for task in probes.into_values() {
            task.cancel().await;
        }
        self.pool.clear();
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a connection to a live peer; `None` if the peer does not answer.
    pub(super) async fn connect(
        &self,
        peer: Address,
    ) -> Option<Rc<PooledConnection<queries::Client>>> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let connection = self.pool.get(peer).or(timeout).await;
        if let Err(error) = &connection {
            tracing::debug!(peer = %peer.0, %error, "no connection to a peer");
        }
        let connection = connection.ok()?;
        let last_answer = self.with_state(|state| state.last_answer(peer));
        let now = self.clock.now();
        let recent = last_answer.is_some_and(|last_answer| now.since(last_answer) <= ALIVE_PERIOD);
        (recent || self.ping(peer, &connection, PING_TIMEOUT).await).then_some(connection)
    }

    /// Returns whether a peer answers a ping within `within` plus the travel time.
    pub(super) async fn ping(
        &self,
        peer: Address,
        connection: &PooledConnection<queries::Client>,
        within: Duration,
    ) -> bool {
        let sent = self.clock.now();
        let round_trip = self.with_state(|state| state.round_trip(peer));
        let ping = async {
            connection
                .capability
                .ping_request()
                .send()
                .promise
                .await
                .is_ok()
        };
        let timeout = async {
            Timer::after(within + round_trip).await;
            false
        };
        let alive = ping.or(timeout).await;
        if alive {
            let now = self.clock.now();
            self.with_state(|state| state.answered_ping(peer, sent, now));
        }
        alive
    }

    /// Marks a peer as lost, so that it gets no queries until it answers a ping, and
    /// starts probing it.
    pub(super) fn mark_lost(self: &Rc<Self>, peer: Address) {
        self.with_state(|state| state.lost(peer, self.clock.now()));
        self.pool.remove(peer);
        let mut probes = self.probes.borrow_mut();
        if probes.get(&peer).is_none_or(Task::is_finished) {
            let probe = Rc::clone(self).probe(peer);
            probes.insert(peer, self.executor.spawn(probe));
        }
    }

    /// Probes a lost peer until it answers. After the last probe the peer is no
    /// longer marked as lost.
    async fn probe(self: Rc<Self>, peer: Address) {
        for _ in 0..MAX_PROBES {
            Timer::after(PROBE_DELAY).await;
            if self.connect(peer).await.is_some() {
                tracing::info!(peer = %peer.0, "a peer that was lost answers again");
                return;
            }
            self.pool.remove(peer);
        }
        self.with_state(|state| state.clear_lost(peer));
    }

    /// Calls `f` with the state of the peers; returns the default if there is none.
    pub(super) fn with_state<T: Default>(&self, f: impl FnOnce(&mut Delegation) -> T) -> T {
        let mut balancer = self.balancer.borrow_mut();
        balancer.peers.as_mut().map(f).unwrap_or_default()
    }
}
