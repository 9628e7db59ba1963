//! Decides which calls a relay sends to its leaves, and when.
//!
//! Events come in with the time; [`Admission::take_steps`] gives back what the
//! edge is to do. Slots and connections of each leaf are counted exactly. A
//! call that cannot make its deadline is refused before it takes a slot.

mod first;
mod gate;
mod job;
mod outcome;
mod queue;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use slotmap::SlotMap;

use self::{
    gate::Gate,
    job::{KindId, Phase},
};
pub use self::{
    job::{After, Answer, Ending, Job, JobKey, SessionId, Step},
    outcome::Counts,
};
use super::{
    call::{AttemptId, NotRun, Outcome, Part, Reply},
    catalog::{Catalog, LeafEntry, LeafId},
    cleared::Cleared,
    collections::{Map, Set},
    inventory::{Address, Policy},
    leaf_health::Grant,
    quarantine::{Quarantine, Verdict},
    time::Time,
    view::View,
};

/// The calls that one relay holds, and what it knows of their leaves.
#[derive(Debug, Default)]
pub struct Admission {
    view: Arc<View>,
    gates: Map<LeafId, Gate>,
    jobs: SlotMap<JobKey, Job>,
    attempts: Map<(SessionId, AttemptId), JobKey>,
    kinds: Map<String, KindId>,
    /// Latest starts of queued calls.
    timers: BTreeSet<(Time, JobKey)>,
    /// Deadlines of running calls.
    deadlines: BTreeSet<(Time, JobKey)>,
    /// When leaves have calls that no longer wait for a verdict.
    wakes: BTreeSet<(Time, LeafId)>,
    /// Leaves with calls that wait to run alone.
    suspected: Set<LeafId>,
    quarantine: Quarantine,
    /// Contents that a leaf has lately run whole as a first call.
    cleared: Cleared,
    arrivals: u64,
    leaving: bool,
    counts: Counts,
    steps: Vec<Step>,
}

impl Admission {
    /// Takes over a published view of the control state, if it is a new one.
    pub fn configure(&mut self, view: Arc<View>, now: Time) {
        if Arc::ptr_eq(&self.view, &view) {
            return;
        }
        let fresh = view.quarantined.difference(&self.view.quarantined);
        let fresh: Vec<u64> = fresh.copied().collect();
        self.view = view;
        for content in fresh {
            self.flush_content(content);
        }
        let known: Vec<LeafId> = self.gates.keys().copied().collect();
        for leaf in known {
            self.update_gate(leaf, now);
        }
    }

    /// Takes in the calls of one request.
    pub fn submit(&mut self, session: SessionId, mut part: Part, now: Time) {
        let deadline = now.after(part.budget);
        let calls = std::mem::take(&mut part.calls);
        let kind = self.kind(&part.kind);
        let part = Arc::new(part);
        for call in calls {
            let job = Job {
                session,
                call,
                part: Arc::clone(&part),
                deadline,
                alone: false,
                copy: false,
                held: Time(0),
                kind,
                phase: Phase::Running {
                    since: now,
                    wanted: true,
                },
            };
            self.offer(job, now);
        }
    }

    /// Withdraws attempts. No reply follows.
    pub fn cancel(&mut self, session: SessionId, attempts: &[AttemptId], now: Time) {
        for attempt in attempts {
            if let Some(key) = self.attempts.remove(&(session, *attempt)) {
                self.withdraw(key, now);
            }
        }
    }

    /// Withdraws all attempts of a session that has ended.
    pub fn close(&mut self, session: SessionId, now: Time) {
        let open = self.attempts.keys().filter(|(owner, _)| *owner == session);
        let attempts: Vec<AttemptId> = open.map(|(_, attempt)| *attempt).collect();
        self.cancel(session, &attempts, now);
    }

    /// Takes in that contents that were suspected ran without harm elsewhere.
    pub fn clear(&mut self, contents: &[u64], now: Time) {
        for content in contents {
            self.quarantine.cleared(*content);
            self.release_held(*content, now);
        }
    }

