//! What leaves report about their load.

/// Pace of a machine that works as usual.
pub const USUAL_PACE: u32 = 100;

/// Load that a leaf reports in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Time that work takes on its machine at present, [`USUAL_PACE`] as usual; `None`
    /// if the leaf does not report it.
    pub pace: Option<u32>,
}

impl LoadReport {
    /// Returns whether a slot is free.
    #[must_use]
    pub fn has_free_slot(self) -> bool {
        self.running < self.slots
    }
}
