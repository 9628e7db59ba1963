//! A call that a relay queues or runs, and the types that describe its course.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use slotmap::new_key_type;

use crate::modules::{
    call::{Call, NotRun, Outcome, Part, Reply, Unknown},
    catalog::LeafId,
    crash_evidence::Finding,
    leaf_notice::LeafEvent,
    placement::load_report::LoadReport,
    time::{Time, micros},
};

new_key_type! {
    /// Key of a call that a relay queues or runs.
    pub struct JobKey;
}

/// Identifies a session of an entry with this relay.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SessionId(pub u64);

/// Identifies a kind of request within this relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KindId(pub(super) u16);

/// One call with its request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Session that the reply goes to.
    pub session: SessionId,
    /// The call.
    pub call: Call,
    /// Its request; the list of calls in it is empty.
    pub part: Arc<Part>,
    /// Time after which its answer is no longer wanted.
    pub deadline: Time,
    /// Whether it runs with nothing else on its leaf.
    pub alone: bool,
    /// Load that the leaf reported with its answer.
    pub(super) load: Option<LoadReport>,
    /// Whether it is the first call after a pause of its leaf, whose answer tells whether
    /// the leaf wants another.
    pub(super) resumes: bool,
    /// Whether it waits for a canary call of the same content on its leaf.
    pub(super) duplicate: bool,
    /// Time from which it may run alone, unless its content is cleared before.
    pub(super) held_until: Time,
    pub(super) kind: KindId,
    pub(super) phase: Phase,
}

impl Job {
    /// Returns whether it needs a new connection.
    #[must_use]
    pub fn needs_new_connection(&self) -> bool {
        self.alone || self.is_action()
    }

    /// Returns whether the call belongs to an action, which must not be repeated.
    #[must_use]
    pub fn is_action(&self) -> bool {
        !self.part.action.is_empty()
    }
}

/// State of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It is queued. It is refused if it has not started at `latest`.
    Queued { rank: Rank, latest: Time },
    /// It was dispatched. `wanted` is false once its entry has cancelled it.
    Running { since: Time, wanted: bool },
}

/// Position in the queue of a leaf; the lowest runs first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Calls whose answer will be late come after all others.
    late: bool,
    /// Hedges and retries come last.
    extra: bool,
    /// Worth per second of slot time.
    density: Reverse<u64>,
    deadline: Time,
    arrival: u64,
}

impl Rank {
    /// Ranks by worth per second of slot time, then by deadline.
    pub(super) fn by_worth(job: &Job, service: Duration, arrival: u64) -> Self {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let worth = u64::from(job.part.worth) * MICROS_PER_SECOND;
        Self {
            late: job.part.late,
            extra: job.call.extra,
            density: Reverse(worth / micros(service).max(1)),
            deadline: job.deadline,
            arrival,
        }
    }

    /// Ranks by order of arrival only.
    pub(super) fn by_arrival(arrival: u64) -> Self {
        Self {
            late: false,
            extra: false,
            density: Reverse(0),
            deadline: Time(0),
            arrival,
        }
    }
}

/// A step that the edge must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send a call to its leaf.
    Dispatch {
        /// The call.
        job: JobKey,
        /// Whether it goes on a new connection rather than on a kept one.
        new_connection: bool,
    },
    /// Close the connection of a running call, and report its release.
    Abandon(JobKey),
    /// End the exchange of a running call whose deadline has passed.
    Expire(JobKey),
    /// Close kept connections of a leaf, and report each.
    CloseKept(LeafId, u32),
    /// Open a connection to a leaf and close it again, to test whether the leaf is
    /// alive.
    Probe(LeafId),
    /// Deliver a reply to a session.
    Deliver(SessionId, Reply),
    /// Announce content that crashes backend servers, and deliver a reply once the
    /// entries have been told.
    Quarantine {
        /// Fingerprint of the content.
        content: u64,
        /// The reply of the call that proved it.
        then: Option<(SessionId, Reply)>,
    },
    /// Report to the fleet what was found out about content.
    Report(Finding),
    /// Log a change in what a leaf asks for.
    Note(LeafEvent),
}

/// How an exchange with a leaf ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The leaf answered, and its reply echoed the attempt.
    Answered(LeafAnswer),
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The deadline passed before the connection was open; nothing was sent.
    Unsent,
    /// It is not known whether the leaf ran the call.
    Lost(Unknown),
}

/// A leaf's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafAnswer {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Incarnation of the leaf.
    pub incarnation: u64,
    /// Whether the leaf reports that it is draining.
    pub draining: bool,
}

/// State of the connection after its exchange has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// It is kept for the next call.
    Kept,
    /// It is closed.
    Closed,
    /// It is being closed; the edge reports its release.
    Closing,
}

impl Ending {
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(answer) => answer.outcome.clone(),
            Self::Unreachable => Outcome::NotRun(NotRun::Unreachable),
            Self::Unsent => Outcome::NotRun(NotRun::Expired),
            Self::Lost(reason) => Outcome::Unknown(*reason),
        }
    }
}
