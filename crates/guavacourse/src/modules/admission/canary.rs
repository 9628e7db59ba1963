//! Canary calls: calls whose content no leaf is known to have run. A leaf runs
//! one such call of the same content at a time; duplicates wait for its outcome.

use super::{
    Admission,
    gate::MAX_QUEUE_LEN,
    job::{Ending, Job, JobKey, Rank},
};
use crate::modules::{
    call::{NotRun, Outcome},
    time::Time,
};

impl Admission {
    /// Returns whether a call has to wait for a running canary call of the same
    /// content.
    pub(super) fn waits_for_canary(&self, job: &Job, now: Time) -> bool {
        let content = job.part.fingerprint;
        let gate = self.gates.get(&job.call.leaf);
        job.part.canary
            && gate.is_some_and(|gate| gate.canaries.contains(&content))
            && !self.cleared.contains(content, now)
    }

    /// Queues a call until the running canary call of the same content has ended.
    pub(super) fn queue_duplicate(&mut self, mut job: Job) {
        let leaf = job.call.leaf;
        let has_room = self
            .gates
            .get(&leaf)
            .map(|gate| gate.duplicates.len() < MAX_QUEUE_LEN);
        if has_room != Some(true) {
            return self.refuse(&job, NotRun::QueueFull);
        }
        job.duplicate = true;
        let latest = job.deadline;
        let key = self.insert_queued(job, Rank::by_arrival(0), latest);
        if let Some(gate) = self.gates.get_mut(&leaf) {
            gate.duplicates.push(key);
        }
    }

    /// Marks the content of a canary call as cleared if the leaf ran it to
    /// completion.
    pub(super) fn record_canary(&mut self, job: &Job, ending: &Ending, now: Time) {
        let has_rows = matches!(ending.outcome(), Outcome::Rows(_));
        if has_rows && job.part.canary {
            self.cleared.add(job.part.fingerprint, now);
        }
    }

    /// Readmits the duplicates that waited for a canary call. One of them runs
    /// next, unless the content is now cleared or suspected.
    pub(super) fn end_canary(&mut self, job: &Job, now: Time) {
        if !job.part.canary {
            return;
        }
        let content = job.part.fingerprint;
        let Some(gate) = self.gates.get_mut(&job.call.leaf) else {
            return;
        };
        let running = gate.canaries.iter().position(|canary| *canary == content);
        if let Some(index) = running {
            gate.canaries.swap_remove(index);
        }
        let jobs = &self.jobs;
        let same_content = |key: &&JobKey| {
            let duplicate = jobs.get(**key);
            duplicate.is_some_and(|duplicate| duplicate.part.fingerprint == content)
        };
        let duplicates: Vec<JobKey> = gate
            .duplicates
            .iter()
            .filter(same_content)
            .copied()
            .collect();
        for key in duplicates {
            self.readmit(key, now);
        }
    }
}
