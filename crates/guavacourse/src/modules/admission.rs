//! Decides which calls a relay sends to its leaves, and when.
//!
//! Each event is passed in with the current time; [`Admission::take_steps`]
//! returns the steps that the edge, which does all I/O, must carry out. Slots and
//! connections of each leaf are counted exactly. A call that cannot meet its
//! deadline is refused before it takes a slot.

mod canary;
mod findings;
mod gate;
mod job;
mod notices;
mod outcome;
mod queue;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use slotmap::SlotMap;

use self::{
    findings::Findings,
    gate::Gate,
    job::{KindId, Phase},
};
pub use self::{
    job::{ConnectionState, Ending, Job, JobKey, LeafAnswer, SessionId, Step},
    outcome::Counts,
};
use super::{
    call::{AttemptId, NotRun, Outcome, Part, Reply},
    catalog::{Catalog, LeafEntry, LeafId},
    cleared::ClearedContents,
    collections::{Map, Set},
    departed::DepartedLeaves,
    inventory::{Address, Policy},
    leaf_health::Grant,
    leaf_notice::LeafEvent,
    quarantine::{Quarantine, Verdict},
    time::Time,
    view::View,
};

/// The pending calls of one relay, and the state of the leaves they go to.
#[derive(Debug, Default)]
pub struct Admission {
    view: Arc<View>,
    gates: Map<LeafId, Gate>,
    jobs: SlotMap<JobKey, Job>,
    attempts: Map<(SessionId, AttemptId), JobKey>,
    kinds: Map<String, KindId>,
    /// Latest start times of queued calls.
    latest_starts: BTreeSet<(Time, JobKey)>,
    /// Deadlines of running calls.
    deadlines: BTreeSet<(Time, JobKey)>,
    /// Times from which held calls of a leaf may run alone.
    hold_expiries: BTreeSet<(Time, LeafId)>,
    /// Leaves with calls in their trial queue.
    trial_leaves: Set<LeafId>,
    quarantine: Quarantine,
    findings: Findings,
    /// Leaves that have said they are leaving, also while they are not listed.
    departed: DepartedLeaves,
    /// Contents of canary calls and of forwarded calls that a leaf has recently run to
    /// completion.
    cleared: ClearedContents,
    arrivals: u64,
    leaving: bool,
    counts: Counts,
    steps: Vec<Step>,
}

impl Admission {
    /// Applies a published view of the control state, if it is a new one.
    pub fn configure(&mut self, view: Arc<View>, now: Time) {
        if Arc::ptr_eq(&self.view, &view) {
            return;
        }
        let added = view.quarantined.difference(&self.view.quarantined);
        let added: Vec<u64> = added.copied().collect();
        self.view = view;
        self.findings.retain_suspected(&self.view);
        for content in added {
            self.refuse_content(content);
        }
        let known: Vec<LeafId> = self.gates.keys().copied().collect();
        for leaf in known {
            self.update_gate(leaf, now);
        }
    }

