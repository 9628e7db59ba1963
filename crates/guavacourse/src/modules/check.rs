//! Checks a configuration before it is accepted.

mod fault;
mod ranges;

use std::net::SocketAddr;

pub use self::fault::{Fault, Place};
use super::{
    catalog::LeafId,
    collections::{Map, Set},
    inventory::{Config, Instance, Kind, Leaf, Service},
};

/// Reads a configuration from TOML and checks it.
///
/// # Errors
///
/// Returns every fault that was found. Text that is not TOML of the right shape
/// gives a single fault.
pub fn read(text: &str) -> Result<Config, Vec<Fault>> {
    let config = toml::from_str(text).map_err(|e| vec![Fault::syntax(text, &e)])?;
    let faults = check(&config);
    if faults.is_empty() {
        return Ok(config);
    }
    Err(faults)
}

/// Returns the faults of a configuration, regardless of the previous one.
#[must_use]
pub fn check(config: &Config) -> Vec<Fault> {
    let mut checker = Checker::new(config);
    for dc in &config.data_centres {
        checker.check_name(Place::DataCentre(dc.name.clone()));
    }
    for instance in &config.instances {
        checker.check_instance(instance);
    }
    for service in &config.services {
        checker.check_service(service);
    }
    for kind in &config.kinds {
        checker.check_kind(kind);
    }
    checker.faults
}

/// Returns the faults of a change from one checked configuration to the next.
#[must_use]
pub fn check_change(old: &Config, new: &Config) -> Vec<Fault> {
    let (before, after) = (old.epoch, new.epoch);
    if after < before {
        return vec![Fault::EpochLowered { before, after }];
    }
    if after > before {
        return Vec::new();
    }
    let changed = new.services.iter().filter(|service| {
        let earlier = old.services.iter().find(|s| s.name == service.name);
        earlier.is_some_and(|s| ranges::differ(s, service))
    });
    let fault = |service: &Service| Fault::EpochKept {
        service: service.name.clone(),
        epoch: before,
    };
    changed.map(fault).collect()
}

/// The names and addresses of a configuration seen so far, and its faults.
struct Checker<'a> {
    data_centres: Set<&'a str>,
    services: Set<&'a str>,
    /// Category and name of each part seen.
    names: Set<(&'static str, String)>,
    addresses: Map<SocketAddr, Place>,
    leaf_ids: Map<LeafId, String>,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn new(config: &'a Config) -> Self {
        let data_centres = config.data_centres.iter().map(|dc| dc.name.as_str());
        let services = config.services.iter().map(|s| s.name.as_str());
        Self {
            data_centres: data_centres.collect(),
            services: services.collect(),
            names: Set::default(),
            addresses: Map::default(),
            leaf_ids: Map::default(),
            faults: Vec::new(),
        }
    }

    /// Checks that a name is given and unique in its category.
    fn check_name(&mut self, place: Place) {
        if place.name().is_empty() {
            self.faults.push(Fault::NoName(place));
            return;
        }
        if !self
            .names
            .insert((place.category(), place.name().to_owned()))
        {
            self.faults.push(Fault::DuplicateName(place));
        }
    }

    /// Checks that a data centre is listed.
    fn check_data_centre(&mut self, place: Place, name: &str) {
        if !self.data_centres.contains(name) {
            let name = name.to_owned();
            self.faults.push(Fault::UnknownDataCentre { place, name });
        }
    }

    /// Checks that an address is given and that no other part has it.
    fn check_address(&mut self, place: &Place, key: &'static str, address: SocketAddr) {
        if address.ip().is_unspecified() || address.port() == 0 {
            let place = place.clone();
            self.faults.push(Fault::NoAddress { place, key });
            return;
        }
        if let Some(first) = self.addresses.insert(address, place.clone()) {
            self.faults.push(Fault::DuplicateAddress {
                first,
                second: place.clone(),
                address,
            });
        }
    }

    fn check_instance(&mut self, instance: &Instance) {
        let place = Place::Instance(instance.name.clone());
        self.check_name(place.clone());
        self.check_data_centre(place.clone(), &instance.data_centre);
        self.check_address(&place, "callers", instance.callers.0);
        self.check_address(&place, "entry", instance.entry.0);
        self.check_address(&place, "relay", instance.relay.0);
    }

    fn check_service(&mut self, service: &Service) {
        let place = Place::Service(service.name.clone());
        self.check_name(place.clone());
        for (key, value) in [
            ("slots", service.slots),
            ("connections", service.connections),
        ] {
            if value == 0 {
                let place = place.clone();
                self.faults.push(Fault::Zero { place, key });
            }
        }
        for leaf in &service.leaves {
            self.check_leaf(leaf);
        }
        self.faults.extend(ranges::check(service));
    }

    fn check_leaf(&mut self, leaf: &Leaf) {
        let place = Place::Leaf(leaf.name.clone());
        self.check_name(place.clone());
        self.check_data_centre(place.clone(), &leaf.data_centre);
        self.check_address(&place, "address", leaf.address.0);
        let earlier = self
            .leaf_ids
            .insert(LeafId::of(&leaf.name), leaf.name.clone());
        if let Some(first) = earlier.filter(|first| *first != leaf.name) {
            let second = leaf.name.clone();
            self.faults.push(Fault::SameId { first, second });
        }
    }

    fn check_kind(&mut self, kind: &Kind) {
        let place = Place::Kind(kind.name.clone());
        self.check_name(place.clone());
        if kind.services.is_empty() {
            self.faults.push(Fault::NoServices(place.clone()));
        }
        for name in &kind.services {
            if !self.services.contains(name.as_str()) {
                let (place, name) = (place.clone(), name.clone());
                self.faults.push(Fault::UnknownService { place, name });
            }
        }
        if kind.deadline.is_zero() {
            let (place, key) = (place.clone(), "deadline");
            self.faults.push(Fault::Zero { place, key });
        }
        if kind.settle > kind.deadline {
            self.faults.push(Fault::LateSettle(place.clone()));
        }
        for (key, value) in [
            ("least-coverage", kind.least_coverage),
            ("hedge-budget", kind.hedge_budget),
            ("retry-budget", kind.retry_budget),
            ("objective", kind.objective),
        ] {
            if !(0.0..=1.0).contains(&value) {
                let place = place.clone();
                self.faults.push(Fault::NotPart { place, key, value });
            }
        }
    }
}
