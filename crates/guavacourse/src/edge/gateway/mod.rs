//! Entry and relay in one process, for callers whose requests are forwarded by
//! host and path.
//!
//! The configuration and the leaves come from a [`Registry`], or from a peer that
//! reads it; the protocols of callers and leaves are behind [`CallerProtocol`] and
//! [`LeafProtocol`]. Queries over many shards, and parts of them, may run on
//! peers close to the leaves.

mod call_router;
mod exchange;
mod explain;
mod follow;
mod freshness;
mod listen;
mod peer_call;
mod peers;
mod protocol;
mod queries;
mod query_answer;
mod query_wire;
mod registry;
mod requests;
mod serve;
mod stopping;
mod trials;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;

pub use self::{
    protocol::{CallerAnswer, CallerProtocol, CallerRequest},
    query_answer::QueryAnswer,
    registry::{Registry, RegistryError},
};
use super::{
    account::{CallerAccount, Clients},
    clock::Clock,
    log::Log,
    metrics::{EntryMetrics, Metrics},
    published::Published,
    relay::LeafProtocol,
    worker::Worker,
};
use crate::modules::{
    caller_memory::InstanceLimits,
    collections::Map,
    customers::Revocation,
    extra::ExtraLimits,
    inventory::Address,
    members::{Member, Role},
    quotas::Tolerance,
    view::View,
};

/// Time within which the load balancer stops sending to a leaving process: two
/// readiness checks, one second apart, and connections already on their way.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Fraction of the remaining grace period that is kept for stopping the threads.
const SHUTDOWN_FRACTION: f64 = 0.12;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Region of each data centre.
    pub regions: Map<String, String>,
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the metrics; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Address on which peers follow the changes of the registry.
    pub feed: SocketAddr,
    /// Address on which peers hand over queries.
    pub queries: SocketAddr,
    /// Share of a processor core that the process may use, in thousandths.
    pub power: u32,
    /// Time within which a change of the registry must take effect in every process.
    pub max_delay: Duration,
    /// Budget of extra calls of the whole fleet.
    pub extra: ExtraLimits,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// How soon a revoked key must be refused.
    pub revocation: Revocation,
    /// Time for which a leaf serves after it has announced that it leaves.
    pub drain: Duration,
    /// How far the fleet may exceed the quotas of customers.
    pub tolerance: Tolerance,
    /// Memory and descriptors of the instance, which limit what callers can take.
    pub resources: InstanceLimits,
}

impl GatewayConfig {
    /// Returns the entry of the process in the registry.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            name: self.instance.clone(),
            role: Role::Entry,
            data_centre: self.data_centre.clone(),
            address: Address(self.feed),
            queries: Address(self.queries),
            power: self.power,
            ..Member::default()
        }
    }
}

/// A running gateway. Dropping it stops it without a grace period.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    stopping: stopping::Stopping,
    traffic: Worker,
    control: Worker,
}

impl Gateway {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or thread that failed.
    pub fn start<R: Registry + Send + 'static>(
        config: GatewayConfig,
        log: &Log,
        registry: R,
        callers: Arc<dyn CallerProtocol>,
        leaves: Arc<dyn LeafProtocol>,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let view = Published::new(View::default());
        let stopping = stopping::Stopping::default();
        let metrics = Metrics::new();
        let dropped = log.dropped();
        metrics.observe_counter("log_lines_dropped", move || {
            u64::try_from(dropped.dropped_lines()).unwrap_or(u64::MAX)
        });
        let unreadable = Arc::<AtomicU64>::default();
        let unreadable_total = Arc::clone(&unreadable);
        metrics.observe_counter("unreadable_entries", move || {
            unreadable_total.load(Ordering::Relaxed)
        });
        let (findings, received) = follow::findings::channel();
        let (trials, trial_requests) = trials::channel();
        let freshness = freshness::Freshness::default();
        let listeners = listen::Listeners::bind(&config)?;
        let receive_buffer = listeners.receive_buffer()?;
        let caller_limits = config.resources.callers(receive_buffer);
        let peer_limits = config.resources.peers(receive_buffer);
        let peers = CallerAccount::of(Clients::Peers, peer_limits);
        metrics.observe_gauge("caller_receive_buffer", move || receive_buffer as u64);
        let setup = serve::Setup {
            listeners,
            config: config.clone(),
            caller_limits,
            peer_account: peers.clone(),
            clock,
            view: view.clone(),
            callers,
            leaves,
            stopping: stopping.clone(),
            entry_metrics: EntryMetrics::new(&metrics.meter()),
            metrics,
            findings,
            trials,
            freshness: freshness.clone(),
        };
        let follower = follow::Setup {
            config: config.clone(),
            clock,
            view,
            listener: listen::bind(config.feed, listen::PEER_BACKLOG)?,
            peer_account: peers,
            findings: received,
            trials: trial_requests,
            freshness,
            unreadable,
        };
        let control = Worker::spawn("control", |executor, stop| {
            follow::run(follower, registry, executor, stop)
        });
        let traffic = Worker::spawn("traffic", |executor, stop| setup.run(executor, stop));
        tracing::info!(
            instance = %config.instance,
            callers = %config.callers,
            receive_buffer,
            connections = caller_limits.connections,
            "the gateway has started"
        );
        Ok(Self {
            config,
            stopping,
            traffic: traffic.context("cannot start a thread; raise the limit of threads")?,
            control: control.context("cannot start a thread; raise the limit of threads")?,
        })
    }

    /// Stops gracefully: reports not ready, and serves callers until the load
    /// balancer has noticed, asking them to close their connections; then closes
    /// idle connections, accepts no others, and waits for open requests to finish.
    /// Those that do not are answered before the grace period ends.
    pub fn stop(self) {
        tracing::info!(instance = %self.config.instance, "the gateway is leaving");
        let delay = BALANCER_DELAY.min(self.config.grace / 2);
        let left = self.config.grace.saturating_sub(delay);
        let kept = left.mul_f64(SHUTDOWN_FRACTION);
        let end = Instant::now() + self.config.grace.saturating_sub(kept);
        self.stopping.begin(end);
        thread::sleep(delay);
        self.stopping.close_idle();
        let late = self.stopping.wait_idle(end);
        if late > 0 {
            tracing::warn!(late, "requests did not finish within the grace period");
        }
        self.stopping.expire();
        let cut = self.stopping.wait_idle(Instant::now() + kept / 2);
        if cut > 0 {
            tracing::warn!(cut, "callers did not read the answers to their requests");
        }
        drop(self.traffic);
        drop(self.control);
        tracing::info!(instance = %self.config.instance, "the gateway has stopped");
    }
}
