//! Tests the assignment of leaves to the threads of a relay.

use guavacourse::modules::{catalog::LeafId, thread_assignment::ThreadAssignment};

#[test]
fn leaves_are_assigned_in_turn_and_stay_with_their_thread() {
    let mut assignment = ThreadAssignment::new(3);
    let leaves = (0..7).map(|i| LeafId::of(&format!("leaf-{i}")));
    let first: Vec<usize> = leaves.clone().map(|leaf| assignment.thread(leaf)).collect();
    let again: Vec<usize> = leaves.clone().map(|leaf| assignment.thread(leaf)).collect();
    assert_eq!(first, [0, 1, 2, 0, 1, 2, 0]);
    assert_eq!(again, first);
    let mut single = ThreadAssignment::new(0);
    assert!(leaves.map(|leaf| single.thread(leaf)).all(|i| i == 0));
}
