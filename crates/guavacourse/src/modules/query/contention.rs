//! Leaves out shards that others compete for, and holds back calls of late queries.

use std::time::Duration;

use super::{Contention, Query, canary::Canary, event::EventContext, plan::Concession};
use crate::modules::{
    answer::{Refusal, Shortage},
    catalog::stable_hash,
    contention::{
        rates::{Evidence, Room},
        scarcity::{self, Need, ShardState, Verdict},
        spare::own_spare,
    },
    inventory::Policy,
    placement::outlook::ShardOutlook,
    time::Time,
};

/// Delay after which it is checked again whether other calls wait for a held shard.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Time by which a held call must be answered before the deadline, since its expected
/// time is only an estimate.
const HELD_MARGIN: Duration = Duration::from_millis(50);

impl Query {
    /// Returns why the query does not begin, if it would only be lost. A part that runs
    /// for a peer always begins, because the other parts already run.
    pub(super) fn refuse_contended(&mut self, ctx: &mut EventContext<'_>) -> Option<Refusal> {
        if self.params.policy != Policy::Adaptive || self.slots.len() < 2 {
            return None;
        }
        let target = self.params.target?;
        let mut states = self.shard_states(ctx);
        if states.iter().all(Option::is_none) {
            return None;
        }
        self.contention = Contention::InTime;
        for (slot, state) in self.slots.iter().zip(&mut states) {
            let Some(state) = state else {
                continue;
            };
            let rates = &mut ctx.balancer.rates;
            rates.ask(slot.shard, ctx.now);
            if state.outlook.avoided && state.outlook.contended {
                let ShardOutlook {
                    waiting, expected, ..
                } = state.outlook;
                let times = (waiting, expected);
                rates.observe(slot.shard, times, Evidence::Silence, ctx.now);
                state.room = rates.room(slot.shard, self.params.worth, ctx.now);
            }
        }
        let verdict = scarcity::plan(&states, self.need(target), self.draw()).verdict;
        let (deadline, whole) = (self.params.deadline, self.request.only_services.is_empty());
        let kind = ctx.balancer.kind(&self.request.kind);
        kind.late.count_query();
        if verdict == Verdict::InTime {
            return None;
        }
        if verdict == Verdict::Late && kind.late.start(deadline, ctx.now) {
            self.contention = Contention::Late;
            return None;
        }
        if !whole {
            return None;
        }
        kind.throttle.ended();
        let retry_after = kind.returns.retry_after(deadline.left(ctx.now), ctx.now);
        ctx.balancer.rates.reserve(self.params.worth, ctx.now);
        Some(Refusal::Contended {
            kind: self.request.kind.clone(),
            cause: match verdict {
                Verdict::Unservable => Shortage::Unservable,
                Verdict::InTime | Verdict::Late => Shortage::Late,
            },
            retry_after,
        })
    }

    /// Leaves out the scarcest shards of those that this process calls itself, and holds
    /// back the calls to other scarce ones if the query is late. Peers that run the
    /// `delegated` shards are told how many shards may be missing after that.
    pub(super) fn leave_out(&mut self, delegated: &[bool], ctx: &mut EventContext<'_>) {
        let Some(target) = self.contended_target() else {
            return;
        };
        let mut states = self.shard_states(ctx);
        for (state, delegated) in states.iter_mut().zip(delegated) {
            *state = state.filter(|_| !delegated);
        }
        let plan = scarcity::plan(&states, self.need(target), self.draw());
        for index in plan.left_out {
            self.leave_out_shard(index);
        }
        for index in plan.held {
            let slot = &mut self.slots[index];
            slot.concession = Concession::Held;
            slot.retry_at = ctx.now.after(HELD_CHECK_INTERVAL);
            self.trace.held += 1;
        }
    }

    /// Closes the slot of a shard that others compete for.
    pub(super) fn leave_out_shard(&mut self, index: usize) {
        self.slots[index].concession = Concession::LeftOut;
        self.trace.left_out += 1;
        self.close(index);
    }

