//! The queues of each leaf: which calls wait, run next or are refused.

use super::{
    Admission, Gate,
    gate::MAX_QUEUE_LEN,
    job::{Job, JobKey, Phase, Rank, Step},
};
use crate::modules::{call::NotRun, catalog::LeafId, quarantine::Verdict, time::Time};

impl Admission {
    /// Queues a call. If the queue is full, refuses the call that ranks last.
    pub(super) fn queue(&mut self, job: Job, now: Time) {
        self.arrivals += 1;
        let adaptive = self.adaptive();
        let Some(gate) = self.gates.get(&job.call.leaf) else {
            return;
        };
        let service = gate.service_time(job.kind);
        let rank = if adaptive {
            Rank::by_worth(&job, service.mean(now), self.arrivals)
        } else {
            Rank::by_arrival(self.arrivals)
        };
        if adaptive && job.call.extra && gate.queue.len() >= gate.extra_queue_limit() {
            return self.refuse(&job, NotRun::QueueFull);
        }
        let mut latest = job.deadline;
        if adaptive {
            let minimum = service.minimum(now);
            let ahead = gate.queue.iter().take_while(|(r, _)| *r < rank).count();
            if now.after(gate.min_wait(ahead, minimum) + minimum) >= job.deadline {
                return self.refuse(&job, NotRun::Expired);
            }
            latest = job.deadline.before(minimum);
        }
        if gate.queue.len() >= MAX_QUEUE_LEN {
            let last = gate.queue.last().copied();
            match last {
                Some((worst, key)) if rank < worst => self.refuse_queued(key, NotRun::QueueFull),
                _ => return self.refuse(&job, NotRun::QueueFull),
            }
        }
        let leaf = job.call.leaf;
        let key = self.insert_queued(job, rank, latest);
        if let Some(gate) = self.gates.get_mut(&leaf) {
            gate.queue.insert((rank, key));
        }
    }

    /// Queues a call that has to run alone.
    pub(super) fn queue_trial(&mut self, job: Job, now: Time) {
        let leaf = job.call.leaf;
        let latest = job.deadline;
        let full = |gate: &Gate| gate.trial_queue.len() >= MAX_QUEUE_LEN;
        if self.gates.get(&leaf).is_none_or(full) {
            return self.refuse(&job, NotRun::QueueFull);
        }
        if job.held_until > now {
            self.hold_expiries.insert((job.held_until, leaf));
        }
        let key = self.insert_queued(job, Rank::by_arrival(0), latest);
        if let Some(gate) = self.gates.get_mut(&leaf) {
            gate.trial_queue.push_back(key);
        }
        self.trial_leaves.insert(leaf);
        self.start_waiting(leaf, now);
    }

    pub(super) fn insert_queued(&mut self, mut job: Job, rank: Rank, latest: Time) -> JobKey {
        job.phase = Phase::Queued { rank, latest };
        let id = (job.session, job.call.attempt);
        let key = self.jobs.insert(job);
        self.attempts.insert(id, key);
        self.latest_starts.insert((latest, key));
        key
    }

    /// Starts as many waiting calls of a leaf as may run.
    pub(super) fn start_waiting(&mut self, leaf: LeafId, now: Time) {
        let adaptive = self.adaptive();
        loop {
            let Some(gate) = self.gates.get(&leaf) else {
                return;
            };
            let busy = gate.busy;
            if gate.waiting() > 0 && gate.opens_at(now).is_some() {
                return self.defer_waiting(leaf, now);
            }
            if gate.waiting() > 0 && gate.refuses(now) {
                return self.refuse_waiting(leaf, NotRun::Draining);
            }
            if !gate.may_start(adaptive, now) {
                return;
            }
            if let Some(key) = self.next_trial(leaf, now) {
                if self.is_quarantined(key, now) {
                    self.refuse_queued(key, NotRun::Quarantined);
                    continue;
                }
                if busy == 0 && self.has_connection(leaf, true) {
                    self.dequeue(key);
                    self.start(key, now);
                }
                return;
            }
            let Some(gate) = self.gates.get(&leaf) else {
                return;
            };
            let Some((_, key)) = gate.queue.first().copied() else {
                return;
            };
            let needs_new_connection = self.jobs.get(key).is_some_and(Job::needs_new_connection);
            if !self.has_connection(leaf, needs_new_connection) {
                return;
            }
            self.run_queued(key, now);
        }
    }

    /// Starts a queued call; refuses it if it is too late or its content is
    /// quarantined, and readmits it if it must wait for another call or run alone.
    fn run_queued(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Phase::Queued { latest, .. } = job.phase else {
            return;
        };
        if now >= latest {
            return self.refuse_queued(key, NotRun::Expired);
        }
        match self.verdict(job, now) {
            Verdict::Clear if self.waits_for_canary(job, now) => self.readmit(key, now),
            Verdict::Clear => {
                self.dequeue(key);
                self.start(key, now);
            }
            Verdict::Refused => self.refuse_queued(key, NotRun::Quarantined),
            Verdict::Alone | Verdict::Held(_) => self.readmit(key, now),
        }
    }

