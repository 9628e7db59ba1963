//! States of a small system of two entries, a store, leaves and one caller, whose
//! transitions call the state machines under test.
//!
//! Any step may be delayed arbitrarily while others proceed, so a paused process
//! needs no state of its own. A store outage is a series of refused and lost
//! calls.

mod execution;

use std::{sync::Arc, time::Duration};

use guavacourse::{
    configs::ledger::LedgerConfig,
    modules::{
        action::{Action, ActionRequest, Step},
        call::{AttemptId, NotRun, Outcome, Reply, Rows, Unknown},
        catalog::Catalog,
        claims::{Claim, ClaimRecord, ClaimStep, StoreReply},
        inventory::{Address, Config},
        keys::KeyRange,
        ledger::{Digest, Ledger, LedgerAdmission, RECORD_BYTES, Serial},
        load_balancer::Choice,
        outcome::{ActionOutcome, NotRunCause, UnknownCause},
        tickets::Ticket,
        time::Time,
        view::View,
    },
};

use super::variant::Variant;

const INVENTORY: &str = r#"
    [[services]]
    name = "booking"
    leaves = [{ name = "b1", from = 0, until = 9 }, { name = "b2", from = 0, until = 9 }]
    [[kinds]]
    name = "book"
    class = "action"
    services = ["booking"]
"#;

const DEADLINE: Time = Time(1_000_000);
const DIGEST: Digest = Digest(7);
const RETENTION: Duration = Duration::from_micros(1);
const START_MICROS: u64 = 5;

/// Numbers of resends and failures that the search may use.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Copies of the request that the caller may send in total.
    pub copies: u8,
    /// Entry crashes remaining.
    pub crashes: u8,
    /// Ticks of an entry's clock remaining, of 1 microsecond each.
    pub ticks: u8,
    /// Times remaining that outcomes of other callers' tickets fill the first
    /// entry's ledger.
    pub evictions: u8,
}

/// Which id the caller gives its action.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum IdKind {
    /// A ticket that the first entry minted.
    Ticket,
    /// An idempotency key of the caller's own.
    Key,
}

/// One state of the search.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    variant: Variant,
    id_kind: IdKind,
    budget: Budget,
    entries: [Entry; 2],
    store: Option<ClaimRecord>,
    /// Claims whose create call got no reply and may still take effect.
    delayed: Vec<ClaimRecord>,
    copies: Vec<RequestCopy>,
    calls: Vec<LeafCall>,
    /// Copies sent so far.
    sent: u8,
    /// Times that a leaf has run the action.
    runs: u8,
    /// Whether the caller was told that the action did not run.
    reported_not_run: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    incarnation: u64,
    clock: u64,
    ledger: Ledger,
    actions: Vec<(Serial, Action)>,
}

/// One copy of the caller's request in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RequestCopy {
    /// Whether the caller marked it as its first try.
    first: bool,
    /// Index of the entry that has it or is about to receive it.
    entry: usize,
    stage: Stage,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// On its way to an entry, with the caller's key.
    Key,
    /// On its way to an entry, with a ticket.
    Ticket(Ticket),
    /// On its way from another entry to the one that minted its ticket.
    Handover(Ticket),
    /// Its entry waits for the store: for the creation of a claim if `create` is
    /// set, otherwise for a read.
    Claiming {
        claim: Claim,
        create: Option<ClaimRecord>,
    },
}

/// A call to a leaf, as seen from outside the entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LeafCall {
    entry: usize,
    incarnation: u64,
    attempt: AttemptId,
    state: CallState,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum CallState {
    /// In flight: it may run, and the entry waits for its reply.
    Sent,
    /// The leaf ran it.
    Ran,
    /// The leaf or the relay refused it.
    Refused,
    /// In flight: it may run, but the entry no longer waits for its reply.
    Abandoned,
}

/// Inventory data, which never changes and is shared by all states.
pub struct Environment {
    view: View,
    choices: Vec<Choice>,
}

impl Environment {
    pub fn new() -> Self {
        let config: Config = toml::from_str(INVENTORY).expect("a valid inventory");
        let catalog = Arc::new(Catalog::new(1, &config));
        let leaves = catalog.leaves.iter().map(|(leaf, entry)| Choice {
            leaf,
            id: entry.id,
            relay: Address::default(),
        });
        let choices = leaves.collect();
        let view = View {
            catalog,
            ..View::default()
        };
        Self { view, choices }
    }
}

impl State {
    pub fn new(id_kind: IdKind, budget: Budget, variant: Variant) -> Self {
        let entry = |_| Entry::new(1);
        Self {
            variant,
            id_kind,
            budget,
            entries: [0, 1].map(entry),
            store: None,
            delayed: Vec::new(),
            copies: Vec::new(),
            calls: Vec::new(),
            sent: 0,
            runs: 0,
            reported_not_run: false,
        }
    }

