//! Threads that run their own executor and are joined by their parent.

use std::{
    future::Future,
    io,
    rc::Rc,
    thread::{self, JoinHandle},
};

use smol::{
    LocalExecutor,
    channel::{Receiver, Sender, bounded},
};

/// A thread that runs one main task and the tasks that it spawns on the thread's
/// executor. Dropping it asks the main task to stop, and joins the thread.
#[derive(Debug)]
pub(crate) struct Worker {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Signals a worker's main task that its parent wants it to stop.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal(Receiver<()>);

impl StopSignal {
    /// Returns once the worker is asked to stop.
    pub(crate) async fn wait(&self) {
        // An error means that the parent dropped its end, which is the request.
        let _ = self.0.recv().await;
    }
}

impl Worker {
    /// Starts a thread that runs `main` until it returns.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub(crate) fn spawn<F>(
        name: impl Into<String>,
        main: impl FnOnce(Rc<LocalExecutor<'static>>, StopSignal) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()>,
    {
        let (stop, stopped) = bounded(1);
        let thread = thread::Builder::new().name(name.into()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let main = main(Rc::clone(&executor), StopSignal(stopped));
            smol::block_on(executor.run(main));
        })?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Asks the main task to stop, without waiting for it.
    pub(crate) fn request_stop(&mut self) {
        self.stop.take();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("a thread panicked; report this with its panic message");
        }
    }
}
