//! Updates the state of leaves, contents and calls when an exchange ends.

use std::time::Duration;

use super::{
    Admission,
    gate::{DroppedCall, Gate},
    job::{ConnectionState, Ending, Job, JobKey, LeafAnswer, Phase, Step},
};
use crate::modules::{
    call::{NotRun, Outcome, Reply, Unknown},
    catalog::LeafId,
    leaf_health::{Failure, may_eject},
    quarantine::InFlightCall,
    time::Time,
};

/// A call that times out counts as a failure of its leaf if it took at least this
/// many times the expected service time.
const SLOW_FACTOR: u32 = 4;

/// Counters of an [`Admission`] since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Calls dispatched to the edge.
    pub dispatched: u64,
    /// Calls refused by the relay itself.
    pub refused: u64,
    /// Calls cancelled by entries.
    pub cancelled: u64,
    /// Exchanges that ended after their call was cancelled.
    pub late: u64,
    /// Ejections of leaves.
    pub ejected: u64,
    /// Detected crashes of leaves with calls in flight.
    pub crashed: u64,
    /// Contents quarantined.
    pub quarantined: u64,
}

impl Admission {
    /// Handles the end of an exchange.
    pub fn finish(&mut self, key: JobKey, ending: &Ending, connection: ConnectionState, now: Time) {
        let Some(job) = self.remove(key) else {
            return;
        };
        let Phase::Running { since, wanted } = job.phase else {
            return;
        };
        let took = now.since(since);
        self.record_ending(&job, ending, since, now);
        self.record_trial(&job, ending);
        self.record_canary(&job, ending, now);
        self.record_completion(&job, ending, now);
        if wanted {
            let mut reply = self.reply_to(&job, ending.outcome(), took);
            if matches!(reply.outcome, Outcome::NotRun(_)) {
                reply.retry_after = self.opens_in(job.call.leaf, now);
            }
            self.deliver_or_hold(&job, ending, reply);
        } else {
            self.counts.late += 1;
        }
        let leaf = job.call.leaf;
        match connection {
            ConnectionState::Kept => self.released(leaf, true, now),
            ConnectionState::Closed => self.released(leaf, false, now),
            ConnectionState::Closing => {}
        }
        if job.alone {
            self.release_held(job.part.fingerprint, now);
            self.start_trials(now);
        }
        self.end_canary(&job, now);
    }

    /// Delivers a reply. If a trial lost its connection, its reply is held until
    /// the probe shows whether the leaf is alive, so that entries learn of a
    /// quarantine before they receive the reply.
    fn deliver_or_hold(&mut self, job: &Job, ending: &Ending, reply: Reply) {
        let trial = job.alone && *ending == Ending::Lost(Unknown::Closed);
        let gate = self.gates.get_mut(&job.call.leaf).filter(|_| trial);
        let probed = gate.filter(|gate| gate.closing > 0);
        match probed.and_then(|gate| gate.dropped_calls.last_mut()) {
            Some(dropped) => dropped.reply = Some((job.session, reply)),
            None => self.steps.push(Step::Deliver(job.session, reply)),
        }
    }

