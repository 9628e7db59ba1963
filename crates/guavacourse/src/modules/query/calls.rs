//! Sends first calls, retries and hedges, and cancels calls.

use std::{sync::Arc, time::Duration};

use super::{
    Query,
    canary::Canary,
    event::EventContext,
    plan::{Attempt, CallHistory, Concession},
};
use crate::modules::{
    answer::{AttemptStatus, Cause},
    call::{AttemptId, Call, Part},
    catalog::LeafId,
    exposure::Exposure,
    extra::ExtraReason,
    hedge,
    inventory::Policy,
    load_balancer::Choice,
    time::{Time, micros},
};

/// Delay before a shard is tried again if no call could be sent, for example
/// because it has no replica to call.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay before a shard whose replicas are all overloaded is called again.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Hedges are due at whole multiples of this, so that one timer serves many.
const HEDGE_GRANULARITY: Duration = Duration::from_micros(500);
/// Maximum hedges of one call in flight at the same time.
const MAX_CONCURRENT_HEDGES: u8 = 2;
/// Multiple of a leaf's expected latency before which no call is late for the
/// caller's target.
const LATE_FACTOR: u32 = 2;
/// Maximum calls that the plain policy makes for one shard.
const PLAIN_MAX_CALLS: usize = 2;

impl Query {
    /// Retries after a relay or peer failed; the same leaf may be chosen again.
    pub(super) fn reroute(&mut self, attempt: Attempt, ctx: &mut EventContext<'_>) {
        self.slots[attempt.slot].clear_tried_leaf(attempt.leaf);
        self.retry(attempt.slot, false, ctx);
    }

    /// Calls another replica, now or later if none may be called yet. Closes
    /// the slot if no further call is allowed.
    pub(super) fn retry(&mut self, index: usize, charged: bool, ctx: &mut EventContext<'_>) {
        let slot = &mut self.slots[index];
        if !slot.is_open() || slot.pending > 0 {
            return;
        }
        let plain = self.params.policy == Policy::Plain;
        let max_calls = if plain { PLAIN_MAX_CALLS } else { usize::MAX };
        slot.charged = charged;
        if !plain && slot.history == CallHistory::Overloaded && !slot.may_call() {
            slot.next_round();
            slot.retry_at = ctx.now.after(OVERLOAD_RETRY_DELAY);
            self.next_timer = self.next_timer.min(slot.retry_at);
            return;
        }
        if !slot.may_call() || slot.calls() >= max_calls || self.suspicion.confirmed() {
            self.close(index);
            return;
        }
        slot.retry_at = ctx.now.after(RETRY_DELAY);
        self.next_timer = self.next_timer.min(slot.retry_at);
        if !self.suspicion.may_call() {
            return;
        }
        let Some(choice) = self.choose(index, ctx) else {
            self.slots[index].clear_tried();
            return self.await_opening(index, ctx);
        };
        if !plain && !self.spend_retry(index, charged, ctx) {
            self.trace.denied += 1;
            if self.params.target.is_some_and(|target| ctx.now >= target) {
                self.close(index);
            }
            return;
        }
        self.call(index, choice, Cause::Retry, ctx);
    }

    /// Spends a retry from its budget, if it is charged to one. Returns whether
    /// the retry is allowed.
    fn spend_retry(&self, index: usize, charged: bool, ctx: &mut EventContext<'_>) -> bool {
        let slot = &self.slots[index];
        let service = &self.params.services[slot.service];
        if self.params.forwarded && !slot.reached_leaf {
            return true;
        }
        let shared = ctx
            .balancer
            .spend_extra(service, ExtraReason::Retry, ctx.now);
        shared.unwrap_or_else(|| !charged || ctx.balancer.kind(&self.request.kind).retries.spend())
    }

    pub(super) fn on_slot_timer(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let slot = &self.slots[index];
        if !slot.is_open() {
            return;
        }
        if slot.held() && slot.retry_at <= ctx.now {
            self.call_held(index, ctx);
        } else if slot.pending == 0 && slot.retry_at <= ctx.now {
            self.retry(index, slot.charged, ctx);
        } else if slot.pending > 0 && slot.hedge_at <= ctx.now {
            self.slots[index].hedge_at = self.canary_late_at().unwrap_or(Time::MAX);
            if self.canary == Canary::Inactive {
                self.hedge(index, ctx);
            }
        }
    }

