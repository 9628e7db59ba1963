//! Keeps observations of leaves until they are sent to each process of the data centre.

use std::time::Duration;

use super::load_board::{MAX_AGE, MAX_OBSERVATIONS, Observation};
use crate::modules::{collections::Map, time::Time};

/// Time without an exchange after which nothing is kept for a process.
const PARTNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Observations that wait for the next exchange with each process.
#[derive(Clone, Debug, Default)]
pub struct Outboxes(Map<String, Outbox>);

#[derive(Clone, Debug)]
struct Outbox {
    exchanged: Time,
    waiting: Vec<(Observation, Time)>,
}

impl Outboxes {
    /// Adds observations for all processes with which there was an exchange recently.
    pub fn add(&mut self, observations: &[Observation], now: Time) {
        self.0
            .retain(|_, outbox| now.since(outbox.exchanged) < PARTNER_TIMEOUT);
        for outbox in self.0.values_mut() {
            let added = observations.iter().map(|observation| (*observation, now));
            outbox.waiting.extend(added);
            let surplus = outbox.waiting.len().saturating_sub(MAX_OBSERVATIONS);
            outbox.waiting.drain(..surplus);
        }
    }

    /// Returns whether something waits for a process, or nothing was exchanged with it yet.
    #[must_use]
    pub fn due(&self, partner: &str) -> bool {
        self.0
            .get(partner)
            .is_none_or(|outbox| !outbox.waiting.is_empty())
    }

    /// Returns what is sent to a process now.
    pub fn take(&mut self, partner: &str, now: Time) -> Vec<Observation> {
        let empty = Outbox {
            exchanged: now,
            waiting: Vec::new(),
        };
        let outbox = self.0.insert(partner.to_owned(), empty);
        let waiting = outbox.into_iter().flat_map(|outbox| outbox.waiting);
        let aged = waiting.map(|(observation, at)| Observation {
            age: observation.age + now.since(at),
            ..observation
        });
        aged.filter(|observation| observation.age < MAX_AGE)
            .collect()
    }
}
