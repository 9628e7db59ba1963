//! The result of a query: rows and their coverage, or a failure.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use serde_json::value::RawValue;
use thiserror::Error;

use super::{
    call::{NotRun, Origin, Unknown},
    coverage::Coverage,
    exposure::Exposure,
    inventory::Address,
};

/// The result of a query and a trace of what it did.
#[derive(Debug, Serialize)]
pub struct Answer {
    /// The answer, or why there is none.
    pub body: Result<AnswerBody, Failure>,
    /// What the query did.
    pub trace: Trace,
}

/// Rows of one snapshot and their coverage.
#[derive(Debug, Serialize)]
pub struct AnswerBody {
    /// The rows of all covered shards.
    pub rows: AnswerRows,
    /// Signatures of the parts, where leaves sign their replies.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub signatures: Vec<String>,
    /// Indexes of the services of those parts in the kind's list.
    #[serde(skip)]
    pub services: Vec<u16>,
    /// Number of shards missing from the answer; the coverage names their keys.
    #[serde(skip)]
    pub missing: usize,
    /// Index version of all rows.
    pub index_version: u64,
    /// Partition epoch of all rows.
    pub partition_epoch: u64,
    /// Which of the planned keys the rows cover.
    pub coverage: Coverage,
    /// Configuration revision that the query was planned with.
    pub revision: u64,
}

/// The rows of an answer, in the format of its kind.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum AnswerRows {
    /// A JSON array.
    Json(Box<RawValue>),
    /// Fixed-size records, greatest first.
    Records(Vec<u8>),
    /// The reply of one leaf.
    Whole(ForwardedReply),
}

impl AnswerRows {
    /// Returns the JSON array of rows, or an empty array for other formats.
    #[must_use]
    pub fn as_json(&self) -> &str {
        match self {
            Self::Json(rows) => rows.get(),
            Self::Records(_) | Self::Whole(_) => "[]",
        }
    }
}

/// A leaf's reply that the caller receives unchanged.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForwardedReply {
    /// Status, signature and media type of the reply.
    pub origin: Arc<Origin>,
    /// Body of the reply.
    pub body: Arc<[u8]>,
}

/// Why a query that was started has no answer.
#[derive(Debug, Serialize)]
pub struct Failure {
    /// The kind of failure.
    pub reason: Reason,
    /// What happened and what to do about it.
    pub message: String,
    /// Whether the request provably ran nowhere.
    pub not_run: bool,
    /// How far the request got towards a backend server.
    pub exposure: Exposure,
    /// Failure reply of the request's only leaf.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reply: Option<ForwardedReply>,
    /// Time after which leaves that asked for fewer calls take the request, if that is
    /// known.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
    /// Coverage when the query ended.
    pub coverage: Coverage,
    /// Configuration revision that the query was planned with.
    pub revision: u64,
}

/// The kind of a failure.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The deadline passed before the minimum coverage was reached.
    #[error(
        "the deadline passed below the least coverage; allow more time or accept less coverage"
    )]
    Deadline,
    /// Too few shards were left to reach the minimum coverage.
    #[error(
        "too many shards failed for the least coverage; repeat later or accept less coverage, and \
         see `guavacourse explain`"
    )]
    Coverage,
}

/// Why a query was not started. Nothing was sent.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// No configuration is in force here yet.
    #[error(
        "not run: no configuration is in force on this entry yet; repeat through another entry"
    )]
    NotReady,
    /// There is no kind of this name.
    #[error("not run: kind `{0}` is not configured; name one that `guavacourse get` lists")]
    UnknownKind(String),
    /// The kind is an action.
    #[error("not run: kind `{0}` is an action; send it as an action with a ticket")]
    NotAQuery(String),
    /// The kind names no service.
    #[error("not run: kind `{0}` names no service; add `services` to it in the configuration")]
    NoServices(String),
    /// The limit of concurrent queries of the kind is reached.
    #[error("not run: there is no room for more queries of kind `{0}`; repeat later, and slower")]
    Overloaded(String),
    /// Other requests compete for the room of the kind.
    #[error(
        "not run: there is no room for more queries of kind `{kind}`: {cause}; repeat in \
         {retry_after:?}"
    )]
    Contended {
        /// Name of the kind.
        kind: String,
        /// What there is too little of.
        cause: Shortage,
        /// Time after which room is expected.
        retry_after: Duration,
    },
    /// Too few shards have a backend server in the regions that the request allows.
    #[error(
        "not run: too few backend servers of kind `{0}` are in the regions where it may be \
         served; allow more regions"
    )]
    OutsideRegions(String),
    /// The content has crashed backend servers.
    #[error("not run: this request's content has crashed backend servers; change the request")]
    Quarantined,
    /// The deadline is zero.
    #[error("not run: the deadline is zero; give a `deadline` above 0")]
    BadDeadline,
    /// The minimum coverage is out of range.
    #[error("not run: the least coverage is not within 0 to 1; give a `least-coverage` within")]
    BadCoverage,
}

