//! Progress of the graceful shutdown of a gateway.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    edge::{http::Shutdown, latch::Latch},
    modules::departure::Departure,
};

/// Interval between checks for open requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a gateway's shutdown. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Stopping {
    /// When requests end that are still open, once the process is leaving.
    end: Arc<Mutex<Option<Instant>>>,
    /// Whether the load balancer no longer sends connections.
    unrouted: Arc<AtomicBool>,
    /// Number of open requests of callers and peers.
    open_requests: Arc<AtomicUsize>,
    /// Set when open requests are to be answered as they are.
    expired: Latch,
    pub(super) shutdown: Shutdown,
}

impl Stopping {
    /// Reports not ready from now on, and asks callers to close their connections.
    /// Requests end at `end` at the latest.
    pub(super) fn begin(&self, end: Instant) {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
        self.shutdown.announce();
    }

    /// Closes idle connections and accepts no others, because the load balancer no longer
    /// sends any.
    pub(super) fn close_idle(&self) {
        self.unrouted.store(true, Ordering::Relaxed);
        self.shutdown.end();
    }

    /// Refuses requests from now on, and answers the open ones.
    pub(super) fn expire(&self) {
        self.expired.set();
    }

    /// Returns once open requests are to be answered as they are.
    pub(super) async fn wait_expired(&self) {
        self.expired.wait().await;
    }

    /// Returns whether the process is leaving.
    pub(super) fn leaving(&self) -> bool {
        self.departure().is_some()
    }

    /// Returns how far the process is on its way out; `None` if it is not leaving.
    pub(super) fn departure(&self) -> Option<Departure> {
        let end = *self.end.lock().unwrap_or_else(PoisonError::into_inner);
        end.map(|end| Departure {
            left: if self.expired.is_set() {
                Duration::ZERO
            } else {
                end.saturating_duration_since(Instant::now())
            },
            routed: !self.unrouted.load(Ordering::Relaxed),
        })
    }

    /// Counts a request as open while the returned value lives.
    pub(super) fn track_request(&self) -> OpenRequest {
        OpenRequest::new(&self.open_requests)
    }

    /// Waits until no request is open, at most until `until`. Returns the number of
    /// requests that are still open.
    pub(super) fn wait_idle(&self, until: Instant) -> usize {
        while self.open_requests.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(IDLE_CHECK_INTERVAL);
        }
        self.open_requests.load(Ordering::Relaxed)
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
