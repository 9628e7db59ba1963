//! Runs one non-idempotent action on at most one leaf.
//!
//! An action is sent to one leaf of the shard that holds its key. It is never
//! hedged, and it is retried only after proof that no earlier attempt started
//! it. Once a leaf may have run it, no further attempt is made.

use std::{sync::Arc, time::Duration};

use thiserror::Error;

use super::{
    call::{AttemptId, Call, NotRun, Outcome, Part, Reply, Unknown, fingerprint},
    catalog::ShardKey,
    inventory::{Address, Class},
    ledger::Digest,
    load_balancer::Choice,
    outcome::{ActionOutcome, NotRunCause},
    time::Time,
    view::View,
};

/// How long after the deadline to wait for the relay to report whether the
/// action ran.
pub const REPLY_GRACE: Duration = Duration::from_millis(250);

/// Maximum number of leaf calls for one action, including the first.
pub const MAX_ATTEMPTS: usize = 3;

/// An action as the caller requests it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ActionRequest {
    /// Kind of the action.
    pub kind: String,
    /// Key that selects the shard.
    pub key: u32,
    /// Body that the leaf receives.
    pub body: Arc<[u8]>,
    /// Time by which the caller expects the answer.
    pub deadline: Time,
    /// Idempotency id that the leaf receives.
    pub id: String,
}

impl ActionRequest {
    /// Returns the fingerprint of the kind and body, which does not depend on
    /// the ticket.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        fingerprint(&self.kind, &self.body)
    }

    /// Returns the digest that distinguishes a resend from a different request.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.kind, self.key, &self.body)
    }
}

/// A step that the driver must perform.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send the part to the relay.
    Send {
        /// Address of the relay.
        relay: Address,
        /// The leaf call.
        part: Part,
    },
    /// Cancel an attempt.
    Cancel {
        /// Address of the relay.
        relay: Address,
        /// The attempt to cancel.
        attempts: Vec<AttemptId>,
    },
    /// Record the outcome and report it to the callers. No step follows.
    Finish(ActionOutcome),
}

/// Why an action request was rejected before anything was sent.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlanError {
    /// The configuration has no such kind.
    #[error("kind `{0}` is not in the inventory; use one that `guavacourse get` lists")]
    UnknownKind(String),
    /// The kind is a query.
    #[error("kind `{0}` is a query; send it to /queries/{0}")]
    NotAction(String),
    /// No shard of the kind's first service holds the key.
    #[error("key {0} is outside the key space; send one that the inventory covers")]
    NoShard(u32),
}

/// Returns the shard on which an action runs.
///
/// # Errors
///
/// Returns an error if the kind is unknown or a query, or if no shard holds the
/// key.
pub fn plan(view: &View, kind: &str, key: u32) -> Result<ShardKey, PlanError> {
    let catalog = &view.catalog;
    let entry = catalog
        .kinds
        .get(kind)
        .ok_or_else(|| PlanError::UnknownKind(kind.to_owned()))?;
    if entry.rules.class != Class::Action {
        return Err(PlanError::NotAction(kind.to_owned()));
    }
    catalog
        .action_shard(entry, key)
        .ok_or(PlanError::NoShard(key))
}

/// State machine of one action.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Action {
    request: ActionRequest,
    worth: u32,
    epoch: u64,
    /// Choices already tried under the current epoch.
    tried: Vec<Choice>,
    attempts: usize,
    next_attempt: AttemptId,
    /// Whether equal actions on the same leaf wait for this one's outcome.
    canary: bool,
    /// Whether a relay reported that the content may have crashed a leaf, so that
    /// it runs alone.
    suspected: bool,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum State {
    /// One attempt awaits its reply.
    Waiting { attempt: AttemptId, relay: Address },
    /// The outcome is final.
    Finished,
}

impl Action {
    /// Starts an action on the first of `choices`, which are sorted best first.
    ///
    /// The attempts use up to [`MAX_ATTEMPTS`] consecutive ids, starting with
    /// `first_attempt`. If no [`Step::Send`] is returned, nothing was sent.
    #[must_use]
    pub fn start(
        view: &View,
        request: ActionRequest,
        choices: &[Choice],
        first_attempt: AttemptId,
        now: Time,
    ) -> (Self, Vec<Step>) {
        let quarantined = view.quarantined.contains(&request.fingerprint());
        let kind = view.catalog.kinds.get(&request.kind);
        let mut action = Self {
            request,
            worth: kind.map_or(1, |kind| kind.rules.worth),
            epoch: view.catalog.epoch,
            tried: Vec::new(),
            attempts: 0,
            next_attempt: first_attempt,
            canary: kind.is_some_and(|kind| view.catalog.canary(&kind.rules)),
            suspected: false,
            state: State::Finished,
        };
        let steps = if quarantined {
            action.finish(not_run(NotRun::Quarantined))
        } else {
            action.attempt(choices, NotRunCause::NoReplica, now)
        };
        (action, steps)
    }

    /// Returns the partition epoch that the view must reach before `reply` is
    /// handled, if the action's epoch is older. A leaf at that epoch refuses
    /// actions of an older one.
    #[must_use]
    pub fn required_epoch(&self, reply: &Reply) -> Option<u64> {
        match &reply.outcome {
            Outcome::Elsewhere(held) => (held.epoch > self.epoch).then_some(held.epoch),
            _ => None,
        }
    }

