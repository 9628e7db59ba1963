//! The traffic thread: serves callers, readiness and metrics.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::TcpListener as StdListener,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures_lite::{FutureExt, future};
use http_types::{Request, Response};
use opentelemetry::KeyValue;
use smol::{
    LocalExecutor, Task,
    channel::Sender,
    net::{TcpListener, TcpStream},
};

use super::{
    CallerProtocol, GatewayConfig,
    call_router::CallRouter,
    exchange::{Exchange, ExchangeServer},
    follow::findings::pass_on,
    freshness::Freshness,
    listen::Listeners,
    peers::Peers,
    queries::QueryServer,
    requests,
    stopping::Stopping,
    trials::{TrialRequest, Trials},
};
use crate::{
    edge::{
        clock::Clock,
        http::{self, CallerAccount, Cause, Limits, ReceiveMemory, Seat},
        metrics::{EntryMetrics, Metrics},
        node::{NodeServer, serve_fleet},
        published::Published,
        relay::{LeafProtocol, LocalRelay, Observer},
        tasks::Tasks,
        worker::StopSignal,
    },
    modules::{
        caller_memory::CallerLimits,
        crash_evidence::Finding,
        customers::Revocation,
        delegation,
        inventory::Address,
        line_budget::{LineBudget, LineDecision},
        load_balancer::LoadBalancer,
        view::View,
        wait_estimator::WaitEstimator,
    },
};

/// Maximum size of the head and the body of a request, in bytes, while no
/// configuration sets them. They only bound memory: without a configuration, the
/// request is refused in any case.
const DEFAULT_MAX_HEAD: usize = 64 * 1024;
const DEFAULT_MAX_BODY: usize = 1024 * 1024;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before the next connection is accepted while too many are still closing.
const CROWDED_DELAY: Duration = Duration::from_millis(5);

/// Limits of the readiness check and of the metrics, whose clients are few and send
/// requests without a body.
const INTERNAL_LIMITS: CallerLimits = CallerLimits {
    bytes: 1024 * 1024,
    reserve: 0,
    connections: 48,
    closing: 4,
};

/// Longest wait for calls to leaves at shutdown.
const RELAY_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Inputs of the traffic thread.
pub(super) struct Setup {
    pub(super) listeners: Listeners,
    pub(super) config: GatewayConfig,
    pub(super) caller_limits: CallerLimits,
    /// Account of all peers that connect to the process.
    pub(super) peer_account: CallerAccount,
    pub(super) clock: Clock,
    pub(super) view: Published<View>,
    pub(super) callers: Arc<dyn CallerProtocol>,
    pub(super) leaves: Arc<dyn LeafProtocol>,
    pub(super) stopping: Stopping,
    pub(super) entry_metrics: EntryMetrics,
    pub(super) metrics: Metrics,
    /// To the control thread.
    pub(super) findings: Sender<Finding>,
    /// To the control thread.
    pub(super) trials: Sender<TrialRequest>,
    pub(super) freshness: Freshness,
}

/// State that the requests of the thread share.
pub(super) struct Traffic {
    pub(super) clock: Clock,
    pub(super) view: Published<View>,
    pub(super) callers: Arc<dyn CallerProtocol>,
    pub(super) balancer: Rc<RefCell<LoadBalancer>>,
    pub(super) router: CallRouter,
    pub(super) wait_times: RefCell<WaitEstimator>,
    pub(super) line_budget: RefCell<LineBudget>,
    pub(super) entry_metrics: EntryMetrics,
    /// Quotas of customers.
    pub(super) exchange: Rc<Exchange>,
    pub(super) stopping: Stopping,
    /// When the control thread last knew that it was up to date.
    pub(super) freshness: Freshness,
    pub(super) revocation: Revocation,
    /// Trials of quarantined content.
    pub(super) trials: Trials,
    /// Peers that run queries for this process.
    pub(super) peers: Rc<Peers>,
    /// Number of queries that run here for peers.
    pub(super) running: Cell<u32>,
    /// Maximum number of queries that run here for peers.
    pub(super) max_running: u32,
    metrics: Metrics,
    tasks: Tasks,
}

