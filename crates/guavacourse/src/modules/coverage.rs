//! Tracks which of the planned keys an answer covers.

use serde::{Deserialize, Serialize};

use super::keys::{KEY_SPACE, KeyRange};

/// Which of the planned keys an answer covers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Coverage {
    /// Covered fraction of the planned keys, 0 to 1; 1 only if none is missing.
    pub fraction: f64,
    /// Number of keys covered, over all services.
    pub covered: u64,
    /// Number of keys planned, over all services.
    pub planned: u64,
    /// Ranges not covered.
    pub missing: Vec<MissingRange>,
}

/// A key range of a service that an answer does not cover.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct MissingRange {
    /// Name of the service.
    pub service: String,
    /// First missing key.
    pub from: u32,
    /// First key after the missing ones.
    pub until: u32,
}

/// Collects the ranges merged into one answer.
///
/// The plan is the whole key space of each service that the kind names, not the
/// shards that the inventory lists: a gap in the inventory, or a service that
/// it lacks, counts as missing.
#[derive(Clone, Debug, Default)]
pub struct CoverageTally {
    services: Vec<ServiceRanges>,
    covered: u64,
}

/// Merged ranges of one service, in the order of their keys.
#[derive(Clone, Debug)]
struct ServiceRanges {
    name: String,
    ranges: Vec<KeyRange>,
}

impl CoverageTally {
    /// Creates an empty tally for a plan over the named services.
    #[must_use]
    pub fn new(services: &[String]) -> Self {
        let merged = services.iter().map(|name| ServiceRanges {
            name: name.clone(),
            ranges: Vec::new(),
        });
        Self {
            services: merged.collect(),
            covered: 0,
        }
    }

    /// Adds a merged range of the service at index `service`. Returns false,
    /// and adds nothing, if the service is not planned, or if the range is
    /// empty, ends beyond the key space or overlaps a range added before.
    pub fn add(&mut self, service: usize, range: KeyRange) -> bool {
        let Some(merged) = self.services.get_mut(service) else {
            return false;
        };
        if range.width() == 0 || range.until > KEY_SPACE {
            return false;
        }
        let at = merged
            .ranges
            .partition_point(|other| other.from < range.from);
        let before = at.checked_sub(1).and_then(|i| merged.ranges.get(i));
        let after = merged.ranges.get(at);
        let overlaps = before.is_some_and(|other| other.until > range.from)
            || after.is_some_and(|other| other.from < range.until);
        if overlaps {
            return false;
        }
        merged.ranges.insert(at, range);
        self.covered += u64::from(range.width());
        true
    }

    /// Removes all ranges, to start over on another snapshot.
    pub fn clear(&mut self) {
        self.covered = 0;
        for service in &mut self.services {
            service.ranges.clear();
        }
    }

    /// Returns the number of keys planned.
    #[must_use]
    pub fn planned(&self) -> u64 {
        self.services.len() as u64 * u64::from(KEY_SPACE)
    }

    /// Returns the covered fraction of the planned keys; 0 if none are planned.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        let planned = self.planned();
        if planned == 0 {
            return 0.0;
        }
        to_f64(self.covered) / to_f64(planned)
    }

    /// Returns whether every planned key is covered; false if none are planned.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.covered > 0 && self.covered == self.planned()
    }

    /// Returns the coverage, with missing ranges ordered by service and key.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        Coverage {
            fraction: self.fraction(),
            covered: self.covered,
            planned: self.planned(),
            missing: self
                .services
                .iter()
                .flat_map(ServiceRanges::missing)
                .collect(),
        }
    }
}

impl ServiceRanges {
    fn missing(&self) -> Vec<MissingRange> {
        let mut missing = Vec::new();
        let mut from = 0;
        let end = KeyRange::new(KEY_SPACE, KEY_SPACE);
        for range in self.ranges.iter().chain([&end]) {
            if range.from > from {
                missing.push(MissingRange {
                    service: self.name.clone(),
                    from,
                    until: range.from,
                });
            }
            from = range.until;
        }
        missing
    }
}

/// Converts a count of keys to a float, without loss since counts stay far
/// below 2^52.
#[allow(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
