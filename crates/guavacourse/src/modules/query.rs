//! Runs one query: plans its calls, merges the replies and decides when to
//! answer.

mod admission;
mod calls;
mod canary;
mod contention;
mod event;
mod parts;
pub(super) mod plan;
mod replies;
mod report;
mod restart;
mod suspicion;

use std::{sync::Arc, time::Duration};

use self::{
    canary::Canary,
    event::EventContext,
    plan::{Attempt, Attempts, Slot, plan_slots},
    restart::STALL_CHECK_INTERVAL,
    suspicion::Suspicion,
};
use super::{
    answer::{Answer, Cause, ForwardedReply, Reason, Refusal, Trace},
    call::{AttemptId, ForwardedRequest, NotRun, Outcome, Part, Reply, Unknown, fingerprint},
    coverage::CoverageTally,
    customers::{AllowedRegions, Customer},
    exposure::Exposure,
    inventory::{Address, Format, Policy},
    load_balancer::LoadBalancer,
    snapshot::Pin,
    time::{Time, micros},
    view::View,
};

pub use self::admission::allowed_regions;

/// A caller's query.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// Name of the kind.
    pub kind: String,
    /// Time allowed for the answer; the kind's own if longer or not given.
    pub deadline: Option<Duration>,
    /// Minimum coverage to accept, 0 to 1; the kind's own if not given.
    pub least_coverage: Option<f64>,
    /// Body sent to the leaves.
    pub body: Arc<[u8]>,
    /// The caller's original request, if it is forwarded to leaves unchanged.
    pub forward: Option<Arc<ForwardedRequest>>,
    /// Time that the caller has already waited.
    pub age: Duration,
    /// Customer of the caller, if it is known.
    pub customer: Option<Arc<Customer>>,
    /// Indexes of the requested services in the kind's list, if a peer runs the
    /// other parts of the query; empty requests all services.
    pub only_services: Vec<u16>,
    /// Number of the trial of quarantined content that the request is; 0 if it is none.
    pub trial: u32,
}

/// Shortest deadline that a request is given; a deadline of zero is refused.
pub const MIN_DEADLINE: Duration = Duration::from_millis(1);

impl QueryRequest {
    /// Returns a copy of the request with its age raised by `added_age` and its
    /// deadline shortened by `spent`, but not below the minimum.
    #[must_use]
    pub fn with_elapsed(&self, added_age: Duration, spent: Duration) -> Self {
        let left = self.deadline.map(|left| left.saturating_sub(spent));
        Self {
            deadline: left.map(|left| left.max(MIN_DEADLINE)),
            age: self.age + added_age,
            ..self.clone()
        }
    }

    /// Returns whether it is the trial of quarantined content, of which only one call may
    /// reach a leaf unless that leaf answers.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial > 0
    }

    /// Returns the fingerprint of the content, equal for a repeated request.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        match &self.forward {
            Some(forward) => forward.fingerprint(&self.kind, &self.body),
            None => fingerprint(&self.kind, &self.body),
        }
    }
}

/// An instruction to the driver of a query.
#[derive(Debug)]
pub enum Step {
    /// Sends calls through a relay.
    Send {
        /// The relay.
        relay: Address,
        /// The calls.
        part: Part,
    },
    /// Cancels calls at a relay.
    Cancel {
        /// The relay.
        relay: Address,
        /// The calls.
        attempts: Vec<AttemptId>,
    },
    /// Tells a relay that content it suspects ran without crashing a leaf.
    Clear {
        /// The relay.
        relay: Address,
        /// Fingerprint of the content.
        content: u64,
    },
    /// Answers the caller. Always the last step.
    Finish(Box<Answer>),
}

