//! Keeps to what leaves ask for in their answers.

use std::time::Duration;

use super::{
    Admission,
    gate::Gate,
    job::{Job, JobKey, Phase, Step},
};
use crate::modules::{
    call::{NotRun, Outcome},
    catalog::LeafId,
    leaf_notice::{LeafEvent, LeafNotice, MAX_PAUSE},
    ownership::mix,
    rate_limit::RateLimit,
    shares::LeafShare,
    time::Time,
    view::View,
};

/// Fraction of a named limit that the fleet uses. The rest is left for calls after which
/// processes learn whether the limit still holds.
const USED_FRACTION: f64 = 0.9;

/// Calls that a leaf takes in the time after which a limit counts as lifted that no
/// answer has confirmed, per process that may want to call the leaf.
const UNCONFIRMED_CALLS: f64 = 10.0;

/// Shortest and longest time after which such a limit counts as lifted.
const MIN_UNCONFIRMED: Duration = Duration::from_secs(10);
const MAX_UNCONFIRMED: Duration = Duration::from_mins(10);

/// Fraction of a pause, and longest time, over which its end is spread.
const PAUSE_SPREAD: f64 = 0.1;
const MAX_PAUSE_SPREAD: Duration = Duration::from_millis(250);

/// A limit that a leaf named in its answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedLimit {
    /// Calls a second that the leaf takes from the whole fleet.
    total: f64,
    /// This process's part of them; none if other processes make all calls.
    own: Option<RateLimit>,
    /// Number of processes that may want to call the leaf.
    callers: usize,
    /// When the leaf last named it.
    named: Time,
    /// When it counts as lifted if no answer confirms it.
    lifted_at: Time,
}

impl NamedLimit {
    /// Creates the limit that a leaf names for the first time.
    fn new(total: f64, share: LeafShare, draw: u64, now: Time) -> Self {
        let mut limit = Self {
            total,
            own: None,
            callers: share.callers,
            named: now,
            lifted_at: now,
        };
        limit.adapt(share, draw, now);
        limit.confirm(draw, now);
        limit
    }

    /// Adapts the process's part to its share.
    fn adapt(&mut self, share: LeafShare, draw: u64, now: Time) {
        self.callers = share.callers;
        let rate = self.total * USED_FRACTION * share.fraction;
        match &mut self.own {
            _ if share.fraction <= 0.0 => self.own = None,
            Some(own) => own.set_rate(rate, now),
            None => self.own = Some(RateLimit::new(rate, draw, now)),
        }
    }

    /// Records that the leaf names the limit again. Until when it holds differs between
    /// processes, so that those which make no calls do not all return together.
    #[allow(clippy::cast_precision_loss, reason = "fleets are small")]
    fn confirm(&mut self, draw: u64, now: Time) {
        let wait = UNCONFIRMED_CALLS * self.callers as f64 / self.total.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_UNCONFIRMED);
        let wait = wait.clamp(MIN_UNCONFIRMED, MAX_UNCONFIRMED);
        let spread = wait.mul_f64(draw as f64 / u64::MAX as f64);
        self.named = now;
        self.lifted_at = now.after(wait + spread);
    }

    /// Returns when the process may make the next call.
    fn opens_at(&self) -> Time {
        let next = self.own.map_or(Time::MAX, |own| own.next_permit());
        next.min(self.lifted_at)
    }
}

/// A pause that a leaf asked for. It lasts until the leaf answers a call after its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    /// Until when the leaf wants no calls.
    until: Time,
    /// Whether a call was sent after its end.
    resumed: bool,
}

impl Gate {
    /// Returns when the leaf takes the next call; `None` if it takes one now.
    pub(super) fn opens_at(&self, now: Time) -> Option<Time> {
        let limit = self.named_limit.map(|limit| limit.opens_at());
        let limit = limit.max(self.warm_up.map(|limit| limit.opens_at()));
        let pause = self.pause.map(|pause| pause.until);
        limit.max(pause).filter(|next| *next > now)
    }

