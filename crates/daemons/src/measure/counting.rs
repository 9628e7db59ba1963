//! A proxy that counts the bytes of each connection.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use smol::{
    LocalExecutor,
    channel::{Receiver, Sender, bounded},
    net::{TcpListener, TcpStream},
};

use crate::nodes::ANY_PORT;

/// Size of the copy buffer in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// Bytes of each ended connection, both directions together.
type Totals = Arc<Mutex<Vec<usize>>>;

/// A running proxy, joined when dropped.
pub(super) struct CountingProxy {
    address: SocketAddr,
    totals: Totals,
    stop: Option<Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl CountingProxy {
    /// Starts a proxy that forwards to `server`.
    pub(super) fn start(server: SocketAddr) -> anyhow::Result<Self> {
        let listener = StdListener::bind(ANY_PORT)?;
        let address = listener.local_addr()?;
        let totals = Totals::default();
        let counted = Arc::clone(&totals);
        let (stop, stopped) = bounded(1);
        let thread = thread::Builder::new()
            .name("counting".to_owned())
            .spawn(move || run(listener, server, &counted, &stopped))?;
        Ok(Self {
            address,
            totals,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that clients connect to.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes of each connection that ended since the last call.
    pub(super) fn take_totals(&self) -> Vec<usize> {
        std::mem::take(&mut *self.totals.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the counting proxy panicked; its figures are wrong");
        }
    }
}

fn run(listener: StdListener, server: SocketAddr, totals: &Totals, stopped: &Receiver<()>) {
    let executor = LocalExecutor::new();
    let accept = async {
        let listener = TcpListener::from(smol::Async::new(listener)?);
        let mut connections = Vec::new();
        loop {
            let (client, _) = listener.accept().await?;
            let totals = Arc::clone(totals);
            connections.push(executor.spawn(async move {
                if let Ok(bytes) = forward(client, server).await {
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.push(bytes);
                }
            }));
        }
    };
    let accept = async {
        let ended: std::io::Result<()> = accept.await;
        if let Err(error) = ended {
            tracing::error!(%error, "the counting proxy ended; raise the open-file limit");
        }
        future::pending::<()>().await;
    };
    let stop = async {
        // Nothing is ever sent: the receive ends with an error when the proxy is
        // dropped, which is the request to stop.
        let _ = stopped.recv().await;
    };
    smol::block_on(executor.run(accept.or(stop)));
}

/// Forwards a connection until both sides have ended; returns its bytes.
async fn forward(client: TcpStream, server: SocketAddr) -> std::io::Result<usize> {
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let up = copy(client.clone(), server.clone());
    let down = copy(server, client);
    let (up, down) = future::zip(up, down).await;
    Ok(up + down)
}

/// Copies bytes until the input ends or the output fails, closes the output and
/// returns the number of bytes copied.
async fn copy(mut from: TcpStream, mut to: TcpStream) -> usize {
    let mut bytes = 0;
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(len @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..len]).await.is_err() {
            break;
        }
        bytes += len;
    }
    // Closing may fail because the other side has already closed the connection.
    let _ = to.close().await;
    bytes
}
