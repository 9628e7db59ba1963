//! Tests of the text form of tickets, and of the tag that detects forged ones.

use guavacourse::modules::{
    ledger::Serial,
    tickets::{Issuer, Ticket, TicketError, TicketOrigin},
};
use proptest::prelude::*;

#[test]
fn a_ticket_round_trips_through_its_text() {
    let issuer = Issuer::new("entry.colombo-1", 0xabc);
    let ticket = issuer.sign(Serial(77));
    let text = ticket.to_string();
    assert!(text.starts_with("entry.colombo-1.abc.4d."));
    assert_eq!(text.parse(), Ok(ticket.clone()));
    assert_eq!(issuer.origin(&ticket), Ok(TicketOrigin::Own(Serial(77))));
    assert_eq!(ticket.action_id(), "entry.colombo-1.abc.4d");
}

#[test]
fn a_ticket_of_an_earlier_incarnation_is_gone() {
    let ticket = Issuer::new("e1", 1).sign(Serial(5));
    assert_eq!(
        Issuer::new("e1", 2).origin(&ticket),
        Ok(TicketOrigin::PastIncarnation)
    );
    assert_eq!(
        Issuer::new("e2", 1).origin(&ticket),
        Ok(TicketOrigin::Other)
    );
}

#[test]
fn a_guessed_ticket_is_forged() {
    let issuer = Issuer::new("e1", 1);
    let mut ticket = issuer.sign(Serial(5));
    ticket.serial = Serial(6);
    assert_eq!(issuer.origin(&ticket), Err(TicketError::Forged));
    let twin = Issuer::new("e1", 1).sign(Serial(5));
    assert_eq!(issuer.origin(&twin), Err(TicketError::Forged));
}

#[test]
fn malformed_tickets_are_refused() {
    for text in [
        "",
        "e1",
        "e1.1.5",
        ".1.5.6",
        "e1.1.+5.0000000000000006",
        "e1.1.5.6",
    ] {
        assert_eq!(text.parse::<Ticket>(), Err(TicketError::Syntax), "{text}");
    }
}

proptest! {
    #[test]
    fn parsing_never_panics(text in ".{0,300}") {
        let _ = text.parse::<Ticket>();
    }

    #[test]
    fn every_ticket_round_trips(instance in "[a-z0-9.-]{1,40}", incarnation: u64, serial: u64) {
        let ticket = Issuer::new(instance, incarnation).sign(Serial(serial));
        prop_assert_eq!(ticket.to_string().parse(), Ok(ticket));
    }
}