    /// Adopts the partition epoch of a newer view for further attempts, which may
    /// use every choice again.
    pub fn refresh(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.tried.clear();
        }
    }

    /// Handles the reply to an attempt.
    ///
    /// `retry` is called before a further attempt. Its argument says whether the
    /// attempt is charged to the retry budget. It returns the current choices,
    /// best first, or `None` if the budget does not allow the attempt.
    pub fn on_reply(
        &mut self,
        reply: &Reply,
        retry: impl FnOnce(bool) -> Option<Vec<Choice>>,
        now: Time,
    ) -> Vec<Step> {
        let State::Waiting { attempt, .. } = self.state else {
            return Vec::new();
        };
        if reply.attempt != attempt {
            return Vec::new();
        }
        match &reply.outcome {
            Outcome::Rows(rows) => self.finish(ActionOutcome::Done(Arc::clone(&rows.body))),
            Outcome::Unknown(why) => self.finish(ActionOutcome::Unknown((*why).into())),
            Outcome::Failed(_) => self.finish(ActionOutcome::Unknown(Unknown::Malformed.into())),
            Outcome::NotRun(why) if is_final(*why) => self.finish(not_run(*why)),
            Outcome::NotRun(why) => {
                self.suspected |= *why == NotRun::Suspected;
                let choices = self.may_retry().then(|| retry(is_charged(*why)));
                self.attempt(&choices.flatten().unwrap_or_default(), (*why).into(), now)
            }
            Outcome::Elsewhere(_) => {
                let choices = self.may_retry().then(|| retry(false));
                let choices = choices.flatten().unwrap_or_default();
                self.attempt(&choices, NotRunCause::Elsewhere, now)
            }
        }
    }

    /// Gives up on an attempt whose reply has not arrived [`REPLY_GRACE`] after the
    /// deadline.
    pub fn on_timer(&mut self, now: Time) -> Vec<Step> {
        let State::Waiting { attempt, relay } = self.state else {
            return Vec::new();
        };
        if now < self.request.deadline.after(REPLY_GRACE) {
            return Vec::new();
        }
        let cancel = Step::Cancel {
            relay,
            attempts: vec![attempt],
        };
        let outcome = ActionOutcome::Unknown(Unknown::Timeout.into());
        let mut steps = vec![cancel];
        steps.extend(self.finish(outcome));
        steps
    }

    /// Returns when [`Action::on_timer`] must be called; `None` once finished.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        let waiting = matches!(self.state, State::Waiting { .. });
        waiting.then(|| self.request.deadline.after(REPLY_GRACE))
    }

    fn may_retry(&self) -> bool {
        self.attempts < MAX_ATTEMPTS
    }

    /// Sends the action to the best choice not tried yet. Must only be called
    /// while every earlier attempt, if any, is proven not to have run; `cause`
    /// says why, and is the outcome if no choice is left.
    fn attempt(&mut self, choices: &[Choice], cause: NotRunCause, now: Time) -> Vec<Step> {
        let budget = self.request.deadline.left(now);
        if budget.is_zero() {
            return self.finish(not_run(NotRun::Expired));
        }
        let untried = choices.iter().find(|choice| !self.tried.contains(choice));
        // Suspected content waits to run alone, so a choice that refused it may be
        // tried again.
        let fallback = choices.first().filter(|_| self.suspected);
        let Some(choice) = untried.or(fallback).copied() else {
            return self.finish(ActionOutcome::NotRun(cause));
        };
        let extra = self.attempts > 0;
        self.tried.push(choice);
        self.attempts += 1;
        let attempt = self.next_attempt;
        self.next_attempt = AttemptId(attempt.0 + 1);
        self.state = State::Waiting {
            attempt,
            relay: choice.relay,
        };
        let part = Part {
            revision: 0,
            age: Duration::ZERO,
            spare: 0,
            late: false,
            kind: self.request.kind.clone(),
            worth: self.worth,
            budget,
            version: 0,
            epoch: self.epoch,
            action: self.request.id.clone(),
            fingerprint: self.request.fingerprint(),
            body: Arc::clone(&self.request.body),
            calls: vec![Call {
                attempt,
                leaf: choice.id,
                extra,
            }],
            alone: self.suspected,
            trial: 0,
            canary: self.canary && !self.suspected,
            forward: None,
            customer: None,
        };
        let relay = choice.relay;
        vec![Step::Send { relay, part }]
    }

    fn finish(&mut self, outcome: ActionOutcome) -> Vec<Step> {
        self.state = State::Finished;
        vec![Step::Finish(outcome)]
    }
}

fn not_run(why: NotRun) -> ActionOutcome {
    ActionOutcome::NotRun(why.into())
}

/// Returns whether another leaf would refuse the call for the same reason.
fn is_final(why: NotRun) -> bool {
    matches!(
        why,
        NotRun::Cancelled | NotRun::Expired | NotRun::Quarantined
    )
}

/// Returns whether a retry after this refusal is charged to the retry budget,
/// because it adds load to leaves that are already busy.
fn is_charged(why: NotRun) -> bool {
    matches!(why, NotRun::QueueFull | NotRun::Shed)
}
