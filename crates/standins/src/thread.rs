//! Runs a simulated server in a thread that its owner stops and joins.

use std::{future::Future, io, thread::JoinHandle};

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender, bounded};

/// A running thread. Dropping it stops and joins the thread.
#[derive(Debug)]
pub(crate) struct ServerThread {
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a thread that runs the future of `main` until it ends or the
    /// thread is stopped.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread cannot be spawned.
    pub(crate) fn start<F>(
        name: impl Into<String>,
        main: impl FnOnce() -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()>,
    {
        let (stop, stopped) = bounded(1);
        let run = move || smol::block_on(main().or(wait_for_stop(stopped)));
        let thread = std::thread::Builder::new().name(name.into()).spawn(run)?;
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops the thread and waits until it has ended.
    pub(crate) fn stop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("simulated server's thread panicked; see the panic message above");
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn wait_for_stop(stopped: Receiver<()>) {
    // An error means that the owner has closed the channel.
    let _ = stopped.recv().await;
}
