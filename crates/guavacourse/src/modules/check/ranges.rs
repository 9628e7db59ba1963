//! Checks that the key ranges of a service cover the key space without gaps or
//! partial overlaps.

use super::Fault;
use crate::modules::{
    inventory::{Leaf, Service},
    keys::{KEY_SPACE, KeyRange},
};

/// Returns the faults of a service's key ranges.
pub(super) fn check(service: &Service) -> Vec<Fault> {
    let invalid = |leaf: &&Leaf| {
        let range = leaf.range();
        range.width() == 0 || range.until > KEY_SPACE
    };
    let faults: Vec<Fault> = service
        .leaves
        .iter()
        .filter(invalid)
        .map(bad_range)
        .collect();
    if !faults.is_empty() {
        return faults;
    }
    let mut leaves: Vec<&Leaf> = service.leaves.iter().collect();
    leaves.sort_by_key(|leaf| leaf.range());
    gaps_and_overlaps(service, &leaves)
}

/// Returns whether two revisions of a service differ in their key ranges.
pub(super) fn differ(old: &Service, new: &Service) -> bool {
    let moved = new.leaves.iter().any(|leaf| {
        let earlier = old.leaves.iter().find(|l| l.name == leaf.name);
        earlier.is_some_and(|l| l.range() != leaf.range())
    });
    moved || distinct_ranges(old) != distinct_ranges(new)
}

fn distinct_ranges(service: &Service) -> Vec<KeyRange> {
    let mut ranges: Vec<KeyRange> = service.leaves.iter().map(Leaf::range).collect();
    ranges.sort_unstable();
    ranges.dedup();
    ranges
}

/// Returns the gaps and overlaps between the sorted ranges.
fn gaps_and_overlaps(service: &Service, leaves: &[&Leaf]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut covered = 0;
    let mut last: Option<&Leaf> = None;
    for &leaf in leaves {
        let range = leaf.range();
        if last.is_some_and(|l| l.range() == range) {
            continue;
        }
        if range.from > covered {
            faults.push(gap(service, KeyRange::new(covered, range.from)));
        }
        if let Some(first) = last.filter(|_| range.from < covered) {
            faults.push(Fault::Overlap {
                service: service.name.clone(),
                first: first.name.clone(),
                second: leaf.name.clone(),
                shared: KeyRange::new(range.from, covered.min(range.until)),
            });
        }
        if range.until > covered {
            covered = range.until;
            last = Some(leaf);
        }
    }
    if covered < KEY_SPACE {
        faults.push(gap(service, KeyRange::new(covered, KEY_SPACE)));
    }
    faults
}

fn gap(service: &Service, missing: KeyRange) -> Fault {
    Fault::Gap {
        service: service.name.clone(),
        missing,
    }
}

fn bad_range(leaf: &Leaf) -> Fault {
    Fault::BadRange {
        leaf: leaf.name.clone(),
        range: leaf.range(),
    }
}
