//! Trials of quarantined content: asks the control thread for the right to send a
//! request to a leaf.

use std::{cell::RefCell, time::Duration};

use futures::channel::oneshot;
use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{self, Receiver, Sender},
};

use super::{query_answer::QueryAnswer, serve::Traffic};
use crate::modules::{
    query::QueryRequest,
    trial_claims::{ClaimEnd, Permission, TrialClaims},
};

/// Longest wait for the right to a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of requests that wait for the control thread.
const MAX_WAITING: usize = 64;

/// A request of the traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum TrialRequest {
    /// Claim the trial of a content. The answer is sent only if it is granted.
    Claim {
        content: u64,
        granted: oneshot::Sender<()>,
    },
    /// Give up the trial of a content.
    Release(u64),
}

/// Creates the channel from the traffic thread to the control thread.
pub(super) fn channel() -> (Sender<TrialRequest>, Receiver<TrialRequest>) {
    channel::bounded(MAX_WAITING)
}

/// Trials that this process asks for.
#[derive(Debug)]
pub(super) struct Trials {
    claims: RefCell<TrialClaims>,
    requests: Sender<TrialRequest>,
}

/// How a request may run.
pub(super) enum Admitted<'a> {
    /// Its content is not quarantined.
    Freely,
    /// As the trial of its content.
    Trial(OpenTrial<'a>),
    /// Not at all; it may be repeated after this time.
    Refused(Duration),
}

/// A trial that was granted to this process. Dropping it leaves the claim to expire: the
/// request may have reached a leaf.
pub(super) struct OpenTrial<'a> {
    traffic: &'a Traffic,
    content: u64,
    /// Number of the trial.
    pub(super) number: u32,
    end: ClaimEnd,
}

impl Trials {
    pub(super) fn new(requests: Sender<TrialRequest>) -> Self {
        Self {
            claims: RefCell::default(),
            requests,
        }
    }

    /// Asks for the trial of a content. Returns whether it was granted in time.
    async fn claim(&self, content: u64) -> bool {
        let (granted, answer) = oneshot::channel();
        let claim = TrialRequest::Claim { content, granted };
        if self.requests.try_send(claim).is_err() {
            tracing::warn!("too many trials of request content wait for the registry");
            return false;
        }
        let timeout = async {
            Timer::after(CLAIM_TIMEOUT).await;
            false
        };
        let answer = async { answer.await.is_ok() };
        answer.or(timeout).await
    }
}

/// Decides how a request may run, and waits for the right to a trial if one is due.
pub(super) async fn admit<'a>(traffic: &'a Traffic, request: &QueryRequest) -> Admitted<'a> {
    let view = traffic.view.load();
    if view.trials.is_empty() {
        return Admitted::Freely;
    }
    let content = request.fingerprint();
    let Some(trial) = view.trials.get(&content).copied() else {
        return Admitted::Freely;
    };
    let now = traffic.clock.now();
    let permission = traffic.trials.claims.borrow_mut().ask(content, trial, now);
    if let Permission::Refuse(retry_after) = permission {
        return Admitted::Refused(retry_after);
    }
    let mut open = OpenTrial {
        traffic,
        content,
        number: trial.number,
        end: ClaimEnd::Fruitless,
    };
    if !traffic.trials.claim(content).await {
        return Admitted::Refused(CLAIM_TIMEOUT);
    }
    open.end = ClaimEnd::Decided;
    tracing::info!(
        content,
        trial = trial.number,
        "quarantined request content is tried on a leaf"
    );
    Admitted::Trial(open)
}

impl OpenTrial<'_> {
    /// Ends the trial. If the request reached no leaf, another process may try.
    pub(super) fn finish(mut self, answer: &QueryAnswer) {
        if !matches!(answer, QueryAnswer::NotRun { .. }) {
            return;
        }
        self.end = ClaimEnd::Fruitless;
        let release = TrialRequest::Release(self.content);
        if self.traffic.trials.requests.try_send(release).is_err() {
            tracing::warn!("a trial of request content is not given up; its claim expires");
        }
    }
}

impl Drop for OpenTrial<'_> {
    fn drop(&mut self) {
        let members = self.traffic.view.load().entries.len();
        let now = self.traffic.clock.now();
        let mut claims = self.traffic.trials.claims.borrow_mut();
        claims.end(self.content, self.end, members, now);
    }
}