impl Setup {
    /// Serves until `stop`.
    pub(super) async fn run(self, executor: Rc<LocalExecutor<'static>>, stop: StopSignal) {
        let observer = observer(self.findings, &self.entry_metrics);
        let view = self.view.clone();
        let memory = ReceiveMemory::new(self.config.resources.response_bytes());
        let relay = LocalRelay::start(&executor, self.clock, view, self.leaves, observer, memory);
        let Some(relay) = relay else {
            return;
        };
        let balancer = LoadBalancer::new(&self.config.data_centre)
            .with_extra(self.config.extra)
            .with_peers(self.config.member());
        self.metrics.observe_placement(&balancer.placement_counts());
        let balancer = Rc::new(RefCell::new(balancer));
        let peers = Rc::new(Peers::new(&executor, self.clock, &balancer));
        let own = Address(self.config.callers);
        let router = CallRouter::new(relay, own, self.view.clone(), &peers, &executor);
        let exchange = Exchange::new(
            &executor,
            self.clock,
            self.view.clone(),
            &self.config,
            &balancer,
            self.entry_metrics.quota_requests.clone(),
        );
        let exchange = Rc::new(exchange);
        let account = CallerAccount::new(self.caller_limits);
        observe_callers(&self.metrics, &account);
        observe_peers(&self.metrics, &self.peer_account);
        let traffic = Rc::new(Traffic {
            clock: self.clock,
            view: self.view,
            callers: self.callers,
            balancer,
            router,
            wait_times: RefCell::default(),
            line_budget: RefCell::default(),
            entry_metrics: self.entry_metrics,
            exchange: Rc::clone(&exchange),
            stopping: self.stopping,
            freshness: self.freshness,
            revocation: self.config.revocation,
            trials: Trials::new(self.trials),
            peers,
            running: Cell::new(0),
            max_running: delegation::max_peer_queries(self.config.power),
            metrics: self.metrics,
            tasks: Tasks::default(),
        });
        let serving = spawn_servers(
            &traffic,
            &executor,
            self.listeners,
            account,
            self.peer_account,
        );
        stop.wait().await;
        for task in serving {
            task.cancel().await;
        }
        traffic.tasks.cancel().await;
        traffic.peers.close().await;
        exchange.close().await;
        if let Some(traffic) = Rc::into_inner(traffic) {
            traffic.router.stop(RELAY_STOP_TIMEOUT).await;
        }
    }
}

/// Returns what handles the findings and events of the relay.
fn observer(findings: Sender<Finding>, metrics: &EntryMetrics) -> Observer {
    let report = move |finding| match finding {
        Finding::Quarantined(content) => {
            tracing::warn!(
                content,
                "request content crashed a leaf that ran nothing else"
            );
        }
        finding => pass_on(&findings, finding),
    };
    let notices = metrics.leaf_notices.clone();
    Observer {
        on_finding: Box::new(report),
        on_leaf_event: Box::new(move |event| {
            notices.add(1, &[KeyValue::new("kind", event.label())]);
        }),
    }
}

/// Starts to serve callers, peers, the readiness check and the metrics.
fn spawn_servers(
    traffic: &Rc<Traffic>,
    executor: &Rc<LocalExecutor<'static>>,
    listeners: Listeners,
    account: CallerAccount,
    peers: CallerAccount,
) -> Vec<Task<()>> {
    let internal = || CallerAccount::new(INTERNAL_LIMITS);
    let callers = accept(traffic, executor, listeners.callers, account, serve_callers);
    let shutdown = traffic.stopping.shutdown.clone();
    let mut serving = vec![
        // No connection is accepted whose request could be cut.
        executor.spawn(callers.or(async move { shutdown.wait_ended().await })),
        executor.spawn(accept(
            traffic,
            executor,
            listeners.ready,
            internal(),
            serve_readiness,
        )),
    ];
    let node = NodeServer {
        queries: Some(capnp_rpc::new_client(QueryServer {
            traffic: Rc::clone(traffic),
        })),
        exchange: Some(capnp_rpc::new_client(ExchangeServer {
            exchange: Rc::clone(&traffic.exchange),
        })),
        ..NodeServer::default()
    };
    let peers = serve_fleet(listeners.queries, Rc::new(node), Rc::clone(executor), peers);
    serving.push(executor.spawn(peers));
    if let Some(listener) = listeners.metrics {
        serving.push(executor.spawn(accept(
            traffic,
            executor,
            listener,
            internal(),
            serve_metrics,
        )));
    }
    serving.push(executor.spawn(Rc::clone(&traffic.exchange).run()));
    serving
}

/// Shows what callers hold, and what was closed or refused, in the metrics.
fn observe_callers(metrics: &Metrics, account: &CallerAccount) {
    let counters = [
        ("callers_closed_memory", Cause::Memory),
        ("callers_closed_connections", Cause::Connections),
        ("callers_refused_memory", Cause::Refused),
    ];
    observe(
        metrics,
        account,
        counters,
        ["caller_bytes", "caller_connections"],
    );
}

