//! Limits the number of calls that a leaf is sent at a time.

/// Minimum growth of the limit with each answer.
const MIN_GROWTH: f64 = 0.25;

/// Growth of the limit with each answer, as a fraction of the limit.
const GROWTH_FRACTION: f64 = 0.1;

/// Factor that the limit is multiplied by when the leaf sheds a call.
const SHED_FACTOR: f64 = 0.7;

/// Adaptive limit between one call and the leaf's slots. It falls when the leaf
/// sheds a call and grows back with each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let limit = f64::from(slots);
        Self { slots, limit }
    }

    /// Adjusts the limit to a changed number of slots.
    pub fn resize(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        let at_maximum = self.allowed() == self.slots;
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
        if at_maximum {
            self.limit = f64::from(slots);
        }
    }

    /// Returns the number of calls that may run at a time.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and the slots"
    )]
    pub fn allowed(&self) -> u32 {
        self.limit as u32
    }

    /// Resets the limit to one call, for a leaf that is cold or has recovered.
    pub fn reset(&mut self) {
        self.limit = 1.0;
    }

    /// Lowers the limit because the leaf had no free slot.
    pub fn record_shed(&mut self) {
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }

    /// Raises the limit because the leaf answered.
    pub fn record_answer(&mut self) {
        let growth = (self.limit * GROWTH_FRACTION).max(MIN_GROWTH);
        self.limit = (self.limit + growth).min(f64::from(self.slots));
    }
}
