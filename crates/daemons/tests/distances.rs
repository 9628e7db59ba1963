//! A deployment with network delay between its data centres.

use std::{
    thread,
    time::{Duration, Instant},
};

use guavacourse::modules::inventory::{Config, DataCentre, Instance, Kind, Leaf, Service};
use guavacourse_daemons::deployment::{Deployment, Plan};
use serde_json::Value;

/// One-way delay between the data centres.
const ONE_WAY_DELAY: Duration = Duration::from_millis(60);

/// Maximum wait until the entries use the expected addresses; generous, so that a
/// busy machine does not fail the test.
const ADDRESS_TIMEOUT: Duration = Duration::from_mins(1);

/// One leaf in Kandy; an instance there and one in Galle.
fn config() -> Config {
    let data_centres = ["kandy", "galle"];
    Config {
        epoch: 1,
        data_centres: data_centres
            .map(|name| DataCentre {
                name: name.to_owned(),
                region: name.to_owned(),
            })
            .to_vec(),
        instances: data_centres
            .map(|name| Instance {
                name: format!("{name}-1"),
                data_centre: name.to_owned(),
                ..Instance::default()
            })
            .to_vec(),
        services: vec![Service {
            name: "shift".to_owned(),
            slots: 3,
            connections: 10,
            leaves: vec![Leaf {
                name: "shift-1".to_owned(),
                data_centre: "kandy".to_owned(),
                until: 65_536,
                ..Leaf::default()
            }],
            ..Service::default()
        }],
        kinds: vec![Kind {
            name: "shift-check".to_owned(),
            services: vec!["shift".to_owned()],
            deadline: Duration::from_secs(10),
            ..Kind::default()
        }],
        ..Config::default()
    }
}

/// Returns the address that an entry has for the relay of an instance.
fn relay_address(deployment: &Deployment, entry: usize, instance: &str) -> Value {
    let status = smol::block_on(deployment.caller(entry).get("/status")).expect("a status");
    let relays = status.body["relays"].as_array().expect("relays");
    let found = relays.iter().find(|relay| relay["name"] == instance);
    found.expect("the relay is known")["address"].clone()
}

#[test]
fn calls_to_another_data_centre_are_delayed_both_ways() {
    let deployment = Deployment::start(&Plan {
        distance: ONE_WAY_DELAY,
        ..Plan::new(config())
    });
    let deployment = deployment.expect("a deployment");
    let direct = deployment.relays[0].address().to_string();
    // Until an entry has read the instance list itself, it uses the addresses that
    // it has from its peers.
    let is_direct = |entry| relay_address(&deployment, entry, "kandy-1") == direct.as_str();
    let start = Instant::now();
    while !is_direct(0) || is_direct(1) {
        assert!(
            start.elapsed() < ADDRESS_TIMEOUT,
            "the entries do not use the addresses in their instance lists"
        );
        thread::sleep(Duration::from_millis(10));
    }
    let mut caller = deployment.caller(1);
    let start = Instant::now();
    let answer = smol::block_on(caller.post("/query/shift-check", &[], b"{}")).expect("an answer");
    assert!(start.elapsed() >= 2 * ONE_WAY_DELAY);
    assert_eq!(answer.body["coverage"]["fraction"], 1.0);
    deployment.stop();
}