    /// Returns whether the action ran twice, or ran although the caller was told
    /// that it did not.
    pub fn violates_guarantee(&self) -> bool {
        self.runs > 1 || (self.reported_not_run && self.runs > 0)
    }

    /// Returns every state that one step leads to.
    pub fn successors(&self, env: &Environment) -> Vec<Self> {
        let mut next = Vec::new();
        self.caller_steps(&mut next);
        self.failure_steps(&mut next);
        self.store_steps(&mut next);
        for i in 0..self.copies.len() {
            self.copy_steps(i, env, &mut next);
        }
        for i in 0..self.calls.len() {
            self.call_steps(i, env, &mut next);
        }
        for state in &mut next {
            state.sort();
        }
        next
    }

    /// Adds the states after the caller sends another copy through either entry,
    /// which it does until it is told that the action did not run.
    fn caller_steps(&self, next: &mut Vec<Self>) {
        if self.sent >= self.budget.copies || self.reported_not_run {
            return;
        }
        for entry in 0..self.entries.len() {
            for first in [false, true] {
                if first && self.sent > 0 {
                    continue;
                }
                let stage = match self.id_kind {
                    IdKind::Ticket => Stage::Ticket(ticket(0, 1, Serial(START_MICROS))),
                    IdKind::Key => Stage::Key,
                };
                let mut successor = self.clone();
                successor.sent += 1;
                successor.copies.push(RequestCopy {
                    first,
                    entry,
                    stage,
                });
                next.push(successor);
            }
        }
    }

    fn failure_steps(&self, next: &mut Vec<Self>) {
        for i in 0..self.entries.len() {
            if self.budget.crashes > 0 {
                next.push(self.crash(i));
            }
            if self.budget.ticks > 0 {
                let mut state = self.clone();
                state.budget.ticks -= 1;
                state.entries[i].clock += 1;
                next.push(state);
            }
        }
        if self.budget.evictions > 0 {
            let mut state = self.clone();
            state.budget.evictions -= 1;
            state.entries[0].evict_outcomes();
            next.push(state);
        }
    }

    fn crash(&self, i: usize) -> Self {
        let mut state = self.clone();
        state.budget.crashes -= 1;
        state.entries[i] = Entry::new(self.entries[i].incarnation + 1);
        let survives =
            |copy: &RequestCopy| copy.entry != i || !matches!(copy.stage, Stage::Claiming { .. });
        state.copies.retain(survives);
        for call in &mut state.calls {
            if call.entry == i && call.state == CallState::Sent {
                call.state = CallState::Abandoned;
            }
        }
        state
    }

    fn store_steps(&self, next: &mut Vec<Self>) {
        for i in 0..self.delayed.len() {
            let mut state = self.clone();
            let record = state.delayed.remove(i);
            state.store.get_or_insert(record);
            next.push(state);
        }
        if self.variant == Variant::LeasedClaim && self.store.is_some() {
            let mut state = self.clone();
            state.store = None;
            next.push(state);
        }
    }

    fn copy_steps(&self, i: usize, env: &Environment, next: &mut Vec<Self>) {
        let mut state = self.clone();
        let copy = state.copies.remove(i);
        match copy.stage.clone() {
            Stage::Key => next.push(state.start_claim(&copy)),
            Stage::Ticket(ticket) => state.route_ticket(&copy, &ticket, env, next),
            Stage::Handover(ticket) => next.push(state.admit(&copy, &ticket, env)),
            Stage::Claiming { claim, create } => {
                state.call_store(&copy, &claim, create, next);
            }
        }
    }

    fn start_claim(mut self, copy: &RequestCopy) -> Self {
        let entry = &mut self.entries[copy.entry];
        let serial = entry.ledger.allocate(Time(entry.clock));
        let minted = ticket(copy.entry, entry.incarnation, serial);
        let (claim, step) = Claim::start(minted.to_string(), DIGEST);
        let ClaimStep::Create(record) = step else {
            unreachable!("a claim starts with a create call");
        };
        self.await_store(copy, claim, Some(record))
    }

    fn await_store(
        mut self,
        copy: &RequestCopy,
        claim: Claim,
        create: Option<ClaimRecord>,
    ) -> Self {
        let stage = Stage::Claiming { claim, create };
        self.copies.push(RequestCopy { stage, ..*copy });
        self
    }

    /// Adds a state for each reply that the store may give to the pending call of
    /// a claim.
    fn call_store(
        self,
        copy: &RequestCopy,
        claim: &Claim,
        create: Option<ClaimRecord>,
        next: &mut Vec<Self>,
    ) {
        let mut replies = vec![(self.clone(), StoreReply::Refused)];
        match (create, self.store.clone()) {
            (Some(_), Some(_)) => {
                replies.push((self.clone(), StoreReply::Conflict));
                replies.push((self, StoreReply::Lost));
            }
            (Some(record), None) => {
                let mut applied = self.clone();
                applied.store = Some(record.clone());
                replies.push((applied.clone(), StoreReply::Created));
                replies.push((applied, StoreReply::Lost));
                let mut delayed = self;
                delayed.delayed.push(record);
                replies.push((delayed, StoreReply::Lost));
            }
            (None, Some(found)) => {
                replies.push((self.clone(), StoreReply::Found(found)));
                replies.push((self, StoreReply::Lost));
            }
            (None, None) => {
                replies.push((self.clone(), StoreReply::Absent));
                replies.push((self, StoreReply::Lost));
            }
        }
        for (state, reply) in replies {
            next.push(state.handle_store_reply(copy, claim.clone(), reply));
        }
    }

