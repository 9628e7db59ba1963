//! What one process observed of leaves and shares with its peers.

use std::time::Duration;

use super::load_report::{LoadReport, USUAL_PACE};
use crate::modules::{catalog::LeafId, collections::Map, time::Time};

/// Maximum number of observations in one exchange.
pub const MAX_OBSERVATIONS: usize = 128;
/// Age from which an observation is not passed on: reports say nothing any more.
pub const MAX_AGE: Duration = Duration::from_secs(5);
/// Change that a failure fraction of 1 counts as, as a multiple of one usual service time.
const FAILURE_CHANGE: f64 = 5.0;
/// Change that the first report of a leaf counts as.
const FIRST_CHANGE: f64 = 1.0;
/// What a process observed of a leaf, as it is shared with peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The leaf.
    pub leaf: LeafId,
    /// Time since it was observed.
    pub age: Duration,
    /// Load that it reported last, if it reports any.
    pub report: Option<LoadReport>,
    /// Number of calls that ended since the last exchange.
    pub calls: u32,
    /// Fraction of them that failed, 0 to 1.
    pub failures: f64,
    /// Whether the sender learned it from a peer. It is not passed on again.
    pub relayed: bool,
}

/// An observation with the time at which it was made.
#[derive(Clone, Copy, Debug)]
struct Noted {
    observation: Observation,
    at: Time,
}

impl Noted {
    /// Combines it with a later one of the same leaf: the calls of both, and the newer
    /// report.
    fn combine(self, later: Self) -> Self {
        let (old, new) = (self.observation, later.observation);
        let calls = old.calls.saturating_add(new.calls);
        let failed = |observation: Observation| {
            observation.failures * f64::from(observation.calls) / f64::from(calls.max(1))
        };
        let keeps_report = old.report.is_some() && (new.report.is_none() || self.at > later.at);
        let newest = if keeps_report { self } else { later };
        Self {
            observation: Observation {
                calls,
                failures: failed(old) + failed(new),
                relayed: old.relayed || new.relayed,
                ..newest.observation
            },
            at: newest.at,
        }
    }

    /// Returns by how much it differs from what was shared last.
    fn change_since(&self, shared: Option<&Self>) -> f64 {
        let Some(shared) = shared else {
            return FIRST_CHANGE + self.observation.failures * FAILURE_CHANGE;
        };
        let (new, old) = (&self.observation, &shared.observation);
        let failures = (new.failures - old.failures).abs() * FAILURE_CHANGE;
        match (new.report, old.report) {
            (Some(new), Some(old)) => failures + (load(new) - load(old)).abs(),
            (None, None) => failures,
            _ => failures + FIRST_CHANGE,
        }
    }
}

/// Collects what is to be shared in the next exchange.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    /// Observations since the last exchange, the latest of each leaf.
    fresh: Map<LeafId, Noted>,
    /// What was shared of each leaf last.
    shared: Map<LeafId, Noted>,
}

impl LoadBoard {
    /// Notes an own observation.
    pub fn observe(&mut self, observation: Observation, now: Time) {
        self.add(Noted {
            observation,
            at: now,
        });
    }

    /// Notes an observation of a peer. Returns when it was made, or `None` if it is too old
    /// or malformed. If the peer made it itself, it is passed on in the next exchange.
    pub fn receive(&mut self, observation: Observation, now: Time) -> Option<Time> {
        let valid = (0.0..=1.0).contains(&observation.failures) && observation.age < MAX_AGE;
        if !valid {
            return None;
        }
        let at = now.before(observation.age);
        if !observation.relayed {
            let observation = Observation {
                relayed: true,
                ..observation
            };
            self.add(Noted { observation, at });
        }
        Some(at)
    }

    fn add(&mut self, noted: Noted) {
        let fresh = self.fresh.entry(noted.observation.leaf);
        fresh
            .and_modify(|known| *known = known.combine(noted))
            .or_insert(noted);
    }

    /// Returns the observations since the last exchange, the most changed first, at most
    /// [`MAX_OBSERVATIONS`].
    pub fn take(&mut self, now: Time) -> Vec<Observation> {
        let fresh = std::mem::take(&mut self.fresh);
        let recent = fresh.into_values().filter(|o| now.since(o.at) < MAX_AGE);
        let mut changed: Vec<(f64, Noted)> = recent
            .map(|noted| {
                let shared = self.shared.get(&noted.observation.leaf);
                (noted.change_since(shared), noted)
            })
            .collect();
        changed.sort_by(|a, b| {
            let by_leaf = a.1.observation.leaf.cmp(&b.1.observation.leaf);
            b.0.total_cmp(&a.0).then(by_leaf)
        });
        changed.truncate(MAX_OBSERVATIONS);
        let taken = changed.into_iter().map(|(_, noted)| {
            self.shared.insert(noted.observation.leaf, noted);
            Observation {
                age: now.since(noted.at),
                ..noted.observation
            }
        });
        taken.collect()
    }

    /// Returns whether anything was observed or shared.
    #[must_use]
    pub fn in_use(&self) -> bool {
        !self.fresh.is_empty() || !self.shared.is_empty()
    }

    /// Forgets the leaves for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(LeafId) -> bool) {
        self.fresh.retain(|leaf, _| keep(*leaf));
        self.shared.retain(|leaf, _| keep(*leaf));
    }
}

/// Returns the time that the calls at a leaf need, as a multiple of what its slots do in
/// one usual service time.
fn load(report: LoadReport) -> f64 {
    let calls = f64::from(report.running) + f64::from(report.waiting);
    let pace = f64::from(report.pace.unwrap_or(USUAL_PACE)) / f64::from(USUAL_PACE);
    pace * (1.0 + calls / f64::from(report.slots.max(1)))
}
