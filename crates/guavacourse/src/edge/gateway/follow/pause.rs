//! Backoff between failed calls to the registry.

use std::time::Duration;

use smol::Timer;

use super::RegistryError;

/// Shortest and longest delay after a failed call, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Exponential backoff with jitter, so that processes do not call at the same time.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Waits after a failed call.
    pub(super) async fn wait(&mut self, error: &RegistryError) {
        if self.failures == 0 {
            tracing::warn!(%error, "the registry is unavailable; calls are retried");
        }
        let delay = (MIN_BACKOFF * (1 << self.failures.min(4))).min(MAX_BACKOFF);
        self.failures += 1;
        Timer::after(delay.mul_f64(0.5 + fastrand::f64())).await;
    }

    /// Resets the delay after a successful call.
    pub(super) fn reset(&mut self) {
        if self.failures > 0 {
            tracing::info!(failures = self.failures, "the registry is available again");
        }
        self.failures = 0;
    }
}
