//! What an era of the registry allows.

use guavacourse::modules::era::{Lease, Position};

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

// Guards against revisions that are compared across a restore, which would refuse every
// peer until the registry has given out as many revisions again.
#[test]
fn a_later_era_comes_after_every_revision_of_an_earlier_one() {
    assert!(position(2, 3) > position(1, 900));
    assert!(position(2, 3) < position(2, 4));
    assert!(position(1, 3) > position(0, 900));
}

// Guards against a start, or the first answer that names an era, taken for a restore.
#[test]
fn only_a_rise_from_a_known_era_is_a_restore() {
    assert!(position(3, 1).is_restored_after(position(2, 9)));
    assert!(!position(2, 9).is_restored_after(position(2, 1)));
    assert!(!position(1, 9).is_restored_after(position(2, 1)));
    assert!(!position(5, 1).is_restored_after(Position::default()));
    assert!(!position(5, 1).is_restored_after(position(0, 9)));
}

#[test]
fn a_lease_is_held_only_in_the_era_that_granted_it() {
    let lease = Lease { id: 4, era: 2 };
    assert!(lease.is_held_in(2));
    assert!(!lease.is_held_in(3));
    assert!(!Lease::default().is_held_in(0));
    assert!(Lease { id: 4, era: 0 }.is_held_in(0));
}
