//! The sockets of a gateway.

use std::net::{SocketAddr, TcpListener as StdListener};

use anyhow::Context;

use super::GatewayConfig;

/// The sockets of a gateway.
pub(super) struct Listeners {
    pub(super) callers: StdListener,
    pub(super) ready: StdListener,
    pub(super) queries: StdListener,
    pub(super) metrics: Option<StdListener>,
}

impl Listeners {
    /// Binds the configured addresses.
    pub(super) fn bind(config: &GatewayConfig) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind(config.callers)?,
            ready: bind(config.ready)?,
            queries: bind(config.queries)?,
            metrics: config.metrics.and_then(bind_metrics),
        })
    }
}

/// Binds a non-blocking listener.
pub(super) fn bind(address: SocketAddr) -> anyhow::Result<StdListener> {
    let listener = StdListener::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds the address of the metrics. A failure is only logged, because callers are
/// served without metrics, too.
fn bind_metrics(address: SocketAddr) -> Option<StdListener> {
    let bound = bind(address);
    if let Err(error) = &bound {
        tracing::warn!(%error, "no metrics are served; free the address and restart");
    }
    bound.ok()
}
