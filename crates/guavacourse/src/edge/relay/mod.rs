//! The relay, the only process that calls backend servers.

mod client;
mod dispatcher;
mod exchanges;
mod kept;
mod leaf;
mod local;
mod outbox;
mod protocol;
mod session;

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

pub use self::{
    client::{RelayClient, RelayMessage},
    leaf::NativeProtocol,
    protocol::{LeafCall, LeafProtocol},
};
use self::{
    dispatcher::Dispatcher,
    exchanges::{Command, ExchangeRunner, RESPONSE_MEMORY, Report},
    session::RelayCapability,
};
pub(crate) use self::{dispatcher::Observer, local::LocalRelay};
use super::{
    clock::Clock,
    control::{Control, PeerHandle},
    http::ReceiveMemory,
    node::{NodeServer, default_peers, serve_fleet},
    published::Published,
    worker::{StopSignal, Worker},
};
use crate::{
    configs::settings::Settings,
    modules::{crash_evidence::Finding, members::Role, view::View},
};

/// Longest time for which a leaving relay waits for its calls to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts relays.
#[derive(Debug)]
pub struct RelayServer;

impl RelayServer {
    /// Starts a relay on the address in its settings; port 0 picks a free port.
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
        let thread = RelayThread {
            name: settings.node.instance.clone(),
            incarnation,
            listener,
            view: control.view(),
            clock,
            on_quarantine: Box::new(move |fingerprint| handle.quarantine(fingerprint)),
            peer: Some(peer),
        };
        thread.start(settings.relay.threads, Some(control))
    }

    /// Starts a relay without a control thread: it reads the control state from
    /// `view`, and calls `on_quarantine` with the fingerprint of each content that
    /// crashes backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or thread that failed.
    pub fn start_with_view(
        settings: &Settings,
        view: Published<View>,
        clock: Clock,
        on_quarantine: impl Fn(u64) + Send + 'static,
    ) -> anyhow::Result<RunningRelay> {
        let thread = RelayThread {
            name: settings.node.instance.clone(),
            incarnation: fastrand::u64(1..),
            listener: listen(settings.node.fleet)?,
            view,
            clock,
            on_quarantine: Box::new(on_quarantine),
            peer: None,
        };
        thread.start(settings.relay.threads, None)
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("cannot bind {address}; set node.fleet to a free address"))
}

/// A running relay. Dropping it stops it gracefully.
#[derive(Debug)]
pub struct RunningRelay {
    name: String,
    address: SocketAddr,
    worker: Worker,
    /// Exchange threads. They end after `worker`.
    leaf_workers: Vec<Worker>,
    control: Option<Control>,
}

impl RunningRelay {
    /// Returns the address on which it serves other processes of the fleet.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces that the relay is leaving, lets its calls end, and returns once every
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

/// What the dispatcher's thread needs to run.
struct RelayThread {
    name: String,
    incarnation: u64,
    listener: TcpListener,
    view: Published<View>,
    clock: Clock,
    on_quarantine: Box<dyn Fn(u64) + Send>,
    peer: Option<PeerHandle>,
}

/// The dispatcher's ends of the channels to and from the exchange threads.
struct ExchangeChannels {
    commands: Vec<Sender<Command>>,
    reports: Receiver<Report>,
    /// Runner for the dispatcher's own thread, if there are no exchange threads.
    local: Option<ExchangeRunner>,
}

impl ExchangeChannels {
    /// Starts `threads - 1` exchange threads. With one thread, the dispatcher's
    /// thread runs the exchanges too.
    fn start(threads: u16, clock: Clock) -> anyhow::Result<(Self, Vec<Worker>)> {
        let (reporter, reports) = unbounded();
        let mut workers = Vec::new();
        let mut channels = Self {
            commands: Vec::new(),
            reports,
            local: None,
        };
        if threads <= 1 {
            channels.local = Some(channels.add(clock, reporter, Arc::new(NativeProtocol)));
            return Ok((channels, workers));
        }
        for number in 1..threads {
            let runner = channels.add(clock, reporter.clone(), Arc::new(NativeProtocol));
            let name = format!("leaf-{number}");
            let worker = Worker::spawn(name, |executor, _| runner.run(executor));
            workers.push(worker.context("cannot start a thread; lower relay.threads")?);
        }
        Ok((channels, workers))
    }

    /// Adds a command channel and returns the runner that receives from it.
    fn add(
        &mut self,
        clock: Clock,
        reports: Sender<Report>,
        protocol: Arc<dyn LeafProtocol>,
    ) -> ExchangeRunner {
        let (commands, receiver) = unbounded();
        self.commands.push(commands);
        ExchangeRunner {
            clock,
            commands: receiver,
            reports,
            protocol,
            memory: ReceiveMemory::new(RESPONSE_MEMORY),
        }
    }
}

impl RelayThread {
    fn start(self, threads: u16, control: Option<Control>) -> anyhow::Result<RunningRelay> {
        let name = self.name.clone();
        let address = self.listener.local_addr()?;
        let (channels, leaf_workers) = ExchangeChannels::start(threads, self.clock)?;
        let worker = Worker::spawn("relay", |executor, stop| self.run(channels, executor, stop))
            .context("cannot start a thread; raise the limit of threads")?;
        Ok(RunningRelay {
            name,
            address,
            worker,
            leaf_workers,
            control,
        })
    }

    async fn run(
        self,
        channels: ExchangeChannels,
        executor: Rc<LocalExecutor<'static>>,
        stop: StopSignal,
    ) {
        let on_quarantine = self.on_quarantine;
        let dispatcher = Dispatcher::new(
            Rc::clone(&executor),
            self.clock,
            self.view,
            Observer {
                on_finding: Box::new(move |finding| {
                    // Only forwarded requests have other findings; this relay has none.
                    if let Finding::Quarantined(content) = finding {
                        on_quarantine(content);
                    }
                }),
                on_leaf_event: Box::new(|_| {}),
            },
            channels.commands,
        );
        let relay = RelayCapability {
            executor: Rc::clone(&executor),
            dispatcher: Rc::clone(&dispatcher),
            name: self.name,
            incarnation: self.incarnation,
        };
        let node = NodeServer {
            peer: self.peer.as_ref().map(PeerHandle::client),
            relay: Some(capnp_rpc::new_client(relay)),
            ..NodeServer::default()
        };
        let exchanges = channels.local.map(|runner| {
            let serving = runner.run(Rc::clone(&executor));
            executor.spawn(serving)
        });
        let serving = serve_fleet(
            self.listener,
            Rc::new(node),
            Rc::clone(&executor),
            default_peers(),
        );
        let fleet = executor.spawn(serving);
        let timers = executor.spawn(Rc::clone(&dispatcher).run_timers());
        let reports = executor.spawn(Rc::clone(&dispatcher).handle_reports(channels.reports));
        stop.wait().await;
        dispatcher.leave(DRAIN_TIMEOUT).await;
        timers.cancel().await;
        if let Some(exchanges) = exchanges {
            exchanges.await;
        }
        reports.cancel().await;
        fleet.cancel().await;
    }
}