    /// Hedges the call of a late slot, if that is allowed.
    pub(super) fn hedge(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let slot = &self.slots[index];
        if !self.suspicion.may_hedge() || !slot.may_call() {
            return;
        }
        let Some(choice) = self.hedge_choice(index, ctx) else {
            return;
        };
        let expected = ctx.balancer.expected_latency(choice.id);
        if !hedge::in_time(ctx.now, expected, self.params.deadline) {
            return;
        }
        let stats = ctx.balancer.kind(&self.request.kind);
        if stats.pressure.saturated() || !self.spend_hedge(index, ctx) {
            self.trace.denied += 1;
            return;
        }
        self.call(index, choice, Cause::Hedge, ctx);
    }

    /// Spends a hedge from its budget. Returns whether the hedge is allowed.
    fn spend_hedge(&self, index: usize, ctx: &mut EventContext<'_>) -> bool {
        let service = &self.params.services[self.slots[index].service];
        let shared = ctx
            .balancer
            .spend_extra(service, ExtraReason::Hedge, ctx.now);
        shared.unwrap_or_else(|| ctx.balancer.kind(&self.request.kind).hedges.spend())
    }

    /// Refunds a hedge that a leaf refused, and looks for another replica.
    pub(super) fn replace_hedge(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        ctx.balancer.kind(&self.request.kind).hedges.refund();
        let slot = &mut self.slots[index];
        if slot.pending > 0 {
            slot.hedge_at = ctx.now;
            self.next_timer = ctx.now;
        } else {
            self.retry(index, true, ctx);
        }
    }

    /// Returns the leaf for a hedge of a late call: another replica, or the
    /// same leaf for the first hedge if the other replicas are far.
    fn hedge_choice(&self, index: usize, ctx: &EventContext<'_>) -> Option<Choice> {
        let slot = &self.slots[index];
        let other = self.choose(index, ctx);
        if self.content_unproven() || self.params.forwarded {
            return other;
        }
        let other = other.filter(|choice| !ctx.balancer.avoided(choice.id, ctx.now));
        let late = self.attempts.pending_for_slot(index)?;
        if slot.pending > 1 || slot.calls_to(late.leaf) > 1 {
            return other;
        }
        let slots = self.view.catalog.services[self.view.catalog.shards[slot.shard].service].slots;
        let other_leaf = other.map(|choice| choice.id);
        if ctx
            .balancer
            .hedges_same_leaf(late.leaf, other_leaf, slots, ctx.now)
        {
            Some(self.choice_of(late))
        } else {
            other
        }
    }

    /// Chooses a leaf for each slot, pins the version that every chosen leaf is
    /// known to hold, then calls them. If a canary is due, sends only that.
    pub(super) fn call_all(&mut self, cause: Cause, ctx: &mut EventContext<'_>) {
        let mut chosen = self.choose_all(ctx);
        let known = self.slots.iter().zip(&chosen).map(|(slot, choice)| {
            let own = choice.and_then(|choice| ctx.balancer.known_versions(choice.id, ctx.now));
            own.or_else(|| {
                ctx.balancer
                    .known_shard_versions(&self.view, slot.shard, ctx.now)
            })
        });
        self.pin.pin_shared_version(known);
        let version = self.pin.version;
        for (slot, choice) in self.slots.iter().zip(&mut chosen) {
            let lacks = |choice: &Choice| !ctx.balancer.may_hold(choice.id, version, ctx.now);
            if choice.as_ref().is_some_and(lacks) {
                *choice =
                    ctx.balancer
                        .choose(&self.view, slot, &self.params.regions, version, ctx.now);
            }
        }
        if self.canary != Canary::Inactive {
            self.leave_out(&[], ctx);
            return self.send_canary(ctx);
        }
        let peers = self.peers_for(&chosen, ctx);
        let peer_of = |choice: &Option<Choice>| {
            let centre = choice.and_then(|choice| self.data_centre(choice));
            centre.and_then(|centre| peers.get(centre).copied())
        };
        let delegated: Vec<bool> = chosen.iter().map(|c| peer_of(c).is_some()).collect();
        self.leave_out(&delegated, ctx);
        for (index, choice) in chosen.into_iter().enumerate() {
            if self.slots[index].left_out() || self.slots[index].held() {
                continue;
            }
            let centre = choice.and_then(|choice| self.data_centre(choice));
            let peer = centre.and_then(|centre| peers.get(centre).copied());
            if let (Some(choice), Some(peer)) = (choice, peer) {
                self.delegate(index, choice, peer, ctx);
                continue;
            }
            match choice {
                Some(choice) => self.call(index, choice, cause, ctx),
                None => self.await_choice(index, ctx),
            }
        }
    }