/// Parameters of one query, from the kind's rules and the caller's request.
#[derive(Clone, Debug)]
struct QueryParams {
    deadline: Time,
    settle_at: Option<Time>,
    min_coverage: f64,
    worth: u32,
    policy: Policy,
    format: Format,
    /// Services that the query touches.
    services: Vec<String>,
    /// Whether a call that may have run may be repeated.
    repeatable: bool,
    /// Time after which an answer is no longer of full use to the caller.
    target: Option<Time>,
    /// Latest time for which a shard whose leaves asked for fewer calls is awaited.
    latest_opening: Time,
    /// Age at which an unanswered call is late for the caller's target.
    late_after: Option<Duration>,
    /// Whether the caller's original request is forwarded to leaves.
    forwarded: bool,
    /// Regions whose leaves may be called.
    regions: AllowedRegions,
}

/// How a query takes part in admission control under contention.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contention {
    /// Not at all: nothing is known of the load of its shards.
    Ignored,
    /// It began to be served within its target.
    InTime,
    /// It began though it will be late, and counts as a late query of its kind.
    Late,
}

/// A query in progress.
#[derive(Debug)]
pub struct Query {
    view: Arc<View>,
    newer_view: Option<Arc<View>>,
    /// When the first leaf takes a call again, of those that asked for fewer calls and
    /// were not awaited.
    opens_at: Option<Time>,
    request: QueryRequest,
    params: QueryParams,
    started: Time,
    pin: Pin,
    slots: Vec<Slot>,
    attempts: Attempts,
    tally: CoverageTally,
    canary: Canary,
    suspicion: Suspicion,
    /// Relays that suspect the content or whose leaf closed the connection on
    /// it.
    suspecting_relays: Vec<Address>,
    exposure: Exposure,
    /// Latest failure reply, if the answer is one leaf's reply.
    failed_reply: Option<ForwardedReply>,
    /// Configuration revision that the query is planned with.
    revision: u64,
    trace: Trace,
    open_slots: usize,
    contention: Contention,
    stalled: bool,
    next_timer: Time,
    finished: bool,
}

impl Query {
    /// Plans a query and sends its first calls.
    ///
    /// # Errors
    ///
    /// Returns why the query was not started; in that case nothing was sent.
    pub fn start(
        view: Arc<View>,
        balancer: &mut LoadBalancer,
        request: QueryRequest,
        now: Time,
    ) -> Result<(Self, Vec<Step>), Refusal> {
        let digest = request.fingerprint();
        let kind = admission::validate(&view, &request, digest)?;
        let rules = &kind.rules;
        let canary = view.catalog.canary(rules);
        balancer.sync(&view);
        let services = match request.only_services.as_slice() {
            [] => balancer.services_for(rules),
            only => admission::select_services(rules, only),
        };
        let params = admission::resolve_params(&view, rules, &request, services, now);
        let adaptive = params.policy == Policy::Adaptive;
        if adaptive {
            admission::start_throttled(&view, balancer, rules, &request, &params, now)?;
        }
        let mut slots = plan_slots(&view, kind, &params.services);
        if request.is_trial() {
            slots.iter_mut().for_each(Slot::limit_to_one_call);
        }
        let planned = slots.len().max(params.services.len());
        let reachable = |slot: &Slot| admission::is_reachable(&view, slot.shard, &params.regions);
        let unreachable: Vec<usize> = (0..slots.len())
            .filter(|index| !reachable(&slots[*index]))
            .collect();
        if ratio(slots.len() - unreachable.len(), planned) < params.min_coverage
            && params.regions.restricted()
        {
            balancer.kind(&request.kind).throttle.ended();
            return Err(Refusal::OutsideRegions(request.kind));
        }
        let tally = CoverageTally::new(&params.services);
        let stats = balancer.kind(&request.kind);
        let calls = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        stats.hedges.earn(calls, rules.hedge_budget);
        stats.retries.earn(calls, rules.retry_budget);
        let trace = Trace {
            kind: request.kind.clone(),
            fingerprint: digest,
            shards: calls,
            ..Trace::default()
        };
        let mut query = Self {
            pin: Pin::unpinned(view.catalog.epoch),
            revision: view.catalog.revision,
            failed_reply: None,
            view,
            newer_view: None,
            opens_at: None,
            request,
            params,
            started: now,
            open_slots: slots.len(),
            slots,
            attempts: Attempts::default(),
            tally,
            canary: Canary::Inactive,
            suspicion: Suspicion::default(),
            suspecting_relays: Vec::new(),
            exposure: Exposure::Unsent,
            trace,
            contention: Contention::Ignored,
            stalled: false,
            next_timer: now,
            finished: false,
        };
        let mut ctx = EventContext::new(balancer, now);
        for slot in unreachable {
            query.close(slot);
        }
        if let Some(refusal) = query.refuse_contended(&mut ctx) {
            return Err(refusal);
        }
        query.plan_canary(canary, &ctx);
        query.call_all(Cause::First, &mut ctx);
        query.trace.pinned = query.pin.version;
        let steps = query.finish_if_due(ctx);
        query.next_timer = query.compute_next_timer(now);
        Ok((query, steps))
    }

