//! Reads and changes the configuration on behalf of operators, in the platform's
//! store and at the processes.

mod processes;

use std::time::Duration;

use smol::Timer;

pub use self::processes::{ProcessStatus, fetch_status, offer};
use super::platform::{PlatformError, Store};
use crate::modules::{
    commit::{Commit, CommitOutcome, Proposal, Reply, Step},
    head::{AcceptedChange, HEAD_KEY, Head, body_key},
};

/// Maximum number of calls that a change repeats before it gives up.
const MAX_RETRIES: u8 = 6;

/// Pause after the first failed call; doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Applies a change, and deletes the body that is unused afterwards.
pub async fn apply(store: &impl Store, proposal: Proposal) -> CommitOutcome {
    let mut commit = Commit::new(proposal, MAX_RETRIES);
    let mut step = commit.begin();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let reply = match step {
            Step::End(outcome) => {
                clean_up(store, &commit, &outcome).await;
                return outcome;
            }
            Step::Read => read_reply(store).await,
            Step::Write {
                key,
                if_version,
                value,
            } => write_reply(store.put(&key, value.into_bytes(), if_version).await),
        };
        if matches!(reply, Reply::Failed | Reply::Uncertain) {
            Timer::after(backoff).await;
            backoff *= 2;
        }
        step = commit.reply(reply);
    }
}

/// Reads the head and its version; the version is 0 if the head is absent.
///
/// # Errors
///
/// Returns an error if the store gives no answer or the head is invalid.
pub async fn read_head(store: &impl Store) -> Result<(u64, Head), PlatformError> {
    let Some(value) = store.get(HEAD_KEY).await? else {
        return Ok((0, Head::default()));
    };
    let head = serde_json::from_slice(&value.value)
        .map_err(|e| PlatformError::malformed("an invalid configuration head", &e))?;
    Ok((value.version, head))
}

/// Reads the body of an accepted change.
///
/// # Errors
///
/// Returns an error if the store gives no answer, or the body is absent or not
/// UTF-8.
pub async fn read_body(
    store: &impl Store,
    accepted: &AcceptedChange,
) -> Result<String, PlatformError> {
    let key = body_key(accepted.stamp.revision, &accepted.operation);
    let value = store.get(&key).await?;
    let value = value.ok_or_else(|| PlatformError::Protocol(format!("no value for key {key}")))?;
    String::from_utf8(value.value)
        .map_err(|e| PlatformError::Protocol(format!("a body that is not UTF-8: {e}")))
}

async fn read_reply(store: &impl Store) -> Reply {
    match read_head(store).await {
        Ok((version, head)) => Reply::Head(version, head),
        Err(e) => {
            tracing::warn!("cannot read the configuration head from the store: {e}");
            Reply::Failed
        }
    }
}

fn write_reply(written: Result<u64, PlatformError>) -> Reply {
    match written {
        Ok(_) => Reply::Written,
        Err(PlatformError::Conflict { .. }) => Reply::Conflict,
        Err(e) => {
            tracing::warn!("the store did not confirm a write: {e}");
            if e.may_have_applied() {
                Reply::Uncertain
            } else {
                Reply::Failed
            }
        }
    }
}

/// Deletes the body that the head does not name, or no longer names. A failure
/// leaves an unused value in the store.
async fn clean_up(store: &impl Store, commit: &Commit, outcome: &CommitOutcome) {
    let key = match outcome {
        CommitOutcome::Accepted(_, Some(oldest)) => {
            body_key(oldest.stamp.revision, &oldest.operation)
        }
        CommitOutcome::Conflict { .. } | CommitOutcome::NotApplied => commit.body_key(),
        CommitOutcome::Accepted(_, None) | CommitOutcome::Unknown(_) => return,
    };
    if let Ok(Some(value)) = store.get(&key).await
        && let Err(e) = store.delete(&key, value.version).await
    {
        tracing::warn!(
            "cannot delete the unused value {key} from the store: {e}; delete it by hand"
        );
    }
}
