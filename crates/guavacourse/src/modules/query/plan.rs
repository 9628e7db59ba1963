//! The shards of one query and the calls made for each.

use std::sync::Arc;

use crate::modules::{
    answer::{AttemptStatus, Cause},
    call::{AttemptId, Call, NotRun, Origin, Part},
    catalog::{KindEntry, LeafId, ShardKey},
    collections::Map,
    inventory::{Address, Class},
    keys::KeyRange,
    time::Time,
    view::View,
};

/// Maximum calls that one query makes for one shard and snapshot, per round.
pub(crate) const MAX_CALLS: usize = 4;
/// Placeholder for no leaf in the list of tried leaves.
const NO_LEAF: LeafId = LeafId(0);

/// One planned shard.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    /// The shard in the view's catalog.
    pub(crate) shard: ShardKey,
    /// Index of its service among those that the query touches.
    pub(crate) service: usize,
    /// Keys that a reply must cover.
    pub(crate) range: KeyRange,
    /// Merged rows.
    pub(crate) body: Option<Arc<[u8]>>,
    /// Status, signature and media type that the leaf sent with them.
    pub(crate) origin: Option<Arc<Origin>>,
    /// Whether a call may be repeated if its leaf ends.
    pub(crate) class: Class,
    /// Whether a call has reached a leaf, so that any further call is extra
    /// load.
    pub(crate) reached_leaf: bool,
    /// Calls that may have run.
    pub(crate) exposed: u32,
    /// Maximum of such calls; 0 sets no limit.
    pub(crate) max_exposed: u32,
    /// Calls in flight.
    pub(crate) pending: u8,
    /// Whether no further call is made.
    pub(crate) closed: bool,
    /// What it gives up because others compete for the shard.
    pub(crate) concession: Concession,
    /// When a hedge is due.
    pub(crate) hedge_at: Time,
    /// When another call is due, while none is in flight.
    pub(crate) retry_at: Time,
    /// Whether that call is charged to the retry budget.
    pub(crate) charged: bool,
    /// How the calls so far ended, as it concerns the next one.
    pub(crate) history: CallHistory,
    tried: [LeafId; MAX_CALLS],
    calls: usize,
}

/// What a query gives up at a shard because others compete for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Concession {
    /// Nothing.
    None,
    /// Its first call is held until no other call waits there.
    Held,
    /// It is closed without an answer.
    LeftOut,
}

/// How the calls for a shard have ended so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallHistory {
    /// No call has ended, or the last did not run for a reason other than load.
    NoneRan,
    /// The last call was refused because of load; none has run.
    Overloaded,
    /// A call may have run, so that another is extra load.
    MaybeRun,
}

impl CallHistory {
    /// Returns the history after a call that provably did not run.
    #[must_use]
    pub(crate) fn after_not_run(self, why: NotRun) -> Self {
        match (self, why) {
            (Self::MaybeRun, _) => Self::MaybeRun,
            (_, NotRun::Shed | NotRun::QueueFull) => Self::Overloaded,
            _ => Self::NoneRan,
        }
    }
}

impl Slot {
    /// Returns the leaves called so far.
    pub(crate) fn tried(&self) -> &[LeafId] {
        &self.tried[..self.calls]
    }

    /// Returns the number of calls to a leaf so far.
    pub(crate) fn calls_to(&self, leaf: LeafId) -> usize {
        let calls = self.tried().iter();
        calls.filter(|tried| **tried == leaf).count()
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> usize {
        self.calls
    }

    /// Allows a leaf to be called again.
    pub(crate) fn clear_tried_leaf(&mut self, leaf: LeafId) {
        let calls = self.tried.iter_mut().filter(|tried| **tried == leaf);
        calls.for_each(|tried| *tried = NO_LEAF);
    }

    /// Allows every leaf to be called again.
    pub(crate) fn clear_tried(&mut self) {
        self.tried = [NO_LEAF; MAX_CALLS];
    }

    /// Returns whether no call was made and none is due.
    pub(crate) fn uncalled(&self) -> bool {
        self.calls == 0 && self.pending == 0 && self.retry_at == Time::MAX
    }

    /// Starts another round of calls, after all calls of a round were refused.
    pub(crate) fn next_round(&mut self) {
        self.clear_tried();
        self.calls = 0;
    }

    /// Returns whether another call is allowed.
    pub(crate) fn may_call(&self) -> bool {
        self.calls < MAX_CALLS && (self.max_exposed == 0 || self.exposed < self.max_exposed)
    }

    /// Allows only one call that may run.
    pub(crate) fn limit_to_one_call(&mut self) {
        self.max_exposed = 1;
    }

    /// Returns whether its first call is held.
    pub(crate) fn held(&self) -> bool {
        self.concession == Concession::Held
    }

    /// Returns whether it is left out.
    pub(crate) fn left_out(&self) -> bool {
        self.concession == Concession::LeftOut
    }

    /// Returns whether the slot still waits for rows.
    pub(crate) fn is_open(&self) -> bool {
        self.body.is_none() && !self.closed
    }

    /// Returns when the next call is due: a retry or a hedge.
    pub(crate) fn due(&self) -> Time {
        if self.pending == 0 {
            self.retry_at
        } else {
            self.hedge_at
        }
    }

    /// Records a call to a leaf.
    pub(crate) fn record_call(&mut self, leaf: LeafId) {
        if self.calls < MAX_CALLS {
            self.tried[self.calls] = leaf;
            self.calls += 1;
        }
        self.pending += 1;
        self.exposed += 1;
        self.retry_at = Time::MAX;
    }

    /// Records that a call provably did not run.
    pub(crate) fn record_not_run(&mut self) {
        self.exposed = self.exposed.saturating_sub(1);
    }

    /// Resets the slot for another snapshot; calls that may have run still
    /// count.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            class: self.class,
            reached_leaf: self.reached_leaf,
            exposed: self.exposed,
            max_exposed: self.max_exposed,
            ..Self::new(self.shard, self.service, self.range)
        };
    }

    fn new(shard: ShardKey, service: usize, range: KeyRange) -> Self {
        Self {
            origin: None,
            class: Class::Action,
            reached_leaf: false,
            exposed: 0,
            max_exposed: 0,
            shard,
            service,
            range,
            body: None,
            pending: 0,
            closed: false,
            concession: Concession::None,
            hedge_at: Time::MAX,
            retry_at: Time::MAX,
            charged: false,
            history: CallHistory::NoneRan,
            tried: [NO_LEAF; MAX_CALLS],
            calls: 0,
        }
    }
}