    /// Handles one reply.
    pub fn on_reply(&mut self, balancer: &mut LoadBalancer, reply: Reply, now: Time) -> Vec<Step> {
        self.on_replies(balancer, [reply], now)
    }

    /// Handles replies that arrived together. The replies to a part that a peer
    /// ran are only valid as a whole, so the query does not end between them.
    pub fn on_replies(
        &mut self,
        balancer: &mut LoadBalancer,
        replies: impl IntoIterator<Item = Reply>,
        now: Time,
    ) -> Vec<Step> {
        let mut ctx = EventContext::new(balancer, now);
        let mut taken = false;
        for reply in replies {
            taken |= self.handle_reply(reply, &mut ctx);
        }
        if taken {
            self.finish_if_due(ctx)
        } else {
            Vec::new()
        }
    }

    /// Handles one reply. Returns false if it belongs to no pending attempt.
    fn handle_reply(&mut self, reply: Reply, ctx: &mut EventContext<'_>) -> bool {
        let Some(index) = self.attempts.pending_index(reply.attempt) else {
            ctx.balancer.drop_reply();
            self.trace.dropped += 1;
            return false;
        };
        let now = ctx.now;
        let attempt = self.attempts.0[index];
        if !attempt.delegated {
            ctx.balancer
                .replied(&self.request.kind, &attempt, &reply, now);
        }
        self.exposure = self.exposure.merge(Exposure::of(&reply.outcome));
        let slot = &mut self.slots[attempt.slot];
        slot.pending -= 1;
        slot.reached_leaf |= reached_leaf(&reply.outcome);
        let ran = server_survived(&reply.outcome);
        let status = self.handle_outcome(attempt, reply.outcome, ctx);
        self.update_canary(ran, ctx);
        self.attempts.0[index].status = status;
        self.attempts.0[index].ended_at = now;
        true
    }

    /// Runs the actions that are due.
    pub fn on_timer(&mut self, balancer: &mut LoadBalancer, now: Time) -> Vec<Step> {
        if self.finished {
            return Vec::new();
        }
        let mut ctx = EventContext::new(balancer, now);
        if now < self.params.deadline {
            self.resume(&mut ctx);
            self.on_canary_timer(&mut ctx);
            for slot in 0..self.slots.len() {
                self.on_slot_timer(slot, &mut ctx);
            }
        }
        let steps = self.finish_if_due(ctx);
        self.next_timer = self.compute_next_timer(now);
        steps
    }

    /// Passes in a newer view. Changes of the fleet alone apply at once. A
    /// newer configuration is kept for a restart at a newer partition epoch;
    /// forwarded requests switch to its leaves at once.
    pub fn refresh(&mut self, view: Arc<View>) {
        if Arc::ptr_eq(&view.catalog, &self.view.catalog) {
            self.view = view;
            return;
        }
        if self.params.forwarded {
            return self.adopt_view(view);
        }
        self.newer_view = Some(view);
        if self.stalled {
            self.next_timer = Time::default();
        }
    }

