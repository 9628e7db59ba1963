//! The inventory of the tests that send bookings.

use std::time::Duration;

use guavacourse::modules::inventory::{Class, Config, DataCentre, Instance, Kind, Leaf, Service};

/// Number of instances, each in its own data centre.
pub const INSTANCES: usize = 3;

const EPOCH: u64 = 1;

/// Returns an inventory with one service of two shards, each on three leaves.
pub fn inventory() -> Config {
    let leaf = |shard: u32, number: usize| Leaf {
        name: format!("booking-{shard}-{number}"),
        data_centre: format!("dc{number}"),
        from: shard * 32_768,
        until: (shard + 1) * 32_768,
        ..Leaf::default()
    };
    let leaves = (0..2).flat_map(|shard| (0..INSTANCES).map(move |number| leaf(shard, number)));
    Config {
        epoch: EPOCH,
        instances: (0..INSTANCES)
            .map(|number| Instance {
                name: format!("instance-{number}"),
                data_centre: format!("dc{number}"),
                ..Instance::default()
            })
            .collect(),
        data_centres: (0..INSTANCES)
            .map(|number| DataCentre {
                name: format!("dc{number}"),
                region: "region".to_owned(),
            })
            .collect(),
        services: vec![Service {
            name: "booking".to_owned(),
            slots: 3,
            connections: 30,
            leaves: leaves.collect(),
            ..Service::default()
        }],
        kinds: vec![Kind {
            name: "book".to_owned(),
            class: Class::Action,
            services: vec!["booking".to_owned()],
            deadline: Duration::from_millis(500),
            retry_budget: 0.5,
            ..Kind::default()
        }],
        ..Config::default()
    }
}
