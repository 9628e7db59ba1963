//! Tests which changes a process sends to a peer that follows it.

use guavacourse::modules::{
    directory::Change,
    journal::{CatchUp, Cursor, Journal},
};

fn leaf_gone(number: usize) -> Change {
    Change::LeafGone(format!("leaf-{number}"))
}

#[test]
fn a_follower_gets_the_changes_that_it_has_missed() {
    let mut journal = Journal::new(7);
    journal.extend([leaf_gone(0)]);
    let cursor = journal.cursor();
    assert_eq!(journal.since(cursor), CatchUp::Since(Vec::new()));
    journal.extend([leaf_gone(1), leaf_gone(2)]);
    assert_eq!(
        journal.since(cursor),
        CatchUp::Since(vec![leaf_gone(1), leaf_gone(2)])
    );
    assert_eq!(journal.since(journal.cursor()), CatchUp::Since(Vec::new()));
}

#[test]
fn a_cursor_of_another_incarnation_gets_everything() {
    let mut journal = Journal::new(7);
    journal.extend([leaf_gone(0)]);
    let other = Cursor {
        incarnation: 8,
        ..journal.cursor()
    };
    assert_eq!(journal.since(other), CatchUp::FullState);
    assert_eq!(journal.since(Cursor::default()), CatchUp::FullState);
    let ahead = Cursor {
        incarnation: 7,
        sequence: 2,
    };
    assert_eq!(journal.since(ahead), CatchUp::FullState);
}

#[test]
fn a_follower_that_has_missed_too_much_gets_everything() {
    let mut journal = Journal::new(7);
    let cursor = journal.cursor();
    journal.extend((0..1_024).map(leaf_gone));
    assert!(matches!(journal.since(cursor), CatchUp::Since(changes) if changes.len() == 1_024));
    journal.extend([leaf_gone(1_024)]);
    assert_eq!(journal.since(cursor), CatchUp::FullState);
}
