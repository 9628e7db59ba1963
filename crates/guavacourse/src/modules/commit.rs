//! Makes one change of the configuration in the store.
//!
//! The body is written first, under its own key. Then the head is updated by
//! compare-and-swap. A swap whose reply was lost is repeated against the same
//! version, so that it takes effect at most once, until the head shows whether
//! it did: the head lists the latest operations.

use thiserror::Error;

use super::{
    adoption::Stamp,
    head::{AcceptedChange, HEAD_KEY, Head, MAX_TRAIL, body_key},
};

/// A configuration that an operator wants to put in force.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Proposal {
    /// Revision that the text was edited from; 0 before the first.
    pub base: u64,
    /// Highest revision that is in force anywhere, if the store has lost it;
    /// otherwise 0.
    pub above: u64,
    /// Body of the configuration.
    pub text: String,
    /// Unique id of the operation.
    pub operation: String,
    /// Who makes the change.
    pub author: String,
    /// Time of the change, in seconds since 1970.
    pub seconds: u64,
}

/// The next call that a change needs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Read the head.
    Read,
    /// Write a value if its key has the version.
    Write {
        /// Key of the value.
        key: String,
        /// Version that the key must have; 0 if it must be absent.
        if_version: u64,
        /// The value.
        value: String,
    },
    /// No call: the change has ended.
    End(CommitOutcome),
}

/// Result of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Reply {
    /// The head and its version; version 0 if it is absent.
    Head(u64, Head),
    /// The write took effect.
    Written,
    /// The key has another version.
    Conflict,
    /// No answer, but the call had no effect.
    Failed,
    /// No answer, and a write may have taken effect, or may still do so.
    Uncertain,
}

/// How a change ended.
#[derive(Clone, Debug, Eq, Error, Hash, PartialEq)]
pub enum CommitOutcome {
    /// It was accepted. The second field is the change that the head's trail no
    /// longer lists, if any, whose body may be deleted.
    #[error("revision {} is accepted", .0.stamp.revision)]
    Accepted(AcceptedChange, Option<AcceptedChange>),
    /// Another change came first.
    #[error(
        "revision {} by {} came first, and nothing was changed; see `guavacourse diff {base}`, \
         take its lines into the file, and apply it with --base {}",
        .current.stamp.revision, .current.author, .current.stamp.revision
    )]
    Conflict {
        /// Revision that the change was based on.
        base: u64,
        /// The accepted change.
        current: AcceptedChange,
    },
    /// The store did not answer; nothing was changed, and nothing will be.
    #[error("the store gave no answer and nothing was changed; apply the file again later")]
    NotApplied,
    /// The store did not answer; the change may have been accepted, or may still
    /// be.
    #[error(
        "the store gave no answer, and the change may have been accepted; look for operation {0} \
         in `guavacourse history` before applying the file again"
    )]
    Unknown(String),
}

/// Stage of a change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// Reads the head before anything is written.
    Reading,
    /// Writes the body.
    Writing,
    /// Updates the head.
    Swapping,
    /// Reads the head to learn whether a swap took effect.
    Verifying,
}

/// One change of the configuration.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Commit {
    proposal: Proposal,
    phase: Phase,
    /// Head that the change is based on, and its version.
    head: Head,
    version: u64,
    /// Whether a swap may have taken effect.
    swap_uncertain: bool,
    /// Number of repeated calls still allowed.
    retries_left: u8,
}

impl Proposal {
    /// Returns the revision that the change makes.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.base.max(self.above) + 1
    }
}

impl Commit {
    /// Creates a change that repeats at most `max_retries` calls before it gives
    /// up.
    #[must_use]
    pub fn new(proposal: Proposal, max_retries: u8) -> Self {
        Self {
            proposal,
            phase: Phase::Reading,
            head: Head::default(),
            version: 0,
            swap_uncertain: false,
            retries_left: max_retries,
        }
    }

