//! Limits the queries of one kind that begin though they will be late.
//!
//! Such a query holds back its calls to scarce shards until no other call waits there.
//! If the shards stay contended, it is lost, and the calls to its other shards with it.
//! The limit falls while such queries are lost and rises while they are served, so that
//! the rest is told at once that it has not run.

use crate::modules::time::Time;

/// Lowest limit, and the limit at the start. It is not zero, so that a contention that
/// ends soon is noticed. With 4 at the start, most late queries were lost in the first
/// second, for which nothing could be told at once.
const MIN_LIMIT: f64 = 1.0;
/// Highest limit, which bounds the queries that wait in the process.
const MAX_LIMIT: f64 = 64.0;
/// Factor applied to the limit when a late query is lost.
const DECREASE_FACTOR: f64 = 0.5;
/// Held calls that may join a queue when their time runs out, as a fraction of all
/// queries: in-time queries lose at most that part of a scarce shard.
const JOIN_FRACTION: f64 = 0.1;
/// Calls that may join at the same moment. More of them would make the queue too long for
/// queries in time.
const MAX_JOINS: f64 = 2.0;

/// Late queries of one kind.
#[derive(Clone, Debug)]
pub struct LateQueries {
    /// Deadlines of those that are running. One that its driver gave up counts until its
    /// deadline.
    running: Vec<Time>,
    limit: f64,
    joins: f64,
}

impl Default for LateQueries {
    fn default() -> Self {
        Self {
            running: Vec::new(),
            limit: MIN_LIMIT,
            joins: 1.0,
        }
    }
}

impl LateQueries {
    /// Counts a query of the kind, late or not.
    pub fn count_query(&mut self) {
        self.joins = (self.joins + JOIN_FRACTION).min(MAX_JOINS);
    }

    /// Admits a late query with a deadline unless the limit is reached; returns whether it
    /// may begin.
    pub fn start(&mut self, deadline: Time, now: Time) -> bool {
        self.running.retain(|deadline| *deadline > now);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let admitted = f64::from(running) < self.limit;
        if admitted {
            self.running.push(deadline);
        }
        admitted
    }

    /// Returns whether a held call may join the queue of its shard now because its time
    /// runs out.
    pub fn join(&mut self) -> bool {
        let allowed = self.joins >= 1.0;
        if allowed {
            self.joins -= 1.0;
        }
        allowed
    }

    /// Records whether an admitted query was served.
    pub fn ended(&mut self, deadline: Time, served: bool) {
        if let Some(index) = self.running.iter().position(|other| *other == deadline) {
            self.running.swap_remove(index);
        }
        self.limit = if served {
            (self.limit + 1.0).min(MAX_LIMIT)
        } else {
            (self.limit * DECREASE_FACTOR).max(MIN_LIMIT)
        };
    }
}
