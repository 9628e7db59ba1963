//! Mints and admits the tickets of an entry, for all its traffic threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    configs::ledger::LedgerConfig,
    modules::{
        collections::Map,
        ledger::{Digest, Ledger, LedgerAdmission, Serial},
        outcome::{ActionOutcome, UnknownCause},
        tickets::{Issuer, Ticket, TicketError, TicketOrigin},
        time::Time,
    },
};

/// The tickets of one incarnation. Clones share the same state.
#[derive(Clone)]
pub(crate) struct TicketLedger(Arc<Inner>);

struct Inner {
    issuer: Issuer,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Senders to the requests that wait for the outcome of a running action.
    waiters: Map<Serial, Vec<Sender<ActionOutcome>>>,
}

impl State {
    fn wait(&mut self, serial: Serial) -> Receiver<ActionOutcome> {
        let (sender, outcome) = bounded(1);
        self.waiters.entry(serial).or_default().push(sender);
        outcome
    }
}

/// What to do with a request for one of this entry's tickets.
pub(crate) enum TicketAdmission {
    /// Run the action, pass its outcome to [`TicketLedger::finish`], and wait for
    /// that outcome.
    Run(Receiver<ActionOutcome>),
    /// The action is already running: wait for its outcome.
    Wait(Receiver<ActionOutcome>),
    /// The action has ended with this outcome.
    Ended(ActionOutcome),
    /// The ticket was used for another request.
    Mismatch,
    /// The ticket is too old. Its action may have run, and never runs again.
    Expired,
}

impl TicketLedger {
    /// Creates the ledger of a new incarnation.
    pub(crate) fn new(instance: &str, incarnation: u64, settings: LedgerConfig) -> Self {
        Self(Arc::new(Inner {
            issuer: Issuer::new(instance, incarnation),
            state: Mutex::new(State {
                ledger: Ledger::new(settings),
                waiters: Map::default(),
            }),
        }))
    }

    /// Mints a ticket.
    pub(crate) fn mint(&self, now: Time) -> Ticket {
        let serial = self.lock().ledger.allocate(now);
        self.0.issuer.sign(serial)
    }

    /// Returns where the action of a ticket may run.
    ///
    /// # Errors
    ///
    /// Returns why the ticket is not valid.
    pub(crate) fn origin(&self, ticket: &Ticket) -> Result<TicketOrigin, TicketError> {
        self.0.issuer.origin(ticket)
    }

    /// Admits a request for the ticket of `serial`.
    pub(crate) fn begin(&self, serial: Serial, digest: Digest, now: Time) -> TicketAdmission {
        let mut state = self.lock();
        match state.ledger.begin(serial, digest, now) {
            LedgerAdmission::Run => TicketAdmission::Run(state.wait(serial)),
            LedgerAdmission::Running => TicketAdmission::Wait(state.wait(serial)),
            LedgerAdmission::Ended(outcome) => TicketAdmission::Ended(outcome),
            LedgerAdmission::Mismatch => TicketAdmission::Mismatch,
            LedgerAdmission::Expired => TicketAdmission::Expired,
        }
    }

    /// Records the outcome of an action that [`TicketLedger::begin`] admitted, and
    /// sends it to all waiters.
    pub(crate) fn finish(&self, serial: Serial, outcome: &ActionOutcome, now: Time) {
        let mut state = self.lock();
        state.ledger.finish(serial, outcome.clone(), now);
        let waiters = state.waiters.remove(&serial).unwrap_or_default();
        drop(state);
        for sender in waiters {
            // Sending fails only if the waiter is gone.
            let _ = sender.try_send(outcome.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the outcome of a running action.
pub(crate) async fn wait_outcome(waiting: &Receiver<ActionOutcome>) -> ActionOutcome {
    let outcome = waiting.recv().await;
    outcome.unwrap_or(ActionOutcome::Unknown(UnknownCause::StillRunning))
}