    /// Tries a shard again later for which no leaf can be called now.
    fn await_choice(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        self.slots[index].retry_at = ctx.now.after(RETRY_DELAY);
        self.await_opening(index, ctx);
    }

    /// If all leaves of a shard have asked for fewer calls, waits for the first that
    /// takes one. Closes the slot if that is too late for the caller.
    fn await_opening(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let shard = self.slots[index].shard;
        let Some(opens) =
            ctx.balancer
                .shard_opens_at(&self.view, shard, &self.params.regions, ctx.now)
        else {
            return;
        };
        if opens > self.params.latest_opening {
            let earliest = self.opens_at.map_or(opens, |other| other.min(opens));
            self.opens_at = Some(earliest);
            return self.close(index);
        }
        self.slots[index].retry_at = opens;
        self.next_timer = self.next_timer.min(opens);
    }

    /// Sends the first call of one slot.
    pub(super) fn call_first(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        match self.choose(index, ctx) {
            Some(choice) => self.call(index, choice, Cause::First, ctx),
            None => self.await_choice(index, ctx),
        }
    }

    /// Returns the leaf to call next for a slot; `None` if none is left to try.
    pub(super) fn choose(&self, index: usize, ctx: &EventContext<'_>) -> Option<Choice> {
        let (slot, version) = (&self.slots[index], self.pin.version);
        if self.content_unproven() {
            let content = self.trace.fingerprint;
            ctx.balancer.choose_by_content(
                &self.view,
                slot,
                &self.params.regions,
                content,
                version,
                ctx.now,
            )
        } else {
            ctx.balancer
                .choose(&self.view, slot, &self.params.regions, version, ctx.now)
        }
    }

    /// Returns whether no leaf is known to have run the content, or one may
    /// have crashed because of it.
    fn content_unproven(&self) -> bool {
        self.canary != Canary::Inactive || !self.suspicion.may_hedge()
    }

    fn choose_all(&self, ctx: &EventContext<'_>) -> Vec<Option<Choice>> {
        let version = self.pin.version;
        let choose = |slot| {
            ctx.balancer
                .choose(&self.view, slot, &self.params.regions, version, ctx.now)
        };
        self.slots.iter().map(choose).collect()
    }

    pub(super) fn call(
        &mut self,
        index: usize,
        choice: Choice,
        cause: Cause,
        ctx: &mut EventContext<'_>,
    ) {
        let id = ctx.balancer.next_attempt();
        if self.slots[index].calls() == 0 {
            let service = &self.params.services[self.slots[index].service];
            ctx.balancer.count_request(service, ctx.now);
        }
        let probe = ctx.balancer.sent(choice.id, choice.relay, ctx.now);
        ctx.balancer.rates.sent(self.slots[index].shard);
        self.count_call(cause);
        self.suspicion.on_call_sent(id);
        let slot = &mut self.slots[index];
        slot.record_call(choice.id);
        slot.concession = Concession::None;
        slot.hedge_at = Time::MAX;
        let adaptive = self.params.policy == Policy::Adaptive;
        if adaptive && self.params.repeatable && slot.pending <= MAX_CONCURRENT_HEDGES {
            let usual = ctx.balancer.expected_latency(choice.id) * LATE_FACTOR;
            let late = self.params.late_after.map(|late| late.max(usual));
            let late = late.map_or(Time::MAX, |late| ctx.now.after(late));
            slot.hedge_at = if probe {
                ctx.now
            } else {
                hedge_time(choice.id, ctx).min(round_up(late))
            };
        }
        self.next_timer = self.next_timer.min(slot.hedge_at);
        let version = self.pin.version;
        self.attempts.0.push(Attempt {
            id,
            slot: index,
            leaf: choice.id,
            relay: choice.relay,
            version,
            cause,
            delegated: false,
            sent: ctx.now,
            status: AttemptStatus::Pending,
            ended_at: ctx.now,
        });
        // A call after proven refusals only is the first to run, so it is not
        // extra load.
        let extra = cause == Cause::Hedge || slot.history == CallHistory::MaybeRun;
        let call = Call {
            attempt: id,
            leaf: choice.id,
            extra,
        };
        let now = ctx.now;
        ctx.batch
            .push(choice.relay, version, call, || self.build_part(now));
    }

