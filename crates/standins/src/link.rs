//! A TCP proxy that simulates a faulty network link between two processes: it
//! adds delay, limits bandwidth, loses data, stalls or refuses connections.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde::{Deserialize, Serialize};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    net::TcpStream,
};

use crate::{
    listener::{Listener, ListenerHandle},
    thread::ServerThread,
};

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks queued in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Interval between checks whether a stall has ended.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of a link; the default has none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// Delay added in each direction.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Maximum random addition to the delay. The order of bytes is kept.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// Bytes per second in each direction of a connection; 0 means unlimited.
    pub bandwidth: u64,
    /// Fraction of chunks, from 0 to 1, that are lost: only the first half of
    /// the chunk is forwarded, then the connection closes.
    pub loss: f64,
    /// Whether new connections are refused and open ones closed.
    pub cut: bool,
    /// Direction in which nothing is forwarded.
    pub stall: Stall,
}

/// Direction of a link in which nothing is forwarded.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stall {
    /// Both directions forward.
    #[default]
    None,
    /// Neither direction forwards.
    Both,
    /// Nothing reaches the server.
    ToServer,
    /// Nothing reaches the client.
    ToClient,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: LinkFaults,
    rng: fastrand::Rng,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_delay(&self) -> Duration {
        let mut state = self.lock();
        let fraction = state.rng.f64();
        state.faults.delay + state.faults.jitter.mul_f64(fraction)
    }

    /// Returns how long a chunk of `len` bytes takes at the link's bandwidth.
    fn transmission_time(&self, len: usize) -> Duration {
        let bandwidth = self.lock().faults.bandwidth;
        let nanos = (len as u64).saturating_mul(1_000_000_000);
        Duration::from_nanos(nanos.checked_div(bandwidth).unwrap_or_default())
    }

    fn draw_loss(&self) -> bool {
        let mut state = self.lock();
        state.rng.f64() < state.faults.loss
    }

    fn is_stalled(&self, direction: Direction) -> bool {
        matches!(
            (self.lock().faults.stall, direction),
            (Stall::Both, _)
                | (Stall::ToServer, Direction::ToServer)
                | (Stall::ToClient, Direction::ToClient)
        )
    }
}

/// A running proxy. Dropping it stops and joins its thread.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    listener: ListenerHandle,
    thread: ServerThread,
}

impl LinkProxy {
    /// Starts a proxy on `address` to `server`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(address: SocketAddr, server: SocketAddr, seed: u64) -> io::Result<Self> {
        let (listener, handle) = Listener::bind(address, usize::MAX)?;
        let address = listener.address();
        let state = State {
            faults: LinkFaults::default(),
            rng: fastrand::Rng::with_seed(seed),
        };
        let shared = Arc::new(Shared {
            server,
            state: Mutex::new(state),
        });
        let link = Arc::clone(&shared);
        let connection = move |stream, _| forward(Arc::clone(&link), stream);
        let thread = ServerThread::start("link", move || listener.run(connection, || {}))?;
        Ok(Self {
            address,
            shared,
            listener: handle,
            thread,
        })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        if faults.cut {
            self.listener.pause();
        } else {
            self.listener.resume();
        }
        self.shared.lock().faults = faults;
    }

    /// Closes every open connection.
    pub fn drop_connections(&self) {
        self.listener.close_all(None);
    }

    /// Stops the proxy and waits for its thread.
    pub fn stop(mut self) {
        self.thread.stop();
    }
}

/// Forwards one connection until either side closes it.
async fn forward(shared: Arc<Shared>, client: TcpStream) {
    let Ok(server) = TcpStream::connect(shared.server).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let upstream = forward_direction(&shared, client.clone(), server.clone(), Direction::ToServer);
    let downstream = forward_direction(&shared, server, client, Direction::ToClient);
    upstream.or(downstream).await;
}

/// Forwards one direction until its sender closes or a socket fails.
async fn forward_direction(shared: &Shared, from: TcpStream, to: TcpStream, direction: Direction) {
    let (sender, receiver) = bounded(MAX_QUEUED_CHUNKS);
    let read = async {
        read_chunks(shared, from, sender).await;
        // Stays pending: the writer ends once it has written what was read.
        futures_lite::future::pending::<()>().await;
    };
    read.or(write_chunks(shared, to, receiver, direction)).await;
}

/// Bytes and the time at which they are due at the receiver.
struct Chunk {
    bytes: Vec<u8>,
    due: Instant,
}

async fn read_chunks(shared: &Shared, mut from: TcpStream, sender: Sender<Chunk>) {
    let mut due = Instant::now();
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let Ok(len @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        bytes.truncate(len);
        due = due.max(Instant::now() + shared.draw_delay()) + shared.transmission_time(len);
        if sender.send(Chunk { bytes, due }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    shared: &Shared,
    mut to: TcpStream,
    receiver: Receiver<Chunk>,
    direction: Direction,
) {
    while let Ok(chunk) = receiver.recv().await {
        if chunk.due > Instant::now() {
            Timer::at(chunk.due).await;
        }
        while shared.is_stalled(direction) {
            Timer::after(STALL_CHECK_INTERVAL).await;
        }
        if shared.draw_loss() {
            let _ = to.write_all(&chunk.bytes[..chunk.bytes.len() / 2]).await;
            return;
        }
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
}