    /// Refuses new calls from now on: the relay leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Refuses the queued calls whose latest start has passed, and starts those
    /// that no longer wait for a verdict. Ends running calls at their deadline.
    pub fn tick(&mut self, now: Time) {
        while let Some((latest, key)) = self.timers.first().copied() {
            if latest > now {
                break;
            }
            self.refuse_queued(key, NotRun::Expired);
        }
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.steps.push(Step::Expire(key));
        }
        while let Some((due, leaf)) = self.wakes.first().copied() {
            if due > now {
                return;
            }
            self.wakes.pop_first();
            self.pump(leaf, now);
        }
    }

    /// Returns when [`Self::tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        let refusal = self.timers.first().map(|(latest, _)| *latest);
        let wake = self.wakes.first().map(|(due, _)| *due);
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        refusal.into_iter().chain(wake).chain(deadline).min()
    }

    /// Returns what the edge is to do, in order.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Returns a call that was dispatched.
    #[must_use]
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns the address of a leaf that was called.
    #[must_use]
    pub fn address(&self, leaf: LeafId) -> Option<Address> {
        self.gates.get(&leaf).map(|gate| gate.address)
    }

    /// Returns the name of a leaf that was called.
    #[must_use]
    pub fn name(&self, leaf: LeafId) -> Option<&str> {
        self.gates.get(&leaf).map(|gate| gate.name.as_str())
    }

    /// Returns the number of calls without a reply yet.
    #[must_use]
    pub fn held(&self) -> usize {
        let cuts = self.gates.values().flat_map(|gate| &gate.cuts);
        self.jobs.len() + cuts.filter(|cut| cut.reply.is_some()).count()
    }

    /// Returns the connections of a leaf in use, kept and being closed.
    #[must_use]
    pub fn connections(&self, leaf: LeafId) -> [u32; 3] {
        let gate = self.gates.get(&leaf);
        gate.map_or([0; 3], |gate| [gate.busy, gate.kept, gate.closing])
    }

    /// Returns what was counted since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn adaptive(&self) -> bool {
        self.view.catalog.policy == Policy::Adaptive
    }

    fn kind(&mut self, name: &str) -> KindId {
        if let Some(id) = self.kinds.get(name) {
            return *id;
        }
        let id = KindId(u16::try_from(self.kinds.len()).unwrap_or(u16::MAX));
        self.kinds.insert(name.to_owned(), id);
        id
    }

    /// Refuses a new call, starts it or queues it.
    fn offer(&mut self, mut job: Job, now: Time) {
        let leaf = job.call.leaf;
        if !self.gates.contains_key(&leaf) {
            self.update_gate(leaf, now);
        }
        if let Some(why) = self.refusal(&mut job, now) {
            self.refuse(&job, why);
            return;
        }
        let address = (job.session, job.call.attempt);
        if job.alone {
            self.queue_alone(job, now);
        } else if self.repeats_first(&job, now) {
            self.queue_copy(job);
        } else if self.may_start(leaf, job.is_action(), now) {
            let key = self.jobs.insert(job);
            self.attempts.insert(address, key);
            self.start(key, now);
        } else {
            self.queue(job, now);
        }
    }

    /// Returns why a new call cannot be taken. Marks it if it is to run alone.
    fn refusal(&self, job: &mut Job, now: Time) -> Option<NotRun> {
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        let listed = self.view.catalog.leaf(job.call.leaf);
        let gate = listed.and_then(|entry| self.gates.get(&entry.id));
        let Some(gate) = gate else {
            return Some(NotRun::NotOwner);
        };
        let fingerprint = job.part.fingerprint;
        if self.view.quarantined.contains(&fingerprint) {
            return Some(NotRun::Quarantined);
        }
        match self.quarantine.judge(fingerprint, job.part.alone, now) {
            Verdict::Refused => return Some(NotRun::Quarantined),
            Verdict::Alone | Verdict::Held(_) if job.part.first => {
                return Some(NotRun::Suspected);
            }
            Verdict::Alone => job.alone = true,
            Verdict::Held(until) => {
                job.alone = true;
                job.held = until;
            }
            Verdict::Clear => {}
        }
        if gate.leaving() {
            return Some(NotRun::Draining);
        }
        if !self.adaptive() {
            return None;
        }
        match gate.health.grant(now) {
            Grant::Nothing(_) => return Some(NotRun::Ejected),
            Grant::Single if gate.busy > 0 => return Some(NotRun::Ejected),
            Grant::Full | Grant::Single => {}
        }
        let least = gate.service(job.kind).least(now);
        (now.after(least) >= job.deadline).then_some(NotRun::Expired)
    }

    /// Tells whether a call that just came may start ahead of the queue.
    fn may_start(&mut self, leaf: LeafId, must_open: bool, now: Time) -> bool {
        let adaptive = self.adaptive();
        let gate = self.gates.get(&leaf);
        gate.is_some_and(|gate| gate.queue.is_empty() && gate.open(adaptive, now))
            && self.next_suspect(leaf, now).is_none()
            && self.has_connection(leaf, must_open)
    }

    /// Tells whether a connection is at hand or may be opened. If not, a kept
    /// one is closed to make room.
    fn has_connection(&mut self, leaf: LeafId, must_open: bool) -> bool {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return false;
        };
        if gate.may_connect() || (gate.kept > 0 && !must_open) {
            return true;
        }
        if gate.closing == 0 && gate.discard() {
            self.steps.push(Step::CloseKept(leaf, 1));
        }
        false
    }

    /// Hands a call to the edge.
    fn start(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.phase = Phase::Running {
            since: now,
            wanted: true,
        };
        self.deadlines.insert((job.deadline, key));
        let (leaf, alone, must_open) = (job.call.leaf, job.alone, job.must_open());
        let fingerprint = job.part.fingerprint;
        let first = job.part.first && !self.cleared.contains(fingerprint, now);
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if first {
            gate.firsts.push(fingerprint);
        }
        if alone {
            gate.trial = Some(fingerprint);
            self.quarantine.start_trial(fingerprint);
        }
        let fresh = must_open || gate.kept == 0;
        if !fresh {
            gate.kept -= 1;
        }
        gate.busy += 1;
        self.counts.dispatched += 1;
        self.steps.push(Step::Dispatch { job: key, fresh });
    }

    fn refuse(&mut self, job: &Job, why: NotRun) {
        self.counts.refused += 1;
        let reply = self.reply_to(job, Outcome::NotRun(why), Duration::ZERO);
        self.steps.push(Step::Deliver(job.session, reply));
    }

    fn reply_to(&self, job: &Job, outcome: Outcome, service: Duration) -> Reply {
        let gate = self.gates.get(&job.call.leaf);
        let waiting = gate.map_or(0, Gate::waiting);
        Reply {
            attempt: job.call.attempt,
            queued: u32::try_from(waiting).unwrap_or(u32::MAX),
            service,
            outcome,
        }
    }

    /// Brings what is known of a leaf in line with the view.
    fn update_gate(&mut self, leaf: LeafId, now: Time) {
        let view = Arc::clone(&self.view);
        let Some((entry, service)) = leaf_in(&view.catalog, leaf) else {
            self.flush(leaf, NotRun::NotOwner);
            return self.drop_gate(leaf);
        };
        let gate = self
            .gates
            .entry(leaf)
            .or_insert_with(|| Gate::new(&entry.name, entry.address, service.slots));
        let mut moved = false;
        if gate.address != entry.address {
            gate.address = entry.address;
            gate.renew(0);
            moved = true;
        }
        gate.service.clone_from(&service.name);
        gate.replicas = service.leaves;
        gate.slots = service.slots;
        gate.connections = service.connections;
        gate.limit.resize(service.slots);
        gate.state = entry.state;
        gate.listed = view.leaving.contains(&leaf);
        let listed = view.incarnations.get(&leaf).copied().unwrap_or_default();
        let heard = listed == gate.incarnation || gate.past.contains(&listed);
        if gate.draining && listed != 0 && !heard {
            gate.renew(listed);
        }
        let leaving = gate.leaving();
        if moved {
            self.close_kept(leaf);
        }
        if leaving {
            self.flush(leaf, NotRun::Draining);
        } else {
            self.pump(leaf, now);
        }
    }

    /// Closes what is kept to a leaf that the configuration no longer has.
    fn drop_gate(&mut self, leaf: LeafId) {
        self.close_kept(leaf);
        let idle = |gate: &Gate| gate.busy + gate.closing == 0;
        if self.gates.get(&leaf).is_some_and(idle) {
            self.gates.remove(&leaf);
        }
    }
}

/// What the configuration says of a leaf's service.
struct ServiceFacts {
    name: String,
    slots: u32,
    connections: u32,
    leaves: usize,
}

fn leaf_in(catalog: &Catalog, leaf: LeafId) -> Option<(&LeafEntry, ServiceFacts)> {
    let entry = catalog.leaf(leaf)?;
    let service = catalog.services.get(entry.service)?;
    let shards = service.shards.iter().filter_map(|s| catalog.shards.get(*s));
    let facts = ServiceFacts {
        name: service.name.clone(),
        slots: service.slots,
        connections: service.connections,
        leaves: shards.map(|shard| shard.replicas.len()).sum(),
    };
    Some((entry, facts))
}
