//! Computes the capacity of a deployment, and scales an inventory down.

use std::time::Duration;

use guavacourse::modules::{
    catalog::{Catalog, KindEntry},
    inventory::Config,
};
use guavacourse_standins::ServiceTime;

/// Returns the mean of the log-normal service time.
#[must_use]
pub fn mean_service_time(service: &ServiceTime) -> Duration {
    let variance = service.spread * service.spread;
    service.median.mul_f64((variance / 2.0).exp())
}

/// Returns the requests per second that keep all slots of the kind's busiest shard
/// in use, or none for a kind without shards. The busiest shard is the one with
/// the fewest slots.
#[must_use]
pub fn capacity(catalog: &Catalog, kind: &KindEntry, service: &ServiceTime) -> Option<f64> {
    let slots = |shard: &_| {
        let shard = &catalog.shards[*shard];
        let replicas = u32::try_from(shard.replicas.len()).unwrap_or(u32::MAX);
        replicas * catalog.services[shard.service].slots
    };
    let min_slots = kind.shards.iter().map(slots).min()?;
    Some(f64::from(min_slots) / mean_service_time(service).as_secs_f64())
}

/// Multiplies connection times, deadlines and settle times by a factor.
#[must_use]
pub fn slowed(config: &Config, factor: f64) -> Config {
    let mut slowed = config.clone();
    for service in &mut slowed.services {
        service.connect = service.connect.mul_f64(factor);
    }
    for kind in &mut slowed.kinds {
        kind.deadline = kind.deadline.mul_f64(factor);
        kind.settle = kind.settle.mul_f64(factor);
    }
    slowed
}

/// Keeps a fraction of the services of each group, at least one, and removes the
/// others from the kinds. The services of a group have the same name except for
/// the digits at its end.
#[must_use]
pub fn scaled(config: &Config, fraction: f64) -> Config {
    let mut scaled = config.clone();
    let group = |name: &str| {
        name.trim_end_matches(|c: char| c.is_ascii_digit())
            .to_owned()
    };
    scaled.services.retain(|service| {
        let same_group = |other: &&guavacourse::modules::inventory::Service| {
            group(&other.name) == group(&service.name)
        };
        let members = (0_u32..).zip(config.services.iter().filter(same_group));
        let count = members.clone().count();
        let kept = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * fraction;
        let position = members
            .into_iter()
            .find(|(_, other)| other.name == service.name);
        position.is_some_and(|(index, _)| index == 0 || f64::from(index) < kept)
    });
    let kept: Vec<String> = scaled.services.iter().map(|s| s.name.clone()).collect();
    for kind in &mut scaled.kinds {
        kind.services.retain(|name| kept.contains(name));
    }
    scaled
}
