//! Merging of the members of the fleet from the inventory, from an instance list
//! that lags or is wrong, and from direct contact.

use std::{net::SocketAddr, time::Duration};

use guavacourse::modules::{
    blocklist::{BLOCK_DURATION, BlockedContent, Blocklist},
    catalog::{Catalog, LeafId},
    inventory::{Address, Config, Instance},
    members::{Member, MemberState, Role},
    roster::{ProcessName, Roster},
    time::Time,
};

fn seconds(seconds: u64) -> Time {
    Time::default().after(Duration::from_secs(seconds))
}

fn address(port: u16) -> Address {
    Address(SocketAddr::from(([10, 0, 0, 1], port)))
}

fn entry(name: &str, incarnation: u64, state: MemberState) -> Member {
    Member {
        name: name.to_owned(),
        role: Role::Entry,
        data_centre: "kandy".to_owned(),
        address: address(1),
        state,
        incarnation,
        ..Member::default()
    }
}

fn live(name: &str) -> Member {
    entry(name, 7, MemberState::Live)
}

/// Returns a roster whose inventory names one instance, `a`.
fn roster() -> Roster {
    let config = Config {
        instances: vec![Instance {
            name: "a".to_owned(),
            data_centre: "kandy".to_owned(),
            callers: address(2),
            entry: address(1),
            relay: address(3),
        }],
        ..Config::default()
    };
    let mut roster = Roster::default();
    roster.set_inventory(&Catalog::new(1, &config));
    roster
}

/// Returns name, state and incarnation of each entry.
fn describe(roster: &Roster, now: Time) -> String {
    let members = roster.members(Role::Entry, now).into_iter();
    let entries = members.map(|m| format!("{} {:?} {}", m.name, m.state, m.incarnation));
    entries.collect::<Vec<_>>().join(", ")
}

fn process(instance: &str) -> ProcessName {
    ProcessName::new(instance, Role::Entry)
}

#[test]
fn the_inventory_is_used_while_the_list_is_empty() {
    let mut roster = roster();
    assert_eq!(describe(&roster, seconds(0)), "a Live 0");
    roster.merge_list(Vec::new(), seconds(1));
    assert_eq!(describe(&roster, seconds(1)), "a Live 0");
}

#[test]
fn the_list_adds_and_removes_members() {
    let mut roster = roster();
    roster.merge_list(vec![live("a"), live("b")], seconds(0));
    assert_eq!(describe(&roster, seconds(0)), "a Live 7, b Live 7");
    roster.merge_list(vec![live("b")], seconds(1));
    assert_eq!(describe(&roster, seconds(1)), "b Live 7");
}

#[test]
fn recent_contact_takes_precedence_over_an_empty_list() {
    let mut roster = roster();
    roster.merge_list(vec![live("a"), live("b")], seconds(0));
    roster.record_contact(&process("a"), 7, false, seconds(10));
    roster.record_contact(&process("b"), 7, false, seconds(10));
    roster.merge_list(Vec::new(), seconds(11));
    assert_eq!(describe(&roster, seconds(20)), "a Live 7, b Live 7");
    assert_eq!(
        describe(&roster, seconds(50)),
        "",
        "the contact has expired"
    );
    roster.record_contact(&process("a"), 7, false, seconds(60));
    roster.record_unreachable(&process("a"));
    assert_eq!(
        describe(&roster, seconds(61)),
        "",
        "the process is unreachable"
    );
}

#[test]
fn a_lagging_list_does_not_make_a_leaving_process_live() {
    let mut roster = roster();
    roster.merge_list(vec![live("a")], seconds(0));
    roster.record_contact(&process("a"), 7, true, seconds(0));
    roster.merge_list(vec![live("a")], seconds(0));
    assert_eq!(describe(&roster, seconds(1)), "a Leaving 7");
    assert_eq!(describe(&roster, seconds(90)), "a Leaving 7");
    // A report from before the process started to leave arrives late.
    roster.record_contact(&process("a"), 7, false, seconds(91));
    assert_eq!(describe(&roster, seconds(92)), "a Leaving 7");
    // The instance is back as a new incarnation.
    roster.record_contact(&process("a"), 8, false, seconds(93));
    assert_eq!(describe(&roster, seconds(94)), "a Live 8");
}

#[test]
fn the_list_marks_leaves_as_leaving() {
    let mut roster = roster();
    let leaf = |name: &str, state| Member {
        role: Role::Leaf,
        ..entry(name, 1, state)
    };
    let list = vec![
        leaf("x", MemberState::Leaving),
        leaf("y", MemberState::Live),
    ];
    roster.merge_list(list, seconds(0));
    let leaving: Vec<LeafId> = roster.leaving_leaves().iter().copied().collect();
    assert_eq!(leaving, [LeafId::of("x")]);
}

#[test]
fn unreachable_and_leaving_watchers_are_replaced() {
    let mut roster = Roster::default();
    roster.merge_list(["a", "b", "c", "d"].map(live).to_vec(), seconds(0));
    let first = roster.watchers("kandy", seconds(0));
    assert_eq!(first.len(), 2);
    assert!(roster.watchers("galle", seconds(0)).is_empty());
    roster.record_unreachable(&first[0]);
    let second = roster.watchers("kandy", seconds(1));
    assert_eq!(second[0], first[1]);
    assert_eq!(second.len(), 2);
    roster.record_contact(&second[0], 7, true, seconds(2));
    let third = roster.watchers("kandy", seconds(3));
    assert!(
        !third.contains(&second[0]),
        "a leaving process does not watch"
    );
}

#[test]
fn blocked_content_expires_at_the_same_age_everywhere() {
    let minute = Duration::from_mins(1);
    let blocked = |age| BlockedContent {
        fingerprint: 5,
        age,
    };
    let mut here = Blocklist::default();
    let mut there = Blocklist::default();
    assert!(here.add(blocked(Duration::ZERO), seconds(0)));
    let sent = here.entries(seconds(120));
    assert_eq!(sent, [blocked(minute * 2)]);
    // The clock of the other process has another origin.
    assert!(there.add(sent[0], seconds(1_000)));
    assert!(
        !there.add(blocked(Duration::ZERO), seconds(1_001)),
        "it is already blocked"
    );
    let remaining = BLOCK_DURATION.saturating_sub(minute * 2);
    assert!(!there.expire(seconds(1_000)));
    assert!(there.expire(seconds(1_000).after(remaining)));
    assert!(
        !there.add(blocked(BLOCK_DURATION), seconds(0)),
        "it has already expired"
    );
}
