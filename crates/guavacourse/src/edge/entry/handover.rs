//! Hands actions over to the entry that minted their ticket, and runs those that
//! other entries hand over.

use std::{rc::Rc, sync::Arc, time::Duration};

use capnp::{Result, text::Reader as Text};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol::Timer;

use super::{actions::ActionResult, state::ThreadState};
use crate::{
    edge::pool::PooledConnection,
    generated::wire_capnp::{handover, outcome},
    modules::{
        action::{ActionRequest, REPLY_GRACE},
        inventory::Address,
        members::{Member, MemberState},
        outcome::{ActionOutcome, UnknownCause},
        tickets::{Ticket, TicketOrigin},
        time::micros,
    },
};

/// Maximum deadline that another entry may ask for.
const MAX_BUDGET: Duration = super::state::MAX_DEADLINE;

/// Maximum wait for a ticket from another entry.
const MINT_TIMEOUT: Duration = Duration::from_millis(250);

/// Serves the tickets of this entry to other entries.
pub(crate) struct HandoverServer {
    state: Rc<ThreadState>,
}

impl HandoverServer {
    /// Creates the capability that other entries call.
    pub(crate) fn client(state: &Rc<ThreadState>) -> handover::Client {
        let state = Rc::clone(state);
        capnp_rpc::new_client(Self { state })
    }
}

impl handover::Server for HandoverServer {
    async fn run(
        self: Rc<Self>,
        params: handover::RunParams,
        mut results: handover::RunResults,
    ) -> Result<()> {
        let params = params.get()?;
        let ticket = params.get_ticket()?.to_string()?;
        let action = params.get_action()?;
        let budget = Duration::from_micros(action.get_budget_micros()).min(MAX_BUDGET);
        let request = ActionRequest {
            kind: action.get_kind()?.to_string()?,
            key: action.get_key(),
            body: Arc::from(action.get_body()?),
            deadline: self.state.now().after(budget),
            id: action.get_id()?.to_string()?,
        };
        let incarnation = params.get_incarnation();
        let result = self.execute(&ticket, incarnation, request).await;
        write_result(results.get().init_outcome(), &result);
        Ok(())
    }

    async fn mint(
        self: Rc<Self>,
        _: handover::MintParams,
        mut results: handover::MintResults,
    ) -> Result<()> {
        let ticket = self.state.tickets.mint(self.state.now());
        results.get().set_ticket(ticket.to_string());
        Ok(())
    }
}

impl HandoverServer {
    async fn execute(
        &self,
        ticket: &str,
        incarnation: u64,
        request: ActionRequest,
    ) -> ActionResult {
        let gone = ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::IssuerGone));
        let Ok(ticket) = ticket.parse::<Ticket>() else {
            return gone;
        };
        match self.state.tickets.origin(&ticket) {
            Ok(TicketOrigin::Own(serial)) if ticket.incarnation == incarnation => {
                self.state.execute_own(serial, request).await
            }
            // A mismatched tag comes from another incarnation.
            _ => gone,
        }
    }
}

impl ThreadState {
    /// Hands an action over to the instance that minted its ticket.
    pub(crate) async fn hand_over(&self, ticket: &Ticket, request: &ActionRequest) -> ActionResult {
        let unreachable =
            ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::IssuerUnreachable));
        let view = self.shared.view.load();
        let issuer = view
            .entries
            .iter()
            .find(|entry| entry.name == ticket.instance);
        let Some(address) = issuer.map(|issuer| issuer.address) else {
            return unreachable;
        };
        let Some(link) = self.handover_link(address).await else {
            return unreachable;
        };
        let lost = ActionResult::Outcome(ActionOutcome::Unknown(UnknownCause::HandoverLost));
        let budget = request.deadline.left(self.now());
        let timeout = async {
            Timer::after(budget + REPLY_GRACE).await;
            None
        };
        let reply = async {
            call_issuer(&link.capability, ticket, request, budget)
                .await
                .ok()
        };
        reply.or(timeout).await.unwrap_or_else(|| {
            self.handovers.remove(address);
            lost
        })
    }

    /// Returns a ticket minted by another live entry, chosen at random; none if
    /// there is no such entry or it does not answer in time.
    pub(crate) async fn mint_on_peer(&self, instance: &str) -> Option<String> {
        let view = self.shared.view.load();
        let other = |entry: &&Member| entry.name != instance && entry.state == MemberState::Live;
        let others: Vec<&Member> = view.entries.iter().filter(other).collect();
        let chosen = fastrand::choice(others)?;
        let link = self.handover_link(chosen.address).await?;
        let minted = async {
            let response = link.capability.mint_request().send().promise.await.ok()?;
            response.get().ok()?.get_ticket().ok()?.to_string().ok()
        };
        let timeout = async {
            Timer::after(MINT_TIMEOUT).await;
            None
        };
        minted.or(timeout).await
    }

    /// Returns an open connection to an entry; none if it cannot be opened.
    /// Nothing was sent then.
    async fn handover_link(
        &self,
        address: Address,
    ) -> Option<Rc<PooledConnection<handover::Client>>> {
        let connection = self.handovers.get(address).await;
        if let Err(error) = &connection {
            tracing::warn!(entry = %address.0, %error, "cannot connect to another entry to \
                hand over an action or to fetch a ticket; check that it runs and is reachable");
        }
        connection.ok()
    }
}

async fn call_issuer(
    handover: &handover::Client,
    ticket: &Ticket,
    request: &ActionRequest,
    budget: Duration,
) -> Result<ActionResult> {
    let mut run = handover.run_request();
    let mut params = run.get();
    params.set_ticket(ticket.to_string());
    params.set_incarnation(ticket.incarnation);
    let mut action = params.init_action();
    action.set_kind(&request.kind);
    action.set_key(request.key);
    action.set_budget_micros(micros(budget));
    action.set_body(&request.body);
    action.set_id(&request.id);
    let response = run.send().promise.await?;
    read_result(response.get()?.get_outcome()?)
}

fn write_result(mut out: outcome::Builder<'_>, result: &ActionResult) {
    match result {
        ActionResult::Mismatch => out.set_mismatch(()),
        ActionResult::Outcome(ActionOutcome::Done(body)) => out.set_done(body),
        ActionResult::Outcome(ActionOutcome::NotRun(cause)) => out.set_not_run(cause.to_string()),
        ActionResult::Outcome(ActionOutcome::Unknown(cause)) => out.set_unknown(cause.to_string()),
    }
}

fn read_result(outcome: outcome::Reader<'_>) -> Result<ActionResult> {
    Ok(match outcome.which()? {
        outcome::Which::Mismatch(()) => ActionResult::Mismatch,
        outcome::Which::Done(body) => ActionResult::Outcome(ActionOutcome::Done(Arc::from(body?))),
        outcome::Which::NotRun(cause) => {
            ActionResult::Outcome(ActionOutcome::NotRun(parse_cause(cause?)?))
        }
        outcome::Which::Unknown(cause) => {
            ActionResult::Outcome(ActionOutcome::Unknown(parse_cause(cause?)?))
        }
    })
}

/// Parses a cause from its name.
fn parse_cause<T: DeserializeOwned>(name: Text<'_>) -> Result<T> {
    let name = Value::String(name.to_string()?);
    serde_json::from_value(name).map_err(|e| capnp::Error::failed(e.to_string()))
}
