//! A service of one shard with a replica in each of three data centres.

use guavacourse::modules::{
    inventory::{DataCentre, Leaf, Service},
    keys::KEY_SPACE,
};

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

/// Returns a data centre in a region of the same name.
pub fn data_centre(name: &str) -> DataCentre {
    DataCentre {
        name: name.to_owned(),
        region: name.to_owned(),
    }
}

/// Returns a service of one shard with a leaf in each data centre.
pub fn service(name: &str) -> Service {
    let leaf = |data_centre: &str| Leaf {
        name: format!("{name}-{data_centre}"),
        data_centre: data_centre.to_owned(),
        until: KEY_SPACE,
        ..Leaf::default()
    };
    Service {
        name: name.to_owned(),
        slots: 3,
        connections: 30,
        leaves: DATA_CENTRES.map(leaf).to_vec(),
        ..Service::default()
    }
}