    /// Submits the calls of one request.
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
                load: None,
                resumes: false,
                duplicate: false,
                held_until: Time(0),
                kind,
                phase: Phase::Running {
                    since: now,
                    wanted: true,
                },
            };
            self.admit(job, now);
        }
    }

    /// Cancels attempts. No reply is sent for them.
    pub fn cancel(&mut self, session: SessionId, attempts: &[AttemptId], now: Time) {
        for attempt in attempts {
            if let Some(key) = self.attempts.remove(&(session, *attempt)) {
                self.cancel_call(key, now);
            }
        }
    }

    /// Cancels all attempts of a session that has ended.
    pub fn close(&mut self, session: SessionId, now: Time) {
        let open = self.attempts.keys().filter(|(owner, _)| *owner == session);
        let attempts: Vec<AttemptId> = open.map(|(_, attempt)| *attempt).collect();
        self.cancel(session, &attempts, now);
    }

    /// Clears suspected contents that ran on another leaf without crashing it.
    pub fn clear(&mut self, contents: &[u64], now: Time) {
        for content in contents {
            self.quarantine.clear(*content);
            self.release_held(*content, now);
        }
    }

    /// Refuses all further calls because the relay is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Refuses queued calls whose latest start has passed, ends running calls
    /// whose deadline has passed, and starts calls whose hold has expired.
    pub fn tick(&mut self, now: Time) {
        while let Some((latest, key)) = self.latest_starts.first().copied() {
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
        self.send_reports(now);
        while let Some((due, leaf)) = self.hold_expiries.first().copied() {
            if due > now {
                return;
            }
            self.hold_expiries.pop_first();
            self.start_waiting(leaf, now);
        }
    }

    /// Returns when [`Self::tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        let refusal = self.latest_starts.first().map(|(latest, _)| *latest);
        let hold = self.hold_expiries.first().map(|(due, _)| *due);
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let report = self.findings.next_due();
        let due = [refusal, hold, deadline, report];
        due.into_iter().flatten().min()
    }

    /// Returns the steps that the edge must carry out, in order.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Returns a queued or running call.
    #[must_use]
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns the address of a leaf that calls were submitted for.
    #[must_use]
    pub fn address(&self, leaf: LeafId) -> Option<Address> {
        self.gates.get(&leaf).map(|gate| gate.address)
    }

    /// Returns the name of a leaf that calls were submitted for.
    #[must_use]
    pub fn name(&self, leaf: LeafId) -> Option<&str> {
        self.gates.get(&leaf).map(|gate| gate.name.as_str())
    }

    /// Returns the number of calls that have not been answered yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        let dropped = self.gates.values().flat_map(|gate| &gate.dropped_calls);
        self.jobs.len() + dropped.filter(|call| call.reply.is_some()).count()
    }

    /// Returns the numbers of a leaf's connections: in use, kept, being closed.
    #[must_use]
    pub fn connections(&self, leaf: LeafId) -> [u32; 3] {
        let gate = self.gates.get(&leaf);
        gate.map_or([0; 3], |gate| [gate.busy, gate.kept, gate.closing])
    }

    /// Returns the counters since the start.
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

    /// Refuses, starts or queues a new call.
    fn admit(&mut self, mut job: Job, now: Time) {
        let leaf = job.call.leaf;
        if !self.gates.contains_key(&leaf) {
            self.update_gate(leaf, now);
        }
        match self.refusal(&mut job, now) {
            Some(NotRun::Deferred) => return self.defer(&job, now),
            Some(reason) => return self.refuse(&job, reason),
            None => {}
        }
        let id = (job.session, job.call.attempt);
        if job.alone {
            self.queue_trial(job, now);
        } else if self.waits_for_canary(&job, now) {
            self.queue_duplicate(job);
        } else if self.may_start(leaf, job.is_action(), now) {
            let key = self.jobs.insert(job);
            self.attempts.insert(id, key);
            self.start(key, now);
        } else {
            self.queue(job, now);
        }
    }

    /// Returns why a new call must be refused, if so. Marks a call that must run
    /// alone.
    fn refusal(&self, job: &mut Job, now: Time) -> Option<NotRun> {
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        let configured = self.view.catalog.leaf(job.call.leaf);
        let gate = configured.and_then(|entry| self.gates.get(&entry.id));
        let Some(gate) = gate else {
            return Some(NotRun::NotOwner);
        };
        match self.verdict(job, now) {
            Verdict::Refused => return Some(NotRun::Quarantined),
            Verdict::Alone | Verdict::Held(_) if job.part.canary => {
                return Some(NotRun::Suspected);
            }
            Verdict::Alone => job.alone = true,
            Verdict::Held(until) => {
                job.alone = true;
                job.held_until = until;
            }
            Verdict::Clear => {}
        }
        if gate.refuses(now) {
            return Some(NotRun::Draining);
        }
        if gate.opens_at(now).is_some() {
            return Some(NotRun::Deferred);
        }
        if !self.adaptive() {
            return None;
        }
        match gate.health.grant(now) {
            Grant::Nothing(_) => return Some(NotRun::Ejected),
            Grant::Single if gate.busy > 0 => return Some(NotRun::Ejected),
            Grant::Full | Grant::Single => {}
        }
        let minimum = gate.service_time(job.kind).minimum(now);
        (now.after(minimum) >= job.deadline).then_some(NotRun::Expired)
    }

    /// Returns whether a new call may start without being queued.
    fn may_start(&mut self, leaf: LeafId, needs_new_connection: bool, now: Time) -> bool {
        let adaptive = self.adaptive();
        let gate = self.gates.get(&leaf);
        gate.is_some_and(|gate| gate.queue.is_empty() && gate.may_start(adaptive, now))
            && self.next_trial(leaf, now).is_none()
            && self.has_connection(leaf, needs_new_connection)
    }

    /// Returns whether a kept connection can be used or a new one opened. If
    /// not, closes a kept connection to make room.
    fn has_connection(&mut self, leaf: LeafId, needs_new_connection: bool) -> bool {
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return false;
        };
        if gate.may_connect() || (gate.kept > 0 && !needs_new_connection) {
            return true;
        }
        if gate.closing == 0 && gate.take_kept() {
            self.steps.push(Step::CloseKept(leaf, 1));
        }
        false
    }

    /// Dispatches a call to the edge.
    fn start(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.phase = Phase::Running {
            since: now,
            wanted: true,
        };
        self.deadlines.insert((job.deadline, key));
        let (leaf, alone, needs_new_connection) =
            (job.call.leaf, job.alone, job.needs_new_connection());
        let fingerprint = job.part.fingerprint;
        let canary = job.part.canary && !self.cleared.contains(fingerprint, now);
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if canary {
            gate.canaries.push(fingerprint);
        }
        if alone {
            gate.trial = Some(fingerprint);
            self.quarantine.start_trial(fingerprint);
        }
        let new_connection = needs_new_connection || gate.kept == 0;
        if !new_connection {
            gate.kept -= 1;
        }
        gate.busy += 1;
        let resumes = gate.count_start(now);
        self.counts.dispatched += 1;
        if resumes {
            self.jobs[key].resumes = true;
            self.note(leaf, |leaf| LeafEvent::Resumed { leaf });
        }
        self.steps.push(Step::Dispatch {
            job: key,
            new_connection,
        });
    }

    fn refuse(&mut self, job: &Job, reason: NotRun) {
        self.counts.refused += 1;
        let reply = self.reply_to(job, Outcome::NotRun(reason), Duration::ZERO);
        self.steps.push(Step::Deliver(job.session, reply));
    }

    fn reply_to(&self, job: &Job, outcome: Outcome, service: Duration) -> Reply {
        let gate = self.gates.get(&job.call.leaf);
        let waiting = gate.map_or(0, Gate::waiting);
        Reply {
            attempt: job.call.attempt,
            queued: u32::try_from(waiting).unwrap_or(u32::MAX),
            service,
            retry_after: Duration::ZERO,
            load: job.load,
            outcome,
        }
    }

    /// Updates the state of a leaf from the view.
    fn update_gate(&mut self, leaf: LeafId, now: Time) {
        let view = Arc::clone(&self.view);
        let Some((entry, service)) = find_leaf(&view.catalog, leaf) else {
            self.refuse_waiting(leaf, NotRun::NotOwner);
            return self.drop_gate(leaf);
        };
        let departed = self.departed.incarnation(leaf);
        let gate = self.gates.entry(leaf).or_insert_with(|| {
            let mut gate = Gate::new(&entry.name, entry.address, service.slots);
            if let Some(departed) = departed {
                gate.drain(departed);
            }
            gate
        });
        let mut address_changed = false;
        if gate.address != entry.address {
            gate.address = entry.address;
            gate.reset(0);
            address_changed = true;
        }
        gate.service.clone_from(&service.name);
        gate.service_leaves = service.leaves;
        gate.slots = service.slots;
        gate.connections = service.connections;
        gate.limit.resize(service.slots);
        gate.state = entry.state;
        gate.listed_leaving = view.leaving.contains(&leaf);
        let listed_incarnation = view.incarnations.get(&leaf).copied().unwrap_or_default();
        gate.listed(listed_incarnation);
        let seen = listed_incarnation == gate.incarnation
            || gate.past_incarnations.contains(&listed_incarnation);
        if gate.draining && listed_incarnation != 0 && !seen {
            gate.reset(listed_incarnation);
        }
        gate.serves_until = serves_until(&view, leaf, gate);
        let refuses = gate.refuses(now);
        self.share_limit(leaf, now);
        self.limit_cold(leaf, now);
        if address_changed {
            self.close_kept(leaf);
        }
        if refuses {
            self.refuse_waiting(leaf, NotRun::Draining);
        } else {
            self.start_waiting(leaf, now);
        }
    }

    /// Closes kept connections to a leaf that is no longer configured, and drops
    /// its state once no connection is left.
    fn drop_gate(&mut self, leaf: LeafId) {
        self.close_kept(leaf);
        let idle = |gate: &Gate| gate.busy + gate.closing == 0;
        if self.gates.get(&leaf).is_some_and(idle) {
            self.gates.remove(&leaf);
        }
    }
}

/// Returns until when a leaf that is leaving may be called. That is used only where the
/// load of leaves is known or customers share them.
fn serves_until(view: &View, leaf: LeafId, gate: &Gate) -> Option<Time> {
    let enabled = gate.reports_pace || view.catalog.customers.is_some();
    let listed = view.draining.get(&leaf).copied().filter(|_| enabled)?;
    Some(
        gate.said_leaving
            .map_or(listed, |said| view.drain_period.end(said).min(listed)),
    )
}

/// Settings of a leaf's service, and the number of its leaves.
struct ServiceInfo {
    name: String,
    slots: u32,
    connections: u32,
    leaves: usize,
}

fn find_leaf(catalog: &Catalog, leaf: LeafId) -> Option<(&LeafEntry, ServiceInfo)> {
    let entry = catalog.leaf(leaf)?;
    let service = catalog.services.get(entry.service)?;
    let shards = service.shards.iter().filter_map(|s| catalog.shards.get(*s));
    let info = ServiceInfo {
        name: service.name.clone(),
        slots: service.slots,
        connections: service.connections,
        leaves: shards.map(|shard| shard.replicas.len()).sum(),
    };
    Some((entry, info))
}