    /// Delivers the replies that were held for a probe.
    fn deliver_held(&mut self, leaf: LeafId) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let held = gate
            .dropped_calls
            .iter_mut()
            .filter_map(|dropped| dropped.reply.take());
        let held: Vec<_> = held.collect();
        let steps = held.into_iter().map(|(to, reply)| Step::Deliver(to, reply));
        self.steps.extend(steps);
    }

    /// Handles the close of an abandoned call's connection.
    pub fn abandoned(&mut self, key: JobKey, now: Time) {
        if let Some(job) = self.remove(key) {
            self.released(job.call.leaf, false, now);
            self.end_canary(&job, now);
        }
    }

    /// Handles the release of a call's connection.
    pub fn released(&mut self, leaf: LeafId, kept: bool, now: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        gate.release(kept);
        if gate.kept > gate.slots && gate.take_kept() {
            self.steps.push(Step::CloseKept(leaf, 1));
        }
        self.connection_freed(leaf, now);
    }

    /// Handles the close of a kept connection or of a probe's connection.
    pub fn closed(&mut self, leaf: LeafId, now: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        gate.closing = gate.closing.saturating_sub(1);
        self.connection_freed(leaf, now);
    }

    /// Handles the result of a probe: whether the leaf accepted a connection.
    pub fn probed(&mut self, leaf: LeafId, alive: bool, now: Time) {
        if !alive {
            self.record_unreachable(leaf, now);
        }
        self.deliver_held(leaf);
        self.closed(leaf, now);
    }

    /// Reacts to a released or closed connection of a leaf: starts waiting calls,
    /// closes the kept connections of a leaf that is leaving, and drops one that is
    /// no longer configured.
    fn connection_freed(&mut self, leaf: LeafId, now: Time) {
        if self.view.catalog.leaf(leaf).is_none() {
            return self.drop_gate(leaf);
        }
        let drained = |gate: &Gate| gate.leaving() && gate.busy == 0;
        if self.gates.get(&leaf).is_some_and(drained) {
            self.close_kept(leaf);
        }
        self.start_waiting(leaf, now);
    }

    fn record_ending(&mut self, job: &Job, ending: &Ending, since: Time, now: Time) {
        let leaf = job.call.leaf;
        let took = now.since(since);
        match ending {
            Ending::Answered(answer) => self.record_answer(job, answer, since, now),
            Ending::Unreachable => self.record_unreachable(leaf, now),
            Ending::Lost(Unknown::Closed) => {
                self.record_call_failure(leaf, now);
                self.record_dropped_call(job, now);
            }
            Ending::Lost(Unknown::Timeout) => self.record_timeout(job, took, now),
            Ending::Unsent | Ending::Lost(_) => self.record_call_failure(leaf, now),
        }
    }

    /// Updates the state of a leaf from its answer.
    fn record_answer(&mut self, job: &Job, answer: &LeafAnswer, since: Time, now: Time) {
        let leaf = job.call.leaf;
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.past_incarnations.contains(&answer.incarnation) {
            return;
        }
        let (known, reported) = (gate.incarnation, answer.incarnation);
        if known == 0 {
            gate.incarnation = reported;
        } else if reported != 0 && known != reported {
            gate.reset(answer.incarnation);
            self.record_crash(leaf, now);
        }
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let (unresolved, settled) = gate
            .dropped_calls
            .drain(..)
            .partition(|dropped| since < dropped.at);
        gate.dropped_calls = unresolved;
        let settled: Vec<DroppedCall> = settled;
        for dropped in settled {
            self.quarantine
                .clear_unless_crashed(dropped.call.fingerprint);
            let held = dropped.reply.map(|(to, reply)| Step::Deliver(to, reply));
            self.steps.extend(held);
        }
        if gate.health.record_answer() {
            gate.limit.reset();
        }
        match &answer.outcome {
            Outcome::Rows(_) => {
                gate.service_time_mut(job.kind).add(now.since(since), now);
                gate.throughput.add(now);
                gate.limit.record_answer();
            }
            Outcome::NotRun(NotRun::Shed) => gate.limit.record_shed(),
            _ => {}
        }
        if answer.draining {
            self.mark_draining(leaf);
            if let Some(gate) = self.gates.get_mut(&leaf) {
                gate.serves_until = None;
            }
        }
        if self.gates.get(&leaf).is_some_and(|gate| gate.refuses(now)) {
            self.refuse_waiting(leaf, NotRun::Draining);
        }
    }

    /// Records that a leaf is draining in its current incarnation.
    pub(super) fn mark_draining(&mut self, leaf: LeafId) {
        let Some(gate) = self.gates.get_mut(&leaf).filter(|gate| !gate.draining) else {
            return;
        };
        let listed = self.view.incarnations.get(&leaf).copied();
        gate.drain(listed.unwrap_or_default());
        self.departed.add(leaf, listed.unwrap_or_default());
    }

    /// Records a call that timed out. It counts as a failure only if it took far
    /// longer than expected.
    fn record_timeout(&mut self, job: &Job, took: Duration, now: Time) {
        let Some(gate) = self.gates.get_mut(&job.call.leaf) else {
            return;
        };
        let service = gate.service_time_mut(job.kind);
        let expected = service.mean(now);
        service.add(took, now);
        if took >= expected * SLOW_FACTOR {
            self.record_call_failure(job.call.leaf, now);
        }
    }

    fn record_call_failure(&mut self, leaf: LeafId, now: Time) {
        self.record_failure(leaf, Failure::Call, now);
    }

    /// Records that no connection to a leaf can be opened.
    fn record_unreachable(&mut self, leaf: LeafId, now: Time) {
        self.record_failure(leaf, Failure::Unreachable, now);
        self.record_crash(leaf, now);
        if self.adaptive() {
            self.refuse_waiting(leaf, NotRun::Unreachable);
        }
        self.close_kept(leaf);
    }

    fn record_failure(&mut self, leaf: LeafId, failure: Failure, now: Time) {
        let Some(gate) = self.gates.get(&leaf) else {
            return;
        };
        let same_service = self.gates.values().filter(|g| g.service == gate.service);
        let ejected = same_service.filter(|g| g.health.ejected()).count();
        let allowed = may_eject(ejected, gate.service_leaves);
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.health.record_failure(failure, allowed, now) {
            gate.limit.reset();
            self.counts.ejected += 1;
        }
        if gate.health.ejected() && self.adaptive() {
            self.refuse_waiting(leaf, NotRun::Ejected);
        }
    }

    /// Records a call whose connection closed, and probes whether its leaf is
    /// alive.
    fn record_dropped_call(&mut self, job: &Job, now: Time) {
        let leaf = job.call.leaf;
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let call = InFlightCall {
            fingerprint: job.part.fingerprint,
            alone: job.alone,
        };
        let forwarded = job.part.forward.is_some();
        gate.dropped_calls.push(DroppedCall {
            call,
            forwarded,
            reported: forwarded && !job.part.is_trial(),
            suspect: !forwarded || !self.cleared.contains(call.fingerprint, now),
            at: now,
            reply: None,
        });
        // Leaves also lose replies to forwarded requests without crashing, so
        // only a detected crash makes the content a suspect.
        if !forwarded {
            self.quarantine.record_dropped_call(call, now);
        }
        if gate.may_probe() {
            gate.closing += 1;
            self.steps.push(Step::Probe(leaf));
        }
        if call.alone {
            self.refuse_content(call.fingerprint);
        }
    }

    /// Records the crash of a leaf: its in-flight contents become suspects, and
    /// those that ran alone are quarantined.
    fn record_crash(&mut self, leaf: LeafId, now: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.dropped_calls.is_empty() {
            return;
        }
        let dropped_calls = std::mem::take(&mut gate.dropped_calls);
        let suspects = dropped_calls.iter().filter(|dropped| dropped.suspect);
        // The evidence of the fleet decides about forwarded content, and may be withdrawn.
        let in_flight = suspects.map(|dropped| InFlightCall {
            alone: dropped.call.alone && !dropped.forwarded,
            ..dropped.call
        });
        let in_flight: Vec<InFlightCall> = in_flight.collect();
        self.counts.crashed += 1;
        self.report_crash(leaf, &dropped_calls, now);
        let quarantined = self.quarantine.record_crash(&in_flight, now);
        for dropped in dropped_calls {
            let content = dropped.call.fingerprint;
            if quarantined.contains(&content) {
                self.counts.quarantined += 1;
                let then = dropped.reply;
                self.steps.push(Step::Quarantine { content, then });
                self.refuse_content(content);
            } else if let Some((session, reply)) = dropped.reply {
                self.steps.push(Step::Deliver(session, reply));
            }
        }
    }

    fn record_trial(&mut self, job: &Job, ending: &Ending) {
        if !job.alone {
            return;
        }
        let fingerprint = job.part.fingerprint;
        self.quarantine.end_trial(fingerprint);
        if has_rows(ending) {
            self.quarantine.clear(fingerprint);
        }
    }

    /// Clears the content of a forwarded call that its leaf answered, be it with a
    /// failure: content that crashes leaves crashes each leaf that begins to run it.
    /// Callers repeat forwarded requests, so such content is often in flight on a leaf
    /// that fails for another reason.
    fn record_completion(&mut self, job: &Job, ending: &Ending, now: Time) {
        if job.part.forward.is_none() {
            return;
        }
        if !was_run(ending) {
            if job.part.is_trial() && matches!(ending, Ending::Lost(_)) {
                self.report_failed_trial(job);
            }
            return;
        }
        let content = job.part.fingerprint;
        self.cleared.add(content, now);
        self.quarantine.clear(content);
        self.report_completion(job);
        if !job.alone {
            self.release_held(content, now);
        }
    }

    pub(super) fn close_kept(&mut self, leaf: LeafId) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let mut count = 0;
        while gate.take_kept() {
            count += 1;
        }
        if count > 0 {
            self.steps.push(Step::CloseKept(leaf, count));
        }
    }
}

/// Returns whether a leaf ran the call and answered it.
fn was_run(ending: &Ending) -> bool {
    let Ending::Answered(answer) = ending else {
        return false;
    };
    matches!(answer.outcome, Outcome::Rows(_) | Outcome::Failed(_))
}

fn has_rows(ending: &Ending) -> bool {
    matches!(ending, Ending::Answered(answer) if matches!(answer.outcome, Outcome::Rows(_)))
}
