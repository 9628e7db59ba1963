//! A TCP listener that can be paused and resumed, and whose connections can be
//! closed, to simulate outages and restarts.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    time::Duration,
};

use futures_lite::FutureExt;
use guavacourse::modules::collections::Map;
use smol::{
    LocalExecutor, Task, Timer,
    channel::{Receiver, Sender, unbounded},
    net::{TcpListener, TcpStream},
};

/// Delay between attempts to bind the address again.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// Identifies a connection of a listener.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ConnectionId(u64);

/// A command to a listener.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// Closes one connection.
    Close(ConnectionId),
    /// Closes every connection except the given one, and keeps listening.
    CloseAll(Option<ConnectionId>),
    /// Closes every connection and refuses new ones, for the duration if
    /// given, otherwise until [`Command::Resume`].
    Pause(Option<Duration>),
    /// Listens again.
    Resume,
}

/// Controls a [`Listener`] from any thread.
#[derive(Clone, Debug)]
pub(crate) struct ListenerHandle(Sender<Command>);

impl ListenerHandle {
    /// Closes one connection.
    pub(crate) fn close(&self, id: ConnectionId) {
        self.send(Command::Close(id));
    }

    /// Closes every connection except `kept`.
    pub(crate) fn close_all(&self, kept: Option<ConnectionId>) {
        self.send(Command::CloseAll(kept));
    }

    /// Closes every connection and refuses new ones for `duration`.
    pub(crate) fn restart(&self, duration: Duration) {
        self.send(Command::Pause(Some(duration)));
    }

    /// Closes every connection and refuses new ones until [`Self::resume`].
    pub(crate) fn pause(&self) {
        self.send(Command::Pause(None));
    }

    /// Listens again.
    pub(crate) fn resume(&self) {
        self.send(Command::Resume);
    }

    fn send(&self, command: Command) {
        // A listener that has stopped has no connections left to close.
        let _ = self.0.try_send(command);
    }
}

/// A bound address, whose connections [`Listener::run`] accepts.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    limit: usize,
    /// The socket that [`Self::bind`] opened, until [`Self::run`] takes it.
    initial: Option<StdListener>,
    commands: Receiver<Command>,
}

impl Listener {
    /// Binds `address`; port 0 takes a free port. At most `limit` connections
    /// are open at a time; further ones are closed at once.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub(crate) fn bind(address: SocketAddr, limit: usize) -> io::Result<(Self, ListenerHandle)> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (sender, commands) = unbounded();
        let this = Self {
            address: listener.local_addr()?,
            limit,
            initial: Some(listener),
            commands,
        };
        Ok((this, ListenerHandle(sender)))
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections and runs `connection` for each, until every handle
    /// is dropped. Calls `refused` for each connection closed over the limit.
    pub(crate) async fn run<F>(
        mut self,
        connection: impl Fn(TcpStream, ConnectionId) -> F,
        refused: impl Fn(),
    ) where
        F: Future<Output = ()> + 'static,
    {
        let mut next_id = 0;
        loop {
            let Some(listener) = self.listen().await else {
                return;
            };
            let executor = LocalExecutor::new();
            let acceptor = Acceptor {
                executor: &executor,
                connections: Map::default(),
                limit: self.limit,
                next_id,
            };
            let accept = acceptor.accept(listener, &self.commands, &connection, &refused);
            let Some(paused) = executor.run(accept).await else {
                return;
            };
            drop(executor);
            next_id = paused.next_id;
            self.wait_until_resumed(paused.duration).await;
        }
    }

    async fn listen(&mut self) -> Option<TcpListener> {
        if let Some(listener) = self.initial.take() {
            return TcpListener::try_from(listener).ok();
        }
        loop {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return Some(listener);
            }
            Timer::after(REBIND_DELAY).await;
        }
    }

    /// Waits until a pause ends: after `duration`, or at [`Command::Resume`].
    async fn wait_until_resumed(&self, duration: Option<Duration>) {
        let resumed = async {
            while let Ok(command) = self.commands.recv().await {
                if matches!(command, Command::Resume) {
                    return;
                }
            }
        };
        match duration {
            Some(duration) => {
                Timer::after(duration).await;
            }
            None => resumed.await,
        }
    }
}

/// A pause of a listener.
struct Paused {
    /// How long the pause lasts; `None` lasts until [`Command::Resume`].
    duration: Option<Duration>,
    next_id: u64,
}

/// Accepts connections while the listener is not paused.
struct Acceptor<'a> {
    executor: &'a LocalExecutor<'static>,
    connections: Map<ConnectionId, Task<()>>,
    limit: usize,
    next_id: u64,
}

impl Acceptor<'_> {
    /// Accepts until the listener is paused. Returns `None` once every handle
    /// is dropped.
    async fn accept<F>(
        mut self,
        listener: TcpListener,
        commands: &Receiver<Command>,
        connection: &impl Fn(TcpStream, ConnectionId) -> F,
        refused: &impl Fn(),
    ) -> Option<Paused>
    where
        F: Future<Output = ()> + 'static,
    {
        loop {
            let command = async { Event::Command(commands.recv().await.ok()) };
            let accepted = async { Event::Accepted(listener.accept().await.ok()) };
            match command.or(accepted).await {
                Event::Command(None) => return None,
                Event::Command(Some(Command::Close(id))) => drop(self.connections.remove(&id)),
                Event::Command(Some(Command::CloseAll(kept))) => {
                    self.connections.retain(|id, _| Some(*id) == kept);
                }
                Event::Command(Some(Command::Pause(duration))) => {
                    let next_id = self.next_id;
                    return Some(Paused { duration, next_id });
                }
                Event::Command(Some(Command::Resume)) | Event::Accepted(None) => {}
                Event::Accepted(Some((stream, _))) => {
                    if !self.admit(stream, connection) {
                        refused();
                    }
                }
            }
        }
    }

    /// Starts to serve a connection. Returns false if `limit` connections are
    /// already open.
    fn admit<F>(
        &mut self,
        stream: TcpStream,
        connection: &impl Fn(TcpStream, ConnectionId) -> F,
    ) -> bool
    where
        F: Future<Output = ()> + 'static,
    {
        self.connections.retain(|_, task| !task.is_finished());
        if self.connections.len() >= self.limit {
            return false;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let task = self.executor.spawn(connection(stream, id));
        self.connections.insert(id, task);
        true
    }
}

enum Event {
    Command(Option<Command>),
    Accepted(Option<(TcpStream, SocketAddr)>),
}
