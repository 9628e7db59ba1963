//! Shares the running queries of one kind equally between customers.

use std::time::Duration;

use crate::modules::{collections::Map, replicas::as_micros, time::Time};

/// Half-life of a customer's usage, so that a burst counts for about a second.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Usage below which a customer is forgotten: it sent nothing for some seconds.
const MIN_USAGE: f64 = 0.05;
/// Maximum number of customers whose usage is kept. The ones with the least usage are
/// forgotten first: they are below their share anyway.
const MAX_CUSTOMERS: usize = 256;

/// Smoothed usage of one kind by customer. Requests without a customer count as one
/// customer with an empty name.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    usage: Map<String, Usage>,
}

/// Queries started by a customer, each of which counts half after the half-life.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    amount: f64,
    updated: Time,
}

impl Usage {
    fn at(self, now: Time) -> f64 {
        let age = as_micros(now.since(self.updated)) / as_micros(USAGE_HALF_LIFE);
        self.amount * (-age).exp2()
    }
}

impl FairShares {
    /// Counts a query that a customer started.
    pub fn started(&mut self, customer: &str, now: Time) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.amount = usage.at(now) + 1.0;
            usage.updated = now;
            return;
        }
        if self.usage.len() >= MAX_CUSTOMERS {
            self.forget(now);
        }
        let usage = Usage {
            amount: 1.0,
            updated: now,
        };
        self.usage.insert(customer.to_owned(), usage);
    }

    /// Returns whether the usage of a customer is below its equal share.
    #[must_use]
    pub fn below_share(&self, customer: &str, now: Time) -> bool {
        let own = self.usage.get(customer).map_or(0.0, |usage| usage.at(now));
        let used = self.usage.iter().map(|(name, usage)| (name, usage.at(now)));
        let active = used.filter(|(name, amount)| *amount >= MIN_USAGE && *name != customer);
        let (count, total) = active.fold((1.0, own), |(count, total), (_, amount)| {
            (count + 1.0, total + amount)
        });
        own < total / count
    }

    /// Returns the number of customers whose usage is kept.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.usage.len()
    }

    /// Forgets customers without recent usage, or else the one with the least.
    fn forget(&mut self, now: Time) {
        self.usage.retain(|_, usage| usage.at(now) >= MIN_USAGE);
        if self.usage.len() < MAX_CUSTOMERS {
            return;
        }
        let least = self
            .usage
            .iter()
            .min_by(|(_, a), (_, b)| a.at(now).total_cmp(&b.at(now)));
        let least = least.map(|(name, _)| name.clone());
        if let Some(name) = least {
            self.usage.remove(&name);
        }
    }
}
