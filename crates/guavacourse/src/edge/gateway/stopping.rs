//! Progress of the graceful shutdown of a gateway.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::edge::http::Shutdown;

/// Interval between checks for open requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a gateway's shutdown. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Stopping {
    leaving: Arc<AtomicBool>,
    /// Number of open requests of callers and peers.
    open_requests: Arc<AtomicUsize>,
    pub(super) shutdown: Shutdown,
}

impl Stopping {
    /// Reports not ready from now on, and asks callers to close their connections.
    pub(super) fn begin(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.shutdown.announce();
    }

    /// Closes idle connections.
    pub(super) fn close_idle(&self) {
        self.shutdown.end();
    }

    /// Returns whether the process is leaving.
    pub(super) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Counts a request as open while the returned value lives.
    pub(super) fn track_request(&self) -> OpenRequest {
        OpenRequest::new(&self.open_requests)
    }

    /// Waits until no request is open, at most `timeout`.
    pub(super) fn wait_idle(&self, timeout: Duration) {
        let until = Instant::now() + timeout;
        while self.open_requests.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(IDLE_CHECK_INTERVAL);
        }
        let left = self.open_requests.load(Ordering::Relaxed);
        if left > 0 {
            tracing::warn!(
                left,
                "requests are aborted, because they did not finish within the grace period"
            );
        }
    }
}

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
