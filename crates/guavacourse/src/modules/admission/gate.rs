//! Admission state of one leaf: its connections, slots, health and queues.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    job::{JobKey, KindId, Rank, SessionId},
    notices::{NamedLimit, Pause},
};
use crate::modules::{
    call::Reply,
    concurrency::ConcurrencyLimit,
    inventory::{Address, LeafState},
    leaf_health::{Grant, LeafHealth},
    quarantine::InFlightCall,
    service_time::ServiceTime,
    throughput::Throughput,
    time::Time,
};

/// Maximum length of each of a leaf's queues. Deadlines keep them short; this
/// bounds their memory.
pub(super) const MAX_QUEUE_LEN: usize = 1024;

/// Queued calls per slot at which hedges and retries are refused.
const EXTRA_QUEUE_PER_SLOT: usize = 4;

/// Earlier incarnations remembered per leaf.
const MAX_PAST_INCARNATIONS: usize = 8;

/// A call whose connection closed before its reply.
#[derive(Clone, Debug)]
pub(super) struct DroppedCall {
    pub(super) call: InFlightCall,
    /// Whether its content becomes a suspect here if the leaf crashed; false if a leaf
    /// has recently run it, so that it takes the crashes of several leaves.
    pub(super) suspect: bool,
    /// Whether it belongs to a forwarded request.
    pub(super) forwarded: bool,
    /// Whether a crash of the leaf is reported to the fleet.
    pub(super) reported: bool,
    pub(super) at: Time,
    /// Its reply, held back until it is known whether the leaf is alive.
    pub(super) reply: Option<(SessionId, Reply)>,
}

/// Controls the admission of calls to one leaf.
#[derive(Debug)]
pub(super) struct Gate {
    /// Name of the leaf.
    pub(super) name: String,
    pub(super) address: Address,
    /// Name of its service.
    pub(super) service: String,
    /// Number of leaves of its service.
    pub(super) service_leaves: usize,
    pub(super) slots: u32,
    pub(super) connections: u32,
    pub(super) limit: ConcurrencyLimit,
    pub(super) throughput: Throughput,
    pub(super) health: LeafHealth,
    /// Connections whose call holds a slot.
    pub(super) busy: u32,
    /// Connections being closed, which hold no slot, and probes.
    pub(super) closing: u32,
    /// Connections kept for the next call.
    pub(super) kept: u32,
    /// Incarnation as the leaf reports it; 0 if not known.
    pub(super) incarnation: u64,
    /// Incarnation in the instance list; 0 if not known.
    listed_incarnation: u64,
    /// Earlier incarnations, whose replies are ignored.
    pub(super) past_incarnations: Vec<u64>,
    /// Limit that the leaf named for its calls.
    pub(super) named_limit: Option<NamedLimit>,
    /// Pause that the leaf asked for.
    pub(super) pause: Option<Pause>,
    /// Whether the leaf, in its current incarnation, reported that it is draining.
    pub(super) draining: bool,
    /// When the leaf first said in an answer that it is leaving.
    pub(super) said_leaving: Option<Time>,
    /// Until when the leaf may be called although it is leaving; the earliest that any
    /// source allows.
    pub(super) serves_until: Option<Time>,
    /// Whether the leaf's machine reports its pace.
    pub(super) reports_pace: bool,
    /// Limit on its calls while it is cold.
    pub(super) warm_up: Option<NamedLimit>,
    /// Whether the instance list reports the leaf as leaving.
    pub(super) listed_leaving: bool,
    /// State set in the configuration by operators.
    pub(super) state: LeafState,
    /// Content that is running alone on the leaf.
    pub(super) trial: Option<u64>,
    /// Calls whose connection closed, kept until it is known whether the leaf
    /// crashed.
    pub(super) dropped_calls: Vec<DroppedCall>,
    pub(super) queue: BTreeSet<(Rank, JobKey)>,
    /// Calls queued to run alone.
    pub(super) trial_queue: VecDeque<JobKey>,
    /// Contents whose canary call is running.
    pub(super) canaries: Vec<u64>,
    /// Calls that wait for the outcome of a canary call of the same content.
    pub(super) duplicates: Vec<JobKey>,
    service_times: Vec<(KindId, ServiceTime)>,
}

impl Gate {
    pub(super) fn new(name: impl Into<String>, address: Address, slots: u32) -> Self {
        Self {
            name: name.into(),
            address,
            service: String::new(),
            service_leaves: 0,
            slots,
            connections: slots,
            limit: ConcurrencyLimit::new(slots),
            throughput: Throughput::default(),
            health: LeafHealth::default(),
            busy: 0,
            closing: 0,
            kept: 0,
            incarnation: 0,
            listed_incarnation: 0,
            past_incarnations: Vec::new(),
            named_limit: None,
            pause: None,
            draining: false,
            said_leaving: None,
            serves_until: None,
            reports_pace: false,
            warm_up: None,
            listed_leaving: false,
            state: LeafState::Serving,
            trial: None,
            dropped_calls: Vec::new(),
            queue: BTreeSet::new(),
            trial_queue: VecDeque::new(),
            canaries: Vec::new(),
            duplicates: Vec::new(),
            service_times: Vec::new(),
        }
    }

