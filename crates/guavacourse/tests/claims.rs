//! Tests of the state machine that claims a caller's own key in the store. Entries
//! that used different tickets for one key would run its action twice.

use std::sync::Arc;

use guavacourse::modules::{
    call::Unknown,
    claims::{
        Claim, ClaimRecord, ClaimStep, MAX_OUTCOME_BYTES, MAX_STORE_CALLS, StoreReply, store_key,
    },
    ledger::Digest,
    outcome::{ActionOutcome, NotRunCause, UnknownCause},
};

const DIGEST: Digest = Digest(9);

fn start() -> Claim {
    Claim::start("mine", DIGEST).0
}

fn record(ticket: &str) -> ClaimRecord {
    ClaimRecord {
        ticket: ticket.to_owned(),
        digest: DIGEST.0,
        outcome: None,
    }
}

#[test]
fn a_created_claim_uses_its_own_ticket() {
    let step = start().on_reply(StoreReply::Created);
    assert_eq!(step, ClaimStep::Use(record("mine")));
}

#[test]
fn a_lost_reply_is_settled_by_reading_the_claim() {
    let mut claim = start();
    assert_eq!(claim.on_reply(StoreReply::Lost), ClaimStep::Read);
    let step = claim.on_reply(StoreReply::Found(record("mine")));
    assert_eq!(step, ClaimStep::Use(record("mine")));
}

#[test]
fn a_key_bound_to_another_ticket_uses_that_ticket() {
    let mut claim = start();
    assert_eq!(claim.on_reply(StoreReply::Conflict), ClaimStep::Read);
    let step = claim.on_reply(StoreReply::Found(record("other")));
    assert_eq!(step, ClaimStep::Use(record("other")));
    assert!(claim.contested());
}

#[test]
fn a_kept_outcome_is_repeated() {
    let outcome = ActionOutcome::NotRun(NotRunCause::NoReplica);
    let mut found = record("other");
    found.outcome = Some(outcome.clone());
    let mut claim = start();
    claim.on_reply(StoreReply::Conflict);
    let step = claim.on_reply(StoreReply::Found(found));
    assert_eq!(step, ClaimStep::Repeat(outcome));
}

#[test]
fn another_request_with_the_same_key_is_a_mismatch() {
    let mut found = record("other");
    found.digest = 1;
    let mut claim = start();
    claim.on_reply(StoreReply::Conflict);
    let step = claim.on_reply(StoreReply::Found(found));
    assert_eq!(step, ClaimStep::Mismatch);
}

#[test]
fn a_silent_store_is_given_up() {
    let mut claim = start();
    let mut calls = 1;
    while claim.on_reply(StoreReply::Lost) == ClaimStep::Read {
        calls += 1;
    }
    assert_eq!(calls, MAX_STORE_CALLS);
    assert_eq!(start().on_reply(StoreReply::Refused), ClaimStep::GiveUp);
}

#[test]
fn keys_are_checked() {
    assert_eq!(store_key("gang_7-a"), Ok("claims/gang_7-a".to_owned()));
    for key in ["", "a/b", "..", "a b", &"k".repeat(65)] {
        assert!(store_key(key).is_err(), "{key}");
    }
}

#[test]
fn records_round_trip_through_json() {
    let outcomes = [
        ActionOutcome::Done(Arc::from(*b"[1]")),
        ActionOutcome::NotRun(NotRunCause::Overloaded),
        ActionOutcome::Unknown(UnknownCause::Call(Unknown::Closed)),
    ];
    let claim = record("mine");
    let records = outcomes.map(|outcome| claim.with_outcome(&outcome).expect("a storable outcome"));
    let text = serde_json::to_string(&records).expect("records serialise");
    insta::assert_snapshot!(text, @r#"[{"ticket":"mine","digest":9,"outcome":{"done":"[1]"}},{"ticket":"mine","digest":9,"outcome":{"not-run":"overloaded"}},{"ticket":"mine","digest":9,"outcome":{"unknown":"closed"}}]"#);
    let back: Vec<ClaimRecord> = serde_json::from_str(&text).expect("records parse");
    assert_eq!(back, records);
}

#[test]
fn transient_and_large_outcomes_are_not_written() {
    let large = ActionOutcome::Done(Arc::from(vec![b' '; MAX_OUTCOME_BYTES + 1]));
    let transient = ActionOutcome::Unknown(UnknownCause::StillRunning);
    assert_eq!(record("mine").with_outcome(&large), None);
    assert_eq!(record("mine").with_outcome(&transient), None);
}
