//! Leaves that have just started, or have become cold again.

use crate::modules::time::Time;

/// A leaf that is cold and takes few calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLeaf {
    /// Calls a second that it takes from the whole fleet.
    pub rate: f64,
    /// When it is warm.
    pub until: Time,
}
