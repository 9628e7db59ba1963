//! Starts and stops an entry: its control thread, its traffic threads and
//! their listeners.

use std::{
    cell::{Cell, RefCell},
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::Context as _;
use futures_lite::{FutureExt, future};
use smol::{
    LocalExecutor, Task, Timer,
    channel::unbounded,
    net::{TcpListener, TcpStream},
};

use super::{
    callers::{self, ApiContext},
    handover::HandoverServer,
    relay_sessions::{Identity, RelaySessions},
    state::{SharedState, ThreadState},
    ticket_ledger::TicketLedger,
};
use crate::{
    configs::settings::Settings,
    edge::{
        clock::Clock,
        control::Control,
        http::{self, Limits},
        metrics::{EntryMetrics, Metrics},
        node::{NodeServer, default_peers, serve_fleet},
        platform::EraStore,
        pool::Pool,
        tasks::Tasks,
        worker::{StopSignal, Worker},
    },
    modules::{burn::Burn, load_balancer::LoadBalancer, members::Role, recent::RecentRequests},
};

/// Time for the last outcomes to reach other entries before the connections are
/// closed.
const HANDOVER_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Starts entries.
#[derive(Debug)]
pub struct EntryServer;

/// A running entry. Dropping it stops it at once, without a graceful shutdown.
pub struct RunningEntry {
    callers_addr: SocketAddr,
    fleet_addr: SocketAddr,
    settings: Settings,
    context: ApiContext,
    limits: Limits,
    workers: Vec<Worker>,
    control: Control,
}

impl EntryServer {
    /// Starts an entry on the addresses in its settings; port 0 selects a free
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or thread that failed.
    pub fn start(mut settings: Settings) -> anyhow::Result<RunningEntry> {
        let clock = Clock::start();
        let incarnation = fastrand::u64(1..);
        let callers = listen(settings.node.callers)?;
        let fleet = listen(settings.node.fleet)?;
        let callers_addr = callers.local_addr()?;
        let fleet_addr = fleet.local_addr()?;
        settings.node.callers = callers_addr;
        let control = Control::start(
            settings.node.clone(),
            Role::Entry,
            incarnation,
            fleet_addr,
            clock,
        )?;
        let metrics = Metrics::new();
        let shared = SharedState {
            clock,
            view: control.view(),
            burn: Arc::new(Burn::default().into()),
            recent: Arc::new(RecentRequests::default().into()),
            metrics: EntryMetrics::new(&metrics.meter()),
        };
        let context = ApiContext {
            instance: settings.node.instance.clone(),
            incarnation,
            leaving: Arc::new(AtomicBool::new(false)),
            next_request: Arc::new(AtomicU64::new(1)),
            metrics,
        };
        let limits = Limits {
            max_body: settings.entry.body_max,
            ..Limits::default()
        };
        let tickets = TicketLedger::new(
            &settings.node.instance,
            incarnation,
            settings.ledger.clone(),
        );
        let store = EraStore::new(settings.node.platform);
        let mut workers = Vec::new();
        for number in 0..settings.entry.threads.max(1) {
            let params = ThreadParams {
                number,
                callers: callers.try_clone()?,
                fleet: (number == 0).then(|| fleet.try_clone()).transpose()?,
                shared: shared.clone(),
                context: context.clone(),
                limits: limits.clone(),
                data_centre: settings.node.data_centre.clone(),
                peer: control.peer(),
                tickets: tickets.clone(),
                store: store.clone(),
                retention: settings.ledger.retention,
            };
            let name = format!("traffic-{number}");
            workers.push(Worker::spawn(name, |executor, stop| {
                serve_thread(params, executor, stop)
            })?);
        }
        Ok(RunningEntry {
            callers_addr,
            fleet_addr,
            settings,
            context,
            limits,
            workers,
            control,
        })
    }
}

impl RunningEntry {
    /// Returns the address on which it serves callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_addr
    }

    /// Returns the address on which it serves the fleet.
    #[must_use]
    pub fn fleet_address(&self) -> SocketAddr {
        self.fleet_addr
    }

    /// Stops gracefully: the entry reports that it is not ready, goes on serving
    /// callers for the linger time while asking them to close their connections,
    /// then stops listening and finishes all requests.
    pub fn stop(mut self) {
        tracing::info!(instance = %self.context.instance, "the entry is leaving");
        self.context.leaving.store(true, Ordering::Relaxed);
        self.limits.shutdown.announce();
        self.control.leave();
        thread::sleep(self.settings.entry.linger);
        self.limits.shutdown.end();
        for worker in &mut self.workers {
            worker.request_stop();
        }
        self.workers.clear();
        self.control.stop();
        self.context.metrics.shutdown();
        tracing::info!(instance = %self.context.instance, "the entry has stopped");
    }
}