    pub(super) fn build_part(&self, now: Time) -> Part {
        let alone = self.suspicion.testing() || self.request.is_trial();
        Part {
            kind: self.request.kind.clone(),
            worth: self.params.worth,
            budget: self.params.deadline.left(now),
            version: self.pin.version,
            epoch: self.pin.epoch,
            revision: self.revision,
            age: self.request.age + now.since(self.started),
            spare: self.spare_left(),
            late: self.is_late(now),
            action: String::new(),
            fingerprint: self.trace.fingerprint,
            body: Arc::clone(&self.request.body),
            calls: Vec::new(),
            alone,
            canary: self.canary != Canary::Inactive && !alone,
            trial: self.request.trial,
            forward: self.request.forward.clone(),
            customer: self.request.customer.clone(),
        }
    }

    fn count_call(&mut self, cause: Cause) {
        self.trace.calls += 1;
        match cause {
            Cause::First | Cause::Snapshot => {}
            Cause::Hedge => self.trace.hedges += 1,
            Cause::Retry => self.trace.retries += 1,
        }
    }

    /// Returns the leaf and relay of an attempt as a choice.
    pub(super) fn choice_of(&self, attempt: Attempt) -> Choice {
        Choice {
            leaf: self
                .view
                .catalog
                .ids
                .get(&attempt.leaf)
                .copied()
                .unwrap_or_default(),
            id: attempt.leaf,
            relay: attempt.relay,
        }
    }

    pub(super) fn close(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        if slot.is_open() {
            slot.closed = true;
            self.open_slots -= 1;
        }
    }

    /// Cancels the pending calls of one slot, or of all slots, except `keep`.
    pub(super) fn cancel(
        &mut self,
        slot: Option<usize>,
        keep: Option<AttemptId>,
        ctx: &mut EventContext<'_>,
    ) {
        for attempt in &mut self.attempts.0 {
            let selected = slot.is_none_or(|slot| slot == attempt.slot);
            if !selected || attempt.status != AttemptStatus::Pending || keep == Some(attempt.id) {
                continue;
            }
            attempt.status = AttemptStatus::Cancelled;
            attempt.ended_at = ctx.now;
            if !attempt.delegated {
                ctx.balancer.cancelled(attempt.leaf, attempt.sent, ctx.now);
            }
            self.exposure = Exposure::MaybeRun;
            self.slots[attempt.slot].pending = 0;
            ctx.cancels.push((attempt.relay, attempt.id));
        }
    }
}

/// Returns when a call sent now is late; [`Time::MAX`] if too little is known.
pub(super) fn late_time(leaf: LeafId, ctx: &EventContext<'_>) -> Time {
    let delay = ctx.balancer.late_after(leaf);
    delay.map_or(Time::MAX, |delay| round_up(ctx.now.after(delay)))
}

/// Returns when a call sent now is hedged; [`Time::MAX`] if too little is
/// known.
fn hedge_time(leaf: LeafId, ctx: &EventContext<'_>) -> Time {
    let delay = ctx.balancer.hedge_after(leaf);
    delay.map_or(Time::MAX, |delay| round_up(ctx.now.after(delay)))
}

/// Rounds a time up to a multiple of [`HEDGE_GRANULARITY`].
fn round_up(time: Time) -> Time {
    let grain = micros(HEDGE_GRANULARITY);
    Time(time.0.div_ceil(grain).saturating_mul(grain))
}
