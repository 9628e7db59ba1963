//! What a process knows of another through their reports, and has told it.

use std::time::Duration;

use super::report::{CustomerId, Role, Usage};
use crate::modules::{collections::Map, time::Time};

/// Time without a report after which a process counts as silent. Reports come at least
/// once a second while there are quotas.
pub(super) const SILENCE: Duration = Duration::from_millis(1_500);

/// Change of the demand, relative and in requests a second, from which it is reported
/// again.
const DEMAND_CHANGE: f64 = 0.2;
const MIN_DEMAND_CHANGE: f64 = 0.05;

/// State of the exchange with one process.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) role: Role,
    /// Identifies the counters that this process sends.
    pub(super) nonce: u64,
    /// Number of the last report sent, and of the last one that arrived.
    pub(super) sequence: u32,
    pub(super) acked: u32,
    /// Identifies the counters that the other process sends; 0 if none arrived.
    pub(super) heard_nonce: u64,
    pub(super) heard_sequence: u32,
    /// When the last report arrived.
    pub(super) heard: Option<Time>,
    /// Whether the last report named any customer, so that there may soon be more.
    pub(super) news: bool,
    /// Whether the loss of the other process was noted.
    pub(super) lost: bool,
    /// Processes that its reports cover.
    pub(super) members: u32,
    pub(super) flows: Map<CustomerId, Flow>,
}

/// Use of a customer's quota, as it was reported on a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    /// Value of this process's counter at which the counting on the link started.
    pub(super) zero: i64,
    /// Counter and demand in the last report.
    pub(super) sent: i64,
    sent_demand: f64,
    /// Counter in the last report of the other process.
    pub(super) received: i64,
    /// Admissions that were learned of through the link.
    pub(super) learned: i64,
    pub(super) demand: f64,
    pub(super) silent: f64,
    /// Demand over a longer time, while all processes are heard from.
    pub(super) usual: f64,
}

impl Link {
    /// Creates the state without any report.
    pub(super) fn new(role: Role, nonce: u64) -> Self {
        Self {
            role,
            nonce,
            sequence: 0,
            acked: 0,
            heard_nonce: 0,
            heard_sequence: 0,
            heard: None,
            news: false,
            lost: false,
            members: 0,
            flows: Map::default(),
        }
    }

    /// Returns whether the other process reported recently.
    pub(super) fn live(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= SILENCE)
    }

    /// Returns whether the last report arrived.
    pub(super) fn confirmed(&self) -> bool {
        self.sequence > 0 && self.acked == self.sequence
    }

    /// Returns the state of a customer, if there is any.
    pub(super) fn flow(&self, customer: CustomerId) -> Flow {
        self.flows.get(&customer).copied().unwrap_or_default()
    }
}

impl Flow {
    /// Returns whether a report differs enough from the last one to be sent.
    pub(super) fn differs(&self, usage: &Usage) -> bool {
        let change = (usage.demand - self.sent_demand).abs();
        usage.admitted != self.sent || change > DEMAND_CHANGE * self.sent_demand + MIN_DEMAND_CHANGE
    }

    /// Records that a report was sent.
    pub(super) fn record(&mut self, usage: &Usage) {
        self.sent = usage.admitted;
        self.sent_demand = usage.demand;
    }
}
