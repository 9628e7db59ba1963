//! Runs one action on the entry that minted its ticket: performs the steps that
//! the core's [`Action`] returns.

use std::{sync::Arc, time::Duration};

use futures_lite::{FutureExt, future};
use smol::{
    Timer,
    channel::{Receiver, Sender, unbounded},
};

use super::query_runner::CallSender;
use super::state::ThreadState;
use crate::modules::{
    action::{Action, ActionRequest, MAX_ATTEMPTS, Step, plan},
    call::{AttemptId, Reply},
    catalog::ShardKey,
    load_balancer::{Choice, LoadBalancer},
    outcome::{ActionOutcome, NotRunCause},
    time::Time,
    view::View,
};

/// Interval between checks for a view with a newer partition epoch.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The fields of a request that routing and retries need.
struct Target {
    kind: String,
    key: u32,
    content: u64,
    deadline: Time,
}

impl Target {
    fn of(request: &ActionRequest) -> Self {
        Self {
            kind: request.kind.clone(),
            key: request.key,
            content: request.fingerprint(),
            deadline: request.deadline,
        }
    }
}

/// Returns the leaves that may run an action, best first. Content that is not
/// known to be harmless is ordered alike on all entries: they send it to the
/// same leaf, whose relay lets one copy of it run at a time.
fn choices(
    balancer: &LoadBalancer,
    view: &View,
    shard: ShardKey,
    target: &Target,
    now: Time,
) -> Vec<Choice> {
    let kind = view.catalog.kinds.get(&target.kind);
    let shared_order = kind.is_some_and(|kind| view.catalog.canary(&kind.rules))
        && !balancer.cleared.contains(target.content, now);
    if shared_order {
        balancer.choices_by_content(view, shard, target.content, now)
    } else {
        balancer.choices(view, shard, now)
    }
}

impl ThreadState {
    /// Runs an action and returns its outcome.
    ///
    /// The future must be polled to completion: if it is dropped, the outcome
    /// stays unknown.
    pub(crate) async fn run_action(&self, request: ActionRequest) -> ActionOutcome {
        let view = self.shared.view.load();
        if !view.ready() {
            return ActionOutcome::NotRun(NotRunCause::NotReady);
        }
        let target = Target::of(&request);
        let (to, replies) = unbounded();
        let (mut action, mut steps) = match self.start_action(&view, request, &target) {
            Ok(started) => started,
            Err(cause) => return ActionOutcome::NotRun(cause),
        };
        loop {
            if let Some(outcome) = self.perform(steps, &to) {
                self.record_outcome(&target, &outcome);
                return outcome;
            }
            steps = match self.wait_reply(&replies, action.next_timer()).await {
                Some(reply) => {
                    if let Some(epoch) = action.required_epoch(&reply) {
                        action.refresh(self.wait_epoch(epoch, target.deadline).await);
                    }
                    let retry = |charged| self.retry_choices(&target, charged);
                    action.on_reply(&reply, retry, self.now())
                }
                None => action.on_timer(self.now()),
            };
        }
    }

    fn start_action(
        &self,
        view: &Arc<View>,
        request: ActionRequest,
        target: &Target,
    ) -> Result<(Action, Vec<Step>), NotRunCause> {
        let now = self.now();
        let shard = plan(view, &request.kind, request.key).map_err(|_| NotRunCause::Unplanned)?;
        let budget = view.catalog.kinds[&request.kind].rules.retry_budget;
        let mut balancer = self.balancer.borrow_mut();
        balancer.sync(view);
        balancer.kind(&request.kind).retries.earn(1, budget);
        let choices = choices(&balancer, view, shard, target, now);
        let attempts: [AttemptId; MAX_ATTEMPTS] = std::array::from_fn(|_| balancer.next_attempt());
        Ok(Action::start(view, request, &choices, attempts[0], now))
    }

    /// Waits until the view has at least the partition epoch `epoch`, at most
    /// until the deadline. Returns the epoch of the latest view.
    async fn wait_epoch(&self, epoch: u64, deadline: Time) -> u64 {
        loop {
            let current = self.shared.view.load().catalog.epoch;
            if current >= epoch || self.now() >= deadline {
                return current;
            }
            Timer::after(VIEW_POLL_INTERVAL).await;
        }
    }

    /// Returns the leaves on which an action may be retried under the current
    /// view; none if the retry budget is spent or the view has no shard for it.
    fn retry_choices(&self, target: &Target, charged: bool) -> Option<Vec<Choice>> {
        let mut balancer = self.balancer.borrow_mut();
        if charged && !balancer.kind(&target.kind).retries.spend() {
            return None;
        }
        let view = self.shared.view.load();
        balancer.sync(&view);
        let shard = plan(&view, &target.kind, target.key).ok()?;
        Some(choices(&balancer, &view, shard, target, self.now()))
    }

    /// Marks the content as harmless if a leaf has run the action to its end.
    fn record_outcome(&self, target: &Target, outcome: &ActionOutcome) {
        if matches!(outcome, ActionOutcome::Done(_)) {
            let mut balancer = self.balancer.borrow_mut();
            balancer.cleared.add(target.content, self.now());
        }
    }

    /// Performs the core's steps. Returns the outcome, if there is one.
    fn perform(&self, steps: Vec<Step>, to: &Sender<Reply>) -> Option<ActionOutcome> {
        for step in steps {
            match step {
                Step::Send { relay, part } => self.sessions.send(relay, part, to),
                Step::Cancel { relay, attempts } => self.sessions.cancel(relay, attempts),
                Step::Finish(outcome) => return Some(outcome),
            }
        }
        None
    }

    async fn wait_reply(&self, replies: &Receiver<Reply>, wake: Option<Time>) -> Option<Reply> {
        let reply = async { replies.recv().await.ok() };
        let timer = async {
            match wake.and_then(|wake| self.shared.clock.instant(wake)) {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            None
        };
        reply.or(timer).await
    }
}
