//! What one process knows of the load of leaves, and shares with its peers.

use std::time::Duration;

use super::load_report::LoadReport;
use crate::modules::catalog::LeafId;

/// What a process observed of a leaf, as it is shared with peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The leaf.
    pub leaf: LeafId,
    /// Time since it was observed.
    pub age: Duration,
    /// Load that it reported last, if it reports any.
    pub report: Option<LoadReport>,
    /// Fraction of its recent calls that failed, 0 to 1.
    pub failures: f64,
}