    /// Counts a call that starts now. Returns whether it is the first after a pause.
    pub(super) fn count_start(&mut self, now: Time) -> bool {
        self.use_permit(now);
        let pause = self.pause.as_mut().filter(|pause| !pause.resumed);
        let Some(pause) = pause else {
            return false;
        };
        pause.resumed = true;
        true
    }

    fn use_permit(&mut self, now: Time) {
        for limit in [&mut self.named_limit, &mut self.warm_up] {
            let Some(known) = limit else {
                continue;
            };
            if now >= known.lifted_at {
                *limit = None;
            } else if let Some(own) = &mut known.own {
                own.take(now);
            }
        }
    }
}

impl Admission {
    /// Handles the notice in the answer to a call, before the end of its exchange.
    pub fn notice(&mut self, key: JobKey, notice: LeafNotice, now: Time) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Phase::Running { since, .. } = job.phase else {
            return;
        };
        job.load = notice.load;
        let leaf = job.call.leaf;
        if let Some(gate) = self.gates.get_mut(&leaf) {
            gate.reports_pace |= notice.load.is_some_and(|load| load.pace.is_some());
        }
        if notice.malformed {
            self.note(leaf, |leaf| LeafEvent::Malformed { leaf });
        }
        if notice.leaving {
            self.leave_leaf(leaf, now);
        }
        match notice.pause {
            Some(pause) => self.start_pause(leaf, pause, now),
            None => self.end_pause(leaf, since),
        }
        match notice.limit {
            Some(total) => self.set_limit(leaf, total, now),
            None => self.end_limit(leaf, since),
        }
    }

    /// Sends nothing more to a leaf that says it is leaving, until its next incarnation,
    /// unless it may still be called for a while.
    fn leave_leaf(&mut self, leaf: LeafId, now: Time) {
        if self.gates.get(&leaf).is_none_or(|gate| gate.draining) {
            return;
        }
        self.note(leaf, |leaf| LeafEvent::Leaving { leaf });
        self.mark_draining(leaf);
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        gate.said_leaving.get_or_insert(now);
        gate.serves_until = super::serves_until(&self.view, leaf, gate);
        if gate.refuses(now) {
            self.refuse_waiting(leaf, NotRun::Draining);
        }
    }

    /// Sends nothing to a leaf that wants no calls, until its pause is over. The end
    /// differs a little between processes and pauses, so that not all return at once.
    #[allow(clippy::cast_precision_loss, reason = "the result is a fraction")]
    fn start_pause(&mut self, leaf: LeafId, pause: Duration, now: Time) {
        let draw = mix(leaf.0 ^ now.0) as f64 / u64::MAX as f64;
        let pause = pause.min(MAX_PAUSE);
        let spread = pause.mul_f64(PAUSE_SPREAD).min(MAX_PAUSE_SPREAD);
        let until = now.after(pause + spread.mul_f64(draw));
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let known = gate.pause.replace(Pause {
            until,
            resumed: false,
        });
        if known.is_none_or(|known| known.resumed) {
            self.note(leaf, |leaf| LeafEvent::Paused { leaf, pause });
        }
        self.defer_waiting(leaf, now);
    }

    /// Ends the pause of a leaf that answers a call which was sent after the pause. An
    /// answer to an earlier call says nothing about it.
    fn end_pause(&mut self, leaf: LeafId, sent: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.pause.is_some_and(|pause| sent >= pause.until) {
            gate.pause = None;
        }
    }

    /// Adds a step that logs what a leaf asks for.
    pub(super) fn note(&mut self, leaf: LeafId, event: impl FnOnce(String) -> LeafEvent) {
        if let Some(gate) = self.gates.get(&leaf) {
            self.steps.push(Step::Note(event(gate.name.clone())));
        }
    }

    /// Starts or changes the limit of a leaf.
    fn set_limit(&mut self, leaf: LeafId, total: f64, now: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let draw = mix(leaf.0 ^ now.0);
        let known = gate.named_limit.as_mut();
        if let Some(limit) = known.filter(|limit| limit.total.to_bits() == total.to_bits()) {
            return limit.confirm(draw, now);
        }
        let share = own_share(&self.view, leaf, gate, total);
        if let Some(limit) = &mut gate.named_limit {
            limit.total = total;
            limit.adapt(share, draw, now);
            return limit.confirm(draw, now);
        }
        gate.named_limit = Some(NamedLimit::new(total, share, draw, now));
        let own = total * share.fraction;
        self.note(leaf, |leaf| LeafEvent::Limited { leaf, total, own });
        self.defer_waiting(leaf, now);
    }

    /// Ends the limit of a leaf that answers without one, if the call was sent after the
    /// leaf last named it.
    fn end_limit(&mut self, leaf: LeafId, sent: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.named_limit.is_some_and(|limit| sent > limit.named) {
            gate.named_limit = None;
            self.note(leaf, |leaf| LeafEvent::Unlimited { leaf });
        }
    }

    /// Adapts the process's part of a leaf's limit to its share in the current view.
    pub(super) fn share_limit(&mut self, leaf: LeafId, now: Time) {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if let Some(mut limit) = gate.named_limit {
            let share = own_share(&self.view, leaf, gate, limit.total);
            limit.adapt(share, mix(leaf.0 ^ now.0), now);
            gate.named_limit = Some(limit);
        }
    }

    /// Starts, adapts or ends the limit of a leaf that is cold.
    pub(super) fn limit_cold(&mut self, leaf: LeafId, now: Time) {
        let cold = self.view.cold.get(&leaf).copied();
        let cold = cold.filter(|cold| now < cold.until);
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let Some(cold) = cold else {
            gate.warm_up = None;
            return;
        };
        let share = own_share(&self.view, leaf, gate, cold.rate);
        let draw = mix(leaf.0 ^ now.0);
        let mut limit = gate
            .warm_up
            .unwrap_or_else(|| NamedLimit::new(cold.rate, share, draw, now));
        limit.total = cold.rate;
        limit.adapt(share, draw, now);
        limit.lifted_at = cold.until;
        gate.warm_up = Some(limit);
        if gate.opens_at(now).is_some() {
            self.defer_waiting(leaf, now);
        }
    }

    /// Refuses a call to a leaf that takes none now, and says when it takes the next.
    pub(super) fn defer(&mut self, job: &Job, now: Time) {
        self.counts.refused += 1;
        let mut reply = self.reply_to(job, Outcome::NotRun(NotRun::Deferred), Duration::ZERO);
        reply.retry_after = self.opens_in(job.call.leaf, now);
        self.steps.push(Step::Deliver(job.session, reply));
    }

    /// Returns the time until a leaf takes the next call; zero if it takes one now.
    pub(super) fn opens_in(&self, leaf: LeafId, now: Time) -> Duration {
        let gate = self.gates.get(&leaf);
        let opens = gate.and_then(|gate| gate.opens_at(now));
        opens.map_or(Duration::ZERO, |opens| opens.left(now))
    }

    /// Refuses all calls that wait for a leaf which takes none now.
    pub(super) fn defer_waiting(&mut self, leaf: LeafId, now: Time) {
        for key in self.waiting_calls(leaf) {
            self.dequeue(key);
            if let Some(job) = self.remove(key) {
                self.defer(&job, now);
            }
        }
    }
}

/// Returns this process's share of the calls to a leaf that takes `total` a second.
fn own_share(view: &View, leaf: LeafId, gate: &Gate, total: f64) -> LeafShare {
    let entry = view.catalog.leaf(leaf);
    let data_centre = entry.map_or("", |entry| entry.data_centre.as_str());
    view.shares
        .for_leaf(leaf, &gate.service, data_centre, total)
}
