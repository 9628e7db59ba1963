//! Remembers the requests that a leaf has refused on one connection.

use super::{catalog::stable_hash, collections::Map, time::Time};

/// Requests that a leaf has refused on one connection, until their deadlines.
///
/// A leaf may send a second copy of a response late. So on a connection that has carried
/// a request's refusal, another refusal with the id of the request does not prove that a
/// later call of the request was not run.
#[derive(Clone, Debug, Default)]
pub struct RefusedRequests {
    /// Deadlines, by the hash of the request id. Requests whose ids have the same hash
    /// count as one.
    deadlines: Map<u64, Time>,
}

impl RefusedRequests {
    /// Records the refusal of a request, which is not called again after `deadline`.
    pub fn add(&mut self, id: &str, deadline: Time, now: Time) {
        self.deadlines.retain(|_, deadline| *deadline > now);
        self.deadlines.insert(stable_hash(id.as_bytes()), deadline);
    }

    /// Returns whether the leaf has refused a request.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.deadlines.contains_key(&stable_hash(id.as_bytes()))
    }
}
