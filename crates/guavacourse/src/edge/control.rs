//! The control thread of a process: maintains the configuration in force and the
//! members of the fleet, and exchanges both with peers.

mod handle;
mod list;
mod listener;
mod peers;
mod state;
mod store;
mod summary;

use std::net::SocketAddr;

use anyhow::Context;
use futures_lite::FutureExt;
use smol::channel;

use self::{
    handle::Message,
    state::{Shared, State},
};
pub use self::{handle::PeerHandle, listener::PeerListener};
use super::{
    clock::Clock,
    published::Published,
    worker::{StopSignal, Worker},
};
use crate::{
    configs::node::NodeConfig,
    modules::{members::Role, view::View},
};

/// Number of messages that may be queued for the control thread. Further ones are
/// dropped, except [`Message::Leave`]. Only a peer's summary is repeated, by its next
/// exchange. The revision of a dropped offer comes later from the store or a peer; a
/// dropped quarantine is lost unless a peer blocks the same fingerprint or it is
/// raised again.
const INBOX_CAPACITY: usize = 1_024;

/// The control thread of one process, joined when dropped.
#[derive(Debug)]
pub struct Control {
    view: Published<View>,
    peer: PeerHandle,
    worker: Worker,
}

impl Control {
    /// Starts the control thread of a process that accepts connections from peers
    /// at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        config: NodeConfig,
        role: Role,
        incarnation: u64,
        address: SocketAddr,
        clock: Clock,
    ) -> anyhow::Result<Self> {
        let (sender, inbox) = channel::bounded(INBOX_CAPACITY);
        let view = Published::new(View::default());
        let state = State::new(config, role, incarnation, address, clock, view.clone());
        let peer = PeerHandle::new(state.status(), sender, clock);
        let worker = Worker::spawn("control", move |executor, stop| {
            run(Shared::new(state, executor), inbox, stop)
        })
        .context("cannot start the control thread; raise the limit of threads")?;
        Ok(Self { view, peer, worker })
    }

    /// Returns the snapshots that the thread publishes.
    #[must_use]
    pub fn view(&self) -> Published<View> {
        self.view.clone()
    }

    /// Returns the handle with which a traffic thread answers peers.
    #[must_use]
    pub fn peer(&self) -> PeerHandle {
        self.peer.clone()
    }

    /// Announces in the instance list and to peers that the process is leaving.
    pub fn leave(&self) {
        self.peer.leave();
    }

    /// Blocks the fingerprint of a request that crashed backend servers, here and
    /// at the peers.
    pub fn quarantine(&self, fingerprint: u64) {
        self.peer.quarantine(fingerprint);
    }

    /// Stops the thread and joins it.
    pub fn stop(self) {
        drop(self.worker);
    }
}

/// Runs the tasks of the thread until it is asked to stop, then cancels them.
async fn run(shared: Shared, inbox: channel::Receiver<Message>, stop: StopSignal) {
    shared.spawn(store::follow(shared.clone()));
    shared.spawn(list::poll(shared.clone()));
    shared.spawn(list::heartbeat(shared.clone()));
    shared.spawn(peers::gossip(shared.clone()));
    handle::receive(&shared, &inbox).or(stop.wait()).await;
    shared.cancel_tasks().await;
}
