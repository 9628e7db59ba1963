//! Runs queries: performs the steps that the core's [`Query`] returns, and
//! passes replies and timer events to it.

use std::{cell::RefCell, sync::Arc};

use futures_lite::{FutureExt, future};
use opentelemetry::metrics::Counter;
use smol::{
    Timer,
    channel::{Receiver, Sender, unbounded},
};

use crate::{
    edge::{clock::Clock, published::Published},
    modules::{
        answer::{Answer, Refusal},
        call::{AttemptId, Part, Reply},
        collections::Map,
        inventory::Address,
        load_balancer::LoadBalancer,
        query::{Query, QueryRequest, Step},
        time::Time,
        view::View,
    },
};

/// Sends calls to relays.
pub(crate) trait CallSender {
    /// Sends the calls of `part` to a relay. Each attempt yields exactly one
    /// reply on `to`, unless it is cancelled first.
    fn send(&self, relay: Address, part: Part, to: &Sender<Reply>);

    /// Cancels attempts: their replies are no longer delivered.
    fn cancel(&self, relay: Address, attempts: Vec<AttemptId>);

    /// Tells a relay that content which it suspects ran without harm.
    fn clear(&self, relay: Address, content: u64);
}

/// Runs the queries of one thread, which share its fields.
pub(crate) struct QueryRunner<'a, C: CallSender> {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Latest snapshot of the control state.
    pub(crate) view: &'a Published<View>,
    /// What the thread has learned about leaves and relays.
    pub(crate) balancer: &'a RefCell<LoadBalancer>,
    /// Sends calls to the relays.
    pub(crate) calls: &'a C,
    /// Counts calls to leaves.
    pub(crate) call_counter: &'a Counter<u64>,
}

impl<C: CallSender> QueryRunner<'_, C> {
    /// Runs one query and returns its answer.
    ///
    /// Dropping the future cancels the calls that are still pending.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the query cannot be planned; nothing ran.
    pub(crate) async fn run(&self, request: QueryRequest) -> Result<Answer, Refusal> {
        let (to, replies) = unbounded();
        let mut run = QueryRun {
            runner: self,
            to,
            pending: Map::default(),
            kind: None,
        };
        let view = self.view.load();
        let now = self.clock.now();
        let kind = request.kind.clone();
        let started = Query::start(
            Arc::clone(&view),
            &mut self.balancer.borrow_mut(),
            request,
            now,
        );
        let (mut query, mut steps) = started?;
        run.kind = Some(kind);
        let mut seen = view;
        loop {
            if let Some(answer) = run.perform(steps) {
                return Ok(answer);
            }
            let received = run.wait(&replies, query.next_timer()).await;
            let view = self.view.load();
            if !Arc::ptr_eq(&view, &seen) {
                query.refresh(Arc::clone(&view));
                seen = view;
            }
            let balancer = &mut self.balancer.borrow_mut();
            let now = self.clock.now();
            steps = if received.is_empty() {
                query.on_timer(balancer, now)
            } else {
                query.on_replies(balancer, received, now)
            };
        }
    }
}

/// A running query with its pending attempts. Dropping it cancels them.
struct QueryRun<'a, C: CallSender> {
    runner: &'a QueryRunner<'a, C>,
    to: Sender<Reply>,
    pending: Map<AttemptId, Address>,
    /// Kind of the query; none before it has started and once it has an answer.
    kind: Option<String>,
}

impl<C: CallSender> QueryRun<'_, C> {
    /// Performs the core's steps. Returns the answer, if there is one.
    fn perform(&mut self, steps: Vec<Step>) -> Option<Answer> {
        for step in steps {
            match step {
                Step::Send { relay, part } => {
                    let calls = part.calls.iter();
                    self.pending.extend(calls.map(|call| (call.attempt, relay)));
                    self.count_calls(&part);
                    self.runner.calls.send(relay, part, &self.to);
                }
                Step::Cancel { relay, attempts } => {
                    for attempt in &attempts {
                        self.pending.remove(attempt);
                    }
                    self.runner.calls.cancel(relay, attempts);
                }
                Step::Clear { relay, content } => {
                    self.runner.calls.clear(relay, content);
                }
                Step::Finish(answer) => {
                    self.kind = None;
                    return Some(*answer);
                }
            }
        }
        None
    }

    fn count_calls(&self, part: &Part) {
        for call in &part.calls {
            let extra = opentelemetry::KeyValue::new("extra", call.extra);
            self.runner.call_counter.add(1, &[extra]);
        }
    }

    /// Waits for replies, at most until `wake`. Returns all replies received; none
    /// means that the time is up.
    async fn wait(&mut self, replies: &Receiver<Reply>, wake: Time) -> Vec<Reply> {
        let reply = async { replies.recv().await.ok() };
        let timer = async {
            match self.runner.clock.instant(wake) {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            None
        };
        let first = reply.or(timer).await;
        let further = std::iter::from_fn(|| replies.try_recv().ok());
        let received: Vec<Reply> = first.into_iter().chain(further).collect();
        for reply in &received {
            self.pending.remove(&reply.attempt);
        }
        received
    }
}

impl<C: CallSender> Drop for QueryRun<'_, C> {
    fn drop(&mut self) {
        let mut relays: Map<Address, Vec<AttemptId>> = Map::default();
        for (attempt, relay) in self.pending.drain() {
            relays.entry(relay).or_default().push(attempt);
        }
        for (relay, attempts) in relays {
            self.runner.calls.cancel(relay, attempts);
        }
        if let Some(kind) = &self.kind {
            self.runner.balancer.borrow_mut().abandoned(kind);
        }
    }
}