/// Returns a slot for each shard of the kind's services in `names`.
pub(crate) fn plan_slots(view: &View, kind: &KindEntry, names: &[String]) -> Vec<Slot> {
    let catalog = &view.catalog;
    let forward = kind.rules.forward.as_ref();
    let max_exposed = forward.map_or(0, |forward| forward.attempts);
    let slots = kind.shards.iter().filter_map(|key| {
        let shard = catalog.shards.get(*key)?;
        let name = &catalog.services[shard.service].name;
        let service = names.iter().position(|other| other == name)?;
        Some(Slot {
            max_exposed,
            class: kind.rules.class,
            ..Slot::new(*key, service, shard.range)
        })
    });
    slots.collect()
}

/// One attempt to call a leaf for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) slot: usize,
    pub(crate) leaf: LeafId,
    pub(crate) relay: Address,
    pub(crate) version: u64,
    pub(crate) cause: Cause,
    /// Whether it is delegated to a peer, together with others.
    pub(crate) delegated: bool,
    pub(crate) sent: Time,
    pub(crate) status: AttemptStatus,
    pub(crate) ended_at: Time,
}

impl Attempt {
    /// Returns whether the call got no slot of its leaf in time.
    pub(crate) fn starved(&self) -> bool {
        matches!(
            self.status,
            AttemptStatus::NotRun(NotRun::Expired | NotRun::QueueFull | NotRun::Shed)
        )
    }

    /// Returns whether its rows were merged.
    pub(crate) fn merged(&self) -> bool {
        self.status == AttemptStatus::Merged
    }
}

/// The attempts of one query, by ascending id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts(pub(crate) Vec<Attempt>);

impl Attempts {
    /// Returns the index of the pending attempt `id`.
    pub(crate) fn pending_index(&self, id: AttemptId) -> Option<usize> {
        let index = self
            .0
            .binary_search_by_key(&id, |attempt| attempt.id)
            .ok()?;
        (self.0[index].status == AttemptStatus::Pending).then_some(index)
    }

    /// Returns the first pending attempt of a slot.
    pub(crate) fn pending_for_slot(&self, slot: usize) -> Option<Attempt> {
        let mut attempts = self.0.iter().filter(|attempt| attempt.slot == slot);
        attempts
            .find(|attempt| attempt.status == AttemptStatus::Pending)
            .copied()
    }

    /// Marks merged attempts as superseded by another snapshot.
    pub(crate) fn supersede_merged(&mut self) {
        let merged = self.0.iter_mut().filter(|attempt| attempt.merged());
        merged.for_each(|attempt| attempt.status = AttemptStatus::Superseded);
    }
}

/// Calls to be sent, grouped by relay and version.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    parts: Vec<(Address, Part)>,
    index: Map<(Address, u64), usize>,
}

impl Batch {
    /// Adds a call through `relay`; `part` creates the part if there is none
    /// for the relay and version yet.
    pub(crate) fn push(
        &mut self,
        relay: Address,
        version: u64,
        call: Call,
        part: impl FnOnce() -> Part,
    ) {
        let parts = &mut self.parts;
        let index = *self.index.entry((relay, version)).or_insert_with(|| {
            parts.push((relay, part()));
            parts.len() - 1
        });
        parts[index].1.calls.push(call);
    }

    /// Returns the parts in the order in which they were created.
    pub(crate) fn into_parts(self) -> Vec<(Address, Part)> {
        self.parts
    }
}
