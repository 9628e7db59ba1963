//! Moves a query to another snapshot.

use std::{sync::Arc, time::Duration};

use super::{
    Query,
    plan::{Flight, slots},
    turn::Turn,
};
use crate::modules::{answer::Cause, coverage::Tally, hedge, snapshot::shared_version, view::View};

/// Time until a stalled query is given the newest view again.
pub(super) const STALL_LOOK: Duration = Duration::from_millis(10);

impl Query {
    /// Asks for the pinned version where rows of another were merged.
    pub(super) fn ask_merged_again(&mut self, turn: &mut Turn<'_>) {
        self.trace.restarts += 1;
        self.tally.clear();
        let merged: Vec<Flight> = self
            .flights
            .0
            .iter()
            .copied()
            .filter(Flight::merged)
            .collect();
        for flight in merged {
            self.slots[flight.slot].reset();
            self.open += 1;
            let choice = self.same(flight);
            self.call(flight.slot, choice, Cause::Snapshot, turn);
        }
        self.flights.discard_merged();
    }

    /// Moves to another snapshot after a shard does not hold this one; leaves
    /// the shard uncovered if that is not possible.
    pub(super) fn restart(&mut self, index: usize, turn: &mut Turn<'_>) {
        let in_time = self.suspicion.may_hedge()
            && hedge::in_time(turn.now, turn.tier.expected_any(), self.terms.deadline);
        if self.trace.newer_epoch > Some(self.pin.epoch) {
            self.stalled = in_time && !self.pin.restarted();
            if self.stalled {
                self.wake = self.wake.min(turn.now.after(STALL_LOOK));
                self.resume(turn);
            } else {
                self.close(index);
            }
            return;
        }
        let shared = self.held_somewhere(turn).filter(|_| in_time);
        let epoch = self.pin.epoch;
        if shared.is_some_and(|version| self.pin.restart(version, epoch)) {
            self.begin_again(turn);
        } else {
            self.close(index);
        }
    }

    /// Restarts a stalled query on a newer view of a newer epoch, once there
    /// is one.
    pub(super) fn resume(&mut self, turn: &mut Turn<'_>) {
        let newer = self.newer.as_ref();
        let Some(view) = newer.filter(|view| self.stalled && view.catalog.epoch > self.pin.epoch)
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
        self.cancel(None, None, turn);
        self.terms.services.clone_from(&kind.rules.services);
        self.tally = Tally::new(&self.terms.services);
        self.slots = slots(&view, kind, &self.terms.services);
        self.revision = view.catalog.revision;
        self.view = Arc::clone(&view);
        turn.tier.sync(&view);
        self.begin_again(turn);
    }

    /// Takes the leaves of a newer view. The shards stay those of the plan: an
    /// answer is drawn from one configuration.
    pub(super) fn follow(&mut self, view: Arc<View>) {
        let catalog = &view.catalog;
        for slot in &mut self.slots {
            let name = &self.terms.services[slot.service];
            slot.shard = catalog.shard_of(name, slot.range).unwrap_or_default();
        }
        self.view = view;
    }

    fn begin_again(&mut self, turn: &mut Turn<'_>) {
        self.trace.restarts += 1;
        self.cancel(None, None, turn);
        self.flights.discard_merged();
        self.tally.clear();
        for slot in &mut self.slots {
            slot.reset();
        }
        self.open = self.slots.len();
        self.call_all(Cause::Snapshot, turn);
    }

    /// Returns the version that some replica of every shard is known to hold.
    fn held_somewhere(&self, turn: &Turn<'_>) -> Option<u64> {
        let slots = self.slots.iter();
        shared_version(slots.map(|slot| turn.tier.known_of_shard(&self.view, slot.shard, turn.now)))
    }
}