/// Why there is no room for a query that competes with others.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Shortage {
    /// Too many shards are scarce for an answer before the deadline.
    #[error("too many shards are too busy to answer before the deadline")]
    Unservable,
    /// Too many shards are scarce for an answer in time, and enough late queries run.
    #[error("too many shards are too busy to answer in time, and enough late queries run")]
    Late,
    /// The limit of concurrent queries is reached.
    #[error("the limit of concurrent queries is reached")]
    Limit,
    /// The limit is reached, and the customer runs more than its share.
    #[error("the limit of concurrent queries is reached, and the customer is above its share")]
    Share,
}

impl Shortage {
    /// Returns the label for metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Unservable => "unservable",
            Self::Late => "late",
            Self::Limit => "limit",
            Self::Share => "share",
        }
    }
}

/// What a query did, for `guavacourse explain`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Trace {
    /// Kind of the request.
    pub kind: String,
    /// Hash of kind and body.
    pub fingerprint: u64,
    /// Time from the start to the end, in microseconds.
    pub elapsed_us: u64,
    /// Shards planned.
    pub shards: u32,
    /// Calls sent.
    pub calls: u32,
    /// Hedges among them.
    pub hedges: u32,
    /// Retries among them.
    pub retries: u32,
    /// Hedges and retries that a budget denied, and hedges denied because the
    /// tier was saturated.
    pub denied: u32,
    /// Replies that matched no pending attempt.
    pub dropped: u32,
    /// Replies that were not merged: their rows were of another snapshot or key
    /// range, or not a JSON array.
    pub mismatched: u32,
    /// Index version first requested; 0 stands for the newest.
    pub pinned: u64,
    /// Changes of the snapshot during the query.
    pub restarts: u32,
    /// Newest partition epoch that a leaf reported, if newer than the plan's.
    pub newer_epoch: Option<u64>,
    /// Whether a canary call was sent ahead of the others because the content
    /// was new.
    pub canary: bool,
    /// Whether the query ended at its settle age, with shards still open.
    pub settled: bool,
    /// Shards left out because other calls wait for them.
    pub left_out: u32,
    /// Shards called only once no other call waited for them.
    pub held: u32,
    /// All attempts except first calls whose rows were merged.
    pub attempts: Vec<AttemptTrace>,
}

/// Cause, timing and status of one attempt.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptTrace {
    /// Name of the leaf.
    pub leaf: String,
    /// The relay it went through.
    pub relay: Address,
    /// Why it was sent.
    pub cause: Cause,
    /// Time from the start of the query until it was sent, in microseconds.
    pub sent_us: u64,
    /// Time from sending until it ended, in microseconds.
    pub took_us: u64,
    /// How it ended.
    pub ended: AttemptStatus,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The first call of a shard.
    First,
    /// A second copy of a late call.
    Hedge,
    /// Another replica after a failure.
    Retry,
    /// A call for another snapshot.
    Snapshot,
}

/// Status of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// It has not ended.
    Pending,
    /// Its rows were merged.
    Merged,
    /// Its rows were merged, then discarded for another snapshot.
    Superseded,
    /// It was cancelled.
    Cancelled,
    /// Its rows were of another snapshot or key range, or not a JSON array.
    Mismatched,
    /// The leaf does not hold the snapshot.
    Elsewhere,
    /// It provably did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
    /// The leaf answered with a failure.
    Failed,
}

/// Concatenates JSON arrays without parsing their elements.
///
/// Each body must be a JSON array according to [`is_json_array`].
#[must_use]
pub(crate) fn concat_arrays(bodies: &[Arc<[u8]>]) -> Option<Box<RawValue>> {
    let mut joined = String::with_capacity(bodies.iter().map(|body| body.len() + 1).sum());
    for body in bodies {
        let text = std::str::from_utf8(body).ok()?.trim();
        let elements = text.strip_prefix('[')?.strip_suffix(']')?.trim();
        if elements.is_empty() {
            continue;
        }
        joined.push(if joined.is_empty() { '[' } else { ',' });
        joined.push_str(elements);
    }
    joined.push_str(if joined.is_empty() { "[]" } else { "]" });
    RawValue::from_string(joined).ok()
}

/// Returns whether a body is a single complete JSON array.
#[must_use]
pub(crate) fn is_json_array(body: &[u8]) -> bool {
    serde_json::from_slice::<&RawValue>(body).is_ok_and(|value| value.get().starts_with('['))
}
