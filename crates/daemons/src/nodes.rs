//! Nodes that run only a control thread, for tests and measurements of the control
//! plane.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use anyhow::Context;
use guavacourse::{
    configs::node::NodeConfig,
    edge::{
        clock::Clock,
        control::{Control, PeerListener},
    },
    modules::{members::Role, view::View},
};
use guavacourse_standins::LinkProxy;

/// The loopback interface with port 0, which binds to any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Number of data centres that nodes are spread over.
const DATA_CENTRES: usize = 3;

/// A node that runs only a control thread.
#[derive(Debug)]
pub struct Node {
    /// The control thread.
    pub control: Control,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Proxy through which other nodes reach this one.
    pub link: LinkProxy,
    listener: PeerListener,
}

impl Node {
    /// Starts a node; its name and data centre are derived from `number`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or no thread can be started.
    pub fn start(
        number: usize,
        platform: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> anyhow::Result<Self> {
        Self::start_behind_proxy(number, platform, seeds, Ok)
    }

    /// Starts a node that other nodes reach through an additional proxy.
    ///
    /// `start_proxy` gets the address that the node serves, and returns the
    /// address of a proxy to it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::start`] and of `start_proxy`.
    pub fn start_behind_proxy(
        number: usize,
        platform: SocketAddr,
        seeds: Vec<SocketAddr>,
        start_proxy: impl FnOnce(SocketAddr) -> anyhow::Result<SocketAddr>,
    ) -> anyhow::Result<Self> {
        let (listener, server) =
            listen().context("cannot bind a free port; stop other processes")?;
        let link = LinkProxy::start(ANY_PORT, start_proxy(server)?, 1)?;
        let address = link.address();
        let config = NodeConfig {
            instance: format!("instance-{number}"),
            data_centre: format!("dc-{}", number % DATA_CENTRES),
            platform,
            seeds,
            ..NodeConfig::default()
        };
        let incarnation = fastrand::u64(1..);
        let control = Control::start(config, Role::Entry, incarnation, address, Clock::start())?;
        let listener = PeerListener::start(listener, control.peer())?;
        Ok(Self {
            control,
            address,
            link,
            listener,
        })
    }

    /// Returns the latest snapshot of the node's state.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.control.view().load()
    }

    /// Returns the configuration revision in force.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.view().catalog.revision
    }

    /// Stops the node, its listener first.
    pub fn stop(self) {
        drop(self.listener);
        self.control.stop();
        self.link.stop();
    }
}

fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(ANY_PORT)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
