//! Calls to leaves and their outcomes, as entries and relays exchange them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    catalog::{LeafId, stable_hash},
    customers::Customer,
    keys::KeyRange,
    placement::load_report::LoadReport,
};

/// Index version of leaves that report none.
const UNVERSIONED: u64 = 1;

/// Identifies one attempt at a leaf call, unique within an entry's incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// The leaf calls of one request that go to one relay.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Kind of the request.
    pub kind: String,
    /// Value of the request.
    pub worth: u32,
    /// Time left until the deadline.
    pub budget: Duration,
    /// Pinned index version; 0 asks for the newest that the leaf holds.
    pub version: u64,
    /// Partition epoch of the plan.
    pub epoch: u64,
    /// Revision of the configuration of the plan.
    pub revision: u64,
    /// Time that the caller has already waited.
    pub age: Duration,
    /// Number of shards of the request that may be missing from its answer.
    pub spare: u32,
    /// Whether its answer will be late, so that its calls yield to others. It is not sent
    /// to relays of other processes.
    pub late: bool,
    /// Idempotency id of an action; empty for a query.
    pub action: String,
    /// Hash of kind and body, equal for a repeated request.
    pub fingerprint: u64,
    /// Body that the leaf receives.
    pub body: Arc<[u8]>,
    /// The calls.
    pub calls: Vec<Call>,
    /// Whether each call runs with nothing else on its leaf, because it retries a
    /// call whose connection closed and which may have crashed its leaf.
    pub alone: bool,
    /// Whether no leaf is known to have run the content. A leaf runs one such call
    /// with the same content at a time, and the others wait for its outcome.
    pub canary: bool,
    /// Number of the trial of quarantined content; 0 if it is none. It is not sent to
    /// relays of other processes.
    pub trial: u32,
    /// The caller's own request, for leaves that take it unchanged.
    pub forward: Option<Arc<ForwardedRequest>>,
    /// Customer of the caller, if it is known.
    pub customer: Option<Arc<Customer>>,
}

/// A caller's request that leaves receive unchanged. Its body is in
/// [`Part::body`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardedRequest {
    /// Method.
    pub method: String,
    /// Path and query, byte for byte.
    pub target: String,
    /// The caller's id of the request, which leaves echo.
    pub id: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Hash of who the caller is, as far as leaves learn it; 0 if that is not known.
    pub caller: u64,
}

/// Status, signature and media type of a leaf's reply that the caller receives
/// unchanged.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// HTTP status.
    pub status: u16,
    /// The leaf's signature of the reply.
    pub signature: String,
    /// Media type of the body; empty if the leaf gave none.
    pub media: String,
}

/// One leaf call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The leaf to call.
    pub leaf: LeafId,
    /// Whether it is a hedge or a retry.
    pub extra: bool,
}

/// Result of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Number of calls that wait for a slot of the leaf.
    pub queued: u32,
    /// Time that the leaf took.
    pub service: Duration,
    /// Time after which the leaf, which did not run the call, takes the next one; zero if
    /// it asked for nothing.
    pub retry_after: Duration,
    /// Load that the leaf reported with its answer.
    pub load: Option<LoadReport>,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The leaf answered.
    Rows(Rows),
    /// The leaf provably did not start the call.
    NotRun(NotRun),
    /// The leaf may have run the call.
    Unknown(Unknown),
    /// The leaf does not hold the pinned version or epoch, and ran nothing.
    Elsewhere(HeldVersions),
    /// The leaf ran the call and answered with a failure.
    Failed(FailedReply),
}

/// Rows of one leaf.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// Index version that the rows were read from.
    pub version: u64,
    /// Newest index version that the leaf holds.
    pub newest: u64,
    /// Partition epoch that the leaf serves.
    pub epoch: u64,
    /// Keys that the rows cover.
    pub range: KeyRange,
    /// JSON array of rows, or a body in the kind's format.
    pub body: Arc<[u8]>,
    /// Status, signature and media type of the reply to a forwarded request.
    pub origin: Option<Arc<Origin>>,
}

impl Rows {
    /// Creates rows from the body of one or several leaves that hold the whole key
    /// space and report no index version.
    #[must_use]
    pub fn signed(body: Arc<[u8]>, origin: Arc<Origin>, epoch: u64) -> Self {
        Self {
            version: UNVERSIONED,
            newest: UNVERSIONED,
            epoch,
            range: KeyRange::ALL,
            body,
            origin: Some(origin),
        }
    }
}

/// A failure with which a leaf answered a forwarded request after it ran it.
#[derive(Clone, Debug, PartialEq)]
pub struct FailedReply {
    /// Status, signature and media type of the reply.
    pub origin: Arc<Origin>,
    /// Body of the reply.
    pub body: Arc<[u8]>,
}

/// Index versions and partition epoch that a leaf holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldVersions {
    /// Oldest index version.
    pub oldest: u64,
    /// Newest index version.
    pub newest: u64,
    /// Partition epoch.
    pub epoch: u64,
}

/// Why a call provably did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// The leaf shed the call before it started.
    Shed,
    /// The leaf refused the call though it has room.
    Declined,
    /// The leaf is draining.
    Draining,
    /// No connection could be opened.
    Unreachable,
    /// The deadline cannot be met.
    Expired,
    /// The relay's queue for the leaf is full.
    QueueFull,
    /// The entry cancelled the call before it was sent.
    Cancelled,
    /// The relay does not know the leaf.
    NotOwner,
    /// The relay is leaving.
    Leaving,
    /// The request's content has crashed backend servers.
    Quarantined,
    /// The leaf is ejected after failures.
    Ejected,
    /// The content may have crashed a leaf; it may be tried alone elsewhere.
    Suspected,
    /// The leaf asked for fewer calls.
    Deferred,
}

/// Why it is not known whether a call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The connection closed before a whole reply.
    Closed,
    /// No reply within the deadline.
    Timeout,
    /// The reply was cut short or violated the protocol.
    Malformed,
    /// The reply was for another attempt or key range.
    Mismatched,
    /// A peer used all of its attempts at the shard without success.
    Exhausted,
}

impl Part {
    /// Returns whether it is the trial of quarantined content.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial > 0
    }
}

impl ForwardedRequest {
    /// Returns the fingerprint of its content with this kind and body: equal in every
    /// process for all that a leaf may depend on and a repetition has in common, which
    /// includes the caller.
    #[must_use]
    pub fn fingerprint(&self, kind: &str, body: &[u8]) -> u64 {
        let Self {
            method,
            target,
            caller,
            ..
        } = self;
        let line = format!("{method} {target} {caller:x}");
        fingerprint(kind, body) ^ stable_hash(line.as_bytes())
    }
}

/// Returns the fingerprint of a request's content: equal in every process for
/// the same kind and body, whichever caller sends it.
#[must_use]
pub fn fingerprint(kind: &str, body: &[u8]) -> u64 {
    stable_hash(kind.as_bytes()).rotate_left(32) ^ stable_hash(body)
}
