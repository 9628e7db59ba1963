//! A token bucket that limits extra calls to a fraction of first calls.

/// Capacity of a budget in tokens, and so the largest burst of extra calls.
pub const MAX_TOKENS: f64 = 64.0;

/// Tokens that a budget starts with.
const INITIAL_TOKENS: f64 = 8.0;

/// Extra calls that may be sent, earned by first calls.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl Budget {
    /// Adds `ratio` of a token for each of `calls` first calls.
    pub fn earn(&mut self, calls: u32, ratio: f64) {
        let earned = f64::from(calls) * ratio.max(0.0);
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }

    /// Gives back the token of a call that did not run.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
    }

    /// Takes one token, if there is a whole one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