    /// Returns the first call.
    #[must_use]
    pub fn begin(&self) -> Step {
        Step::Read
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn reply(&mut self, reply: Reply) -> Step {
        match (self.phase, reply) {
            (_, Reply::Uncertain) => {
                self.swap_uncertain |= self.phase == Phase::Swapping;
                self.retry()
            }
            (Phase::Reading, Reply::Head(version, head)) => self.check_base(version, head),
            // The key includes the operation's id, so only an earlier try can have
            // written it.
            (Phase::Writing, Reply::Written | Reply::Conflict) => self.enter(Phase::Swapping),
            (Phase::Swapping, Reply::Written) => self.accepted(),
            (Phase::Swapping, Reply::Conflict) => self.enter(Phase::Verifying),
            (Phase::Verifying, Reply::Head(version, head)) => self.verify_swap(version, &head),
            // A failure, or a reply that does not belong to the last call.
            (_, _) => self.retry(),
        }
    }

    /// Returns the body's key.
    #[must_use]
    pub fn body_key(&self) -> String {
        body_key(self.proposal.revision(), &self.proposal.operation)
    }

    fn accepted_change(&self) -> AcceptedChange {
        let proposal = &self.proposal;
        AcceptedChange {
            stamp: Stamp::of(proposal.revision(), proposal.text.as_bytes()),
            operation: proposal.operation.clone(),
            author: proposal.author.clone(),
            seconds: proposal.seconds,
        }
    }

    /// Checks that the head is at the base revision, and starts to write.
    fn check_base(&mut self, version: u64, head: Head) -> Step {
        if let Some(current) = head.current()
            && current.stamp.revision != self.proposal.base
        {
            return Step::End(self.conflict(current));
        }
        self.version = version;
        self.head = head;
        self.enter(Phase::Writing)
    }

    /// Determines from the head whether the swap took effect.
    fn verify_swap(&mut self, version: u64, head: &Head) -> Step {
        if head.find(&self.proposal.operation).is_some() {
            return self.accepted();
        }
        if version == self.version {
            return self.retry_swap();
        }
        let newer = head.revision().saturating_sub(self.proposal.base);
        match head.current() {
            Some(current) if newer < MAX_TRAIL as u64 => Step::End(self.conflict(current)),
            _ => Step::End(CommitOutcome::Unknown(self.proposal.operation.clone())),
        }
    }

    fn conflict(&self, current: &AcceptedChange) -> CommitOutcome {
        CommitOutcome::Conflict {
            base: self.proposal.base,
            current: current.clone(),
        }
    }

    fn accepted(&self) -> Step {
        let change = self.accepted_change();
        let (_, oldest) = self.head.with_change(change.clone());
        Step::End(CommitOutcome::Accepted(change, oldest))
    }

    /// Repeats the call after a failure. If a swap may have taken effect, reads the
    /// head first.
    fn retry(&mut self) -> Step {
        if self.retries_left == 0 {
            return Step::End(self.failure());
        }
        self.retries_left -= 1;
        let phase = match self.phase {
            Phase::Swapping if self.swap_uncertain => Phase::Verifying,
            other => other,
        };
        self.enter(phase)
    }

    /// Repeats a swap that has not taken effect so far.
    fn retry_swap(&mut self) -> Step {
        if self.retries_left == 0 {
            return Step::End(self.failure());
        }
        self.retries_left -= 1;
        self.enter(Phase::Swapping)
    }

    fn failure(&self) -> CommitOutcome {
        if self.swap_uncertain {
            return CommitOutcome::Unknown(self.proposal.operation.clone());
        }
        CommitOutcome::NotApplied
    }

    fn enter(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        match phase {
            Phase::Reading | Phase::Verifying => Step::Read,
            Phase::Writing => Step::Write {
                key: self.body_key(),
                if_version: 0,
                value: self.proposal.text.clone(),
            },
            Phase::Swapping => Step::Write {
                key: HEAD_KEY.to_owned(),
                if_version: self.version,
                value: self.next_head(),
            },
        }
    }

    fn next_head(&self) -> String {
        let (head, _) = self.head.with_change(self.accepted_change());
        serde_json::to_string(&head).unwrap_or_default()
    }
}
