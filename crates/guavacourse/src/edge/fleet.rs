//! Cap'n Proto connections between the system's processes.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use capnp::capability::FromServer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncRead, AsyncReadExt, io::ReadHalf};
use futures_lite::{
    FutureExt,
    io::{BufReader, BufWriter},
};
use smol::{LocalExecutor, Task, Timer, net::TcpStream};

use super::account::Seat;
use crate::{generated::wire_capnp::node, modules::message_frames::MessageFrames};

/// Maximum time to open a connection to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message of another process, in words of 8 bytes: 9 MB, the largest response of
/// a leaf and 1 MB. Its memory is reserved once its sizes have arrived.
const MAX_MESSAGE_WORDS: usize = 9 * 128 * 1024;

/// A connection to another process. Dropping it closes the connection.
pub(crate) struct Link {
    /// The other process.
    pub(crate) node: node::Client,
    /// Drives the connection; finishes when it breaks.
    pub(crate) driver: Task<capnp::Result<()>>,
    received_bytes: Rc<Cell<u64>>,
}

impl Link {
    /// Returns the number of bytes received.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }
}

/// Connects to the process at `addr`.
///
/// # Errors
///
/// Returns the socket's error; no message was sent.
pub(crate) async fn connect(executor: &LocalExecutor<'_>, addr: SocketAddr) -> io::Result<Link> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(addr).or(timeout).await?;
    stream.set_nodelay(true)?;
    let (network, received_bytes) = network(stream, Side::Client, None);
    let mut system = RpcSystem::new(Box::new(network), None);
    let node = system.bootstrap(Side::Server);
    let driver = executor.spawn(system);
    Ok(Link {
        node,
        driver,
        received_bytes,
    })
}

/// Serves one connection until it breaks, or must close for others.
///
/// # Errors
///
/// Returns the error that broke the connection.
pub(crate) async fn serve<S>(stream: TcpStream, node: Rc<S>, seat: Seat) -> capnp::Result<()>
where
    node::Client: FromServer<S>,
{
    stream.set_nodelay(true)?;
    let client: node::Client = capnp_rpc::new_client_from_rc(node);
    let seat = Rc::new(seat);
    let inbox = Inbox {
        seat: Rc::clone(&seat),
        frames: MessageFrames::default(),
    };
    let (network, _) = network(stream, Side::Server, Some(inbox));
    let evicted = async {
        seat.evicted().await;
        Ok(())
    };
    let served = RpcSystem::new(Box::new(network), Some(client.client));
    evicted.or(served).await
}

type Reader = BufReader<CountingReader>;

/// Returns a network over a stream, and the number of bytes received on it.
fn network(
    stream: TcpStream,
    side: Side,
    inbox: Option<Inbox>,
) -> (VatNetwork<Reader>, Rc<Cell<u64>>) {
    let (reader, writer) = AsyncReadExt::split(stream);
    let bytes = Rc::<Cell<u64>>::default();
    let reader = CountingReader {
        reader,
        bytes: Rc::clone(&bytes),
        inbox,
    };
    let network = VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        side,
        *capnp::message::ReaderOptions::new().traversal_limit_in_words(Some(MAX_MESSAGE_WORDS)),
    );
    (network, bytes)
}

/// Charges a connection for the message that it receives. The memory of a message is
/// reserved once its table has arrived.
struct Inbox {
    seat: Rc<Seat>,
    frames: MessageFrames,
}

impl Inbox {
    /// Accounts for the next bytes of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be followed, or if there is no room for the message.
    fn receive(&mut self, bytes: &[u8]) -> io::Result<()> {
        let progress = self.frames.follow(bytes).map_err(io::Error::other)?;
        if progress.ended > 0 {
            self.seat.wait();
        }
        if progress.pending > 0 {
            self.seat.receive(bytes.len());
            let charged = self.seat.charge(progress.pending);
            return charged.map_err(|_| io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }
}

/// A reader that counts the bytes that it reads.
struct CountingReader {
    reader: ReadHalf<TcpStream>,
    bytes: Rc<Cell<u64>>,
    /// Set on connections that others have opened.
    inbox: Option<Inbox>,
}

impl AsyncRead for CountingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(inbox) = &self.inbox
            && inbox.seat.must_wait()
        {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        self.bytes.set(self.bytes.get() + read as u64);
        if let Some(inbox) = &mut self.inbox {
            inbox.receive(&buffer[..read])?;
        }
        Poll::Ready(Ok(read))
    }
}