    /// Returns whether any source reports that the leaf is leaving.
    pub(super) fn leaving(&self) -> bool {
        self.draining || self.listed_leaving || self.state == LeafState::Leaving
    }

    /// Returns whether the leaf takes no calls because it is leaving.
    pub(super) fn refuses(&self, now: Time) -> bool {
        self.leaving() && self.serves_until.is_none_or(|until| now >= until)
    }

    /// Returns whether a call may start now.
    pub(super) fn may_start(&self, adaptive: bool, now: Time) -> bool {
        let allowed = if adaptive {
            self.allowed(now)
        } else {
            self.slots
        };
        self.trial.is_none() && self.busy < allowed.min(self.connections.max(1))
    }

    fn allowed(&self, now: Time) -> u32 {
        if self.pause.is_some() {
            return 1;
        }
        match self.health.grant(now) {
            Grant::Full => self.limit.allowed(),
            Grant::Single => 1,
            Grant::Nothing(_) => 0,
        }
    }

    /// Returns whether one more connection may be opened.
    pub(super) fn may_connect(&self) -> bool {
        self.busy + self.kept + self.closing < self.connections.max(1)
    }

    /// Returns whether a connection may be opened to probe the leaf, in place of the one
    /// that has just closed under a call and still counts as in use.
    pub(super) fn may_probe(&self) -> bool {
        (self.busy + self.kept + self.closing).saturating_sub(1) < self.connections.max(1)
    }

    /// Moves a kept connection to those being closed; returns false if there is
    /// none.
    pub(super) fn take_kept(&mut self) -> bool {
        if self.kept == 0 {
            return false;
        }
        self.kept -= 1;
        self.closing += 1;
        true
    }

    /// Returns the number of waiting calls.
    pub(super) fn waiting(&self) -> usize {
        self.queue.len() + self.trial_queue.len() + self.duplicates.len()
    }

    /// Returns the queue length at which hedges and retries are refused.
    pub(super) fn extra_queue_limit(&self) -> usize {
        self.slots.max(1) as usize * EXTRA_QUEUE_PER_SLOT
    }

    /// Returns a lower bound of the time that a call waits behind `ahead` other
    /// calls: computed from the minimum service time and from the leaf's
    /// throughput, whichever gives less. A relay that was stalled counts the
    /// stall as service time, but the number of answers that it receives is not
    /// affected.
    pub(super) fn min_wait(&self, ahead: usize, minimum: Duration) -> Duration {
        let rounds = u32::try_from(ahead).unwrap_or(u32::MAX) / self.slots.max(1);
        let by_service = minimum.saturating_mul(rounds);
        let by_throughput = self.throughput.time_for(ahead);
        by_throughput.map_or(by_service, |by_throughput| by_throughput.min(by_service))
    }

    pub(super) fn service_time(&self, kind: KindId) -> ServiceTime {
        let found = self.service_times.iter().find(|(id, _)| *id == kind);
        found.map_or_else(ServiceTime::default, |(_, time)| *time)
    }

    pub(super) fn service_time_mut(&mut self, kind: KindId) -> &mut ServiceTime {
        let found = self.service_times.iter().position(|(id, _)| *id == kind);
        let i = found.unwrap_or_else(|| {
            self.service_times.push((kind, ServiceTime::default()));
            self.service_times.len() - 1
        });
        &mut self.service_times[i].1
    }

    /// Releases a connection that was in use.
    pub(super) fn release(&mut self, kept: bool) {
        self.busy = self.busy.saturating_sub(1);
        if kept {
            self.kept += 1;
        }
        if self.busy == 0 {
            self.trial = None;
        }
    }

    /// Records the incarnation in the instance list. What an earlier one asked for does
    /// not bind the calls to the next.
    pub(super) fn listed(&mut self, incarnation: u64) {
        if self.listed_incarnation != 0 && self.listed_incarnation != incarnation {
            self.named_limit = None;
            self.pause = None;
        }
        self.listed_incarnation = incarnation;
    }

    /// Records that the leaf is draining, in the incarnation that the instance list gives
    /// (0 if it gives none).
    pub(super) fn drain(&mut self, listed: u64) {
        self.draining = true;
        self.past_incarnations.push(listed);
        self.past_incarnations
            .retain(|past| *past != 0 && *past != self.incarnation);
    }

    /// Starts a new incarnation (0 if not known yet) and resets the state that
    /// belonged to the previous one.
    pub(super) fn reset(&mut self, incarnation: u64) {
        self.past_incarnations.push(self.incarnation);
        self.past_incarnations
            .retain(|past| *past != 0 && *past != incarnation);
        let surplus = self
            .past_incarnations
            .len()
            .saturating_sub(MAX_PAST_INCARNATIONS);
        self.past_incarnations.drain(..surplus);
        self.incarnation = incarnation;
        self.draining = false;
        self.serves_until = None;
        self.said_leaving = None;
        self.named_limit = None;
        self.pause = None;
        self.limit.reset();
        self.service_times.clear();
    }
}
