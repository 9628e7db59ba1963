//! Claims trials of quarantined content in the registry.

use futures::channel::oneshot;

use super::{Follower, Registry};
use crate::edge::gateway::trials::TrialRequest;

impl<R: Registry> Follower<R> {
    /// Serves the requests of the traffic thread, one after the other.
    pub(super) async fn serve_trials(&self) {
        while let Ok(request) = self.setup.trials.recv().await {
            match request {
                TrialRequest::Claim { content, granted } => {
                    self.claim_trial(content, granted).await;
                }
                TrialRequest::Release(content) => self.release_trial(content).await,
            }
        }
    }

    async fn claim_trial(&self, content: u64, granted: oneshot::Sender<()>) {
        if granted.is_canceled() {
            return;
        }
        match self.registry.claim_trial(content).await {
            Ok(true) if granted.send(()).is_err() => self.release_trial(content).await,
            // Without an answer the claim is denied.
            Ok(_) => {}
            Err(error) => {
                tracing::info!(content, %error, "a trial of request content cannot be claimed");
            }
        }
    }

    /// Gives up a trial. If that fails, the claim expires.
    pub(super) async fn release_trial(&self, content: u64) {
        if let Err(error) = self.registry.release_trial(content).await {
            tracing::info!(content, %error, "a trial of request content is not given up");
        }
    }
}
