//! Handles replies: merges rows and decides what follows other outcomes.

use super::{
    Query,
    event::EventContext,
    plan::{Attempt, CallHistory},
};
use crate::modules::{
    answer::{AttemptStatus, Cause, ForwardedReply, is_json_array},
    call::{FailedReply, HeldVersions, NotRun, Outcome, Rows, Unknown},
    inventory::Format,
    snapshot::RowsVerdict,
};

impl Query {
    /// Handles the outcome of an attempt and returns its status.
    pub(super) fn handle_outcome(
        &mut self,
        attempt: Attempt,
        outcome: Outcome,
        ctx: &mut EventContext<'_>,
    ) -> AttemptStatus {
        match outcome {
            Outcome::Rows(rows) => self.handle_rows(attempt, rows, ctx),
            Outcome::Elsewhere(held) => {
                self.handle_elsewhere(attempt, held, ctx);
                AttemptStatus::Elsewhere
            }
            Outcome::NotRun(why) => {
                self.handle_not_run(attempt, why, ctx);
                AttemptStatus::NotRun(why)
            }
            Outcome::Unknown(why) => {
                self.handle_unknown(attempt, why, ctx);
                AttemptStatus::Unknown(why)
            }
            Outcome::Failed(failed) => {
                self.handle_failed(attempt, failed, ctx);
                AttemptStatus::Failed
            }
        }
    }

    fn handle_rows(
        &mut self,
        attempt: Attempt,
        rows: Rows,
        ctx: &mut EventContext<'_>,
    ) -> AttemptStatus {
        if self.suspicion.on_rows(attempt.id) {
            self.next_timer = ctx.now;
            ctx.clear_content(&self.suspecting_relays, self.trace.fingerprint);
        }
        let planned = self.slots[attempt.slot].range;
        let verdict = if self.params.format != Format::Json || is_json_array(&rows.body) {
            self.pin.classify(attempt.version, planned, &rows)
        } else {
            RowsVerdict::Discard
        };
        match verdict {
            RowsVerdict::Merge => return self.merge(attempt, rows, ctx),
            RowsVerdict::Lowered => {
                self.refetch_merged(ctx);
                return self.merge(attempt, rows, ctx);
            }
            RowsVerdict::AskAgain => {
                self.trace.restarts += 1;
                let choice = self.choice_of(attempt);
                self.call(attempt.slot, choice, Cause::Snapshot, ctx);
            }
            RowsVerdict::Discard => {
                self.slots[attempt.slot].history = CallHistory::MaybeRun;
                self.retry(attempt.slot, true, ctx);
            }
        }
        self.trace.mismatched += 1;
        AttemptStatus::Mismatched
    }

    fn merge(&mut self, attempt: Attempt, rows: Rows, ctx: &mut EventContext<'_>) -> AttemptStatus {
        let slot = &mut self.slots[attempt.slot];
        self.open_slots -= 1;
        if !self.tally.add(slot.service, slot.range) {
            slot.closed = true;
            return AttemptStatus::Mismatched;
        }
        slot.body = Some(rows.body);
        slot.origin = rows.origin;
        if slot.pending > 0 {
            self.cancel(Some(attempt.slot), Some(attempt.id), ctx);
        }
        AttemptStatus::Merged
    }

    fn handle_elsewhere(
        &mut self,
        attempt: Attempt,
        held: HeldVersions,
        ctx: &mut EventContext<'_>,
    ) {
        if held.epoch > self.pin.epoch {
            self.trace.newer_epoch = self.trace.newer_epoch.max(Some(held.epoch));
        }
        self.suspicion.on_not_run(attempt.id);
        self.slots[attempt.slot].record_not_run();
        let slot = &self.slots[attempt.slot];
        if slot.pending > 0 {
            return;
        }
        let other = self.choose(attempt.slot, ctx);
        let allowed = slot.may_call() && self.suspicion.may_call();
        match other.filter(|_| allowed) {
            Some(choice) => self.call(attempt.slot, choice, Cause::Snapshot, ctx),
            None => self.restart(attempt.slot, ctx),
        }
    }

    fn handle_not_run(&mut self, attempt: Attempt, why: NotRun, ctx: &mut EventContext<'_>) {
        self.suspicion.on_not_run(attempt.id);
        // A relay also refuses a call as expired if too many others wait. The queue may be
        // shorter later, and a caller without a target latency waits until its deadline.
        let queued = why == NotRun::Expired && !self.params.forwarded;
        let reason = if queued { NotRun::QueueFull } else { why };
        let slot = &mut self.slots[attempt.slot];
        slot.history = slot.history.after_not_run(reason);
        slot.record_not_run();
        if attempt.delegated {
            return self.reroute(attempt, ctx);
        }
        match why {
            NotRun::Quarantined => {
                self.suspicion.confirm();
                self.close(attempt.slot);
            }
            NotRun::Suspected => {
                self.suspicion.on_suspected();
                self.suspecting_relays.push(attempt.relay);
                self.retry(attempt.slot, false, ctx);
            }
            NotRun::Leaving => {
                ctx.balancer.relay_leaving(attempt.relay, ctx.now);
                self.reroute(attempt, ctx);
            }
            NotRun::Unreachable if ctx.balancer.link_failed(attempt.relay, attempt.sent) => {
                self.reroute(attempt, ctx);
            }
            NotRun::Shed | NotRun::QueueFull if attempt.cause == Cause::Hedge => {
                self.replace_hedge(attempt.slot, ctx);
            }
            NotRun::Shed | NotRun::QueueFull if self.competes(attempt.slot, ctx) => {
                self.leave_out_shard(attempt.slot);
            }
            NotRun::Shed | NotRun::QueueFull | NotRun::Expired => {
                self.retry(attempt.slot, true, ctx);
            }
            NotRun::Declined => self.retry(attempt.slot, true, ctx),
            NotRun::Unreachable
            | NotRun::Deferred
            | NotRun::Draining
            | NotRun::Cancelled
            | NotRun::NotOwner
            | NotRun::Ejected => self.retry(attempt.slot, false, ctx),
        }
    }

    fn handle_unknown(&mut self, attempt: Attempt, why: Unknown, ctx: &mut EventContext<'_>) {
        self.slots[attempt.slot].history = CallHistory::MaybeRun;
        if !self.params.repeatable || why == Unknown::Exhausted {
            self.close(attempt.slot);
        } else if self.params.forwarded {
            self.retry(attempt.slot, true, ctx);
        } else if why != Unknown::Closed {
            self.suspicion.on_no_rows(attempt.id);
            self.retry(attempt.slot, true, ctx);
        } else if ctx.balancer.link_failed(attempt.relay, attempt.sent) {
            self.reroute(attempt, ctx);
        } else {
            self.suspicion.on_connection_closed(attempt.id);
            self.suspecting_relays.push(attempt.relay);
            self.retry(attempt.slot, false, ctx);
        }
    }

    /// Keeps the failure reply of a request's only leaf, in case no better
    /// reply arrives. The failure of one shard among several is not an answer.
    fn handle_failed(&mut self, attempt: Attempt, failed: FailedReply, ctx: &mut EventContext<'_>) {
        self.slots[attempt.slot].history = CallHistory::MaybeRun;
        if self.params.format == Format::Whole {
            self.failed_reply = Some(ForwardedReply {
                origin: failed.origin,
                body: failed.body,
            });
        }
        if self.params.repeatable {
            self.retry(attempt.slot, true, ctx);
        } else {
            self.close(attempt.slot);
        }
    }
}
