//! Makes the calls to the platform's store that bind a caller's idempotency key
//! to a ticket.

use super::platform::{PlatformError, Store};
use crate::modules::{
    claims::{Claim, ClaimRecord, ClaimStep, StoreReply},
    era::{ERA_KEY, EraRecord},
    outcome::ActionOutcome,
};

/// A claim in the store, with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredClaim {
    /// The claim.
    pub record: ClaimRecord,
    /// Version of its key in the store.
    pub version: u64,
}

/// Result of resolving a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// Continue with the claim's ticket.
    Use(StoredClaim),
    /// Return the recorded outcome.
    Repeat(ActionOutcome),
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be resolved in the store.
    Unresolved,
}

/// Executes the steps of a claim, starting with `first`, until it is resolved.
pub async fn resolve_claim(
    store: &impl Store,
    store_key: &str,
    claim: &mut Claim,
    first: ClaimStep,
) -> ClaimResult {
    let mut step = first;
    let mut version = 0;
    loop {
        let reply = match step {
            ClaimStep::Create(record) => create(store, store_key, &record, &mut version).await,
            ClaimStep::Read => read(store, store_key, &mut version).await,
            ClaimStep::Use(record) => return ClaimResult::Use(StoredClaim { record, version }),
            ClaimStep::Repeat(outcome) => return ClaimResult::Repeat(outcome),
            ClaimStep::Mismatch => return ClaimResult::Mismatch,
            ClaimStep::GiveUp => return ClaimResult::Unresolved,
        };
        step = claim.on_reply(reply);
    }
}

/// Writes the outcome to the claim, so that a request that is sent again through
/// another entry gets it when this one is gone. No guarantee depends on it, so a
/// failure is only logged.
pub async fn write_back(
    store: &impl Store,
    store_key: &str,
    stored: &StoredClaim,
    outcome: &ActionOutcome,
) {
    let Some(ended) = stored.record.with_outcome(outcome) else {
        return;
    };
    let Ok(value) = serde_json::to_vec(&ended) else {
        return;
    };
    if let Err(error) = store.put(store_key, value, stored.version).await {
        tracing::debug!(key = store_key, %error, "cannot write an outcome back to its claim");
    }
}

/// Returns the record of the era that the fleet has acknowledged, after writing it if the
/// store has entered `era` since.
///
/// # Errors
///
/// Returns why the record cannot be read or written.
pub(crate) async fn acknowledge(
    store: &impl Store,
    era: u64,
    now: u64,
) -> Result<EraRecord, PlatformError> {
    let stored = store.get(ERA_KEY).await?;
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    // A record that cannot be read counts as one of an era that has passed.
    let found = stored.map(|stored| serde_json::from_slice(&stored.value).unwrap_or_default());
    let Some(record) = EraRecord::acknowledge(found, era, now) else {
        return Ok(found.unwrap_or_default());
    };
    tracing::warn!(
        ?found,
        era,
        noticed = record.noticed,
        "the store is in a new era"
    );
    let value = serde_json::to_vec(&record);
    let value = value.map_err(|error| PlatformError::Protocol(error.to_string()))?;
    // On a conflict the next request reads what another process has written.
    store.put(ERA_KEY, value, version).await.map(|_| record)
}

async fn create(
    store: &impl Store,
    key: &str,
    record: &ClaimRecord,
    version: &mut u64,
) -> StoreReply {
    let Ok(value) = serde_json::to_vec(record) else {
        return StoreReply::Refused;
    };
    match store.put(key, value, 0).await {
        Ok(created) => {
            *version = created;
            StoreReply::Created
        }
        Err(error) => error_reply(key, &error),
    }
}

async fn read(store: &impl Store, key: &str, version: &mut u64) -> StoreReply {
    let found = match store.get(key).await {
        Ok(found) => found,
        Err(error) => return error_reply(key, &error),
    };
    let Some(found) = found else {
        return StoreReply::Absent;
    };
    *version = found.version;
    // An unreadable claim becomes one without a ticket, so that nothing runs
    // for it.
    let record = serde_json::from_slice(&found.value).unwrap_or_default();
    StoreReply::Found(record)
}

fn error_reply(key: &str, error: &PlatformError) -> StoreReply {
    if matches!(error, PlatformError::Conflict { .. }) {
        return StoreReply::Conflict;
    }
    tracing::debug!(key, %error, "a store call for a claim failed");
    if error.may_have_applied() {
        StoreReply::Lost
    } else {
        StoreReply::Refused
    }
}
