//! With whom processes exchange reports.

use crate::fleet::{Fleet, Load};

/// Guards against two connections between the same processes, and against a process
/// that reports to none: all processes but one in each data centre call that one, and
/// the first ones call each other once.
#[test]
fn processes_form_one_tree_per_data_centre() {
    let fleet = Fleet::large(vec![Load::usual("c", 1.0)], 1);
    let callers = fleet.callers();
    assert_eq!(callers.len(), 62 - 6 + 15);
    for (from, to) in &callers {
        assert!(!callers.contains(&(to.clone(), from.clone())));
    }
}
