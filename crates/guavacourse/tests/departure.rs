//! Which requests a process takes that is about to exit.

use std::time::Duration;

use guavacourse::modules::{
    departure::Departure,
    inventory::{Class, Kind},
};

fn takes(class: Class, left: u64, routed: bool) -> bool {
    let rules = Kind {
        class,
        deadline: Duration::from_secs(3),
        ..Kind::default()
    };
    let departure = Departure {
        left: Duration::from_millis(left),
        routed,
    };
    departure.takes(&rules, Duration::from_secs(8))
}

#[test]
fn all_requests_are_taken_while_the_load_balancer_sends_them() {
    for class in [Class::Query, Class::Action] {
        assert!(takes(class, 1_000, true));
    }
}

#[test]
fn later_an_action_is_taken_only_if_it_can_end() {
    assert!(takes(Class::Action, 3_000, false));
    assert!(!takes(Class::Action, 2_999, false));
    assert!(takes(Class::Query, 10, false));
}

#[test]
fn nothing_is_taken_once_the_time_is_over() {
    for class in [Class::Query, Class::Action] {
        assert!(!takes(class, 0, true));
    }
}
