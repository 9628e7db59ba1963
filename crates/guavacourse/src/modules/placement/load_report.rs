//! What leaves report about their load.

/// Pace of a machine that works as usual.
pub const USUAL_PACE: u32 = 100;
/// Largest pace at which a latency shows how far a leaf is, rather than how slow.
const MAX_DISTANCE_PACE: u32 = 120;

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

    /// Returns whether the machine works at about its usual pace.
    #[must_use]
    pub fn at_usual_pace(self) -> bool {
        self.pace.is_none_or(|pace| pace <= MAX_DISTANCE_PACE)
    }
}
