//! Runs actions that callers identify by their own idempotency keys.

use std::rc::Rc;

use super::{actions::ActionResult, state::ThreadState};
use crate::{
    edge::{
        claims::{ClaimResult, StoredClaim, acknowledge, resolve_claim, write_back},
        clock::unix_millis,
        platform::{PlatformError, Store},
    },
    modules::{
        action::ActionRequest,
        claims::Claim,
        outcome::{ActionOutcome, UnknownCause},
        tickets::{Ticket, TicketOrigin},
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
        if !first_try && let Some(unknown) = self.lost_claim(store_key).await {
            return ActionResult::Outcome(ActionOutcome::Unknown(unknown));
        }
        let era = self.store.era();
        let ticket = self.tickets.mint(self.now()).to_string();
        let (mut claim, step) = Claim::start(ticket, request.digest());
        let result = resolve_claim(&self.store, store_key, &mut claim, step).await;
        if !first_try && era.is_some_and(|era| era > 0) && self.store.era() != era {
            self.withdraw(store_key, &result).await;
            return ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::ClaimLost));
        }
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

    /// Returns why it is not known whether an earlier copy of a request ran, if the claim
    /// of its key may have been lost with an older copy of the store. Nothing is written
    /// before that is known: a claim would let the next copy run.
    async fn lost_claim(&self, store_key: &str) -> Option<UnknownCause> {
        if self.store.era() == Some(0) {
            return None;
        }
        let lost = match self.store.get(store_key).await {
            Ok(Some(_)) => return None,
            Ok(None) => self.claims_lost().await,
            Err(error) => Err(error),
        };
        match lost {
            Ok(lost) => lost.then_some(UnknownCause::ClaimLost),
            Err(error) => {
                tracing::debug!(key = store_key, %error, "cannot read a claim or the era");
                Some(UnknownCause::StoreDown)
            }
        }
    }

    /// Returns whether claims may have been lost with an older copy of the store.
    async fn claims_lost(&self) -> Result<bool, PlatformError> {
        let Some(era) = self.store.era().filter(|era| *era > 0) else {
            return Ok(false);
        };
        if self.acknowledged.get().era != era {
            let record = acknowledge(&self.store, era, unix_millis()).await?;
            self.acknowledged.set(record);
        }
        let record = self.acknowledged.get();
        Ok(record.claims_lost(unix_millis(), self.retention))
    }

    /// Deletes a claim that was written while the store entered another era. Otherwise
    /// the next copy of the request would run under it.
    async fn withdraw(&self, store_key: &str, result: &ClaimResult) {
        let ClaimResult::Use(stored) = result else {
            return;
        };
        let own = stored.record.ticket.parse::<Ticket>();
        let own = own
            .is_ok_and(|ticket| matches!(self.tickets.origin(&ticket), Ok(TicketOrigin::Own(_))));
        if !own {
            return;
        }
        if let Err(error) = self.store.delete(store_key, stored.version).await {
            tracing::error!(
                key = store_key,
                %error,
                "a claim was written while the store was restored; delete it in the store, or \
                 the action may run twice"
            );
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
        let era = self.store.era();
        let result = self.execute_ticket(&ticket, request, first_try).await;
        // In another era the version of the claim may be that of another value.
        if let ActionResult::Outcome(outcome) = &result
            && self.store.era() == era
        {
            write_back(&self.store, store_key, stored, outcome).await;
        }
        result
    }
}
