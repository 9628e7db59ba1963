//! Runs actions that callers identify by their own idempotency keys.

use std::rc::Rc;

use super::{actions::ActionResult, state::ThreadState};
use crate::{
    edge::claims::{ClaimResult, StoredClaim, resolve_claim, write_back},
    modules::{
        action::ActionRequest,
        claims::Claim,
        outcome::{ActionOutcome, UnknownCause},
        tickets::Ticket,
    },
};

impl ThreadState {
    /// Runs the action of a caller's idempotency key, or repeats its outcome.
    ///
    /// `first_try` is true if the caller has sent no other copy.
    pub(crate) async fn execute_key(
        self: &Rc<Self>,
        store_key: &str,
        request: ActionRequest,
        first_try: bool,
    ) -> ActionResult {
        let ticket = self.tickets.mint(self.now()).to_string();
        let (mut claim, step) = Claim::start(ticket, request.digest());
        let result = resolve_claim(&self.store, store_key, &mut claim, step).await;
        let first_try = first_try && !claim.contested();
        match result {
            ClaimResult::Use(stored) => {
                self.execute_claim(store_key, &stored, request, first_try)
                    .await
            }
            ClaimResult::Repeat(outcome) => ActionResult::Outcome(outcome),
            ClaimResult::Mismatch => ActionResult::Mismatch,
            ClaimResult::Unresolved => {
                ActionResult::Outcome(UnknownCause::StoreDown.to_outcome(first_try))
            }
        }
    }

    async fn execute_claim(
        self: &Rc<Self>,
        store_key: &str,
        stored: &StoredClaim,
        request: ActionRequest,
        first_try: bool,
    ) -> ActionResult {
        let Ok(ticket) = stored.record.ticket.parse::<Ticket>() else {
            tracing::error!(
                key = store_key,
                "the claim holds no valid ticket; correct or delete it in the store"
            );
            return ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::IssuerGone));
        };
        let result = self.execute_ticket(&ticket, request, first_try).await;
        if let ActionResult::Outcome(outcome) = &result {
            write_back(&self.store, store_key, stored, outcome).await;
        }
        result
    }
}
