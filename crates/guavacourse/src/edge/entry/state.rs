//! State of an entry's traffic threads: what all threads share, and what the
//! requests of one thread share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use smol::{LocalExecutor, channel::Receiver};

use super::{
    query_runner::QueryRunner,
    relay_sessions::{RelaySessions, SessionEvent},
    ticket_ledger::TicketLedger,
};
use crate::{
    edge::{
        clock::Clock, metrics::EntryMetrics, platform::EraStore, pool::Pool, published::Published,
        tasks::Tasks,
    },
    generated::wire_capnp::handover,
    modules::{
        answer::{Answer, Refusal},
        burn::Burn,
        era::EraRecord,
        load_balancer::LoadBalancer,
        query::QueryRequest,
        recent::RecentRequests,
        time::Time,
        view::View,
    },
};

/// Kind under which requests of all unconfigured kinds are counted.
const UNKNOWN_KIND: &str = "unknown";

/// State that all traffic threads of an entry share.
#[derive(Clone)]
pub(crate) struct SharedState {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Latest snapshot of the control state.
    pub(crate) view: Published<View>,
    /// Service-level counts.
    pub(crate) burn: Arc<Mutex<Burn>>,
    /// Traces of the latest requests, as JSON.
    pub(crate) recent: Arc<Mutex<RecentRequests<String>>>,
    /// Metric instruments.
    pub(crate) metrics: EntryMetrics,
}

impl SharedState {
    /// Records a finished request in the service-level counts and the metrics.
    pub(crate) fn record_request(
        &self,
        kind: &str,
        result: &'static str,
        good: bool,
        started: Time,
    ) {
        let now = self.clock.now();
        // Callers choose the name of the kind, so names that are not configured
        // share one count. Otherwise callers could add any number of counts.
        let known = self.view.load().catalog.kinds.contains_key(kind);
        let kind = if known { kind } else { UNKNOWN_KIND };
        self.metrics
            .record_request(kind, result, now.since(started));
        let mut burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.record(kind, good, now);
    }

    /// Keeps the trace of a request, for `guavacourse explain`.
    pub(crate) fn record_trace(&self, id: &str, trace: &impl serde::Serialize) {
        let text = serde_json::to_string(trace).unwrap_or_default();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.push(id, text);
    }
}

/// State that the requests of one traffic thread share.
pub(crate) struct ThreadState {
    /// What all threads share.
    pub(crate) shared: SharedState,
    /// Tickets of the entry.
    pub(crate) tickets: TicketLedger,
    /// The platform's store, for claims of callers' own idempotency keys.
    pub(crate) store: EraStore,
    /// Era of the store that the fleet has acknowledged, once that was read.
    pub(crate) acknowledged: Cell<EraRecord>,
    /// Time for which a claim is needed after its action ended.
    pub(crate) retention: Duration,
    /// Connections to other entries, to hand over actions and fetch tickets.
    pub(crate) handovers: Pool<handover::Client>,
    /// Running actions.
    pub(crate) tasks: Tasks,
    /// Runs the thread's tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Sessions to the relays.
    pub(crate) sessions: RelaySessions,
    /// What the thread has learned about leaves and relays.
    pub(crate) balancer: RefCell<LoadBalancer>,
}

impl ThreadState {
    /// Runs one query and returns its answer.
    ///
    /// Dropping the future cancels the calls that are still pending.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the query cannot be planned; nothing ran.
    pub(crate) async fn run_query(&self, request: QueryRequest) -> Result<Answer, Refusal> {
        let runner = QueryRunner {
            clock: self.shared.clock,
            view: &self.shared.view,
            balancer: &self.balancer,
            calls: &self.sessions,
            call_counter: &self.shared.metrics.calls,
        };
        runner.run(request).await
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Applies session events to the balancer, until the sessions are dropped.
    pub(crate) async fn apply_session_events(self: Rc<Self>, events: Receiver<SessionEvent>) {
        while let Ok(event) = events.recv().await {
            let now = self.now();
            let mut balancer = self.balancer.borrow_mut();
            match event {
                SessionEvent::Down(relay) => balancer.relay_down(relay, now),
                SessionEvent::Leaving(relay) => balancer.relay_leaving(relay, now),
                SessionEvent::Up(relay) => balancer.relay_up(relay),
            }
        }
    }
}

/// Maximum deadline that a caller may ask for.
pub(crate) const MAX_DEADLINE: Duration = Duration::from_mins(1);
