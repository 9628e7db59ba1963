//! Sends a canary call ahead of the others, so that content that crashes
//! backend servers reaches one of them rather than one of each shard.
//!
//! All entries send it to the same leaf, whose relay runs one copy of the
//! content at a time.

use super::{Query, calls::late_time, event::EventContext, plan::Slot};
use crate::modules::{answer::Cause, time::Time};

/// Maximum canary calls in flight for content of unknown effect; another is
/// sent only when the one before is late.
const MAX_CANARY_CALLS: u32 = 3;

/// Divisor of the time for the answer: after that part of it, the other calls
/// are sent even if no canary call has returned.
const CANARY_TIMEOUT_DIVISOR: u32 = 4;

/// State of the canary call that the other calls wait for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Canary {
    /// No canary is needed, or the other calls no longer wait for it.
    #[default]
    Inactive,
    /// The next plan sends only a canary call.
    Due,
    /// Canary calls are in flight.
    Waiting {
        /// Their number.
        calls: u32,
        /// When the latest canary call is late.
        until: Time,
    },
}

impl Query {
    /// Decides whether a canary call is sent ahead of the others.
    pub(super) fn plan_canary(&mut self, enabled: bool, ctx: &EventContext<'_>) {
        let content = self.trace.fingerprint;
        let unknown = enabled && !ctx.balancer.cleared.contains(content, ctx.now);
        let needed = !self.slots.is_empty() && (unknown || self.request.is_trial());
        self.canary = if needed {
            Canary::Due
        } else {
            Canary::Inactive
        };
        self.trace.canary = needed;
    }

    /// Sends the canary call to a slot picked by the content's fingerprint, so
    /// that not all requests start with the same shard.
    pub(super) fn send_canary(&mut self, ctx: &mut EventContext<'_>) {
        if !self.call_next_canary(1, ctx) {
            self.end_canary(ctx);
        }
    }

    /// Updates the canary after a call ended; `ran` is whether a backend server
    /// ran the content without crashing.
    pub(super) fn update_canary(&mut self, ran: bool, ctx: &mut EventContext<'_>) {
        if ran && self.trace.canary {
            ctx.balancer.cleared.add(self.trace.fingerprint, ctx.now);
        }
        let Canary::Waiting { .. } = self.canary else {
            return;
        };
        let idle = |slot: &Slot| !slot.is_open() || slot.uncalled() || slot.held();
        if self.suspicion.confirmed() {
            self.give_up();
        } else if ran {
            self.end_canary(ctx);
        } else if self.slots.iter().all(idle) {
            if self.request.is_trial() {
                return self.give_up();
            }
            self.send_canary(ctx);
        }
    }

    /// Sends no further calls.
    fn give_up(&mut self) {
        self.canary = Canary::Inactive;
        for index in 0..self.slots.len() {
            self.close(index);
        }
    }

    /// Sends another canary call if the latest is late, or the other calls if no
    /// canary call has returned by the canary deadline.
    pub(super) fn on_canary_timer(&mut self, ctx: &mut EventContext<'_>) {
        let Canary::Waiting { calls, until } = self.canary else {
            return;
        };
        if !self.suspicion.may_hedge() || until > ctx.now || self.request.is_trial() {
            return;
        }
        let running = self.slots.iter().any(|slot| slot.pending > 0);
        let at_limit = calls >= MAX_CANARY_CALLS;
        let deadline = self.canary_deadline(ctx.now);
        if ctx.now >= self.canary_deadline(self.started) && (running || at_limit) {
            self.end_canary(ctx);
        } else if at_limit {
            self.wait_for_canary(calls, deadline);
        } else if !self.call_next_canary(calls + 1, ctx) {
            self.wait_for_canary(calls + 1, deadline);
            self.hedge_pending(ctx);
        }
    }

    /// Returns when the latest canary call is late, if the other calls wait for
    /// it and the content is not suspected: a call that tests suspected content
    /// runs alone.
    pub(super) fn canary_late_at(&self) -> Option<Time> {
        match self.canary {
            Canary::Waiting { until, .. }
                if self.suspicion.may_hedge() && !self.request.is_trial() =>
            {
                Some(until)
            }
            _ => None,
        }
    }

    /// Sends a canary call to the next slot that was not called, starting at
    /// the slot picked by the content's fingerprint. Returns whether a call was
    /// sent.
    fn call_next_canary(&mut self, calls: u32, ctx: &mut EventContext<'_>) -> bool {
        let count = self.slots.len();
        let first = usize::try_from(self.trace.fingerprint % count as u64).unwrap_or_default();
        for index in (first..count).chain(0..first) {
            let slot = &self.slots[index];
            if !slot.is_open() || slot.calls() > 0 {
                continue;
            }
            if let Some(choice) = self.choose(index, ctx) {
                let until = late_time(choice.id, ctx).min(self.canary_deadline(ctx.now));
                self.wait_for_canary(calls, until);
                self.call(index, choice, Cause::First, ctx);
                return true;
            }
        }
        false
    }

    /// Hedges the first slot with a pending call, because no other slot can be
    /// called.
    fn hedge_pending(&mut self, ctx: &mut EventContext<'_>) {
        let pending = |slot: &Slot| slot.is_open() && slot.pending > 0;
        if let Some(index) = self.slots.iter().position(pending) {
            self.hedge(index, ctx);
        }
    }

    fn wait_for_canary(&mut self, calls: u32, until: Time) {
        self.canary = Canary::Waiting { calls, until };
        self.next_timer = self.next_timer.min(until);
    }

    /// Returns the time until which the other calls wait for a canary call: a
    /// fixed part of the time for the answer, from the start or, once that has
    /// passed with no call in flight, from `now`.
    fn canary_deadline(&self, now: Time) -> Time {
        let part = self.params.deadline.since(self.started) / CANARY_TIMEOUT_DIVISOR;
        let first = self.started.after(part);
        if now < first { first } else { now.after(part) }
    }

    fn end_canary(&mut self, ctx: &mut EventContext<'_>) {
        let postponed = self.canary_late_at();
        self.canary = Canary::Inactive;
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            if slot.is_open() && slot.uncalled() {
                self.call_first(index, ctx);
            } else if slot.pending > 0 && Some(slot.hedge_at) == postponed {
                slot.hedge_at = ctx.now;
                self.next_timer = ctx.now;
            }
        }
    }
}
