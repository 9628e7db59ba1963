//! State and counters of a simulated leaf.

use std::{collections::VecDeque, time::Duration};

use guavacourse::modules::{collections::Map, keys::KeyRange, time::Time};
use serde::{Deserialize, Serialize};

use super::faults::{Health, LeafFaults, LoadReport};

/// Time for which past loads are kept.
const LOAD_RETENTION: Duration = Duration::from_secs(10);

/// Range of index versions that a leaf holds, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Versions {
    /// Oldest index version.
    pub oldest: u64,
    /// Newest index version.
    pub newest: u64,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            oldest: 1,
            newest: 1,
        }
    }
}

/// What a leaf serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServedIndex {
    /// Index versions that it holds.
    pub versions: Versions,
    /// Partition epoch.
    pub epoch: u64,
    /// Range of keys that it holds.
    pub range: KeyRange,
}

/// Counters of calls to leaves and of the work done for them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct LeafCounters {
    /// Calls that arrived.
    pub received: u64,
    /// Calls that took a slot.
    pub started: u64,
    /// Calls that were answered with rows.
    pub finished: u64,
    /// Calls whose connection closed during the work.
    pub cancelled: u64,
    /// Calls whose deadline passed during the work.
    pub expired: u64,
    /// Calls shed because no slot was free, or by a fault.
    pub shed: u64,
    /// Calls refused for another reason, without being run.
    pub refused: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed because too many were open.
    pub rejected: u64,
    /// Crashes, by a body with the crash marker or by [`LeafHandle::crash`].
    ///
    /// [`LeafHandle::crash`]: super::LeafHandle::crash
    pub crashes: u64,
    /// Time for which slots were held, in microseconds.
    pub busy_micros: u64,
}

impl std::ops::AddAssign for LeafCounters {
    fn add_assign(&mut self, other: Self) {
        self.received += other.received;
        self.started += other.started;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.shed += other.shed;
        self.refused += other.refused;
        self.connections += other.connections;
        self.rejected += other.rejected;
        self.crashes += other.crashes;
        self.busy_micros += other.busy_micros;
    }
}

/// Changing state of a leaf, shared by its thread and its handles.
#[derive(Debug)]
pub(super) struct State {
    pub(super) faults: LeafFaults,
    pub(super) served: ServedIndex,
    pub(super) incarnation: u64,
    /// Start of the current incarnation.
    pub(super) started: Time,
    pub(super) running: u32,
    pub(super) work: LeafCounters,
    /// Number of runs of each action, by action id.
    pub(super) runs: Map<String, u32>,
    pub(super) rng: fastrand::Rng,
    /// Number of running calls after each change, oldest first.
    load_history: VecDeque<(Time, u32)>,
}

impl State {
    pub(super) fn new(served: ServedIndex, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            faults: LeafFaults::default(),
            served,
            incarnation: draw_incarnation(&mut rng),
            started: Time::default(),
            running: 0,
            work: LeafCounters::default(),
            runs: Map::default(),
            rng,
            load_history: VecDeque::new(),
        }
    }

    /// Starts a new incarnation at `now`.
    pub(super) fn restart(&mut self, now: Time) {
        self.incarnation = draw_incarnation(&mut self.rng);
        self.started = now;
    }

    /// Sets the number of running calls and records it in the load history.
    pub(super) fn set_running(&mut self, now: Time, running: u32) {
        self.running = running;
        self.load_history.push_back((now, running));
        let expired = |second: &(Time, u32)| now.since(second.0) > LOAD_RETENTION;
        while self.load_history.get(1).is_some_and(expired) {
            self.load_history.pop_front();
        }
    }

    /// Returns the actual health of the leaf.
    pub(super) fn health(&self) -> Health {
        if self.faults.draining {
            Health::Draining
        } else {
            Health::Serving
        }
    }

    /// Returns the health that `GET /health` reports.
    pub(super) fn reported_health(&self) -> Health {
        self.faults.health.unwrap_or_else(|| self.health())
    }

    /// Returns the number of running calls that the leaf reports.
    pub(super) fn reported_load(&self, now: Time) -> u32 {
        match self.faults.load {
            LoadReport::Current => self.running,
            LoadReport::Fixed(load) => load,
            LoadReport::Lagging(millis) => {
                let lag = Duration::from_millis(millis);
                let past = self.load_history.iter().rev();
                past.into_iter()
                    .find(|(time, _)| now.since(*time) >= lag)
                    .map_or(0, |(_, load)| *load)
            }
        }
    }
}

/// Draws an incarnation below 2^53, so that every JSON reader can represent it
/// exactly.
fn draw_incarnation(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(1..1 << 53)
}
