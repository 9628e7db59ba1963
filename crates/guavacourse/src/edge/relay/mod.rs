//! The relay: the only process that speaks to backend servers.

mod client;
mod exchanges;
mod leaf;
mod local;
mod outbox;
mod protocol;
mod session;
mod traffic;

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use smol::{
    LocalExecutor,
    channel::{Receiver, Sender, unbounded},
};

pub(crate) use self::local::LocalRelay;
pub use self::{
    client::{FromRelay, RelayClient},
    leaf::OwnProtocol,
    protocol::{LeafCall, LeafProtocol},
};
use self::{
    exchanges::{Line, Order, Report},
    session::RelayCapability,
    traffic::Traffic,
};
use super::{
    clock::Clock,
    control::{Control, PeerHandle},
    node::{NodeServer, serve_fleet},
    published::Published,
    worker::{Stop, Worker},
};
use crate::{
    configs::settings::Settings,
    modules::{members::Role, view::View},
};

/// Longest time that a leaving relay takes for the calls it has.
const LEAVE_PATIENCE: Duration = Duration::from_secs(20);

/// Starts relays.
#[derive(Debug)]
pub struct RelayServer;

impl RelayServer {
    /// Starts a relay on the address of its settings; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or thread that failed.
    pub fn start(settings: &Settings) -> anyhow::Result<RunningRelay> {
        let clock = Clock::start();
        let incarnation = fastrand::u64(1..);
        let listener = listen(settings.node.fleet)?;
        let address = listener.local_addr()?;
        let node = settings.node.clone();
        let control = Control::start(node, Role::Relay, incarnation, address, clock)?;
        let handle = control.peer();
        let peer = control.peer();
        let parts = Parts {
            name: settings.node.instance.clone(),
            incarnation,
            listener,
            view: control.view(),
            clock,
            quarantined: Box::new(move |fingerprint| handle.quarantine(fingerprint)),
            peer: Some(peer),
        };
        parts.start(settings.relay.threads, Some(control))
    }

    /// Starts a relay without a control thread: it reads the control state from
    /// `view` and reports contents that crash backend servers to `quarantined`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or thread that failed.
    pub fn start_with(
        settings: &Settings,
        view: Published<View>,
        clock: Clock,
        quarantined: impl Fn(u64) + Send + 'static,
    ) -> anyhow::Result<RunningRelay> {
        let parts = Parts {
            name: settings.node.instance.clone(),
            incarnation: fastrand::u64(1..),
            listener: listen(settings.node.fleet)?,
            view,
            clock,
            quarantined: Box::new(quarantined),
            peer: None,
        };
        parts.start(settings.relay.threads, None)
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("cannot bind {address}; set node.fleet to a free address"))
}

/// A relay that runs. Dropping it stops it gracefully.
#[derive(Debug)]
pub struct RunningRelay {
    name: String,
    address: SocketAddr,
    worker: Worker,
    /// Threads that speak to leaves. They end after `worker`.
    leaf_workers: Vec<Worker>,
    control: Option<Control>,
}

impl RunningRelay {
    /// Returns the address on which it serves the fleet.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces that it leaves, finishes what it has, and returns once every
    /// task and thread has ended.
    pub fn stop(self) {
        tracing::info!(instance = %self.name, "the relay is leaving");
        if let Some(control) = &self.control {
            control.leave();
        }
        drop(self.worker);
        drop(self.leaf_workers);
        if let Some(control) = self.control {
            control.stop();
        }
    }
}

/// What the thread of a relay that decides is made of.
struct Parts {
    name: String,
    incarnation: u64,
    listener: TcpListener,
    view: Published<View>,
    clock: Clock,
    quarantined: Box<dyn Fn(u64) + Send>,
    peer: Option<PeerHandle>,
}

/// The far ends of the channels of the threads that speak to leaves.
struct Lines {
    orders: Vec<Sender<Order>>,
    reports: Receiver<Report>,
    /// Line that the thread that decides serves itself.
    own: Option<Line>,
}

impl Lines {
    /// Starts the threads of all lines, but for the own one.
    fn start(threads: u16, clock: Clock) -> anyhow::Result<(Self, Vec<Worker>)> {
        let (reporter, reports) = unbounded();
        let mut workers = Vec::new();
        let mut lines = Self {
            orders: Vec::new(),
            reports,
            own: None,
        };
        if threads <= 1 {
            lines.own = Some(lines.add(clock, reporter, Arc::new(OwnProtocol)));
            return Ok((lines, workers));
        }
        for number in 1..threads {
            let line = lines.add(clock, reporter.clone(), Arc::new(OwnProtocol));
            let name = format!("leaf-{number}");
            let worker = Worker::spawn(name, |executor, _| line.run(executor));
            workers.push(worker.context("cannot start a thread; lower relay.threads")?);
        }
        Ok((lines, workers))
    }

    /// Adds a line and returns its near end.
    fn add(
        &mut self,
        clock: Clock,
        reports: Sender<Report>,
        protocol: Arc<dyn LeafProtocol>,
    ) -> Line {
        let (orders, taken) = unbounded();
        self.orders.push(orders);
        Line {
            clock,
            orders: taken,
            reports,
            protocol,
        }
    }
}

impl Parts {
    fn start(self, threads: u16, control: Option<Control>) -> anyhow::Result<RunningRelay> {
        let name = self.name.clone();
        let address = self.listener.local_addr()?;
        let (lines, leaf_workers) = Lines::start(threads, self.clock)?;
        let worker = Worker::spawn("relay", |executor, stop| self.run(lines, executor, stop))
            .context("cannot start a thread; raise the limit of threads")?;
        Ok(RunningRelay {
            name,
            address,
            worker,
            leaf_workers,
            control,
        })
    }

    async fn run(self, lines: Lines, executor: Rc<LocalExecutor<'static>>, stop: Stop) {
        let traffic = Traffic::new(
            Rc::clone(&executor),
            self.clock,
            self.view,
            self.quarantined,
            lines.orders,
        );
        let relay = RelayCapability {
            executor: Rc::clone(&executor),
            traffic: Rc::clone(&traffic),
            name: self.name,
            incarnation: self.incarnation,
        };
        let node = NodeServer {
            peer: self.peer.as_ref().map(PeerHandle::client),
            relay: Some(capnp_rpc::new_client(relay)),
            ..NodeServer::default()
        };
        let own = lines.own.map(|line| {
            let serving = line.run(Rc::clone(&executor));
            executor.spawn(serving)
        });
        let serving = serve_fleet(self.listener, Rc::new(node), Rc::clone(&executor));
        let fleet = executor.spawn(serving);
        let ticker = executor.spawn(Rc::clone(&traffic).tick());
        let follower = executor.spawn(Rc::clone(&traffic).follow(lines.reports));
        stop.wait().await;
        traffic.leave(LEAVE_PATIENCE).await;
        ticker.cancel().await;
        if let Some(own) = own {
            own.await;
        }
        follower.cancel().await;
        fleet.cancel().await;
    }
}
