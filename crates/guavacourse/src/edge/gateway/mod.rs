//! Entry and relay in one process, for callers whose requests are forwarded by
//! host and path.
//!
//! The configuration and the leaves come from a [`Registry`], or from a peer that
//! reads it; what callers and leaves speak is behind [`CallerProtocol`] and
//! [`LeafProtocol`]. Queries over many shards, and parts of them, may run at
//! peers next to the leaves.

mod call_router;
mod explain;
mod follow;
mod listen;
mod peer_call;
mod peers;
mod protocol;
mod queries;
mod query_wire;
mod registry;
mod requests;
mod serve;
mod stopping;

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use anyhow::Context;

pub use self::{
    protocol::{CallerProtocol, Incoming, Outgoing},
    registry::{Registry, RegistryError},
};
use super::{
    clock::Clock,
    log::Log,
    metrics::{EntryMetrics, Metrics},
    published::Published,
    relay::LeafProtocol,
    worker::Worker,
};
use crate::modules::{
    collections::Map,
    extra::ExtraTerms,
    inventory::Address,
    members::{Member, Role},
    view::View,
};

/// Time in which the balancer takes a leaving process out: two looks at its
/// readiness, one second apart, and connections on their way.
const LINGER: Duration = Duration::from_millis(2_600);

/// Part of the grace that a leaving process keeps for its end.
const END_PART: f64 = 0.12;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Region of each data centre.
    pub regions: Map<String, String>,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: SocketAddr,
    /// Where it serves its metrics; none serves none.
    pub metrics: Option<SocketAddr>,
    /// Where it tells peers what it learns of the registry.
    pub feed: SocketAddr,
    /// Where it takes over queries of its peers.
    pub queries: SocketAddr,
    /// Share of a core that it may use, in thousandths.
    pub power: u32,
    /// Time in which a change of the registry has to count everywhere.
    pub due: Duration,
    /// Extra calls of the whole fleet.
    pub extra: ExtraTerms,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

impl GatewayConfig {
    /// Returns what the process registers of itself.
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

/// A gateway that runs. Dropping it ends it without grace.
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
        metrics.watch("log_lines_dropped", move || {
            u64::try_from(dropped.dropped_lines()).unwrap_or(u64::MAX)
        });
        let plan = serve::Plan {
            listeners: listen::Listeners::bind(&config)?,
            config: config.clone(),
            clock,
            view: view.clone(),
            callers,
            leaves,
            stopping: stopping.clone(),
            entry: EntryMetrics::new(&metrics.meter()),
            metrics,
        };
        let follower = follow::Setup {
            config: config.clone(),
            clock,
            view,
            listener: listen::bind(config.feed)?,
        };
        let control = Worker::spawn("control", |executor, stop| {
            follow::run(follower, registry, executor, stop)
        });
        let traffic = Worker::spawn("traffic", |executor, stop| plan.run(executor, stop));
        tracing::info!(instance = %config.instance, callers = %config.callers, "the gateway has started");
        Ok(Self {
            config,
            stopping,
            traffic: traffic.context("cannot start a thread; raise the limit of threads")?,
            control: control.context("cannot start a thread; raise the limit of threads")?,
        })
    }

    /// Stops with grace: readiness falls, callers are served while the balancer
    /// lags and are asked to close, then idle connections end and every request
    /// is finished.
    pub fn stop(self) {
        tracing::info!(instance = %self.config.instance, "the gateway is leaving");
        self.stopping.announce();
        let linger = LINGER.min(self.config.grace / 2);
        thread::sleep(linger);
        self.stopping.end();
        let left = self.config.grace.saturating_sub(linger);
        self.stopping.wait_idle(left.mul_f64(1.0 - END_PART));
        drop(self.traffic);
        drop(self.control);
        tracing::info!(instance = %self.config.instance, "the gateway has stopped");
    }
}
