//! Serves only the peer interface, for a process without traffic.

use std::{io, net::TcpListener, rc::Rc};

use futures_lite::FutureExt;

use super::PeerHandle;
use crate::edge::{
    node::{NodeServer, default_peers, serve_fleet},
    worker::Worker,
};

/// A thread that answers peers, joined when dropped.
#[derive(Debug)]
pub struct PeerListener(#[expect(dead_code, reason = "held for its drop")] Worker);

impl PeerListener {
    /// Starts to answer peers on `listener`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(listener: TcpListener, peer: PeerHandle) -> io::Result<Self> {
        let worker = Worker::spawn("peers", move |executor, stop| async move {
            let node = NodeServer {
                peer: Some(peer.client()),
                ..NodeServer::default()
            };
            let served = serve_fleet(listener, Rc::new(node), executor, default_peers());
            served.or(stop.wait()).await;
        })?;
        Ok(Self(worker))
    }
}
