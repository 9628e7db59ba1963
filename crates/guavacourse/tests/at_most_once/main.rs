//! Model check of at-most-once execution by tickets and claims.
//!
//! The search visits every state that a small system can reach with a limited
//! number of resends, crashes, clock ticks and evictions. It fails if an action
//! runs twice, or runs although its caller was told that it did not. The model
//! calls the same state machines as an entry does: `Action`, `Claim` and
//! `Ledger`. Each faulty variant must fail, which shows that the search can find
//! such faults.

mod state;
mod variant;

use pathfinding::directed::bfs::bfs_reach;

use state::{Budget, Environment, IdKind, State};
use variant::{CLAIM_VARIANTS, TICKET_VARIANTS, Variant};

const TICKET_BUDGET: Budget = Budget {
    copies: 3,
    crashes: 2,
    ticks: 3,
    evictions: 1,
};

const KEY_BUDGET: Budget = Budget {
    copies: 2,
    crashes: 1,
    ticks: 0,
    evictions: 0,
};

/// Result of a search.
#[derive(Debug, Eq, PartialEq)]
struct Found {
    /// States visited.
    states: usize,
    /// Whether the last state visited violates the guarantee.
    broken: bool,
}

/// Visits states until one violates the guarantee or none is left.
fn search(id_kind: IdKind, budget: Budget, variant: Variant) -> Found {
    let env = Environment::new();
    let start = State::new(id_kind, budget, variant);
    let mut states = 0;
    for state in bfs_reach(start, |state| state.successors(&env)) {
        states += 1;
        if state.violates_guarantee() {
            let broken = true;
            return Found { states, broken };
        }
    }
    let broken = false;
    Found { states, broken }
}

#[test]
fn tickets_run_at_most_once() {
    let found = search(IdKind::Ticket, TICKET_BUDGET, Variant::Correct);
    insta::assert_debug_snapshot!(found, @r"
    Found {
        states: 191205,
        broken: false,
    }
    ");
}

#[test]
fn keys_run_at_most_once() {
    let found = search(IdKind::Key, KEY_BUDGET, Variant::Correct);
    insta::assert_debug_snapshot!(found, @r"
    Found {
        states: 194730,
        broken: false,
    }
    ");
}

#[test]
fn every_wrong_variant_of_tickets_is_found() {
    for variant in TICKET_VARIANTS {
        let found = search(IdKind::Ticket, TICKET_BUDGET, variant);
        println!("{variant:?} {found:?}");
        assert!(found.broken, "{variant:?}");
    }
}

#[test]
fn every_wrong_variant_of_claims_is_found() {
    for variant in CLAIM_VARIANTS {
        let found = search(IdKind::Key, KEY_BUDGET, variant);
        println!("{variant:?} {found:?}");
        assert!(found.broken, "{variant:?}");
    }
}
