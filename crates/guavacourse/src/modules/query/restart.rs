//! Moves a query to another snapshot.

use std::{sync::Arc, time::Duration};

use super::{
    Query,
    event::EventContext,
    plan::{Attempt, plan_slots},
};
use crate::modules::{
    answer::Cause, coverage::CoverageTally, hedge, snapshot::shared_version, view::View,
};

/// Interval at which a stalled query checks for a newer view.
pub(super) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Query {
    /// Requests the pinned version for slots whose merged rows are of another
    /// one.
    pub(super) fn refetch_merged(&mut self, ctx: &mut EventContext<'_>) {
        self.trace.restarts += 1;
        self.tally.clear();
        let merged: Vec<Attempt> = self
            .attempts
            .0
            .iter()
            .copied()
            .filter(Attempt::merged)
            .collect();
        for attempt in merged {
            self.slots[attempt.slot].reset();
            self.open_slots += 1;
            let choice = self.choice_of(attempt);
            self.call(attempt.slot, choice, Cause::Snapshot, ctx);
        }
        self.attempts.supersede_merged();
    }

    /// Moves to another snapshot because a shard does not hold this one; leaves
    /// the shard uncovered if that is not possible.
    pub(super) fn restart(&mut self, index: usize, ctx: &mut EventContext<'_>) {
        let in_time = self.suspicion.may_hedge()
            && hedge::in_time(
                ctx.now,
                ctx.balancer.expected_latency_any(),
                self.params.deadline,
            );
        if self.trace.newer_epoch > Some(self.pin.epoch) {
            self.stalled = in_time && !self.pin.restarted();
            if self.stalled {
                self.next_timer = self.next_timer.min(ctx.now.after(STALL_CHECK_INTERVAL));
                self.resume(ctx);
            } else {
                self.close(index);
            }
            return;
        }
        let shared = self.common_version(ctx).filter(|_| in_time);
        let epoch = self.pin.epoch;
        if shared.is_some_and(|version| self.pin.restart(version, epoch)) {
            self.restart_calls(ctx);
        } else {
            self.close(index);
        }
    }

    /// Restarts a stalled query on a view with a newer epoch, once there is
    /// one.
    pub(super) fn resume(&mut self, ctx: &mut EventContext<'_>) {
        let newer_view = self.newer_view.as_ref();
        let Some(view) =
            newer_view.filter(|view| self.stalled && view.catalog.epoch > self.pin.epoch)
        else {
            return;
        };
        let view = Arc::clone(view);
        let Some(kind) = view.catalog.kinds.get(&self.request.kind) else {
            return;
        };
        if !self.pin.restart(0, view.catalog.epoch) {
            return;
        }
        self.stalled = false;
        self.cancel(None, None, ctx);
        self.params.services.clone_from(&kind.rules.services);
        self.tally = CoverageTally::new(&self.params.services);
        self.slots = plan_slots(&view, kind, &self.params.services);
        self.revision = view.catalog.revision;
        self.view = Arc::clone(&view);
        ctx.balancer.sync(&view);
        self.restart_calls(ctx);
    }

    /// Switches to the leaves of a newer view. The shards stay those of the
    /// plan, because an answer is drawn from one configuration.
    pub(super) fn adopt_view(&mut self, view: Arc<View>) {
        let catalog = &view.catalog;
        for slot in &mut self.slots {
            let name = &self.params.services[slot.service];
            slot.shard = catalog.shard_of(name, slot.range).unwrap_or_default();
        }
        self.view = view;
    }

    fn restart_calls(&mut self, ctx: &mut EventContext<'_>) {
        self.trace.restarts += 1;
        self.cancel(None, None, ctx);
        self.attempts.supersede_merged();
        self.tally.clear();
        for slot in &mut self.slots {
            slot.reset();
        }
        self.open_slots = self.slots.len();
        self.call_all(Cause::Snapshot, ctx);
    }

    /// Returns the version that some replica of every shard is known to hold.
    fn common_version(&self, ctx: &EventContext<'_>) -> Option<u64> {
        let slots = self.slots.iter();
        shared_version(slots.map(|slot| {
            ctx.balancer
                .known_shard_versions(&self.view, slot.shard, ctx.now)
        }))
    }
}
