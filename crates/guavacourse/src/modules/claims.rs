//! Claims: the caller's own idempotency keys, bound to tickets.
//!
//! An entry that receives a key mints a ticket and, if the key has no claim,
//! creates one in the platform's store before anything is sent. The claim binds
//! the key to that ticket permanently, and every entry that finds the claim uses
//! the ticket that it names. A lost reply, a pause or a restart between the claim
//! and the send therefore cannot cause a second run: only the incarnation that
//! minted the ticket runs the action, once.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ledger::Digest, outcome::ActionOutcome};

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// Maximum number of store calls to claim a key. Writing the outcome is not
/// counted.
pub const MAX_STORE_CALLS: u32 = 6;

/// Largest outcome that is written to the claim, in bytes held on the heap.
pub const MAX_OUTCOME_BYTES: usize = 4 * 1024;

/// Value in the store for one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default)]
pub struct ClaimRecord {
    /// Text of the ticket that the key is bound to. It names the instance and
    /// incarnation that may run the action, and it is unguessable.
    pub ticket: String,
    /// Digest of the request.
    pub digest: u64,
    /// How the action ended, once that is known.
    pub outcome: Option<ActionOutcome>,
}

impl ClaimRecord {
    /// Returns the claim with `outcome`, to be stored in place of this one; `None`
    /// if the outcome may still change or is too large.
    #[must_use]
    pub fn with_outcome(&self, outcome: &ActionOutcome) -> Option<Self> {
        let transient = matches!(outcome, ActionOutcome::Unknown(why) if why.is_transient());
        let fits = outcome.heap_bytes() <= MAX_OUTCOME_BYTES;
        (!transient && fits).then(|| Self {
            outcome: Some(outcome.clone()),
            ..self.clone()
        })
    }
}

/// Why a caller's key was refused. Nothing was claimed or sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error(
    "idempotency-key must be 1 to {MAX_KEY_BYTES} letters, digits, `-` or `_`; send such a key"
)]
pub struct InvalidKey;

/// Returns the store's key for a caller's key.
///
/// # Errors
///
/// Returns [`InvalidKey`] if the key is empty, too long or has other characters.
pub fn store_key(key: &str) -> Result<String, InvalidKey> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(allowed);
    valid.then(|| format!("claims/{key}")).ok_or(InvalidKey)
}

/// How a call to the store ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreReply {
    /// The claim was created.
    Created,
    /// The key already has a claim.
    Conflict,
    /// The key's claim was read.
    Found(ClaimRecord),
    /// The key has no claim.
    Absent,
    /// The store refused the call or could not be reached. The call had no effect.
    Refused,
    /// No reply arrived. The call may have taken effect, or may still do so.
    Lost,
}

/// What to do next for a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ClaimStep {
    /// Create the claim in the store, if absent.
    Create(ClaimRecord),
    /// Read the claim from the store.
    Read,
    /// Use the ticket of this claim, whichever instance minted it.
    Use(ClaimRecord),
    /// Return the recorded outcome.
    Repeat(ActionOutcome),
    /// The key was used for another request.
    Mismatch,
    /// The store did not confirm a claim. Stop processing the request.
    GiveUp,
}

/// State machine that claims one key in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    proposed: ClaimRecord,
    calls: u32,
    contested: bool,
}

impl Claim {
    /// Starts to claim a key. `ticket` must have been minted for this request
    /// alone.
    #[must_use]
    pub fn start(ticket: impl Into<String>, digest: Digest) -> (Self, ClaimStep) {
        let proposed = ClaimRecord {
            ticket: ticket.into(),
            digest: digest.0,
            outcome: None,
        };
        let step = ClaimStep::Create(proposed.clone());
        let claim = Self {
            proposed,
            calls: 1,
            contested: false,
        };
        (claim, step)
    }

    /// Handles the store's reply to the last call and returns the next step.
    pub fn on_reply(&mut self, reply: StoreReply) -> ClaimStep {
        match reply {
            StoreReply::Created => ClaimStep::Use(self.proposed.clone()),
            StoreReply::Found(record) => self.use_or_repeat(record),
            StoreReply::Conflict => {
                self.contested = true;
                self.call(ClaimStep::Read)
            }
            StoreReply::Lost => self.call(ClaimStep::Read),
            StoreReply::Absent => self.call(ClaimStep::Create(self.proposed.clone())),
            StoreReply::Refused => ClaimStep::GiveUp,
        }
    }

    /// Returns whether the key may be bound to a ticket other than the one given to
    /// [`Claim::start`].
    #[must_use]
    pub fn contested(&self) -> bool {
        self.contested
    }

    fn use_or_repeat(&self, record: ClaimRecord) -> ClaimStep {
        if record.digest != self.proposed.digest {
            return ClaimStep::Mismatch;
        }
        match record.outcome {
            Some(outcome) => ClaimStep::Repeat(outcome),
            None => ClaimStep::Use(record),
        }
    }

    fn call(&mut self, step: ClaimStep) -> ClaimStep {
        if self.calls >= MAX_STORE_CALLS {
            return ClaimStep::GiveUp;
        }
        self.calls += 1;
        step
    }
}
