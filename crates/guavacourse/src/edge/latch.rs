//! A signal that is given once.

use smol::channel::{Receiver, Sender, bounded};

/// A signal that is given once and stays given. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Latch {
    /// Closed when the signal is given; nothing is ever sent.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }
}

impl Latch {
    /// Gives the signal.
    pub(crate) fn set(&self) {
        self.sender.close();
    }

    /// Returns whether the signal was given.
    pub(crate) fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns once the signal is given.
    pub(crate) async fn wait(&self) {
        // An error means that the channel was closed.
        let _ = self.receiver.recv().await;
    }
}
