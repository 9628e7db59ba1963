//! What an era of the registry allows.

use std::time::Duration;

use guavacourse::modules::era::{EraRecord, Lease, Position};

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

const RETENTION: Duration = Duration::from_mins(10);

/// A moment in milliseconds since the Unix epoch.
const NOW: u64 = 1_700_000_000_000;

// Guards against a second run of actions whose claims the copy lacks, and against keys
// that are never accepted again.
#[test]
fn claims_may_be_lost_for_the_retention_after_a_rise() {
    let found = EraRecord { era: 1, noticed: 0 };
    assert_eq!(EraRecord::acknowledge(Some(found), 1, NOW), None);
    assert!(!found.claims_lost(NOW, RETENTION));
    let risen = EraRecord::acknowledge(Some(found), 2, NOW).expect("a new record");
    assert_eq!((risen.era, risen.noticed), (2, NOW));
    assert!(risen.claims_lost(NOW, RETENTION));
    assert!(risen.claims_lost(NOW + 600_000, RETENTION));
    assert!(!risen.claims_lost(NOW + 660_000, RETENTION));
    assert_eq!(EraRecord::acknowledge(Some(risen), 2, NOW + 1), None);
    let again = EraRecord::acknowledge(Some(risen), 3, NOW + 660_000).expect("a new record");
    assert!(again.claims_lost(NOW + 660_000, RETENTION));
}

// Guards against a copy that is older than the record itself.
#[test]
fn a_missing_record_means_that_claims_may_be_lost_except_in_the_first_era() {
    let first = EraRecord::acknowledge(None, 1, NOW).expect("a new record");
    assert!(!first.claims_lost(NOW, RETENTION));
    let later = EraRecord::acknowledge(None, 2, NOW).expect("a new record");
    assert!(later.claims_lost(NOW, RETENTION));
}
