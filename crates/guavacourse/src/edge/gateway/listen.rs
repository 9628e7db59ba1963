//! The sockets of a gateway.

use std::net::{SocketAddr, TcpListener as StdListener};

use anyhow::Context;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::GatewayConfig;
use crate::modules::caller_memory::{RECEIVE_BUFFER, WAITING_CONNECTIONS};

/// Connections to the readiness check and the metrics that may wait to be accepted.
const INTERNAL_BACKLOG: usize = 16;

/// Connections to each of the two ports for peers that may wait to be accepted.
pub(super) const PEER_BACKLOG: usize = WAITING_CONNECTIONS / 2;

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
            callers: bind(config.callers, WAITING_CONNECTIONS)?,
            ready: bind(config.ready, INTERNAL_BACKLOG)?,
            queries: bind(config.queries, PEER_BACKLOG)?,
            metrics: config.metrics.and_then(bind_metrics),
        })
    }

    /// Returns the size of the receive buffer of each connection, in bytes.
    pub(super) fn receive_buffer(&self) -> anyhow::Result<usize> {
        let size = SockRef::from(&self.callers).recv_buffer_size();
        size.context("cannot read the size of a receive buffer; report the system's version")
    }
}

/// Binds a non-blocking listener whose connections have small receive buffers: what waits
/// in them counts as memory of the instance.
pub(super) fn bind(address: SocketAddr, backlog: usize) -> anyhow::Result<StdListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Linux doubles the size, and never holds more than the doubled one.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER / 2) {
        tracing::warn!(%error, "receive buffers keep their size; fewer clients may connect");
    }
    socket
        .bind(&address.into())
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    socket.listen(i32::try_from(backlog)?)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Binds the address of the metrics. A failure is only logged, because callers are
/// served without metrics, too.
fn bind_metrics(address: SocketAddr) -> Option<StdListener> {
    let bound = bind(address, INTERNAL_BACKLOG);
    if let Err(error) = &bound {
        tracing::warn!(%error, "no metrics are served; free the address and restart");
    }
    bound.ok()
}