    fn handle_store_reply(
        mut self,
        copy: &RequestCopy,
        mut claim: Claim,
        reply: StoreReply,
    ) -> Self {
        let skips_read = self.variant == Variant::ClaimUnread;
        let reply = match reply {
            StoreReply::Conflict | StoreReply::Lost if skips_read => StoreReply::Created,
            other => other,
        };
        let step = claim.on_reply(reply);
        let first = copy.first && !claim.contested();
        match step {
            ClaimStep::Create(record) => return self.await_store(copy, claim, Some(record)),
            ClaimStep::Read => return self.await_store(copy, claim, None),
            ClaimStep::Use(record) => {
                let stage = Stage::Ticket(record.ticket.parse().expect("a valid ticket"));
                self.copies.push(RequestCopy {
                    first,
                    stage,
                    ..*copy
                });
            }
            ClaimStep::Repeat(outcome) => self.report_final(&outcome),
            ClaimStep::Mismatch => unreachable!("all copies carry the same request"),
            ClaimStep::GiveUp => self.report_unstarted(UnknownCause::StoreDown, first),
        }
        self
    }

    /// Runs the copy if its entry minted the ticket; otherwise hands it over to the
    /// entry that did, which may be unreachable.
    fn route_ticket(
        self,
        copy: &RequestCopy,
        ticket: &Ticket,
        env: &Environment,
        next: &mut Vec<Self>,
    ) {
        let owner = owner(ticket);
        if copy.entry == owner {
            next.push(self.admit(copy, ticket, env));
            return;
        }
        let mut unreachable = self.clone();
        unreachable.report_unstarted(UnknownCause::IssuerUnreachable, copy.first);
        next.push(unreachable);
        let mut handed_over = self;
        if handed_over.variant == Variant::LostHandoverNotRun {
            handed_over.report_unstarted(UnknownCause::IssuerUnreachable, copy.first);
        }
        let stage = Stage::Handover(ticket.clone());
        let entry = owner;
        handed_over.copies.push(RequestCopy {
            entry,
            stage,
            ..*copy
        });
        next.push(handed_over);
    }

    /// Reports an outcome that holds for every copy.
    fn report_final(&mut self, outcome: &ActionOutcome) {
        self.reported_not_run |= matches!(outcome, ActionOutcome::NotRun(_));
    }

    /// Reports to one copy that it was not started. Once the caller has sent
    /// another copy, it no longer waits for the answer to its first.
    fn report_unstarted(&mut self, cause: UnknownCause, first: bool) {
        let first = first || self.variant == Variant::ResendsTakenAsFirst;
        let awaited = self.sent == 1 || self.variant == Variant::ResendsTakenAsFirst;
        let outcome = cause.to_outcome(first);
        self.reported_not_run |= awaited && matches!(outcome, ActionOutcome::NotRun(_));
    }

    /// Sorts what is in flight, so that states that differ only in its order are
    /// equal.
    fn sort(&mut self) {
        self.copies.sort_by_cached_key(|copy| format!("{copy:?}"));
        self.calls.sort_by_cached_key(|call| format!("{call:?}"));
        self.delayed.sort_by(|a, b| a.ticket.cmp(&b.ticket));
    }
}

impl Entry {
    /// Returns a newly started process that has minted one ticket.
    fn new(incarnation: u64) -> Self {
        let mut ledger = Ledger::new(LedgerConfig {
            retention: RETENTION,
            kept_bytes: 2 * RECORD_BYTES,
            running: 4,
        });
        ledger.allocate(Time(START_MICROS));
        Self {
            incarnation,
            clock: START_MICROS,
            ledger,
            actions: Vec::new(),
        }
    }

    /// Records the outcomes of two other callers' tickets, so that older outcomes
    /// are evicted.
    fn evict_outcomes(&mut self) {
        for _ in 0..2 {
            let now = Time(self.clock);
            let serial = self.ledger.allocate(now);
            self.ledger.begin(serial, DIGEST, now);
            let outcome = ActionOutcome::NotRun(NotRunCause::NoReplica);
            self.ledger.finish(serial, outcome, now);
        }
    }
}

fn ticket(entry: usize, incarnation: u64, serial: Serial) -> Ticket {
    Ticket {
        instance: format!("e{entry}"),
        incarnation,
        serial,
        tag: 0,
    }
}

fn owner(ticket: &Ticket) -> usize {
    usize::from(ticket.instance != "e0")
}