    /// Calls a held shard if no other call waits there, or if its time runs out and the
    /// kind may let another late call join the queue.
    pub(super) fn call_held(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let state = self.shard_state(index, ctx);
        let free = state.is_none_or(|state| state.room == Room::Free && !state.outlook.contended);
        let expected = state.map_or(Duration::ZERO, |state| state.outlook.expected);
        let last = ctx.now.after(expected + HELD_MARGIN) >= self.params.deadline;
        let free = self.canary == Canary::Inactive && free;
        if free || (last && ctx.balancer.kind(&self.request.kind).late.join()) {
            self.slots[index].concession = Concession::None;
            return self.call_first(index, ctx);
        }
        if last {
            self.slots[index].concession = Concession::None;
            return self.close(index);
        }
        self.slots[index].retry_at = ctx.now.after(HELD_CHECK_INTERVAL);
        self.next_timer = self.next_timer.min(self.slots[index].retry_at);
    }

    /// Returns whether a shard that refused a call for lack of room is left out: a spare
    /// shard is left, and the best leaf has no room in time because of other calls.
    pub(super) fn competes(&self, index: usize, ctx: &mut EventContext<'_>) -> bool {
        let Some(target) = self.contended_target() else {
            return false;
        };
        let slot = &self.slots[index];
        if slot.pending > 0 || self.own_spare() == 0 {
            return false;
        }
        let left = target.left(ctx.now);
        let state = self.shard_state(index, ctx);
        let scarce = state.is_some_and(|state| state.is_scarce(left));
        scarce || self.choose(index, ctx).is_none()
    }

    /// Reports to the kind how a late query ended.
    pub(super) fn end_late(&mut self, enough: bool, ctx: &mut EventContext<'_>) {
        let kind = ctx.balancer.kind(&self.request.kind);
        if enough && self.contention != Contention::Ignored {
            kind.returns.served(ctx.now);
        }
        if self.contention == Contention::Late {
            kind.late.ended(self.params.deadline, enough);
        }
    }

    /// Returns whether the calls of the query yield to those of queries in time.
    pub(super) fn is_late(&self, now: Time) -> bool {
        let missed = self.contended_target().is_some_and(|target| now >= target);
        self.contention == Contention::Late || missed
    }

    /// Returns the target of a query that takes part in admission control.
    fn contended_target(&self) -> Option<Time> {
        let target = self.params.target;
        target.filter(|_| self.contention != Contention::Ignored)
    }

    fn need(&self, target: Time) -> Need {
        Need {
            to_target: target.left(self.started),
            to_deadline: self.params.deadline.left(self.started),
            spare: self.spare_of_open(),
            own_spare: self.own_spare(),
        }
    }

    fn shard_states(&self, ctx: &mut EventContext<'_>) -> Vec<Option<ShardState>> {
        let indexes = 0..self.slots.len();
        let states = indexes.map(|index| {
            let state = self.shard_state(index, ctx);
            state.filter(|_| self.slots[index].is_open())
        });
        states.collect()
    }

    fn shard_state(&self, index: usize, ctx: &mut EventContext<'_>) -> Option<ShardState> {
        let (shard, regions) = (self.slots[index].shard, &self.params.regions);
        let outlook = ctx
            .balancer
            .shard_outlook(&self.view, shard, regions, ctx.now)?;
        let room = ctx.balancer.rates.room(shard, self.params.worth, ctx.now);
        Some(ShardState { outlook, room })
    }

    /// Returns how many open shards may be missing from the answer.
    fn spare_of_open(&self) -> usize {
        let closed = self.slots.iter().filter(|slot| slot.closed).count();
        let planned = self.planned_shards() - self.slots.len();
        let spare = usize::try_from(self.spare_shards()).unwrap_or(usize::MAX);
        spare.saturating_sub(closed + planned)
    }

    /// Returns how many open shards this process may leave out.
    fn own_spare(&self) -> usize {
        let spare = self.spare_of_open();
        let only = self.request.only_services.as_slice();
        if only.is_empty() {
            return spare;
        }
        let kind = self.view.catalog.kinds.get(&self.request.kind);
        let services = kind.map_or(0, |kind| kind.rules.services.len());
        let own = |position: usize| only.iter().any(|s| usize::from(*s) == position);
        own_spare(spare, services, self.draw(), own)
    }

    /// Returns a number that is the same in all processes that run parts of the query.
    fn draw(&self) -> u64 {
        let id = self.request.forward.as_ref().map(|forward| &forward.id);
        id.map_or(self.trace.fingerprint, |id| stable_hash(id.as_bytes()))
    }
}