    /// Returns when [`Query::on_timer`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Time {
        self.next_timer
    }

    /// Returns the deadline of the answer.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.params.deadline
    }

    /// Finishes the query if it is due to end, and returns the steps of the
    /// event.
    fn finish_if_due(&mut self, mut ctx: EventContext<'_>) -> Vec<Step> {
        let enough = self.tally.fraction() >= self.params.min_coverage;
        let settled =
            self.params.settle_at.is_some_and(|at| ctx.now >= at) && enough && self.open_slots > 0;
        let late = ctx.now >= self.params.deadline;
        if self.open_slots > 0 && !settled && !late && !self.coverage_unreachable() {
            return ctx.into_steps();
        }
        self.finished = true;
        self.next_timer = Time::MAX;
        self.trace.settled = settled && !late;
        self.cancel(None, None, &mut ctx);
        self.trace.elapsed_us = micros(ctx.now.since(self.started));
        self.update_throttle(enough, &mut ctx);
        self.end_late(enough, &mut ctx);
        let reason = if late {
            Reason::Deadline
        } else {
            Reason::Coverage
        };
        let answer = report::build_answer(self, enough, reason, self.started);
        let mut steps = ctx.into_final_steps();
        steps.push(Step::Finish(Box::new(answer)));
        steps
    }

    /// Returns whether a forwarded request can no longer reach its minimum
    /// coverage; always false for others.
    fn coverage_unreachable(&self) -> bool {
        if !self.params.forwarded {
            return false;
        }
        let merged = self.slots.iter().filter(|slot| slot.body.is_some()).count();
        ratio(merged + self.open_slots, self.planned_shards()) < self.params.min_coverage
    }

    /// Returns the number of planned shards, including those without a leaf.
    fn planned_shards(&self) -> usize {
        self.slots.len().max(self.params.services.len())
    }

    /// Reports to the throttle how the query ended.
    fn update_throttle(&self, enough: bool, ctx: &mut EventContext<'_>) {
        if self.params.policy != Policy::Adaptive {
            return;
        }
        let starved = self.attempts.0.iter().any(Attempt::starved);
        if starved && !enough && self.contention != Contention::Ignored {
            let kind = self.view.catalog.kinds.get(&self.request.kind);
            if let Some(kind) = kind {
                ctx.balancer.lower_below(&self.view, &kind.rules, ctx.now);
            }
        }
        let throttle = &mut ctx.balancer.kind(&self.request.kind).throttle;
        match (enough, starved) {
            (true, _) => throttle.served(),
            (false, true) => throttle.starved(ctx.now),
            (false, false) => throttle.ended(),
        }
    }

    fn compute_next_timer(&self, now: Time) -> Time {
        if self.finished {
            return Time::MAX;
        }
        let settle_at = self.params.settle_at.filter(|at| *at > now);
        let limit = settle_at.map_or(self.params.deadline, |at| at.min(self.params.deadline));
        let limit = self.canary_late_at().map_or(limit, |at| at.min(limit));
        let limit = if self.stalled {
            limit.min(now.after(STALL_CHECK_INTERVAL))
        } else {
            limit
        };
        let open = self.slots.iter().filter(|slot| slot.is_open());
        open.map(Slot::due).fold(limit, Time::min)
    }
}

/// Returns whether a call reached a leaf, whatever its outcome there.
fn reached_leaf(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Rows(_) | Outcome::Unknown(_) | Outcome::Elsewhere(_) | Outcome::Failed(_) => true,
        Outcome::NotRun(why) => {
            matches!(
                why,
                NotRun::Declined | NotRun::Draining | NotRun::Expired | NotRun::Shed
            )
        }
    }
}

/// Returns `part` as a fraction of `whole`.
#[allow(clippy::cast_precision_loss, reason = "numbers of shards are small")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Returns whether a backend server ran the content without crashing.
fn server_survived(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Rows(_) | Outcome::Failed(_) => true,
        Outcome::Unknown(why) => !matches!(why, Unknown::Closed | Unknown::Timeout),
        Outcome::NotRun(_) | Outcome::Elsewhere(_) => false,
    }
}