/// Start parameters of one traffic thread.
struct ThreadParams {
    number: u16,
    callers: StdListener,
    fleet: Option<StdListener>,
    shared: SharedState,
    context: ApiContext,
    limits: Limits,
    data_centre: String,
    peer: crate::edge::control::PeerHandle,
    tickets: TicketLedger,
    store: EraStore,
    retention: Duration,
}

fn listen(addr: SocketAddr) -> anyhow::Result<StdListener> {
    let listener = StdListener::bind(addr)
        .with_context(|| format!("cannot listen on {addr}; choose a free address"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn serve_thread(
    params: ThreadParams,
    executor: Rc<LocalExecutor<'static>>,
    stop: StopSignal,
) {
    let (events, session_events) = unbounded();
    let identity = Identity {
        instance: params.context.instance.clone(),
        incarnation: params.context.incarnation,
    };
    let clock = params.shared.clock;
    let control = params.peer.clone();
    let state = Rc::new(ThreadState {
        shared: params.shared,
        sessions: RelaySessions::new(Rc::clone(&executor), identity, clock, events, control),
        balancer: RefCell::new(LoadBalancer::new(params.data_centre).with_thread(params.number)),
        tickets: params.tickets,
        store: params.store,
        acknowledged: Cell::default(),
        retention: params.retention,
        handovers: Pool::new(&executor, |node| {
            node.handover_request().send().pipeline.get_handover()
        }),
        tasks: Tasks::default(),
        executor: Rc::clone(&executor),
    });
    let event_task = executor.spawn(Rc::clone(&state).apply_session_events(session_events));
    let fleet = params.fleet.map(|listener| {
        let node = Rc::new(NodeServer {
            peer: Some(params.peer.client()),
            handover: Some(HandoverServer::client(&state)),
            ..NodeServer::default()
        });
        executor.spawn(serve_fleet(
            listener,
            node,
            Rc::clone(&executor),
            default_peers(),
        ))
    });
    let connections = accept_callers(
        params.callers,
        &state,
        &params.context,
        &params.limits,
        &stop,
    )
    .await;
    tracing::debug!(thread = params.number, "waiting for open requests");
    for connection in connections {
        connection.await;
    }
    state.tasks.join().await;
    if fleet.is_some() {
        // Outcomes for other entries may not have been sent yet.
        Timer::after(HANDOVER_FLUSH_DELAY).await;
    }
    if let Some(fleet) = fleet {
        fleet.cancel().await;
    }
    state.handovers.clear();
    state.sessions.close().await;
    event_task.cancel().await;
}

/// Accepts connections of callers until `stop`. Returns those still open.
async fn accept_callers(
    listener: StdListener,
    state: &Rc<ThreadState>,
    context: &ApiContext,
    limits: &Limits,
    stop: &StopSignal,
) -> Vec<Task<()>> {
    let mut tasks: Vec<Task<()>> = Vec::new();
    let listener = match smol::Async::new(listener).map(TcpListener::from) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "cannot serve callers; restart the entry");
            return tasks;
        }
    };
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        let Some(accepted) = stopped.or(accepted).await else {
            break;
        };
        tasks.retain(|task| !task.is_finished());
        match accepted {
            Ok((stream, _)) => tasks.push(spawn_connection(stream, state, context, limits)),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a caller; raise the open-file limit");
            }
        }
    }
    // Serves callers that are connected but not accepted yet: closing the
    // listener would reset their connections.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        tasks.push(spawn_connection(stream, state, context, limits));
    }
    tasks
}

fn spawn_connection(
    stream: TcpStream,
    state: &Rc<ThreadState>,
    context: &ApiContext,
    limits: &Limits,
) -> Task<()> {
    let shared = Rc::clone(state);
    let context = context.clone();
    let limits = limits.clone();
    state.executor.spawn(async move {
        // Small responses must not wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        let handler = |request| callers::handle(&shared, &context, request);
        if let Err(error) = http::serve(stream, limits, handler).await {
            tracing::debug!(%error, "a caller's connection failed");
        }
    })
}