    /// Takes a call out of its queue and treats it like a new one.
    pub(super) fn readmit(&mut self, key: JobKey, now: Time) {
        self.dequeue(key);
        if let Some(mut job) = self.remove(key) {
            job.alone = false;
            job.duplicate = false;
            self.admit(job, now);
        }
    }

    /// Readmits the calls that were held because of suspected content, after its
    /// trial has ended or it was cleared.
    pub(super) fn release_held(&mut self, content: u64, now: Time) {
        let held = |(key, job): (JobKey, &Job)| {
            let queued = matches!(job.phase, Phase::Queued { .. });
            let waits = queued && job.alone && !job.part.alone;
            (waits && job.part.fingerprint == content).then_some(key)
        };
        if self.trial_leaves.is_empty() {
            return;
        }
        let waiting: Vec<JobKey> = self.jobs.iter().filter_map(held).collect();
        for key in waiting {
            self.readmit(key, now);
        }
    }

    /// Returns whether a call's content was quarantined while it waited.
    fn is_quarantined(&self, key: JobKey, now: Time) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| self.verdict(job, now) == Verdict::Refused)
    }

    /// Returns how to treat a call. The trial of quarantined content was granted by the
    /// fleet.
    pub(super) fn verdict(&self, job: &Job, now: Time) -> Verdict {
        let fingerprint = job.part.fingerprint;
        if job.part.is_trial() {
            return Verdict::Alone;
        }
        if self.view.quarantined.contains(&fingerprint) {
            return Verdict::Refused;
        }
        let marked = job.alone || job.part.alone;
        self.quarantine.verdict(fingerprint, marked, now)
    }

    /// Returns the next call that may run alone. Skips calls that are still held
    /// and those whose content is on trial on any leaf.
    pub(super) fn next_trial(&self, leaf: LeafId, now: Time) -> Option<JobKey> {
        let gate = self.gates.get(&leaf)?;
        let free = |key: &&JobKey| {
            let job = self.jobs.get(**key);
            job.is_some_and(|job| {
                now >= job.held_until && !self.quarantine.trial_running(job.part.fingerprint)
            })
        };
        gate.trial_queue.iter().find(free).copied()
    }

    /// Starts calls that waited for the end of a trial.
    pub(super) fn start_trials(&mut self, now: Time) {
        let leaves: Vec<LeafId> = self.trial_leaves.iter().copied().collect();
        for leaf in leaves {
            self.start_waiting(leaf, now);
        }
    }

    /// Removes a call from the queue of its leaf.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Phase::Queued { rank, latest } = job.phase else {
            return;
        };
        self.latest_starts.remove(&(latest, key));
        let leaf = job.call.leaf;
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if job.duplicate {
            gate.duplicates.retain(|k| *k != key);
        } else if job.alone {
            gate.trial_queue.retain(|k| *k != key);
            if gate.trial_queue.is_empty() {
                self.trial_leaves.remove(&leaf);
            }
        } else {
            gate.queue.remove(&(rank, key));
        }
    }

    /// Refuses a queued call.
    pub(super) fn refuse_queued(&mut self, key: JobKey, reason: NotRun) {
        self.dequeue(key);
        if let Some(job) = self.remove(key) {
            self.refuse(&job, reason);
        }
    }

    /// Removes a call with its deadline and attempt.
    pub(super) fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.deadlines.remove(&(job.deadline, key));
        self.attempts.remove(&(job.session, job.call.attempt));
        Some(job)
    }

    /// Refuses all calls that wait for a leaf.
    pub(super) fn refuse_waiting(&mut self, leaf: LeafId, reason: NotRun) {
        for key in self.waiting_calls(leaf) {
            self.refuse_queued(key, reason);
        }
    }

    /// Returns all calls that wait for a leaf.
    pub(super) fn waiting_calls(&self, leaf: LeafId) -> Vec<JobKey> {
        let Some(gate) = self.gates.get(&leaf) else {
            return Vec::new();
        };
        let queued = gate.queue.iter().map(|(_, key)| *key);
        let duplicates = gate.duplicates.iter().copied();
        let trials = gate.trial_queue.iter().copied();
        queued.chain(trials).chain(duplicates).collect()
    }

    /// Refuses every queued call with this content.
    pub(super) fn refuse_content(&mut self, fingerprint: u64) {
        let same_content = |(key, job): (JobKey, &Job)| {
            let queued = matches!(job.phase, Phase::Queued { .. });
            (queued && job.part.fingerprint == fingerprint).then_some(key)
        };
        let waiting: Vec<JobKey> = self.jobs.iter().filter_map(same_content).collect();
        for key in waiting {
            self.refuse_queued(key, NotRun::Quarantined);
        }
    }

    /// Cancels one call. A trial or canary call is left to finish, because its
    /// outcome shows whether the content is harmful, and so is the first call after a
    /// pause, which shows whether the leaf wants another.
    pub(super) fn cancel_call(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        self.counts.cancelled += 1;
        match &mut job.phase {
            Phase::Queued { .. } => {
                self.dequeue(key);
                self.jobs.remove(key);
            }
            Phase::Running { wanted, .. } => {
                *wanted = false;
                if !job.alone && !job.part.canary && !job.resumes {
                    self.steps.push(Step::Abandon(key));
                }
            }
        }
        self.start_trials(now);
    }
}