/// Shows the same of peers that connect to the process.
fn observe_peers(metrics: &Metrics, account: &CallerAccount) {
    let counters = [
        ("peers_closed_memory", Cause::Memory),
        ("peers_closed_connections", Cause::Connections),
        ("peers_refused_memory", Cause::Refused),
    ];
    observe(
        metrics,
        account,
        counters,
        ["peer_bytes", "peer_connections"],
    );
}

fn observe(
    metrics: &Metrics,
    account: &CallerAccount,
    counters: [(&'static str, Cause); 3],
    [bytes, connections]: [&'static str; 2],
) {
    for (name, cause) in counters {
        let account = account.clone();
        metrics.observe_counter(name, move || account.count(cause));
    }
    let held = account.clone();
    metrics.observe_gauge(bytes, move || held.held() as u64);
    let open = account.clone();
    metrics.observe_gauge(connections, move || open.connections() as u64);
}

/// Accepts connections until the future is dropped, and serves each with `serve`. Each
/// takes a place in `account`; without one it is closed.
fn accept<F>(
    traffic: &Rc<Traffic>,
    executor: &Rc<LocalExecutor<'static>>,
    listener: StdListener,
    account: CallerAccount,
    serve: impl Fn(Rc<Traffic>, TcpStream, Seat) -> F + 'static,
) -> impl Future<Output = ()> + 'static
where
    F: Future<Output = std::io::Result<()>> + 'static,
{
    let traffic = Rc::clone(traffic);
    let executor = Rc::clone(executor);
    async move {
        let listener = match smol::Async::new(listener).map(TcpListener::from) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(%error, "cannot serve; restart the process");
                return;
            }
        };
        let mut lines = LineBudget::default();
        loop {
            while account.is_crowded() {
                smol::Timer::after(CROWDED_DELAY).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let Some(seat) = account.open() else {
                        continue;
                    };
                    // Small answers must not wait for the peer's acknowledgement.
                    if let Err(error) = stream.set_nodelay(true) {
                        tracing::debug!(%error, "a connection is already closed");
                    }
                    let connection = serve(Rc::clone(&traffic), stream, seat);
                    traffic.tasks.spawn(&executor, async move {
                        if let Err(error) = connection.await {
                            tracing::debug!(%error, "a connection failed");
                        }
                    });
                }
                Err(error) => {
                    if let LineDecision::Write { left_out } = lines.count(traffic.clock.now()) {
                        tracing::warn!(%error, left_out, "cannot accept a connection; raise the open-file limit");
                    }
                    account.make_room();
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
            // Connections that were told to close must run before others are accepted.
            future::yield_now().await;
        }
    }
}

/// Serves a connection of a caller.
async fn serve_callers(traffic: Rc<Traffic>, stream: TcpStream, seat: Seat) -> std::io::Result<()> {
    let view = traffic.view.load();
    let mut limits = Limits {
        max_head: DEFAULT_MAX_HEAD,
        max_body: DEFAULT_MAX_BODY,
        shutdown: traffic.stopping.shutdown.clone(),
        ..Limits::default()
    };
    if let Some(callers) = view.catalog.callers {
        limits.max_head = callers.head_max;
        limits.max_body = callers.body_max;
        limits.read_timeout = callers.arrival;
        limits.idle_timeout = callers.idle;
    }
    drop(view);
    // The first request counts as open from the start: the process must not exit between
    // accepting a connection and reading its request.
    let first = Cell::new(Some(traffic.stopping.track_request()));
    let handler = |request| {
        let first = first.take();
        let open = first.unwrap_or_else(|| traffic.stopping.track_request());
        let traffic = &traffic;
        async move {
            let mut response = requests::handle(traffic, request).await;
            // The request counts as open until its response is written.
            response.ext_mut().insert(open);
            response
        }
    };
    http::serve_seated(stream, limits, seat, handler).await
}

/// Serves a connection of the readiness check.
async fn serve_readiness(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    seat: Seat,
) -> std::io::Result<()> {
    let handler = |request: Request| {
        let view = traffic.view.load();
        let ready = view.ready() && !view.incomplete && !traffic.stopping.leaving();
        let known = traffic.callers.is_readiness_path(request.url().path());
        let status = match (known, ready) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        async move { Response::new(status) }
    };
    http::serve_seated(stream, Limits::default(), seat, handler).await
}

/// Serves a connection that reads the metrics.
async fn serve_metrics(traffic: Rc<Traffic>, stream: TcpStream, seat: Seat) -> std::io::Result<()> {
    let handler = |_| {
        let page = traffic.metrics.scrape();
        async move {
            let mut response = Response::new(200);
            response.set_body(page);
            response
        }
    };
    http::serve_seated(stream, Limits::default(), seat, handler).await
}
