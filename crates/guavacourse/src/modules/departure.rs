//! Decides which requests a process still takes that is about to exit.

use std::time::Duration;

use super::inventory::{Class, Kind};

/// How far a process is on its way out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Time until the process ends the requests that are still open.
    pub left: Duration,
    /// Whether the load balancer may still send new connections.
    pub routed: bool,
}

impl Departure {
    /// Returns whether a request of a kind is taken; its caller waits for `deadline`.
    /// Queries are taken to the end, as they can be repeated. Once callers have had time
    /// to go elsewhere, an action is only taken if it can use all of its time.
    #[must_use]
    pub fn takes(self, rules: &Kind, deadline: Duration) -> bool {
        let needed = match rules.class {
            Class::Query => Duration::ZERO,
            Class::Action if self.routed => Duration::ZERO,
            Class::Action => deadline.min(rules.deadline),
        };
        !self.left.is_zero() && self.left >= needed
    }
}
